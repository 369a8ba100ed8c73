"""Parses documents posted to the admin endpoint, and builds its text responses."""

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

MAX_DOCUMENT_BYTES = 16 * 1024  # as posted: five times the largest policy document on the wire
# In one key, as many as a name has characters: the TOML parser's time grows with their square.
MAX_KEY_DOTS = 64
MAX_RESPONSE_CHARACTERS = 1000  # an error may repeat a name as long as the document
_TOO_MANY_DOTS = re.compile(rb"(?:\.[^.\n={},]*+){%d}" % (MAX_KEY_DOTS + 1))


def parse_proposal(
    body: bytes, policy_in_force: Callable[[], p.Policy]
) -> tuple[p.Policy, tuple[int, ...]]:
    """Parse a proposed policy document.

    Args:
        body: TOML, with an optional list `voters` beside the policy's own fields.
        policy_in_force: Returns the current policy; used as the proposal, under the new version,
            when the document has only a version and voters.

    Returns:
        The policy, and the new voters; an empty tuple if the document has none.

    Raises:
        InputError: The document is not valid TOML, or not a policy with valid voters.
    """
    fields = parse_toml(body)
    voters = fields.pop("voters", None)
    if voters is None:
        return p.parse(fields), ()
    if (
        not isinstance(voters, list)
        or any(type(voter) is not int for voter in voters)
        or not voters
    ):
        raise VotersError("must be a non-empty list of router indices", "voters")
    policy = p.parse(fields)
    if fields.keys() == {"version"}:
        policy = msgspec.structs.replace(policy_in_force(), version=policy.version)
    return policy, tuple(voters)


def parse_toml(body: bytes) -> dict[str, Any]:
    """Parse a posted document.

    Raises:
        InputError: The document is not valid TOML, is too long, or would cost the parser seconds
            or overflow its stack.
    """
    if len(body) > MAX_DOCUMENT_BYTES:
        raise InputError(f"has more than {MAX_DOCUMENT_BYTES} bytes", "policy")
    if _TOO_MANY_DOTS.search(body):
        raise InputError(f"has a key of more than {MAX_KEY_DOTS} parts", "policy")
    try:
        return tomllib.loads(body.decode())
    except RecursionError:
        raise InputError("has too deeply nested brackets", "policy") from None
    except ValueError as e:  # invalid TOML or UTF-8, or a number of thousands of digits
        raise InputError(str(e), "policy") from e


def policy_fields(policy: p.Policy | None) -> Any:
    """Return the version and the non-empty fields of a policy as JSON-compatible values."""
    if policy is None:
        return None
    fields = {name: getattr(policy, name) for name in policy.__struct_fields__}
    return {
        name: msgspec.to_builtins(row) for name, row in fields.items() if row or name == "version"
    }


def text_response(status: int, text: str) -> Response:
    """Return a response of one line, cut to `MAX_RESPONSE_CHARACTERS`."""
    return Response(status, text[:MAX_RESPONSE_CHARACTERS].encode() + b"\n")
