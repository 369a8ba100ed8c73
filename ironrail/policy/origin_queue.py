"""The queue for the origin: requests that wait until an origin may be sent another attempt.

While no server is known all requests wait here, until the next endpoint list. A request that is
rejected or failed while it is queued could not be sent in time.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from ironrail.policy.endpoints import EndpointState
from ironrail.policy.state import PendingRequest, Server

# Mean latencies of the origin that must be left for an attempt. A fetch needs more than a write,
# because one that is abandoned midway is wasted work.
FETCH_LATENCY_FACTOR = 2.0
WRITE_LATENCY_FACTOR = 1.0
MAX_STALE_FACTOR = 2  # queue entries per pending request, above which stale ones are dropped


@dataclass(slots=True, frozen=True, order=True)
class QueueEntry:
    """An entry of the queue, ordered by priority weight, the highest first, then by age."""

    negative_priority: float
    sequence_number: int
    pending: PendingRequest = field(compare=False)


class OriginQueue:
    """A priority queue of requests; the only writer of `PendingRequest.is_queued`.

    A request that is discarded stays in the heap as a stale entry, which is skipped later.
    """

    def __init__(self) -> None:
        self._entries: list[QueueEntry] = []
        self._sequence_number = 0

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, pending: PendingRequest, pending_count: int) -> None:
        """Add a request to the queue.

        Args:
            pending: The request.
            pending_count: Pending requests of the router, which limit the size of the queue.
        """
        pending.is_queued = True
        self._sequence_number += 1
        priority = pending.request_class.priority_weight
        heapq.heappush(self._entries, QueueEntry(-priority, self._sequence_number, pending))
        if len(self._entries) > MAX_STALE_FACTOR * pending_count:
            self._entries = [entry for entry in self._entries if entry.pending.is_queued]
            heapq.heapify(self._entries)

    def pop(self) -> PendingRequest | None:
        """Remove and return the first request that still waits."""
        while self._entries:
            pending = heapq.heappop(self._entries).pending
            if pending.is_queued:
                pending.is_queued = False
                return pending
        return None

    def discard(self, pending: PendingRequest) -> None:
        """Take a request out of the queue, if it is in it."""
        pending.is_queued = False

    def clear(self, pending_requests: Iterable[PendingRequest]) -> list[PendingRequest]:
        """Empty the queue and return those of the pending requests that waited, oldest first."""
        self._entries = []
        waiting = [pending for pending in pending_requests if pending.is_queued]
        for pending in waiting:
            pending.is_queued = False
        return waiting


def available_origin(now: float, servers: Iterable[Server]) -> Server | None:
    """Return the least loaded origin if it may be sent another attempt now."""
    origins = [
        server
        for server in servers
        if not server.is_cache and server.endpoint.state is EndpointState.READY
    ]
    origin = min(origins, key=lambda server: server.in_flight, default=None)
    if origin is None or now < origin.paused_until:
        return None
    if origin.in_flight >= origin.concurrency_limit:
        return None
    return origin


def can_finish_in_time(now: float, pending: PendingRequest, origin: Server) -> bool:
    """Return whether an attempt at the origin is likely to be answered in time.

    An idle origin is tried in any case, so that its latency is measured again.
    """
    if now >= pending.give_up_at:
        return False
    if origin.in_flight == 0:
        return True
    factor = WRITE_LATENCY_FACTOR if pending.request.is_write else FETCH_LATENCY_FACTOR
    return now + factor * origin.mean_latency < pending.give_up_at
