"""The header of a datagram: how it is encoded and decoded, and how many bytes of a body fit.

All numbers are big-endian. The fields are specified in `docs/peers/wire.md`. Decoding validates
nothing.
"""

from __future__ import annotations

from struct import Struct
from typing import NamedTuple

from ironrail.peers.messages import MAX_DATAGRAM_BYTES

VERSION = 1  # 0 to 7; a different format has a different version
INCARNATION_BYTES = 6  # two incarnations of a router collide once in 2**48 pairs
SEQUENCE_BYTES = 5  # 2**40 datagrams: 300 years at 100 per second
# A forger can only guess online, a few times per second: see MAX_FAILED_MACS_PER_SECOND in
# `datagram_codec.py`.
MAC_BYTES = 8
HEADER_BYTES = 4 + INCARNATION_BYTES + SEQUENCE_BYTES
FRAGMENT_HEADER_BYTES = 2  # index of the fragment, number of fragments
MIN_DATAGRAM_BYTES = HEADER_BYTES + MAC_BYTES
NUM_INCARNATIONS = 1 << 8 * INCARNATION_BYTES
MAX_SINGLE_BODY_BYTES = MAX_DATAGRAM_BYTES - MIN_DATAGRAM_BYTES  # body that needs no fragmentation
MAX_FRAGMENT_BODY_BYTES = MAX_SINGLE_BODY_BYTES - FRAGMENT_HEADER_BYTES
MAX_FRAGMENTS = 16  # at 10% packet loss a body of more would hardly ever arrive complete
MAX_BODY_BYTES = MAX_FRAGMENTS * MAX_FRAGMENT_BODY_BYTES

_HEADER = Struct(">BBHHIBI")  # incarnation and sequence as high and low part
_TO_ALL_FLAG, _FRAGMENT_FLAG, _TOPIC_MASK = 0x10, 0x08, 0x07
_LOW_MASK = 0xFFFF_FFFF


class Header(NamedTuple):
    """The fields before the body.

    Attributes:
        to_all: Whether the datagram is for all routers.
        is_fragment: Whether a fragment header of two bytes follows.
        topic: The protocol it belongs to, as on the wire.
        key_id: Id of the key of its MAC.
        sender: The sender's index.
        incarnation: Identifies the sender's process.
        sequence: Counts the datagrams of the sender's process.
    """

    to_all: bool
    is_fragment: bool
    topic: int
    key_id: int
    sender: int
    incarnation: int
    sequence: int


def encode_header(
    to_all: bool,
    is_fragment: bool,
    topic: int,
    key_id: int,
    sender: int,
    incarnation: int,
    sequence: int,
) -> bytes:
    """Return the first `HEADER_BYTES` of a datagram of this version."""
    first = (
        VERSION << 5
        | (_TO_ALL_FLAG if to_all else 0)
        | (_FRAGMENT_FLAG if is_fragment else 0)
        | topic
    )
    return _HEADER.pack(
        first,
        key_id,
        sender,
        incarnation >> 32,
        incarnation & _LOW_MASK,
        sequence >> 32,
        sequence & _LOW_MASK,
    )


def decode_header(datagram: bytes) -> Header:
    """Return the header of a datagram of at least `HEADER_BYTES`.

    The caller has checked the version, in the first three bits.
    """
    first, key_id, sender, incarnation, incarnation_low, sequence, sequence_low = (
        _HEADER.unpack_from(datagram)
    )
    return Header(
        bool(first & _TO_ALL_FLAG),
        bool(first & _FRAGMENT_FLAG),
        first & _TOPIC_MASK,
        key_id,
        sender,
        incarnation << 32 | incarnation_low,
        sequence << 32 | sequence_low,
    )


def count_fragments(body_bytes: int) -> int:
    """Return how many datagrams a body of this size takes."""
    return 1 if body_bytes <= MAX_SINGLE_BODY_BYTES else -(-body_bytes // MAX_FRAGMENT_BODY_BYTES)


def sealed_size(body_bytes: int) -> int:
    """Return the bytes of all datagrams of a body of this size, without IP and UDP headers."""
    if body_bytes <= MAX_SINGLE_BODY_BYTES:
        return body_bytes + MIN_DATAGRAM_BYTES
    return body_bytes + count_fragments(body_bytes) * (MIN_DATAGRAM_BYTES + FRAGMENT_HEADER_BYTES)
