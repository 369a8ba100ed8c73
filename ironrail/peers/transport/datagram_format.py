"""The header of a datagram: how it is written and read. Bytes and what they tell: `docs/peers/wire.md`.

Big-endian. Nothing is judged here but what can't be a header of this version at all.
"""

from __future__ import annotations

from struct import Struct
from typing import NamedTuple

from ironrail.peers.messages import MAX_DATAGRAM_BYTES

VERSION = 1  # of 0 to 7; another layout is another version
START_BYTES = 6  # two lives of one router draw the same number once in 2**48 pairs
SEQUENCE_BYTES = 5  # 2**40 datagrams: 300 years at 100 a second
MAC_BYTES = 8  # a forger guesses online only, and few a second: see FAILS in `wire.py`
HEAD_BYTES = 4 + START_BYTES + SEQUENCE_BYTES
PIECE_BYTES = 2  # which piece, of how many
LEAST_DATAGRAM = HEAD_BYTES + MAC_BYTES
MOST_STARTS = 1 << 8 * START_BYTES
ROOM = MAX_DATAGRAM_BYTES - LEAST_DATAGRAM  # for a body in one datagram
PIECE_ROOM = ROOM - PIECE_BYTES
MOST_PIECES = 16  # with a tenth of datagrams lost, more would hardly ever come whole
MOST_BODY = MOST_PIECES * PIECE_ROOM

_HEAD = Struct(">BBHHIBI")  # start and sequence in halves
_TO_ALL, _PIECE, _TOPIC = 0x10, 0x08, 0x07
_LOW = 0xFFFF_FFFF


class Head(NamedTuple):
    """What stands before a body."""

    to_all: bool
    piece: bool  # two bytes more follow
    topic: int
    key: int
    sender: int
    start: int
    sequence: int


def write_head(
    to_all: bool, piece: bool, topic: int, key: int, sender: int, start: int, sequence: int
) -> bytes:
    """The first 15 bytes of a datagram of this version."""
    first = VERSION << 5 | (_TO_ALL if to_all else 0) | (_PIECE if piece else 0) | topic
    return _HEAD.pack(first, key, sender, start >> 32, start & _LOW, sequence >> 32, sequence & _LOW)


def read_head(datagram: bytes) -> Head:
    """The header of a datagram of at least 15 bytes; the version, its first three bits, is judged before."""
    first, key, sender, start, start_low, sequence, sequence_low = _HEAD.unpack_from(datagram)
    return Head(
        bool(first & _TO_ALL),
        bool(first & _PIECE),
        first & _TOPIC,
        key,
        sender,
        start << 32 | start_low,
        sequence << 32 | sequence_low,
    )


def count_pieces(size: int) -> int:
    """How many datagrams a body of so many bytes takes."""
    return 1 if size <= ROOM else -(-size // PIECE_ROOM)


def sealed_size(size: int) -> int:
    """Bytes of all datagrams, without IP and UDP, that carry a body of so many bytes."""
    if size <= ROOM:
        return size + LEAST_DATAGRAM
    return size + count_pieces(size) * (LEAST_DATAGRAM + PIECE_BYTES)
