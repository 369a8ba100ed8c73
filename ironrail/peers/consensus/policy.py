"""Policies: documents with one encoding, which are validated and can be merged. Pure.

The conservative merge of two policies requires nothing that either of them forbids. It is
commutative, associative and idempotent, so it does not matter who merges and in which order.
"""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass, field
from typing import Annotated, Any, Literal

import msgspec

from ironrail.peers.consensus.errors import PolicyError
from ironrail.peers.messages import MAX_ZONES

# the longest wire message has 3,696, and each router has to fetch the document
MAX_DOCUMENT_BYTES = 3072
MAX_ROWS = 256  # titles, classes, regions or constants; more do not fit the bytes anyway
DIGEST_BYTES = 16  # enough that no two documents share a digest by chance
MAX_REQUESTS_PER_SECOND = 1e9
MAX_VERSION = 2**32 - 1

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
RequestsPerSecond = Annotated[float, msgspec.Meta(ge=0, le=MAX_REQUESTS_PER_SECOND)]
RowLimit = msgspec.Meta(max_length=MAX_ROWS)
ZoneLimit = msgspec.Meta(max_length=MAX_ZONES)


@dataclass(frozen=True, slots=True)
class Constant:
    """A constant that a policy may change at run time, and which side of it is safer."""

    minimum: float
    maximum: float
    default: float
    safer_side: Literal["low", "high"]

    def safer(self, one: float, other: float) -> float:
        """Return the safer of two values."""
        return min(one, other) if self.safer_side == "low" else max(one, other)


@dataclass(frozen=True)
class ValidationContext:
    """What one router knows, and validates each policy against."""

    classes: frozenset[str] = frozenset()
    titles: frozenset[str] | None = frozenset()  # None: any, as titles come with requests
    zones: frozenset[str] = frozenset()
    regions: frozenset[str] = frozenset()
    constants: dict[str, Constant] = field(default_factory=dict)


class Policy(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A policy document.

    Absent rows mean: no rate limit, class never shed, nothing steered, default constants.
    """

    version: Annotated[int, msgspec.Meta(ge=1, le=MAX_VERSION)]  # 0: the merge of two versions
    rates: Annotated[dict[Name, RequestsPerSecond], RowLimit] = {}  # title -> requests/s
    # class -> pressure (0 to 1) from which on it is shed; this also orders the classes
    shed: Annotated[dict[Name, Fraction], RowLimit] = {}
    # class -> fraction of further attempts, 1 if absent
    further: Annotated[dict[Name, Fraction], RowLimit] = {}
    emptied: Annotated[frozenset[Name], ZoneLimit] = frozenset()  # zones that take no new load
    # region -> zone -> fraction
    steering: Annotated[dict[Name, Annotated[dict[Name, Fraction], ZoneLimit]], RowLimit] = {}
    constants: Annotated[dict[Name, float], RowLimit] = {}


_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
_DECODER = msgspec.msgpack.Decoder(Policy)


def parse(table: dict[str, Any]) -> Policy:
    """Parse a policy from the table of a TOML document.

    Raises:
        PolicyError: A field is unknown, missing, of another type or out of its bounds.
    """
    for name in table:
        if name not in Policy.__struct_fields__:
            raise PolicyError("is not a field of a policy", name)
    if "version" not in table:
        raise PolicyError("is missing", "version")
    try:
        fields = {
            name: msgspec.convert(table[name], field_type, strict=True)
            for name, field_type in ((f.name, f.type) for f in msgspec.structs.fields(Policy))
            if name in table
        }
    except msgspec.ValidationError as error:
        raise PolicyError(str(error), "policy") from None
    return normalize(Policy(**fields))


def _validated(policy: Policy) -> Policy:
    numbers = [*policy.rates.values(), *policy.shed.values(), *policy.further.values()]
    for row in policy.steering.values():
        numbers += row.values()
    if not all(math.isfinite(number) for number in (*numbers, *policy.constants.values())):
        raise PolicyError("a number is not finite", "policy")
    for region, row in policy.steering.items():
        if sum(row.values()) > 1 + 1e-9:
            raise PolicyError("shares add up to more than 1", f"steering.{region}")
        if closed_zones := policy.emptied & {zone for zone, share in row.items() if share}:
            raise PolicyError(
                f"steers to {min(closed_zones)}, which is emptied", f"steering.{region}"
            )
    if len(encode(policy)) > MAX_DOCUMENT_BYTES:
        raise PolicyError(f"takes more than {MAX_DOCUMENT_BYTES} bytes", "policy")
    return policy


def encode(policy: Policy) -> bytes:
    """Return the only encoding of a policy: equal policies have equal bytes."""
    return _ENCODER.encode(policy)


def normalize(policy: Policy) -> Policy:
    """Return the policy as every other router will decode it.

    Raises:
        PolicyError: A field is out of its bounds.
    """
    try:
        return _validated(_DECODER.decode(encode(policy)))
    except (msgspec.MsgspecError, TypeError) as error:
        raise PolicyError(str(error), "policy") from None


def digest(policy: Policy) -> bytes:
    """Return the digest that identifies the document on the wire."""
    return hashlib.blake2b(encode(policy), digest_size=DIGEST_BYTES).digest()


def decode(data: bytes) -> Policy:
    """Decode a policy.

    Raises:
        PolicyError: The bytes are not a policy, or not in its only encoding.
    """
    try:
        policy = _validated(_DECODER.decode(data)) if len(data) <= MAX_DOCUMENT_BYTES else None
    except msgspec.MsgspecError as error:
        raise PolicyError(str(error), "policy") from None
    if policy is None or encode(policy) != data:
        raise PolicyError("not encoded as documents are on the wire", "policy")
    return policy


def check(policy: Policy, context: ValidationContext) -> PolicyError | None:
    """Return why this router cannot act on a policy, or None if it can."""
    zones = set(policy.emptied).union(*policy.steering.values())
    known: tuple[tuple[str, set[str], Any], ...] = (
        (
            "rates",
            set(policy.rates),
            set(policy.rates) if context.titles is None else context.titles,
        ),
        ("shed", set(policy.shed), context.classes),
        ("further", set(policy.further), context.classes),
        ("halls", zones, context.zones),
        ("steering", set(policy.steering), context.regions),
        ("constants", set(policy.constants), context.constants),
    )
    for section, used, allowed in known:
        if unknown := used.difference(allowed):
            return PolicyError("is not known here", f"{section}.{min(unknown)}"[:80])
    for name, value in policy.constants.items():
        bounds = context.constants[name]
        if not bounds.minimum <= value <= bounds.maximum:
            return PolicyError(
                f"must be from {bounds.minimum:g} to {bounds.maximum:g}", f"constants.{name}"[:80]
            )
    return None


def _row_minimum(one: dict[str, float], other: dict[str, float]) -> dict[str, float]:
    return {name: min(one.get(name, math.inf), other.get(name, math.inf)) for name in one | other}


def merge_conservatively(one: Policy, other: Policy, context: ValidationContext) -> Policy:
    """Return the policy that allows only what both allow; both must have passed `check`."""
    constants = {}
    for name in one.constants | other.constants:
        bounds = context.constants[name]
        values = (p.constants.get(name, bounds.default) for p in (one, other))
        constants[name] = bounds.safer(*values)
    return Policy(
        version=one.version if one.version == other.version else 0,
        rates=_row_minimum(one.rates, other.rates),
        shed=_row_minimum(one.shed, other.shed),
        further=_row_minimum(one.further, other.further),
        emptied=one.emptied | other.emptied,
        steering={r: row for r, row in one.steering.items() if other.steering.get(r) == row},
        constants=constants,
    )
