"""Times and figures of a line of a log, and what of them can be. Pure."""

from __future__ import annotations

import math
import re
from datetime import datetime, timedelta, timezone
from functools import lru_cache

from ironrail.recorded.entry import Malformed
from ironrail.recorded.formats import TIMES

MONTHS = {
    m: n
    for n, m in enumerate("Jan Feb Mar Apr May Jun Jul Aug Sep Oct Nov Dec".split(), 1)  # noqa: SIM905
}
CLF = re.compile(r"(\d\d)/(\w{3})/(\d{4}):(\d\d):(\d\d):(\d\d) ([+-])(\d\d)(\d\d)")
EARLIEST, LATEST = 0.0, 4102444800.0  # Unix times that a log may hold: from 1970 to 2100
LONGEST = 86_400.0  # seconds that a request may take


@lru_cache(64)
def clf_time(text: str) -> float:
    """Unix time of `01/Dec/2026:06:30:00 +0100`; the offset makes summer time no matter."""
    found = CLF.fullmatch(text.strip("[]"))
    if found is None or found[2] not in MONTHS:
        raise Malformed("the time can't be read")
    day, _, year, hour, minute, second = found.groups()[:6]
    offset = timedelta(hours=int(found[8]), minutes=int(found[9]))
    leap = int(second) == 60  # a leap second: Unix time counts it as the next one
    try:
        moment = datetime(
            int(year),
            MONTHS[found[2]],
            int(day),
            int(hour),
            int(minute),
            59 if leap else int(second),
            tzinfo=timezone(offset if found[7] == "+" else -offset),
        )
    except ValueError as e:
        raise Malformed("the time can't be read") from e
    return moment.timestamp() + leap


def iso_time(text: str) -> float:
    """Unix time of an ISO 8601 time; without an offset it is taken for UTC."""
    try:
        moment = datetime.fromisoformat(text)
    except ValueError as e:
        raise Malformed("the time can't be read") from e
    return (moment if moment.tzinfo else moment.replace(tzinfo=timezone.utc)).timestamp()  # noqa: UP017


def number(text: str, what: str) -> float:
    """A number of a line; `-` is none, that is 0."""
    if text in ("-", ""):
        return 0.0
    try:
        value = float(text)
    except ValueError as e:
        raise Malformed(f"{what} is no number") from e
    if not math.isfinite(value):
        raise Malformed(f"{what} is no number")
    return value


def time_of(fields: dict[str, str], took: float) -> float:
    """When the request began. nginx writes when it ended."""
    at = None
    for name, text in fields.items():
        if not text or name not in TIMES:
            continue
        if name.startswith("clf"):
            at = clf_time(text)
        elif name.startswith("iso"):
            at = iso_time(text)
        else:
            scale = 1e3 if "_ms_" in name else 1e6 if "_us_" in name else 1.0
            at = number(text, "the time") / scale
        if name.endswith("_end"):
            at -= took
        break
    if at is None:
        raise Malformed("no time")
    if not EARLIEST < at < LATEST:
        raise Malformed("a time before 1970 or after 2100")
    return at
