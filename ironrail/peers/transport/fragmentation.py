"""Splits bodies that need more than one datagram, and reassembles them within a memory limit.

The fragments of a body have consecutive sequence numbers, so the first one's identifies the body.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ironrail.peers.messages import Topic
from ironrail.peers.transport.datagram_format import (
    MAX_FRAGMENT_BODY_BYTES,
    MAX_FRAGMENTS,
    MAX_SINGLE_BODY_BYTES,
)

MAX_AGE_SECONDS = 5.0  # of an incomplete body: its fragments are sent together
MAX_BODIES_PER_SENDER = 2  # incomplete ones; a router sends one body after the other
MAX_MEMORY_BYTES = 256 * 1024  # of incomplete bodies of all senders
# Memory beside the bytes of the fragments.
BODY_OVERHEAD_BYTES, FRAGMENT_OVERHEAD_BYTES = 900, 40

BodyId = tuple[int, int, int, int]  # sender, first sequence number, number of fragments, topic


def split_body(body: bytes) -> list[bytes]:
    """Return the body in one part, or its fragments, each with a fragment header."""
    if len(body) <= MAX_SINGLE_BODY_BYTES:
        return [body]
    parts = [
        body[at : at + MAX_FRAGMENT_BODY_BYTES]
        for at in range(0, len(body), MAX_FRAGMENT_BODY_BYTES)
    ]
    return [bytes((index, len(parts))) + part for index, part in enumerate(parts)]


@dataclass(slots=True, eq=False)
class _IncompleteBody:
    started_at: float
    fragments: dict[int, bytes] = field(default_factory=dict)
    memory_bytes: int = BODY_OVERHEAD_BYTES


class Reassembly:
    """Reassembles bodies from their fragments.

    Attributes:
        memory_bytes: Estimated memory of the incomplete bodies.
        expired: Incomplete bodies dropped for their age.
        evicted: Incomplete bodies dropped to make space for others.
    """

    def __init__(self, max_memory_bytes: int = MAX_MEMORY_BYTES) -> None:
        """Create an empty reassembly that uses at most so much memory."""
        self._bodies: dict[BodyId, _IncompleteBody] = {}  # the oldest first
        self._bodies_per_sender: dict[int, int] = {}
        self._max_memory_bytes = max_memory_bytes
        self.memory_bytes = 0
        self.expired = self.evicted = 0

    def add_fragment(
        self, now: float, sender: int, sequence: int, topic: Topic, data: bytes
    ) -> bytes | None:
        """Add a fragment.

        Args:
            now: The time, in seconds.
            sender: The sender's index.
            sequence: The sequence number of the fragment's datagram.
            topic: The topic of the datagram.
            data: The fragment with its fragment header.

        Returns:
            The whole body if this was the last missing fragment, otherwise None.

        Raises:
            ValueError: The data is not a valid fragment.
        """
        if len(data) < 3:
            raise ValueError("fragment is too short")
        index, count = data[0], data[1]
        if not (2 <= count <= MAX_FRAGMENTS and index < count and index <= sequence):
            raise ValueError("fragment header is invalid")
        self.drop_expired(now)
        body_id = (sender, sequence - index, count, topic)
        if (body := self._bodies.get(body_id) or self._start_body(now, body_id)) is None:
            return None
        body.fragments[index] = data[2:]
        self._charge(body, len(data) + FRAGMENT_OVERHEAD_BYTES)
        if len(body.fragments) == count:
            self._drop(body_id)
            return b"".join(body.fragments[i] for i in range(count))
        while self.memory_bytes > self._max_memory_bytes:
            self._drop(next(iter(self._bodies)))
            self.evicted += 1
        return None

    def drop_expired(self, now: float) -> None:
        """Drop incomplete bodies older than `MAX_AGE_SECONDS`."""
        while self._bodies:
            body_id, body = next(iter(self._bodies.items()))
            if now < body.started_at + MAX_AGE_SECONDS:
                return
            self._drop(body_id)
            self.expired += 1

    def drop_sender(self, sender: int) -> None:
        """Drop the incomplete bodies of a replaced process, as they will never be completed."""
        for body_id in (
            [body_id for body_id in self._bodies if body_id[0] == sender]
            if sender in self._bodies_per_sender
            else ()
        ):
            self._drop(body_id)

    def next_timer_at(self) -> float:
        """Return when the oldest incomplete body expires; infinite if there is none."""
        return next((body.started_at + MAX_AGE_SECONDS for body in self._bodies.values()), math.inf)

    def _start_body(self, now: float, body_id: BodyId) -> _IncompleteBody | None:
        """Return a new incomplete body.

        None if the sender has enough later ones: a delayed fragment must not evict those.
        """
        if self._bodies_per_sender.get(body_id[0], 0) >= MAX_BODIES_PER_SENDER:
            self.evicted += 1
            oldest = min(other for other in self._bodies if other[0] == body_id[0])
            if oldest > body_id:
                return None
            self._drop(oldest)
        body = self._bodies[body_id] = _IncompleteBody(now)
        self._bodies_per_sender[body_id[0]] = self._bodies_per_sender.get(body_id[0], 0) + 1
        self.memory_bytes += BODY_OVERHEAD_BYTES
        return body

    def _charge(self, body: _IncompleteBody, memory_bytes: int) -> None:
        body.memory_bytes += memory_bytes
        self.memory_bytes += memory_bytes

    def _drop(self, body_id: BodyId) -> None:
        self.memory_bytes -= self._bodies.pop(body_id).memory_bytes
        self._bodies_per_sender[body_id[0]] -= 1
        if not self._bodies_per_sender[body_id[0]]:
            del self._bodies_per_sender[body_id[0]]
