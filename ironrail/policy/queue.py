"""Requests that wait for a place at the origin: worth first, or writes wait behind misses; then age."""

from __future__ import annotations

import heapq

from ironrail.policy import interface as api
from ironrail.policy.state import Held, Server

FETCH_ROOM = 2.0  # times the usual latency that must be left: a fetch given up midway is not even stored


class Queue:
    """What waits, and when the origin may be sent the first of it."""

    def __init__(self) -> None:
        self._waiting: list[tuple[float, int, Held]] = []
        self._added = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, held: Held, most: int) -> None:
        """Let a request wait; `most` requests are held at all."""
        held.waiting = True
        self._added += 1
        heapq.heappush(self._waiting, (-held.request_class.worth, self._added, held))
        # guards against requests long ended piling up behind those of more worth
        if len(self._waiting) > 2 * most:
            self._waiting = [q for q in self._waiting if q[2].waiting]
            heapq.heapify(self._waiting)

    def clear(self) -> None:
        """Whatever waits is looked at anew."""
        self._waiting = []

    def take(self, now: float, servers: dict[str, Server]) -> tuple[Held, Server] | None:
        """The next request, and the least loaded origin, where that may be sent to."""
        while self._waiting:
            origins = [s for s in servers.values() if not s.cache and s.entry.state is api.State.READY]
            origin = min(origins, key=lambda s: s.load, default=None)
            if origin is None or origin.load >= origin.limit or now < origin.rest_until:
                return None
            held = heapq.heappop(self._waiting)[2]
            if held.waiting:
                held.waiting = False
                return held, origin
        return None


def in_time(now: float, held: Held, origin: Server) -> bool:
    """No fetch that can't be back in time, but for one to learn by; writes store nothing."""
    room = 1.0 if held.request.write else FETCH_ROOM
    return (origin.load == 0 or now + room * origin.latency < held.until) and now < held.until
