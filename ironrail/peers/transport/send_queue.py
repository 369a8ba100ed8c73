"""The send queue: one rate limit for all that a router sends, however many its peers are.

There are two token buckets. A message that fits the burst is paid from the first one, in order of
priority. A message that costs more than the burst, as one to `ALL_PEERS` with many routers,
accumulates tokens in the second one, from half of the rate, while the other messages go on.
Messages are sealed when they leave the queue: one that was sealed earlier would be too old for its
receivers' replay windows.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from ironrail.peers.messages import ALL_PEERS, Outgoing, Priority
from ironrail.peers.transport.datagram_format import MAX_BODY_BYTES, sealed_size
from ironrail.peers.transport.errors import RateLimitError, UnsendableError

DEFAULT_BYTES_PER_SECOND = 2000.0  # of datagrams without IP and UDP headers, 28 bytes each
DEFAULT_BURST_BYTES = 4096.0  # two seconds' worth, and enough for the longest body
MIN_BYTES_PER_SECOND = 100.0  # below it, a challenge and its response take a second
MAX_QUEUED_BYTES = 64 * 1024  # of bodies: one that has waited over half a minute is of no use
MAX_QUEUED_MESSAGES = 2048  # two for each of 1000 routers
# Bytes of the burst that each priority leaves to the higher ones.
RESERVED_BYTES = {
    Priority.VOTE: 0.0,
    Priority.LEASE: 256.0,
    Priority.STATE: 512.0,
    Priority.GOSSIP: 1024.0,
}
ROUNDING_BYTES = 1e-6  # that may be missing because of floating-point rounding

SealedDatagram = tuple[int, bytes]  # receiver's index or ALL_PEERS, datagram
QueueKey = tuple[int, int, bytes] | int


@dataclass(frozen=True, slots=True)
class _QueuedMessage:
    message: Outgoing
    cost_bytes: float


MessageQueue = dict[QueueKey, _QueuedMessage]


class SendQueue:
    """Queues messages until the rate limit admits them.

    Attributes:
        dropped: Messages dropped because the queue was full or they can't be sent, by priority.
        replaced: Messages replaced by newer ones, by priority.
        sent_bytes: Bytes sent, as counted against the rate limit.
    """

    def __init__(
        self,
        seal: Callable[[Outgoing], list[SealedDatagram]],
        num_peers: int,
        bytes_per_second: float = DEFAULT_BYTES_PER_SECOND,
        burst_bytes: float = DEFAULT_BURST_BYTES,
        now: float = 0.0,
    ) -> None:
        """Create an empty queue with a full burst.

        Args:
            seal: Returns the datagrams of a message.
            num_peers: How many times a message to `ALL_PEERS` is counted.
            bytes_per_second: The rate limit.
            burst_bytes: Bytes that may be sent at once.
            now: The time, in seconds.

        Raises:
            RateLimitError: The longest message could not be sent.
        """
        if bytes_per_second < MIN_BYTES_PER_SECOND or burst_bytes < sealed_size(MAX_BODY_BYTES):
            raise RateLimitError(
                f"{bytes_per_second:g} bytes a second and {burst_bytes:g} at once are too few",
                "peers",
            )
        self._seal, self._num_peers, self._bytes_per_second, self._burst_bytes = (
            seal,
            num_peers,
            bytes_per_second,
            burst_bytes,
        )
        self._tokens, self._large_tokens, self._refilled_at = burst_bytes, 0.0, now
        self._queues: dict[Priority, MessageQueue] = {priority: {} for priority in Priority}
        # of messages that cost more than the burst
        self._large_queues: dict[Priority, MessageQueue] = {priority: {} for priority in Priority}
        self._queued_bytes = self._queued_messages = self._last_id = 0
        self.dropped = dict.fromkeys(Priority, 0)
        self.replaced = dict.fromkeys(Priority, 0)
        self.sent_bytes = 0

    def enqueue(self, now: float, message: Outgoing) -> None:
        """Queue a message.

        Of `Priority.GOSSIP` only the newest of one (to, topic, first byte of the body) is kept.
        """
        self._refill(now)
        cost_bytes = sealed_size(len(message.body)) * (
            self._num_peers if message.to == ALL_PEERS else 1
        )
        if len(message.body) > MAX_BODY_BYTES:
            self.dropped[message.priority] += 1
            return
        self._last_id += 1
        key: QueueKey = self._last_id
        queue = (self._large_queues if cost_bytes > self._burst_bytes else self._queues)[
            message.priority
        ]
        if message.priority is Priority.GOSSIP:
            key = (message.to, message.topic, message.body[:1])
            for queues in (self._large_queues, self._queues):
                if (older := queues[message.priority].get(key)) is not None:
                    self.replaced[message.priority] += 1
                    self._uncount(older)
                    if queues[message.priority] is not queue:
                        del queues[message.priority][key]
        queue[key] = _QueuedMessage(message, cost_bytes)
        self._queued_bytes += len(message.body)
        self._queued_messages += 1
        while self._queued_bytes > MAX_QUEUED_BYTES or self._queued_messages > MAX_QUEUED_MESSAGES:
            self._drop_one()

    def take_sendable(self, now: float) -> list[SealedDatagram]:
        """Remove the messages that the rate limit admits now, and return their datagrams."""
        self._refill(now)
        datagrams: list[SealedDatagram] = []
        while (first := self._first(self._queues)) is not None:
            queue, key, queued = first
            if self._missing_tokens(queued) > ROUNDING_BYTES:
                break
            self._tokens -= queued.cost_bytes
            datagrams += self._remove_and_seal(queue, key, queued)
        while (first := self._first(self._large_queues)) is not None and first[
            2
        ].cost_bytes <= self._large_tokens + ROUNDING_BYTES:
            self._large_tokens -= first[2].cost_bytes
            datagrams += self._remove_and_seal(*first)
        if first is None:  # no large message is left to accumulate tokens for
            self._tokens, self._large_tokens = (
                min(self._burst_bytes, self._tokens + max(0.0, self._large_tokens)),
                0.0,
            )
        return datagrams

    def next_timer_at(self) -> float:
        """Return when the next message can be sent; infinite while the queue is empty."""
        at = math.inf
        large, first = self._first(self._large_queues), self._first(self._queues)
        rate = self._bytes_per_second / 2 if large else self._bytes_per_second
        if first is not None:
            at = self._refilled_at + max(0.0, self._missing_tokens(first[2])) / rate
        if large is not None:
            # until the first bucket is full each one gets half of the rate
            full_in = (self._burst_bytes - self._tokens) / rate
            missing = max(0.0, large[2].cost_bytes - self._large_tokens)
            until_full = min(missing, full_in * rate)
            at = min(
                at,
                self._refilled_at
                + until_full / rate
                + (missing - until_full) / self._bytes_per_second,
            )
        return at

    def _refill(self, now: float) -> None:
        gained, self._refilled_at = (
            max(0.0, now - self._refilled_at) * self._bytes_per_second,
            max(now, self._refilled_at),
        )
        if (large := self._first(self._large_queues)) is None:
            self._tokens = min(self._burst_bytes, self._tokens + gained)
            return
        share = min(gained / 2, self._burst_bytes - self._tokens)
        self._tokens += share
        self._large_tokens = min(self._large_tokens + gained - share, large[2].cost_bytes)

    def _missing_tokens(self, queued: _QueuedMessage) -> float:
        reserved = min(
            RESERVED_BYTES[queued.message.priority], self._burst_bytes - queued.cost_bytes
        )
        return queued.cost_bytes + reserved - self._tokens

    def _remove_and_seal(
        self, queue: MessageQueue, key: QueueKey, queued: _QueuedMessage
    ) -> list[SealedDatagram]:
        del queue[key]
        self._uncount(queued)
        try:
            datagrams = self._seal(queued.message)
        except UnsendableError:  # a defect of one protocol must not stop the others' messages
            self.dropped[queued.message.priority] += 1
            return []
        self.sent_bytes += int(queued.cost_bytes)
        return datagrams

    def _uncount(self, queued: _QueuedMessage) -> None:
        self._queued_bytes -= len(queued.message.body)
        self._queued_messages -= 1

    def _drop_one(self) -> None:
        """Drop the oldest message of the lowest priority: newer ones supersede it."""
        for priority in reversed(Priority):
            for queue in (self._large_queues[priority], self._queues[priority]):
                if queue:
                    self._uncount(queue.pop(next(iter(queue))))
                    self.dropped[priority] += 1
                    return

    @staticmethod
    def _first(
        queues: dict[Priority, MessageQueue],
    ) -> tuple[MessageQueue, QueueKey, _QueuedMessage] | None:
        for queue in queues.values():
            for key, queued in queue.items():
                return queue, key, queued
        return None
