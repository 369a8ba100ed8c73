"""The agent of one router: it tells the list over HTTP/1.1.

What it has it tells at once: the whole list when asked, changes to a watch. While the list is out of reach it
hears nothing and says nothing. Where the list has to be asked for, calls wait in turn at a desk that all
agents share; a watch that goes on at once does not.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from ironrail.rehearsal.account.record import ListCall, ListCallOutcome
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.standins.calls import JSON, AgentConnection, asked_of
from ironrail.rehearsal.standins.desk import Desk
from ironrail.rehearsal.standins.door import Door
from ironrail.rehearsal.standins.http import HttpRequest
from ironrail.rehearsal.standins.rows import Row, write_list
from ironrail.rehearsal.standins.telling import GONE, Telling
from ironrail.rehearsal.standins.world import World

GOES_ON = 0.2  # seconds after an answer within which the next call goes on with a watch
FOUND_OUT = 0.05  # seconds after an outage until closes in it are read, and a watch of nobody is none
INDENTED = 0.5  # of answers, which are JSON all the same


class Agent:
    """What one router is told."""

    def __init__(self, world: World, router: str, rows: Iterable[Row], desk: Desk | None = None) -> None:
        """`desk`: where calls wait, if the list has to be asked for."""
        self.world, self.router, self._desk = world, router, desk
        self._troubles: dict[object, tuple[FaultKind, float]] = {}  # of answers, by cause
        self._draws = world.draws(f"agent.{router}")
        self._forms = world.draws(f"agent.{router}.form")
        self._waiting = 0  # calls at the desk
        self._loop = asyncio.get_running_loop()
        self._rows = {row.id: row for row in rows}
        self._changes: list[tuple[int, Row]] = []
        self._version = 1
        self._silences: set[object] = set()
        self._lost: dict[object, list[Row]] = {}  # lists told in place of the true one
        self._watches: dict[AgentConnection, None] = {}
        self._missed: list[Row] = []
        self._left: list[Door] = []  # where it was to be found before
        self._telling = Telling(world, router, self._rows, desk is not None, self._asks)
        self.door = self._door()

    def started(self) -> None:
        """A new process of its router."""
        self._telling.started()

    def _asks(self) -> bool:
        return bool(self._waiting or self._watches)

    def _door(self) -> Door:
        def make(door: Door) -> AgentConnection:
            return AgentConnection(door, self.world.now, self.take, self.left)

        return Door(self.router, make, self.world.listen)

    def move(self) -> None:
        """Be found elsewhere from now on. Where it was, connections stay open and nothing answers."""
        self._mute()
        self._telling.moved()
        self.door.begin_silence("moved")
        self._left.append(self.door)
        self.door = self._door()
        for cause in self._silences:
            self.door.begin_silence(cause)

    def fall_silent(self) -> None:
        """Never answer a call that is open now; its connection stays open. Others are answered."""
        for connection in self._mute():
            self._telling.silenced(connection, connection.waits_until)

    def reset_watches(self) -> None:
        """Reset the connections with an open watch; new ones are answered."""
        for connection in list(self._watches):
            connection.reset()

    def _mute(self) -> list[AgentConnection]:
        """All connections with a call that is open now, which is never answered from now on."""
        there = [c for c in self.door.connections if isinstance(c, AgentConnection) and c.asks and not c.mute]
        for connection in there:
            connection.mute = True
            self._unwatch(connection)
        return there

    def close(self) -> None:
        """The end of the run."""
        for door in (*self._left, self.door):
            door.shut()
            door.reset_all()

    # The list

    def learn(self, row: Row) -> None:
        """The agent hears of a change."""
        if self._silences:
            self._missed.append(row)
            return
        self._version += 1
        self._rows[row.id] = row
        if row.state == GONE:
            del self._rows[row.id]
        self._changes.append((self._version, row))
        spoilt = self._wake()
        self._telling.learned(row, spoilt)

    def begin_silence(self, cause: object) -> None:
        self._silences.add(cause)
        self.door.begin_silence(cause)

    def end_silence(self, cause: object) -> None:
        self._silences.discard(cause)
        self.door.end_silence(cause)
        if not self._silences:
            self._telling.reached()
            if self._desk is None:
                self._catch_up()
            else:
                self._loop.call_later(FOUND_OUT, self._catch_up)

    def _catch_up(self) -> None:
        missed, self._missed = self._missed, []
        for row in missed:
            self.learn(row)

    def begin_lost(self, cause: object, rows: list[Row]) -> None:
        """Tell another list from now on, as a registry does that has lost its own."""
        self._lost[cause] = rows
        self._telling.lost = True
        self._version += 1
        self._wake()

    def end_lost(self, cause: object) -> None:
        if self._lost.pop(cause, None) is None:
            return
        self._telling.lost = bool(self._lost)
        self._version += 1
        self._wake()
        self._telling.found()

    def begin_trouble(self, cause: object, kind: FaultKind, share: float) -> None:
        """Such a share of answers is spoilt."""
        self._troubles[cause] = kind, share

    def end_trouble(self, cause: object) -> None:
        self._troubles.pop(cause, None)

    # Calls

    def take(self, connection: AgentConnection, request: HttpRequest) -> None:
        (path, index, wait), now = asked_of(request.target), self._loop.time()
        connection.waits_until = now + wait
        if path != "/api/targets" or request.method != "GET":
            connection.respond(404, b"")
            return
        since = now - connection.answered_at if connection.answered_at is not None else None
        connection.queued = self._desk is not None and (index is None or since is None or since > GOES_ON)
        if self._desk is None or not connection.queued:
            self._serve(connection, index, wait)
            return
        ends, answered = self._desk.call(now)
        self._waiting += 1
        self._loop.call_later(ends - now, self._called, connection, index, wait, answered)

    def _called(self, connection: AgentConnection, index: int | None, wait: float, answered: bool) -> None:
        """A call has had its turn at the desk, or waited in vain."""
        self._waiting -= 1
        self._telling.called(answered)
        if connection.closed or connection.mute:
            return
        if answered:
            self._serve(connection, index, wait)
            return
        self._note_call(connection, ListCallOutcome.REFUSED)
        connection.respond(503, b"")

    def _note_call(self, connection: AgentConnection, ended: ListCallOutcome) -> None:
        if self._desk is not None:
            call = ListCall(self.world.now(), self.router, connection.queued, ended)
            self.world.record.list_calls.append(call)

    def _serve(self, connection: AgentConnection, index: int | None, wait: float) -> None:
        if index is None:
            self._tell_all(connection)
        elif self._version > index:
            self._tell_news(connection, index)
        else:
            connection.watching_from, connection.waits_until = index, self._loop.time() + wait
            self._watches[connection] = None
            connection.timer = self._loop.call_later(wait, self._tell_news, connection, index)

    def _wake(self) -> bool:
        """Tell all watches; whether an answer was spoilt."""
        spoilt = [self._tell_news(watch, watch.watching_from or 0) for watch in list(self._watches)]
        return any(spoilt)

    def left(self, connection: AgentConnection) -> None:
        """The router has closed it."""
        watched = connection in self._watches
        self._unwatch(connection)
        self._telling.closed(connection, watched)

    def _unwatch(self, connection: AgentConnection) -> None:
        """A watch is over."""
        self._watches.pop(connection, None)
        if connection.timer is not None:
            connection.timer.cancel()
            connection.timer = None

    def _tell_news(self, connection: AgentConnection, index: int) -> bool:
        self._unwatch(connection)
        if self._lost or not self._changes or index + 1 < self._changes[0][0] or self._jumped(index):
            if self._version > index:
                return self._tell_all(connection)
            return self._tell(connection, [], full=False)
        return self._tell(connection, [row for version, row in self._changes if version > index], full=False)

    def _jumped(self, index: int) -> bool:
        """Whether versions that are no changes of a row lie between: a lost list, and its return."""
        return self._version - index != sum(version > index for version, _ in self._changes)

    def _tell_all(self, connection: AgentConnection) -> bool:
        rows = next(iter(self._lost.values())) if self._lost else list(self._rows.values())
        return self._tell(connection, rows, full=True)

    def _tell(self, connection: AgentConnection, rows: list[Row], full: bool) -> bool:
        """Answer with these rows; whether the answer was spoilt."""
        if connection.closed:
            return False
        data = write_list(self._version, full, rows, self.router, self._forms.random() < INDENTED)
        connection.answered_at = self._loop.time()
        hit = [kind for kind, share in self._troubles.values() if self._draws.random() < share]
        if not hit:
            connection.respond(200, data, JSON)
            self._note_call(connection, ListCallOutcome.TOLD)
            self._telling.told(connection, rows, full)
            return False
        stops_short = False
        if FaultKind.LIST_CUT in hit:
            stops_short = not connection.respond_half(data, closes=self._draws.random() < 0.5)
        else:  # LIST_SPOILT
            connection.respond(200, data[: len(data) // 2], JSON)
        self._note_call(connection, ListCallOutcome.SPOILT)
        self._telling.spoilt(connection, rows, full, stops_short)
        return True
