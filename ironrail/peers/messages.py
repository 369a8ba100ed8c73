"""The types that the protocols of `ironrail/peers/` and their driver share.

A router is identified by its index among all routers (`settings.me`, the position of its address
in `peers`), a zone by its name. Times are seconds on the router's own monotonic clock, which is
not comparable with the clocks of other routers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol, runtime_checkable

MAX_DATAGRAM_BYTES = 256  # without IP and UDP headers, as the protocol's specification has it
MAX_ROUTERS = 1000
MAX_ZONES = 64
ALL_PEERS = -1  # in place of a router's index: every other router


class Topic(IntEnum):
    """Which protocol a message belongs to; its number on the wire."""

    TRANSPORT = 0  # the transport's own handshakes
    CONSENSUS = 1
    ZONE_LATENCY = 2
    STEERING = 3


class Priority(IntEnum):
    """The order of sending when the rate limit delays messages; the last is dropped first."""

    VOTE = 0  # promises, votes, decisions
    LEASE = 1  # lease renewals and their replies
    STATE = 2  # queries of a router whose state is out of date
    GOSSIP = 3


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to send, delivered complete or not at all.

    Attributes:
        to: The receiver's index, or `ALL_PEERS`, which costs as many bytes as one message to each.
        topic: The protocol it belongs to.
        body: The encoded message.
        priority: Its place in the order of sending.
    """

    to: int
    topic: Topic
    body: bytes
    priority: Priority = Priority.GOSSIP


@dataclass(frozen=True, slots=True)
class Received:
    """A message received complete and authenticated from the current process of a router.

    Attributes:
        sender: The sender's index.
        incarnation: Identifies the sender's process. Another incarnation of the same sender is
            another process without its memory; messages of a replaced process are no longer
            received.
        body: The encoded message.
    """

    sender: int
    incarnation: int
    body: bytes


@dataclass(frozen=True, slots=True)
class WakeAt:
    """A request to call the protocol again at this time at the latest."""

    at: float


class PeerProtocol(Protocol):
    """The interface of each protocol to its driver. It never blocks, and raises on no message."""

    topic: Topic

    def on_message(self, now: float, received: Received) -> None:
        """Handle a message. One that can't be used is counted and dropped."""

    def on_timer(self, now: float) -> None:
        """Handle the timer: time has passed."""

    def take_outgoing(self) -> list[Outgoing]:
        """Return and forget the messages to send; called after each message and timer."""

    def next_timer_at(self) -> float:
        """Return when the timer is due; infinite for never."""


@runtime_checkable
class Timestamped(Protocol):
    """A protocol whose messages carry the time at which they leave the send queue."""

    def with_timestamp(self, now: float, outgoing: Outgoing) -> Outgoing:
        """Return the message with the time of sending filled in; of the same length."""
