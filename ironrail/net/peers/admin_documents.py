"""Documents as operators post them at the door, and what they are told there."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable
from typing import Any

import msgspec

from ironrail.admin.http_call import Response
from ironrail.errors import InputError
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.errors import VotersError

MOST_TEXT = 16 * 1024  # bytes of a document as it is posted: five times its most on the wire
MOST_DOTS = 64  # in one key, as many as a name has characters: the parser's time grows with their square
MOST_TOLD = 1000  # characters of an answer: an error may repeat a name as long as the document
_DOTS = re.compile(rb"(?:\.[^.\n={},]*+){%d}" % (MOST_DOTS + 1))


def read(body: bytes, settled: Callable[[], p.Policy]) -> tuple[p.Policy, tuple[int, ...]]:
    """The policy, and the voters that are to be, if it names some; InputError where it is neither.

    `settled`: the policy in force, taken where nothing but a version and voters are named.
    """
    named = table(body)
    voters = named.pop("voters", None)
    if voters is None:
        return p.parse(named), ()
    if not isinstance(voters, list) or any(type(voter) is not int for voter in voters) or not voters:
        raise VotersError("must be a list of numbers of routers", "voters")
    policy = p.parse(named)
    if named.keys() == {"version"}:
        policy = msgspec.structs.replace(settled(), version=policy.version)
    return policy, tuple(voters)


def table(body: bytes) -> dict[str, Any]:
    """The document; InputError where it is none, or would cost the parser seconds or its stack."""
    if len(body) > MOST_TEXT:
        raise InputError(f"has more than {MOST_TEXT} bytes", "policy")
    if _DOTS.search(body):
        raise InputError(f"a key of more than {MOST_DOTS} parts", "policy")
    try:
        return tomllib.loads(body.decode())
    except RecursionError:
        raise InputError("brackets within brackets", "policy") from None
    except ValueError as e:  # no TOML, no UTF-8, a number of thousands of digits
        raise InputError(str(e), "policy") from e


def rows(policy: p.Policy | None) -> Any:
    """A policy's rows by name, those that say nothing left out."""
    if policy is None:
        return None
    said = {name: getattr(policy, name) for name in policy.__struct_fields__}
    return {name: msgspec.to_builtins(row) for name, row in said.items() if row or name == "version"}


def line(status: int, text: str) -> Response:
    """What is said in a line, cut where it is long."""
    return Response(status, text[:MOST_TOLD].encode() + b"\n")
