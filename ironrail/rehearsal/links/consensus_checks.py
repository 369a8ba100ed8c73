"""What an observer outside saw routers decide by, and whether the promise of accords held. Pure."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from ironrail.peers.consensus import messages as m
from ironrail.peers.messages import Topic
from ironrail.peers.transport.datagram_format import (
    HEADER_BYTES,
    MAC_BYTES,
    MIN_DATAGRAM_BYTES,
    decode_header,
)


@dataclass(frozen=True, slots=True)
class Decides:
    """What a router decided by at some moment between the two."""

    router: str
    asked: float  # seconds, by the observer's one clock
    told: float
    versions: tuple[int, ...]


Pairs = list[tuple[Decides, Decides]]


def mixed(seen: Sequence[Decides]) -> Pairs:
    """Decisions by an old policy surely after one by a newer policy alone: there must be none.

    Versions only grow. What goes together holds all versions of the other.
    """
    return _after(seen, lambda new, old: len(new) == 1 and new[0] > max(old))


def apart(seen: Sequence[Decides]) -> Pairs:
    """Decisions surely after newer ones that they have no common state with: joint states count too."""
    return _after(seen, lambda new, old: max(new) > max(old) and not (set(old) <= set(new)))


def _after(seen: Sequence[Decides], against: Callable[[tuple[int, ...], tuple[int, ...]], bool]) -> Pairs:
    first: dict[tuple[int, ...], Decides] = {}  # by versions: the earliest such decision that was told
    for one in sorted(seen, key=lambda d: d.told):
        first.setdefault(one.versions, one)
    return [(new, one) for one in seen for new in first.values() if _later(new, one, against)]


def _later(new: Decides, one: Decides, against: Callable[[tuple[int, ...], tuple[int, ...]], bool]) -> bool:
    return new.told <= one.asked and against(new.versions, one.versions)


def spoken(datagram: bytes) -> m.Message | None:
    """What a datagram says about accords, its MAC not looked at; None for anything else, and for pieces."""
    if len(datagram) < MIN_DATAGRAM_BYTES:
        return None
    head = decode_header(datagram)
    if head.topic != Topic.CONSENSUS or head.is_fragment:
        return None
    try:
        return m.decode(datagram[HEADER_BYTES:-MAC_BYTES])
    except msgspec.MsgspecError:
        return None
