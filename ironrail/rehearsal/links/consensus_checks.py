"""Checks observed decisions of routers against the consensus guarantees. Does no I/O."""

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
class ObservedDecision:
    """The policy versions that a router decided by at some moment between `asked_at` and `answered_at`."""

    router: str
    asked_at: float  # seconds by the observer's clock, the same for all routers
    answered_at: float
    versions: tuple[int, ...]


DecisionPairs = list[tuple[ObservedDecision, ObservedDecision]]


def find_mixed(seen: Sequence[ObservedDecision]) -> DecisionPairs:
    """Returns decisions by an old policy that surely came after one by a newer policy alone.

    There must be none. Versions only grow.
    """
    return _after(seen, lambda new, old: len(new) == 1 and new[0] > max(old))


def find_incompatible(seen: Sequence[ObservedDecision]) -> DecisionPairs:
    """Returns decisions that surely came after a newer one which does not include all their versions.

    Unlike `find_mixed` it also covers newer decisions by a joint state.
    """
    return _after(seen, lambda new, old: max(new) > max(old) and not (set(old) <= set(new)))


def _after(
    seen: Sequence[ObservedDecision], contradicts: Callable[[tuple[int, ...], tuple[int, ...]], bool]
) -> DecisionPairs:
    first: dict[tuple[int, ...], ObservedDecision] = {}  # by versions: the decision that was answered first
    for one in sorted(seen, key=lambda d: d.answered_at):
        first.setdefault(one.versions, one)
    return [(new, one) for one in seen for new in first.values() if _later(new, one, contradicts)]


def _later(
    new: ObservedDecision,
    one: ObservedDecision,
    contradicts: Callable[[tuple[int, ...], tuple[int, ...]], bool],
) -> bool:
    return new.answered_at <= one.asked_at and contradicts(new.versions, one.versions)


def decode_consensus_message(datagram: bytes) -> m.Message | None:
    """Decodes the consensus message of a datagram without checking its MAC; None if it has no whole one."""
    if len(datagram) < MIN_DATAGRAM_BYTES:
        return None
    head = decode_header(datagram)
    if head.topic != Topic.CONSENSUS or head.is_fragment:
        return None
    try:
        return m.decode(datagram[HEADER_BYTES:-MAC_BYTES])
    except msgspec.MsgspecError:
        return None
