"""A router's report on a region's clients in its zone, and its encoding on the wire.

A message starts with the digest of the region definitions, as region numbers are only comparable
between routers with the same definitions. Groups follow: reporter, incarnation of its process,
count, and as many rows of region, sequence number, age and values. Integers are base-128 varints,
low digits first. The zone follows from the reporter. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ironrail.errors import InputError
from ironrail.peers.steering.histogram import fraction_from_code

MAX_BODY_BYTES = 200  # leaves space for the transport's header in a datagram of 256 bytes
MAX_CLASSES = 6  # request classes with a number from this on are not reported
MAX_VALUES_BYTES = 4 + 2 * MAX_CLASSES
DIGEST_BYTES = 4
AGE_UNIT_SECONDS = 1.0  # ages are rounded up
MAX_INCARNATION, MAX_SEQUENCE, MAX_AGE = 2**64, 2**32, 2**14  # exclusive; the age is in units
_LOCATION = "region reports"


class RegionReportError(InputError):
    """A message that is not a valid list of reports. Nothing of it is used."""

    advice = "Give all routers the same version and the same file of regions."


class RegionSummary(NamedTuple):
    """The values of a report as codes of `histogram`, except class shares, in fifteenths.

    Attributes:
        rtt: Median round-trip time.
        rtt_tail: 95th percentile of the round-trip time.
        rate: Rate of requests at the reporting router.
        late: Fraction of requests that were not answered within their latency objective.
        abandoned: Fraction of requests whose client disconnected first; part of `late`.
        classes: Of each request class its number, median and 95th percentile of the service time,
            and share of requests.
    """

    rtt: int
    rtt_tail: int
    rate: int
    late: int
    abandoned: int
    classes: tuple[tuple[int, int, int, int], ...]

    def pack(self) -> bytes:
        """Encode the values."""
        mask, rows = 0, b""
        for class_number, typical, tail, share in self.classes:
            if class_number < MAX_CLASSES:
                mask |= 1 << class_number
                rows += (typical << 10 | tail << 4 | share).to_bytes(2, "big")
        head = (
            self.rtt << 26
            | self.rtt_tail << 20
            | self.rate << 14
            | self.late << 10
            | self.abandoned << 6
        )
        return (head | mask).to_bytes(4, "big") + rows

    def difference(self, other: RegionSummary) -> int:
        """Return the largest difference in duration buckets.

        A difference of 2 % of late requests counts as one bucket.
        """
        late = round(abs(fraction_from_code(self.late) - fraction_from_code(other.late)) / 0.02)
        largest = max(abs(self.rtt - other.rtt), late, abs(self.rate - other.rate) // 2)
        others = {class_number: typical for class_number, typical, *_ in other.classes}
        for class_number, typical, *_ in self.classes:
            largest = max(largest, abs(typical - others.pop(class_number, typical + 8)))
        return max(largest, 8) if others else largest


def unpack(values: bytes) -> RegionSummary:
    """Decode what `RegionSummary.pack` encoded."""
    head = int.from_bytes(values[:4], "big")
    classes, at = [], 4
    for class_number in range(MAX_CLASSES):
        if head >> class_number & 1:
            row = values[at] << 8 | values[at + 1]
            classes.append((class_number, row >> 10, row >> 4 & 63, row & 15))
            at += 2
    return RegionSummary(
        head >> 26,
        head >> 20 & 63,
        head >> 14 & 63,
        head >> 10 & 15,
        head >> 6 & 15,
        tuple(classes),
    )


class RegionReport(NamedTuple):
    """One router's latest report on one region in its zone.

    Attributes:
        reporter: Index of the router that measured the values.
        incarnation: Incarnation of its process.
        region: Number of the region.
        sequence: Sequence number, which grows with each report of the incarnation.
        values: A packed `RegionSummary`.
        age: Seconds since the measurement, as far as known.
    """

    reporter: int
    incarnation: int
    region: int
    sequence: int
    values: bytes
    age: float


def _encode_varint(value: int) -> bytes:
    out = bytearray()
    while value > 127:
        out.append(value & 127 | 128)
        value >>= 7
    out.append(value)
    return bytes(out)


def encode(
    digest: bytes, reports: Iterable[RegionReport], max_bytes: int = MAX_BODY_BYTES
) -> tuple[bytes, int]:
    """Return a message with as many of the first reports as fit, and the number of those."""
    groups: dict[tuple[int, int], list[bytes]] = {}
    size, taken = len(digest), 0
    for report in reports:
        source = report.reporter, report.incarnation
        age = min(MAX_AGE - 1, -int(-report.age // AGE_UNIT_SECONDS))
        row = (
            _encode_varint(report.region)
            + _encode_varint(report.sequence)
            + _encode_varint(age)
            + report.values
        )
        head = (
            0
            if source in groups
            else len(_encode_varint(source[0])) + len(_encode_varint(source[1])) + 1
        )
        if size + head + len(row) > max_bytes:
            break
        groups.setdefault(source, []).append(row)
        size += head + len(row)
        taken += 1
    return digest + b"".join(
        _encode_varint(reporter)
        + _encode_varint(incarnation)
        + bytes((len(rows),))
        + b"".join(rows)
        for (reporter, incarnation), rows in groups.items()
    ), taken


def decode(body: bytes, digest: bytes, num_routers: int, num_regions: int) -> list[RegionReport]:
    """Return the reports of a message.

    Raises:
        RegionReportError: The message refers to other region definitions, is too long, is
            truncated, or holds a number out of range.
    """
    if body[:DIGEST_BYTES] != digest:
        raise RegionReportError("refers to another file of regions", _LOCATION)
    if len(body) > MAX_BODY_BYTES:  # no router sends it, and decoding takes time per report
        raise RegionReportError("is too long", _LOCATION)
    at = DIGEST_BYTES

    def take(size: int) -> bytes:
        nonlocal at
        if at + size > len(body):
            raise RegionReportError("is truncated", _LOCATION)
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
                raise RegionReportError("contains a number out of range", _LOCATION)

    found = []
    while at < len(body):
        reporter, incarnation = number(num_routers), number(MAX_INCARNATION)
        for _ in range(take(1)[0]):
            region, sequence, age = number(num_regions), number(MAX_SEQUENCE), number(MAX_AGE)
            head = take(4)
            values = head + take(2 * (head[3] & 63).bit_count())
            found.append(
                RegionReport(
                    reporter, incarnation, region, sequence, values, age * AGE_UNIT_SECONDS
                )
            )
    return found
