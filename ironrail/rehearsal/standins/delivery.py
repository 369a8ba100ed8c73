"""When a change of the endpoint list counts as delivered to a router: rules on drains start there.

What a router was really sent counts from then on. Besides, where lists are pushed, a change counts
as soon as the agent has it, and from the first moment of a new router process, watch or no watch.
Where routers poll, it counts once the router has not polled for too long. A call that can no longer
be answered delays both for a while: one that was muted, or one whose answer was corrupted.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable, Iterator

from ironrail.rehearsal.standins.endpoint_list import EndpointRow
from ironrail.rehearsal.standins.world import World

# After a call was muted or its answer corrupted, until what it misses counts as delivered.
FAILED_CALL_GRACE_SECONDS = 6.0
MUTED_WATCH_GRACE_SECONDS = 2.0  # likewise after the end of a muted watch's wait, if that is later
MOVE_GRACE_SECONDS = 4.0  # after a router was told the agent's new address, where lists are pushed
# Upper bound for a router whose call failed, from when it could have got the change.
MAX_DELIVERY_SECONDS = 6.0
FAILED_CALL_FACTOR = 4.0  # a router whose call failed has this many times as long to poll
RECHECK_SECONDS = 1.0  # between checks whether a change counts as delivered
TERMINATED = "terminated"

StateChange = tuple[str, str]  # a server's id and its state


class DeliveryTracker:
    """Decides what counts as delivered to one router. Times are on the event loop's clock."""

    def __init__(
        self,
        world: World,
        router: str,
        rows: dict[str, EndpointRow],
        polled: bool,
        has_open_call: Callable[[], bool],
    ) -> None:
        """Creates the tracker.

        Args:
            world: The shared state of the run.
            router: The router's name.
            rows: The agent's list, which the agent updates in place.
            polled: Whether routers poll the list; otherwise it is pushed.
            has_open_call: Whether a call of the router is open.
        """
        self._world, self._router, self._rows = world, router, rows
        self._polled, self._has_open_call = polled, has_open_call
        self._known_servers = dict.fromkeys(rows)  # servers that the agent has ever had
        # calls that deliver nothing more, and when what they miss counts
        self._failed_calls: dict[object, float] = {}
        self._muted_calls: set[object] = set()  # those of them that sent no byte
        self._moved_at = -math.inf
        self.list_is_false = False  # the agent serves a false list: nothing that it sends counts
        self._loop = asyncio.get_running_loop()
        self._polled_at, self._has_failed = self._loop.time(), False  # the latest call

    # Calls of the router

    def router_started(self) -> None:
        """A new process has started: it knows nothing of the calls of the one before it."""
        self._polled_at, self._has_failed = self._loop.time(), False
        self._failed_calls.clear()
        self._muted_calls.clear()
        self._moved_at = -math.inf
        self.true_list_returned()

    def call_ended(self, answered: bool) -> None:
        """A call has left the queue, answered or refused."""
        self._polled_at, self._has_failed = self._loop.time(), not answered

    def agent_moved(self) -> None:
        """The router is told a new address of the agent; it counts as polling until now."""
        self._moved_at = self._polled_at = self._loop.time()

    def call_muted(self, call: object, waits_until: float) -> None:
        """A call that may wait until then is never answered."""
        self._muted_calls.add(call)
        counts_at = self._failed_calls[call] = max(
            self._loop.time() + FAILED_CALL_GRACE_SECONDS, waits_until + MUTED_WATCH_GRACE_SECONDS
        )
        if self._polled:  # what it would have delivered
            self._loop.call_at(counts_at, self._deliver_all, list(self._undelivered()))

    def discovery_returned(self) -> None:
        """The list is reachable again: a polling router could not be answered until now."""
        if self._polled:
            self.call_ended(False)

    def call_closed(self, call: object, was_watching: bool) -> None:
        """A call's connection is closed. An open watch or a muted call fails only now."""
        self._failed_calls.pop(call, None)
        if was_watching or call in self._muted_calls:
            self._muted_calls.discard(call)
            self.call_ended(False)

    # Answers to the router

    def answered(self, call: object, rows: list[EndpointRow], full: bool) -> None:
        """A call was answered with these rows; `full`: they are the whole list."""
        self.call_ended(True)
        self._failed_calls.pop(call, None)
        if self.list_is_false:
            return
        now, record_delivery = self._world.now(), self._world.record.add_state_notice
        for row in rows:
            record_delivery(self._router, row.id, row.state, now, row.started_ms)
        if full:
            self._deliver_all(self._removed({row.id for row in rows}))

    def answer_corrupted(self, call: object, rows: list[EndpointRow], full: bool, stops_short: bool) -> None:
        """An answer with these rows was corrupted: they count all the same, after a grace period.

        `stops_short`: the answer ended midway, and its connection stays open.
        """
        self.call_ended(True)
        if stops_short:  # this call delivers nothing more
            self._failed_calls[call] = self._loop.time() + FAILED_CALL_GRACE_SECONDS
        if self.list_is_false:
            return
        changes = [(row.id, row.state) for row in rows]
        if full:
            changes += self._removed({row.id for row in rows})
        self._loop.call_later(FAILED_CALL_GRACE_SECONDS, self._deliver_all, changes)

    # Changes at the agent

    def change_applied(self, row: EndpointRow, any_corrupted: bool) -> None:
        """The agent has a change and has answered its watches.

        `any_corrupted`: whether any of these answers was corrupted.
        """
        self._known_servers[row.id] = None
        self._schedule_delivery((row.id, row.state), FAILED_CALL_GRACE_SECONDS if any_corrupted else 0.0)

    def true_list_returned(self) -> None:
        """The agent has the true list, which the router may not know."""
        for change in list(self._undelivered()):
            self._schedule_delivery(change, 0.0)

    def _schedule_delivery(self, change: StateChange, delay: float) -> None:
        now = self._loop.time()
        if self._polled:
            if self._failed_calls:
                self._loop.call_at(max(now, *self._failed_calls.values()), self._deliver, change)
            self._check_polling(change, now + MAX_DELIVERY_SECONDS)
            return
        due_at = max(now + delay, self._moved_at + MOVE_GRACE_SECONDS, *self._failed_calls.values())
        if due_at > now:
            self._loop.call_at(due_at, self._deliver, change)
        else:
            self._deliver(change)

    def _check_polling(self, change: StateChange, latest_at: float) -> None:
        """Counts a change as delivered once a polling router has not polled for too long.

        After a failed call it counts at `latest_at` at the latest, however long the router may
        take to poll.
        """
        if not self._is_undelivered(change):
            return
        allowed = self._world.scenario.registry.must_ask * (FAILED_CALL_FACTOR if self._has_failed else 1.0)
        left = self._polled_at + allowed - self._loop.time()
        if self._failed_calls or self._has_open_call():
            left = max(left, RECHECK_SECONDS)
        if self._has_failed and not self._failed_calls:
            left = min(left, latest_at - self._loop.time())
        if left > 0:
            self._loop.call_later(min(left, RECHECK_SECONDS), self._check_polling, change, latest_at)
        else:
            self._deliver(change)

    def _deliver_all(self, changes: Iterable[StateChange]) -> None:
        for change in changes:
            self._deliver(change)

    def _deliver(self, change: StateChange) -> None:
        """Records a change as delivered, unless it is outdated or the agent serves a false list."""
        if not self.list_is_false and self._is_undelivered(change):
            row = self._rows.get(change[0])
            started = row.started_ms if row is not None else 0
            self._world.record.add_state_notice(self._router, *change, self._world.now(), started)

    def _is_undelivered(self, change: StateChange) -> bool:
        """Whether the agent's list agrees with the change, and the router doesn't know it yet."""
        server, state = change
        row, known = self._rows.get(server), self._world.record.state_notices.get((self._router, server))
        if state != (row.state if row is not None else TERMINATED):
            return False
        if not known or known[-1].state != state:
            return True
        return (
            row is not None and self._world.record.known_starts.get((self._router, server)) != row.started_ms
        )

    def _undelivered(self) -> Iterator[StateChange]:
        """What the agent's list holds and the router doesn't know."""
        rows = self._rows
        listed = [(row.id, row.state) for row in rows.values()]
        return filter(self._is_undelivered, [*listed, *self._removed(rows.keys())])

    def _removed(self, listed: Iterable[str]) -> list[StateChange]:
        """Servers that the router was told of, and that the whole list no longer has."""
        told = self._world.record.state_notices
        return [
            (server, TERMINATED)
            for server in self._known_servers
            if server not in listed and (self._router, server) in told
        ]
