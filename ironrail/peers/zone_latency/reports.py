"""Reports of the state of a link by a router, and their encoding in messages.

A message is a sequence of groups. A group has the reporter, the incarnation of its process, a
count, and as many links, each with the other zone, a sequence number, an age and three bytes of
values. Integers are varints: base 128, least significant digit first. The zone that a report is
from follows from the reporter, so no router can report for a zone that it is not in. Does no I/O
and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ironrail.errors import InputError
from ironrail.peers.zone_latency.link_tracker import MeasuredLinkState

MAX_BODY_BYTES = 200  # with the transport's overhead within the 256 bytes of a datagram
AGE_UNIT_SECONDS = 0.05  # ages are rounded down, so no hop makes evidence older than it is
LOSS_STEPS = 15  # of the loss ratio
# exclusive upper bounds of decoded integers
MAX_INCARNATION = 2**64  # of a process; those of one reporter only grow
MAX_SEQUENCE = 2**32
MAX_AGE_UNITS = 2**16  # 55 minutes, longer than any report is kept


class ReportError(InputError):
    """A message that is not a list of reports. None of its reports is used."""

    advice = "Routers of different versions may speak together; bring all of them to one."


class LinkReport(NamedTuple):
    """The latest report of one router on one link.

    Attributes:
        reporter: Number of the router that measured the link.
        incarnation: Of the reporter's process.
        to_zone: Number of the zone at the other end of the link.
        sequence: Grows with each report of the reporter on this link.
        packed_values: State and figures, see `pack_values`.
        age: Seconds since the evidence, not counting the transport.
    """

    reporter: int
    incarnation: int
    to_zone: int
    sequence: int
    packed_values: int
    age: float


def pack_values(state: MeasuredLinkState, fastest: int, median: int, loss_ratio: float) -> int:
    """Pack state and figures into 18 bits; `fastest` and `median` are buckets of the histogram."""
    return state << 16 | round(loss_ratio * LOSS_STEPS) << 12 | fastest << 6 | median


def unpack_values(packed: int) -> tuple[MeasuredLinkState, int, int, float]:
    """Return the state, the buckets of fastest and median round trip, and the loss ratio."""
    return (
        MeasuredLinkState(packed >> 16),
        packed >> 6 & 63,
        packed & 63,
        (packed >> 12 & 15) / LOSS_STEPS,
    )


def is_significant_change(one: int, other: int) -> bool:
    """Return whether the figures differ by 1.46 times or by 3/15 of the loss ratio."""
    _, fastest, median, loss_ratio = unpack_values(one)
    _, other_fastest, other_median, other_loss_ratio = unpack_values(other)
    return (
        abs(fastest - other_fastest) >= 2
        or abs(median - other_median) >= 2
        or abs(loss_ratio - other_loss_ratio) > 2.5 / LOSS_STEPS
    )


def _encode_varint(value: int) -> bytes:
    out = bytearray()
    while value > 127:
        out.append(value & 127 | 128)
        value >>= 7
    out.append(value)
    return bytes(out)


def encode(reports: Iterable[LinkReport], max_bytes: int = MAX_BODY_BYTES) -> tuple[bytes, int]:
    """Return a message with the first reports, as many as fit, and their number."""
    groups: dict[tuple[int, int], list[bytes]] = {}
    size = num_encoded = 0
    for report in reports:
        group = report.reporter, report.incarnation
        age_units = min(MAX_AGE_UNITS - 1, int(report.age / AGE_UNIT_SECONDS))
        row = (
            bytes((report.to_zone,))
            + _encode_varint(report.sequence)
            + _encode_varint(age_units)
            + report.packed_values.to_bytes(3, "big")
        )
        header_size = (
            0
            if group in groups
            else len(_encode_varint(group[0])) + len(_encode_varint(group[1])) + 1
        )
        if size + header_size + len(row) > max_bytes:
            break
        groups.setdefault(group, []).append(row)
        size += header_size + len(row)
        num_encoded += 1
    body = b"".join(
        _encode_varint(reporter)
        + _encode_varint(incarnation)
        + bytes((len(rows),))
        + b"".join(rows)
        for (reporter, incarnation), rows in groups.items()
    )
    return body, num_encoded


def decode(body: bytes, num_routers: int, num_zones: int) -> list[LinkReport]:
    """Return the reports of a message.

    Raises:
        ReportError: The message is malformed or a value is out of range.
    """
    if len(body) > MAX_BODY_BYTES:  # no router sends more, and decoding it would take long
        raise ReportError("the message is too long", "reports of latency")
    position = 0

    def read_byte() -> int:
        nonlocal position
        if position >= len(body):
            raise ReportError("the message is truncated", "reports of latency")
        position += 1
        return body[position - 1]

    def read_varint(bound: int) -> int:
        value = shift = 0
        while True:
            digit = read_byte()
            value |= (digit & 127) << shift
            shift += 7
            if digit < 128 and value < bound:
                return value
            if value >= bound or shift > 63 + 7:
                raise ReportError("an integer is out of range", "reports of latency")

    reports = []
    while position < len(body):
        reporter, incarnation = read_varint(num_routers), read_varint(MAX_INCARNATION)
        for _ in range(read_byte()):
            to_zone, sequence, age_units = (
                read_varint(num_zones),
                read_varint(MAX_SEQUENCE),
                read_varint(MAX_AGE_UNITS),
            )
            values = read_byte() << 16 | read_byte() << 8 | read_byte()
            if not MeasuredLinkState.WELL <= values >> 16 <= MeasuredLinkState.CUT:
                raise ReportError("a link state does not exist", "reports of latency")
            reports.append(
                LinkReport(
                    reporter, incarnation, to_zone, sequence, values, age_units * AGE_UNIT_SECONDS
                )
            )
    return reports
