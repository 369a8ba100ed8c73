"""The list of field names and values in the `P` flag of a command."""

from __future__ import annotations

import re

from ironrail.net.protocol.errors import FieldError

PRINTABLE = re.compile(rb"[!-~]+")

NUMBER = re.compile(r"(0|[1-9][0-9]{0,8})(\.[0-9]{1,6})?")
"""No sign, "_" or exponent, which servers may not parse; bounded to keep timers in range."""

WORD = re.compile(r"[!-+.-<>-~-]{1,250}")
"""Printable characters without the "," and "=" that separate names and values."""

FIELD_PATTERNS = {
    "c": WORD,
    "t": WORD,
    "k": WORD,
    "r": re.compile("[01]"),
    "d": NUMBER,
    "h": NUMBER,
    "size": NUMBER,
}
"""All known fields: a cache server closes the shared connection on a field that it can't parse."""


def parse_fields(raw_fields: bytes) -> dict[str, str]:
    """Parse a list of field names and values.

    Raises:
        FieldError: A field is unknown, repeated or malformed.
    """
    fields: dict[str, str] = {}
    for pair in raw_fields.decode("ascii").split(","):
        name, _, value = pair.partition("=")
        pattern = FIELD_PATTERNS.get(name)
        if pattern is None or name in fields:
            raise FieldError("bad list of names and values")
        if pattern.fullmatch(value) is None:
            raise FieldError(f"bad {name}")
        fields[name] = value
    return fields


def read_numeric_field(fields: dict[str, str], name: str) -> float | None:
    """Return the value of a numeric field; None if it is absent."""
    return float(fields[name]) if name in fields else None


def is_printable(token: bytes, max_bytes: int) -> bool:
    """Whether a token is valid in a command line and in an HTTP header."""
    return len(token) <= max_bytes and PRINTABLE.fullmatch(token) is not None
