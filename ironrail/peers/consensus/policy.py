"""A policy: a document that is checked, has one form on the wire, and can be met with another. Pure.

The *meet* of two policies asks nothing of anyone that either of them forbids. It is commutative, associative
and idempotent, so that it doesn't matter who forms it and in what order.
"""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass, field
from typing import Annotated, Any, Literal

import msgspec

from ironrail.peers.consensus.errors import PolicyError
from ironrail.peers.messages import MAX_ZONES

MOST_DOCUMENT = 3072  # bytes: the longest message of the wire has 3,696, and each router has to fetch it
MOST_ROWS = 256  # titles, classes, regions or constants; more don't fit the bytes anyway
DIGEST = 16  # bytes: nobody finds two documents of one digest by chance
MOST_RATE = 1e9  # requests/s
MOST_VERSION = 2**32 - 1

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MOST_RATE)]
Rows = msgspec.Meta(max_length=MOST_ROWS)
Halls = msgspec.Meta(max_length=MAX_ZONES)


@dataclass(frozen=True, slots=True)
class Constant:
    """A constant that may be changed in service: bounds, value where none is named, safe side."""

    least: float
    most: float
    usual: float
    safe: Literal["low", "high"]

    def safer_of(self, one: float, other: float) -> float:
        """The safer of two values."""
        return min(one, other) if self.safe == "low" else max(one, other)


@dataclass(frozen=True)
class Facts:
    """What one router knows of itself, and checks each policy against."""

    classes: frozenset[str] = frozenset()
    titles: frozenset[str] | None = frozenset()  # None: any, as they come with requests
    halls: frozenset[str] = frozenset()
    regions: frozenset[str] = frozenset()
    constants: dict[str, Constant] = field(default_factory=dict)


class Policy(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Absent rows mean: rate unbounded, class never shed, nothing moved, constants as usual."""

    version: Annotated[int, msgspec.Meta(ge=1, le=MOST_VERSION)]  # a meet of two versions has 0
    rates: Annotated[dict[Name, Rate], Rows] = {}  # title -> requests/s
    # class -> pressure, a share, from which on it is shed: the order of classes is the order of these
    shed: Annotated[dict[Name, Share], Rows] = {}
    further: Annotated[dict[Name, Share], Rows] = {}  # class -> share of further attempts, 1 if absent
    emptied: Annotated[frozenset[Name], Halls] = frozenset()  # halls that take nothing new
    steering: Annotated[dict[Name, Annotated[dict[Name, Share], Halls]], Rows] = {}  # region -> hall -> share
    constants: Annotated[dict[Name, float], Rows] = {}


_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
_DECODER = msgspec.msgpack.Decoder(Policy)


def read(table: dict[str, Any]) -> Policy:
    """The policy of a document as TOML gives it.

    Raises:
        PolicyError: a field is unknown, missing, of another type or out of its bounds.
    """
    for name in table:
        if name not in Policy.__struct_fields__:
            raise PolicyError("is no field of a policy", name)
    if "version" not in table:
        raise PolicyError("is missing", "version")
    try:
        fields = {
            name: msgspec.convert(table[name], kind, strict=True)
            for name, kind in ((f.name, f.type) for f in msgspec.structs.fields(Policy))
            if name in table
        }
    except msgspec.ValidationError as error:
        raise PolicyError(str(error), "policy") from None
    return normal(Policy(**fields))


def _sound(policy: Policy) -> Policy:
    numbers = [*policy.rates.values(), *policy.shed.values(), *policy.further.values()]
    for row in policy.steering.values():
        numbers += row.values()
    if not all(math.isfinite(number) for number in (*numbers, *policy.constants.values())):
        raise PolicyError("a number is not finite", "policy")
    for region, row in policy.steering.items():
        if sum(row.values()) > 1 + 1e-9:
            raise PolicyError("shares come to more than 1", f"steering.{region}")
        if closed := policy.emptied & {hall for hall, share in row.items() if share}:
            raise PolicyError(f"steers to {min(closed)}, which is emptied", f"steering.{region}")
    if len(encode(policy)) > MOST_DOCUMENT:
        raise PolicyError(f"takes more than {MOST_DOCUMENT} bytes", "policy")
    return policy


def encode(policy: Policy) -> bytes:
    """The one form of this policy: equal policies have equal bytes."""
    return _ENCODER.encode(policy)


def normal(policy: Policy) -> Policy:
    """As every other router will read it.

    Raises:
        PolicyError: a field is out of its bounds.
    """
    try:
        return _sound(_DECODER.decode(encode(policy)))
    except (msgspec.MsgspecError, TypeError) as error:
        raise PolicyError(str(error), "policy") from None


def digest(policy: Policy) -> bytes:
    """The name of the document on the wire."""
    return hashlib.blake2b(encode(policy), digest_size=DIGEST).digest()


def decode(data: bytes) -> Policy:
    """The policy in these bytes.

    Raises:
        PolicyError: they hold none, or not in its one form.
    """
    try:
        policy = _sound(_DECODER.decode(data)) if len(data) <= MOST_DOCUMENT else None
    except msgspec.MsgspecError as error:
        raise PolicyError(str(error), "policy") from None
    if policy is None or encode(policy) != data:
        raise PolicyError("not in the form that documents have on the wire", "policy")
    return policy


def check(policy: Policy, facts: Facts) -> PolicyError | None:
    """Why this router can't work by it, or nothing."""
    halls = set(policy.emptied).union(*policy.steering.values())
    known: tuple[tuple[str, set[str], Any], ...] = (
        ("rates", set(policy.rates), set(policy.rates) if facts.titles is None else facts.titles),
        ("shed", set(policy.shed), facts.classes),
        ("further", set(policy.further), facts.classes),
        ("halls", halls, facts.halls),
        ("steering", set(policy.steering), facts.regions),
        ("constants", set(policy.constants), facts.constants),
    )
    for where, named, ours in known:
        if strange := named.difference(ours):
            return PolicyError("is not known here", f"{where}.{min(strange)}"[:80])
    for name, value in policy.constants.items():
        bounds = facts.constants[name]
        if not bounds.least <= value <= bounds.most:
            return PolicyError(f"must be from {bounds.least:g} to {bounds.most:g}", f"constants.{name}"[:80])
    return None


def _lower(one: dict[str, float], other: dict[str, float]) -> dict[str, float]:
    return {name: min(one.get(name, math.inf), other.get(name, math.inf)) for name in one | other}


def merge_conservatively(one: Policy, other: Policy, facts: Facts) -> Policy:
    """What both allow. Both must have passed `check`."""
    constants = {}
    for name in one.constants | other.constants:
        bounds = facts.constants[name]
        values = (p.constants.get(name, bounds.usual) for p in (one, other))
        constants[name] = bounds.safer_of(*values)
    return Policy(
        version=one.version if one.version == other.version else 0,
        rates=_lower(one.rates, other.rates),
        shed=_lower(one.shed, other.shed),
        further=_lower(one.further, other.further),
        emptied=one.emptied | other.emptied,
        steering={r: row for r, row in one.steering.items() if other.steering.get(r) == row},
        constants=constants,
    )
