"""The types that the protocols of `ironrail/peers/` and their driver share.

A router is known by its number among all routers (`settings.me`, the place of its address in `peers`), a hall
by its name. Times are seconds on the router's own clock, which only advances and is no other router's.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol, runtime_checkable

MOST_DATAGRAM = 256  # bytes, as the protocol page has it
MOST_ROUTERS = 1000
MOST_HALLS = 64
ALL = -1  # in place of a router's number: every router of the tier


class Topic(IntEnum):
    """Which protocol a message belongs to; its number on the wire."""

    TRANSPORT = 0  # the transport's own: hellos, echoes
    CONSENSUS = 1
    ZONE_LATENCY = 2
    STEERING = 3


class Priority(IntEnum):
    """The order of sending when more is queued than the rate limit admits; the last is dropped first."""

    VOTE = 0  # promises, votes, decisions
    LEASE = 1  # renewals and their answers
    STATE = 2  # somebody is behind and asks
    GOSSIP = 3


@dataclass(frozen=True, slots=True)
class Outgoing:
    """To be sent, complete or not at all: `to` is a router's number, or ALL at the cost of one each."""

    to: int
    topic: Topic
    body: bytes
    priority: Priority = Priority.GOSSIP


@dataclass(frozen=True, slots=True)
class Received:
    """Received complete and authenticated from the current process of a router.

    `start` is the incarnation of that process: another one for the same sender is another process without its
    memory; a process that was replaced is never heard again.
    """

    sender: int
    start: int
    body: bytes


@dataclass(frozen=True, slots=True)
class WakeAt:
    """The protocol is to be called again at this time at the latest."""

    at: float


class PeerProtocol(Protocol):
    """The interface of each protocol to its driver. It never blocks, and raises on no message."""

    topic: Topic

    def on_message(self, now: float, heard: Received) -> None:
        """Handle a message. One that can't be used is counted and dropped."""

    def on_timer(self, now: float) -> None:
        """Handle the timer: time has passed."""

    def take_outgoing(self) -> list[Outgoing]:
        """Return what is to be sent, once; called after each message and timer."""

    def next_timer_at(self) -> float:
        """Return when the timer is due; infinite for never."""


@runtime_checkable
class Timestamped(Protocol):
    """A protocol whose messages carry the time of sending, unknown until they leave the send queue."""

    def with_timestamp(self, now: float, say: Outgoing) -> Outgoing:
        """Return the message with the time of sending filled in; of the same length."""
