"""What a witness says of a link, and its form on the wire. Pure.

A message is any number of groups: witness, start of its process, count, then so many links, each with hall,
sequence, age and three bytes of values. Whole numbers are base 128, low digits first. The hall that a report
is from follows from the witness, so nobody can speak for a hall that it does not stand in.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ironrail.errors import InputError
from ironrail.peers.zone_latency.link_tracker import Link

MOST_BODY = 200  # bytes: with the wire's own within the 256 that a datagram may have
AGE_UNIT = 0.05  # seconds; rounded down, so no hop makes evidence older than it is
LOST_STEPS = 15  # of the share lost
MOST_START = 2**64  # of a process; starts of one witness only grow
MOST_SEQUENCE = 2**32
MOST_AGE = 2**16  # units, 55 minutes: longer than anything is kept


class ReportError(InputError):
    """A message that is no list of reports. Nothing of it is taken."""

    advice = "Routers of different versions may speak together; bring all of them to one."


class Report(NamedTuple):
    """One witness's latest word on one link."""

    witness: int
    start: int
    to: int  # hall
    sequence: int
    values: int  # packed
    age: float  # seconds since the evidence, as far as known


def pack(state: Link, low: int, typical: int, lost: float) -> int:
    """`low` and `typical`: buckets; `lost`: a share."""
    return state << 16 | round(lost * LOST_STEPS) << 12 | low << 6 | typical


def unpack(values: int) -> tuple[Link, int, int, float]:
    return Link(values >> 16), values >> 6 & 63, values & 63, (values >> 12 & 15) / LOST_STEPS


def differ(one: int, other: int) -> bool:
    """Whether the values are worth telling anew: a step of 1.46 times, or 3/15 more or less lost."""
    _, low, typical, lost = unpack(one)
    _, low2, typical2, lost2 = unpack(other)
    return abs(low - low2) >= 2 or abs(typical - typical2) >= 2 or abs(lost - lost2) > 2.5 / LOST_STEPS


def _number(value: int) -> bytes:
    out = bytearray()
    while value > 127:
        out.append(value & 127 | 128)
        value >>= 7
    out.append(value)
    return bytes(out)


def encode(reports: Iterable[Report], most: int = MOST_BODY) -> tuple[bytes, int]:
    """A message of the first reports, as many as fit, and how many those are."""
    groups: dict[tuple[int, int], list[bytes]] = {}
    size = taken = 0
    for report in reports:
        who = report.witness, report.start
        age = min(MOST_AGE - 1, int(report.age / AGE_UNIT))
        row = bytes((report.to,)) + _number(report.sequence) + _number(age) + report.values.to_bytes(3, "big")
        head = 0 if who in groups else len(_number(who[0])) + len(_number(who[1])) + 1
        if size + head + len(row) > most:
            break
        groups.setdefault(who, []).append(row)
        size += head + len(row)
        taken += 1
    body = b"".join(
        _number(witness) + _number(start) + bytes((len(rows),)) + b"".join(rows)
        for (witness, start), rows in groups.items()
    )
    return body, taken


def decode(body: bytes, routers: int, halls: int) -> list[Report]:
    """The reports of a message; ReportError if anything in it is out of form or range."""
    if len(body) > MOST_BODY:  # nobody says so much, and it would cost as much time as it has words
        raise ReportError("is too long", "reports of latency")
    at = 0

    def byte() -> int:
        nonlocal at
        if at >= len(body):
            raise ReportError("breaks off", "reports of latency")
        at += 1
        return body[at - 1]

    def number(bound: int) -> int:
        value = shift = 0
        while True:
            digit = byte()
            value |= (digit & 127) << shift
            shift += 7
            if digit < 128 and value < bound:
                return value
            if value >= bound or shift > 63 + 7:
                raise ReportError("a number is too large", "reports of latency")

    found = []
    while at < len(body):
        witness, start = number(routers), number(MOST_START)
        for _ in range(byte()):
            to, sequence, age = number(halls), number(MOST_SEQUENCE), number(MOST_AGE)
            values = byte() << 16 | byte() << 8 | byte()
            if not Link.WELL <= values >> 16 <= Link.CUT:
                raise ReportError("a state is none", "reports of latency")
            found.append(Report(witness, start, to, sequence, values, age * AGE_UNIT))
    return found
