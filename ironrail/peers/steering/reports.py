"""What a witness says of a region at its hall, and its form on the wire. Pure.

A message is the digest of the regions' file (numbers mean the same regions only where that is the same), then
groups: witness, start of its process, count, and so many rows of region, sequence, age and values. Whole
numbers are base 128, low digits first. The hall follows from the witness.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ironrail.errors import InputError
from ironrail.peers.steering.histogram import part_of

MOST_BODY = 200  # bytes: with the wire's own within the 256 that a datagram may have
MOST_CLASSES = 6  # that are told apart; those beyond are not told of
MOST_VALUES = 4 + 2 * MOST_CLASSES  # bytes
DIGEST = 4  # bytes
AGE_UNIT = 1.0  # seconds, rounded up
MOST_START, MOST_SEQUENCE, MOST_AGE = 2**64, 2**32, 2**14
_WHERE = "reports of regions"


class ReportError(InputError):
    """A message that is no list of reports. Nothing of it is taken."""

    advice = "Give all routers the same version and the same file of regions."


class Summary(NamedTuple):
    """Codes of a witness's word: durations and rate as in `sketch`, shares in fifteenths."""

    rtt: int  # the median
    rtt_tail: int  # 95 of 100 are at most this
    rate: int  # of requests, at this router
    late: int  # share not answered in its wanted time
    early: int  # share whose client went before: part of those
    classes: tuple[tuple[int, int, int, int], ...]  # class, median of service, its tail, share of requests

    def pack(self) -> bytes:
        mask, rows = 0, b""
        for cls, typical, tail, share in self.classes:
            if cls < MOST_CLASSES:
                mask |= 1 << cls
                rows += (typical << 10 | tail << 4 | share).to_bytes(2, "big")
        head = self.rtt << 26 | self.rtt_tail << 20 | self.rate << 14 | self.late << 10 | self.early << 6
        return (head | mask).to_bytes(4, "big") + rows

    def differs(self, other: Summary) -> int:
        """By how much they tell another story: buckets of duration; 2 of 100 more late ones are one."""
        late = round(abs(part_of(self.late) - part_of(other.late)) / 0.02)
        most = max(abs(self.rtt - other.rtt), late, abs(self.rate - other.rate) // 2)
        theirs = {cls: typical for cls, typical, *_ in other.classes}
        for cls, typical, *_ in self.classes:
            most = max(most, abs(typical - theirs.pop(cls, typical + 8)))
        return max(most, 8) if theirs else most


def unpack(values: bytes) -> Summary:
    """Of what `pack` gave."""
    head = int.from_bytes(values[:4], "big")
    classes, at = [], 4
    for cls in range(MOST_CLASSES):
        if head >> cls & 1:
            row = values[at] << 8 | values[at + 1]
            classes.append((cls, row >> 10, row >> 4 & 63, row & 15))
            at += 2
    return Summary(
        head >> 26, head >> 20 & 63, head >> 14 & 63, head >> 10 & 15, head >> 6 & 15, tuple(classes)
    )


class Report(NamedTuple):
    """One witness's latest word on one region at its hall."""

    witness: int
    start: int
    region: int
    sequence: int
    values: bytes
    age: float  # seconds since the evidence, as far as known


def _number(value: int) -> bytes:
    out = bytearray()
    while value > 127:
        out.append(value & 127 | 128)
        value >>= 7
    out.append(value)
    return bytes(out)


def encode(digest: bytes, reports: Iterable[Report], most: int = MOST_BODY) -> tuple[bytes, int]:
    """A message of the first reports, as many as fit, and how many those are."""
    groups: dict[tuple[int, int], list[bytes]] = {}
    size, taken = len(digest), 0
    for report in reports:
        who = report.witness, report.start
        age = min(MOST_AGE - 1, -int(-report.age // AGE_UNIT))
        row = _number(report.region) + _number(report.sequence) + _number(age) + report.values
        head = 0 if who in groups else len(_number(who[0])) + len(_number(who[1])) + 1
        if size + head + len(row) > most:
            break
        groups.setdefault(who, []).append(row)
        size += head + len(row)
        taken += 1
    return digest + b"".join(
        _number(witness) + _number(start) + bytes((len(rows),)) + b"".join(rows)
        for (witness, start), rows in groups.items()
    ), taken


def decode(body: bytes, digest: bytes, routers: int, regions: int) -> list[Report]:
    """The reports of a message.

    Raises:
        ReportError: it is of other regions, or anything in it is out of form or range.
    """
    if body[:DIGEST] != digest:
        raise ReportError("is of another file of regions", _WHERE)
    if len(body) > MOST_BODY:  # nobody says so much, and it would cost as much time as it has words
        raise ReportError("is too long", _WHERE)
    at = DIGEST

    def take(size: int) -> bytes:
        nonlocal at
        if at + size > len(body):
            raise ReportError("breaks off", _WHERE)
        at += size
        return body[at - size : at]

    def number(bound: int) -> int:
        value = shift = 0
        while True:
            digit = take(1)[0]
            value |= (digit & 127) << shift
            shift += 7
            if digit < 128 and value < bound:
                return value
            if value >= bound or shift > 70:
                raise ReportError("a number is too large", _WHERE)

    found = []
    while at < len(body):
        witness, start = number(routers), number(MOST_START)
        for _ in range(take(1)[0]):
            region, sequence, age = number(regions), number(MOST_SEQUENCE), number(MOST_AGE)
            head = take(4)
            values = head + take(2 * (head[3] & 63).bit_count())
            found.append(Report(witness, start, region, sequence, values, age * AGE_UNIT))
    return found
