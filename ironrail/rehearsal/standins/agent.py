"""The discovery agent of one router: it serves the endpoint list over HTTP/1.1.

It answers at once with what it has: the whole list when asked for it, changes to a watch. While
the list is unreachable it learns of no change and answers nothing. Where routers poll the list,
calls wait in a queue that all agents share; a call that continues a watch right after an answer
bypasses it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from ironrail.rehearsal.account.record import ListCall, ListCallOutcome
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.standins.agent_connection import JSON, AgentConnection, parse_target
from ironrail.rehearsal.standins.call_queue import CallQueue
from ironrail.rehearsal.standins.delivery import TERMINATED, DeliveryTracker
from ironrail.rehearsal.standins.endpoint_list import EndpointRow, encode_list
from ironrail.rehearsal.standins.faulty_endpoint import FaultyEndpoint
from ironrail.rehearsal.standins.http import HttpRequest
from ironrail.rehearsal.standins.world import World

CONTINUATION_SECONDS = 0.2  # a call this soon after an answer continues the watch
# After an outage, until connections that closed in it have been read, and their watches are gone.
RECONNECT_GRACE_SECONDS = 0.05
INDENTED_FRACTION = 0.5  # of answers, whose JSON is indented


class Agent:
    """Serves the endpoint list to one router."""

    def __init__(
        self, world: World, router: str, rows: Iterable[EndpointRow], queue: CallQueue | None = None
    ) -> None:
        """`queue`: where calls wait, if routers poll the list; None if it is pushed."""
        self.world, self.router, self._queue = world, router, queue
        self._answer_faults: dict[object, tuple[FaultKind, float]] = {}  # kind and share, by cause
        self._draws = world.draws(f"agent.{router}")
        self._format_draws = world.draws(f"agent.{router}.form")
        self._num_queued = 0
        self._loop = asyncio.get_running_loop()
        self._rows = {row.id: row for row in rows}
        self._changes: list[tuple[int, EndpointRow]] = []  # with their versions
        self._version = 1
        self._silences: set[object] = set()  # causes
        self._false_lists: dict[object, list[EndpointRow]] = {}  # served instead of the true list, by cause
        self._watches: dict[AgentConnection, None] = {}
        self._missed: list[EndpointRow] = []  # changes during a silence
        self._former_endpoints: list[FaultyEndpoint] = []
        self._delivery = DeliveryTracker(world, router, self._rows, queue is not None, self._has_open_call)
        self.endpoint = self._open_endpoint()

    def router_started(self) -> None:
        """A new process of the router has started."""
        self._delivery.router_started()

    def _has_open_call(self) -> bool:
        return bool(self._num_queued or self._watches)

    def _open_endpoint(self) -> FaultyEndpoint:
        def make(endpoint: FaultyEndpoint) -> AgentConnection:
            return AgentConnection(endpoint, self.world.now, self.handle_request, self.connection_lost)

        return FaultyEndpoint(self.router, make, self.world.listen)

    def move(self) -> None:
        """Moves to a new address. At the old one connections stay open, and nothing is answered."""
        self._mute_open_calls()
        self._delivery.agent_moved()
        self.endpoint.begin_silence("moved")
        self._former_endpoints.append(self.endpoint)
        self.endpoint = self._open_endpoint()
        for cause in self._silences:
            self.endpoint.begin_silence(cause)

    def mute_open_calls(self) -> None:
        """Never answers the calls that are open now, though their connections stay open."""
        for connection in self._mute_open_calls():
            self._delivery.call_muted(connection, connection.waits_until)

    def reset_watches(self) -> None:
        """Resets the connections with an open watch; new ones are answered."""
        for connection in list(self._watches):
            connection.reset()

    def _mute_open_calls(self) -> list[AgentConnection]:
        """Mutes all connections with an open call, and returns them."""
        muted = [
            c
            for c in self.endpoint.connections
            if isinstance(c, AgentConnection) and c.has_open_call and not c.mute
        ]
        for connection in muted:
            connection.mute = True
            self._end_watch(connection)
        return muted

    def close(self) -> None:
        """Ends the stand-in with the run."""
        for endpoint in (*self._former_endpoints, self.endpoint):
            endpoint.close()
            endpoint.reset_all()

    # The list

    def apply_change(self, row: EndpointRow) -> None:
        """Applies a change of the list, or stores it for the end of a silence."""
        if self._silences:
            self._missed.append(row)
            return
        self._version += 1
        self._rows[row.id] = row
        if row.state == TERMINATED:
            del self._rows[row.id]
        self._changes.append((self._version, row))
        any_corrupted = self._answer_watches()
        self._delivery.change_applied(row, any_corrupted)

    def begin_silence(self, cause: object) -> None:
        """Learns of no change and answers nothing from now on."""
        self._silences.add(cause)
        self.endpoint.begin_silence(cause)

    def end_silence(self, cause: object) -> None:
        """Ends the silence of this cause; with the last one missed changes are applied."""
        self._silences.discard(cause)
        self.endpoint.end_silence(cause)
        if not self._silences:
            self._delivery.discovery_returned()
            if self._queue is None:
                self._apply_missed()
            else:
                self._loop.call_later(RECONNECT_GRACE_SECONDS, self._apply_missed)

    def _apply_missed(self) -> None:
        missed, self._missed = self._missed, []
        for row in missed:
            self.apply_change(row)

    def begin_false_list(self, cause: object, rows: list[EndpointRow]) -> None:
        """Serves another list from now on, as a registry does that has lost its data."""
        self._false_lists[cause] = rows
        self._delivery.list_is_false = True
        self._version += 1
        self._answer_watches()

    def end_false_list(self, cause: object) -> None:
        """Ends the false list of this cause."""
        if self._false_lists.pop(cause, None) is None:
            return
        self._delivery.list_is_false = bool(self._false_lists)
        self._version += 1
        self._answer_watches()
        self._delivery.true_list_returned()

    def begin_answer_fault(self, cause: object, kind: FaultKind, share: float) -> None:
        """Corrupts this share of answers from now on."""
        self._answer_faults[cause] = kind, share

    def end_answer_fault(self, cause: object) -> None:
        """Ends the corruption of this cause."""
        self._answer_faults.pop(cause, None)

    # Calls

    def handle_request(self, connection: AgentConnection, request: HttpRequest) -> None:
        """Answers a call, or lets it wait in the queue."""
        (path, index, wait), now = parse_target(request.target), self._loop.time()
        connection.waits_until = now + wait
        if path != "/api/targets" or request.method != "GET":
            connection.respond(404, b"")
            return
        since = now - connection.answered_at if connection.answered_at is not None else None
        connection.queued = self._queue is not None and (
            index is None or since is None or since > CONTINUATION_SECONDS
        )
        if self._queue is None or not connection.queued:
            self._serve(connection, index, wait)
            return
        ends_at, is_answered = self._queue.call(now)
        self._num_queued += 1
        self._loop.call_later(ends_at - now, self._leave_queue, connection, index, wait, is_answered)

    def _leave_queue(
        self, connection: AgentConnection, index: int | None, wait: float, is_answered: bool
    ) -> None:
        """Serves a call whose turn has come, or refuses one that timed out in the queue."""
        self._num_queued -= 1
        self._delivery.call_ended(is_answered)
        if connection.closed or connection.mute:
            return
        if is_answered:
            self._serve(connection, index, wait)
            return
        self._record_call(connection, ListCallOutcome.REFUSED)
        connection.respond(503, b"")

    def _record_call(self, connection: AgentConnection, ended: ListCallOutcome) -> None:
        if self._queue is not None:
            call = ListCall(self.world.now(), self.router, connection.queued, ended)
            self.world.record.list_calls.append(call)

    def _serve(self, connection: AgentConnection, index: int | None, wait: float) -> None:
        if index is None:
            self._answer_full(connection)
        elif self._version > index:
            self._answer_changes(connection, index)
        else:
            connection.watching_from, connection.waits_until = index, self._loop.time() + wait
            self._watches[connection] = None
            connection.timer = self._loop.call_later(wait, self._answer_changes, connection, index)

    def _answer_watches(self) -> bool:
        """Answers all watches; returns whether any answer was corrupted."""
        corrupted = [self._answer_changes(watch, watch.watching_from or 0) for watch in list(self._watches)]
        return any(corrupted)

    def connection_lost(self, connection: AgentConnection) -> None:
        """The router has closed the connection."""
        was_watching = connection in self._watches
        self._end_watch(connection)
        self._delivery.call_closed(connection, was_watching)

    def _end_watch(self, connection: AgentConnection) -> None:
        self._watches.pop(connection, None)
        if connection.timer is not None:
            connection.timer.cancel()
            connection.timer = None

    def _answer_changes(self, connection: AgentConnection, index: int) -> bool:
        """Answers with the changes after a version; returns whether the answer was corrupted."""
        self._end_watch(connection)
        if (
            self._false_lists
            or not self._changes
            or index + 1 < self._changes[0][0]
            or self._has_version_gap(index)
        ):
            if self._version > index:
                return self._answer_full(connection)
            return self._answer(connection, [], full=False)
        return self._answer(
            connection, [row for version, row in self._changes if version > index], full=False
        )

    def _has_version_gap(self, index: int) -> bool:
        """Whether versions since then changed no row: the begin or end of a false list."""
        return self._version - index != sum(version > index for version, _ in self._changes)

    def _answer_full(self, connection: AgentConnection) -> bool:
        rows = next(iter(self._false_lists.values())) if self._false_lists else list(self._rows.values())
        return self._answer(connection, rows, full=True)

    def _answer(self, connection: AgentConnection, rows: list[EndpointRow], full: bool) -> bool:
        """Answers with these rows; returns whether the answer was corrupted."""
        if connection.closed:
            return False
        data = encode_list(
            self._version, full, rows, self.router, self._format_draws.random() < INDENTED_FRACTION
        )
        connection.answered_at = self._loop.time()
        hit = [kind for kind, share in self._answer_faults.values() if self._draws.random() < share]
        if not hit:
            connection.respond(200, data, JSON)
            self._record_call(connection, ListCallOutcome.TOLD)
            self._delivery.answered(connection, rows, full)
            return False
        stops_short = False
        if FaultKind.LIST_CUT in hit:
            stops_short = not connection.respond_half(data, closes=self._draws.random() < 0.5)
        else:  # LIST_SPOILT
            connection.respond(200, data[: len(data) // 2], JSON)
        self._record_call(connection, ListCallOutcome.SPOILT)
        self._delivery.answer_corrupted(connection, rows, full, stops_short)
        return True
