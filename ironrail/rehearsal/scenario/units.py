"""Parses and formats times and sizes with units, like `250 ms` and `96 MB`."""

from __future__ import annotations

import re
from typing import Annotated, Any

from pydantic import BeforeValidator, PlainSerializer

TIMES = {"ms": 0.001, "s": 1.0, "min": 60.0}  # in seconds
SIZES = {"B": 1, "KB": 1024, "MB": 1024**2}  # in bytes
QUANTITY = re.compile(r"(\d+(?:\.\d+)?) ?([A-Za-z]+)")


def _read(value: Any, units: dict[str, float] | dict[str, int], what: str, example: str) -> float:
    """Return a value in the base unit.

    Raises:
        ValueError: The text is not a number with a known unit.
    """
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        raise ValueError(f"a {what} needs its unit, like {example!r}")
    found = QUANTITY.fullmatch(value.strip()) if isinstance(value, str) else None
    if found is None or found[2] not in units:
        known = ", ".join(units)
        raise ValueError(f"must be a {what} like {example!r} (units: {known})")
    return float(found[1]) * units[found[2]]


def read_time(value: Any) -> float:
    """Return the seconds of a time like `"250 ms"`."""
    return _read(value, TIMES, "time", "250 ms")


def read_size(value: Any) -> int:
    """Return the bytes of a size like `"96 MB"`."""
    return int(_read(value, SIZES, "size", "96 MB"))


def write_time(seconds: float) -> str:
    """Format a time for a scenario file, to the microsecond; reading the text gives the same time."""
    return f"{seconds * 1000:.3f}".rstrip("0").rstrip(".") + " ms"


def write_size(size: int) -> str:
    """Format a size for a scenario file."""
    return f"{size} B"


Seconds = Annotated[float, BeforeValidator(read_time), PlainSerializer(write_time, when_used="json")]
Bytes = Annotated[int, BeforeValidator(read_size), PlainSerializer(write_size, when_used="json")]
