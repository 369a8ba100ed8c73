"""Discovery: the list of caches as an agent beside each router tells it, late, over HTTP/1.1.

The agent of a router gets each change some time after it happened. What it has it tells at once: the whole
list when asked, changes to a watch. While the list is out of reach agents say nothing. Where the list has to
be asked for, all agents share one desk, at which calls wait in turn; a watch that goes on at once does not.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import orjson

from ironrail.rehearsal.account.record import Call, ListCall
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.standins.desk import Desk
from ironrail.rehearsal.standins.door import Door
from ironrail.rehearsal.standins.http import HttpConnection, HttpRequest, write_response
from ironrail.rehearsal.standins.world import World

TOLD_AT_LAST = 6.0  # seconds after which what an agent has counts as told, whether or not a router asked
MOST_WAIT = 60.0  # seconds of a watch
GOES_ON = 0.2  # seconds after an answer within which the next call goes on with a watch
AFTER_FAILURE = 4.0  # times as long until news counts as told to a router whose call failed
LOOK_AGAIN = 1.0  # seconds until it is looked at again whether news counts as told
PATH = "/api/targets"


@dataclass(frozen=True, slots=True)
class Row:
    """One server of the list."""

    id: str
    zone: str
    kind: str
    state: str = "in_service"
    started_ms: int = 0
    addresses: dict[str, str] = field(default_factory=dict)  # by router

    def told(self, router: str) -> dict[str, object]:
        return {
            "id": self.id,
            "addr": self.addresses[router],
            "zone": self.zone,
            "kind": self.kind,
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }


class AgentConnection(HttpConnection):
    """A connection of a router to its agent."""

    def __init__(self, door: Door, agent: Agent) -> None:
        super().__init__(door)
        self._agent = agent
        self.watching_from: int | None = None
        self.answered_at: float | None = None
        self.queued = False  # the call in hand waited at the desk
        self.timer: asyncio.TimerHandle | None = None

    def clock(self) -> float:
        return self._agent.world.now()

    def took(self, request: HttpRequest) -> None:
        self._agent.take(self, request)

    def lost(self) -> None:
        self._agent.left(self)


class Agent:
    """What one router is told."""

    def __init__(self, world: World, router: str, rows: Iterable[Row], desk: Desk | None = None) -> None:
        """`desk`: where calls wait, if the list has to be asked for."""
        self.world, self.router, self._desk = world, router, desk
        self._troubles: dict[object, tuple[FaultKind, float]] = {}  # of answers, by cause
        self._draws = world.draws(f"agent.{router}")
        self._waiting = 0  # calls at the desk
        self._loop = asyncio.get_running_loop()
        self._asked_at = self._loop.time()
        self._failed = False  # the latest call
        self._rows = {row.id: row for row in rows}
        self._changes: list[tuple[int, Row]] = []
        self._version = 1
        self._silences: set[object] = set()
        self._lost: dict[object, list[Row]] = {}  # lists told in place of the true one
        self._watches: dict[AgentConnection, None] = {}
        self._missed: list[Row] = []
        self._left: list[Door] = []  # where it was to be found before
        self.door = self._door()

    def started(self) -> None:
        """A new process of its router: what the one before it had asked for is nothing to it."""
        self._asked_at, self._failed = self._loop.time(), False

    def _door(self) -> Door:
        return Door(self.router, lambda door: AgentConnection(door, self), self.world.listen)

    def move(self) -> None:
        """Be found elsewhere from now on. Where it was, connections stay open and nothing answers."""
        self.door.begin_silence("moved")
        self._left.append(self.door)
        self.door = self._door()
        for cause in self._silences:
            self.door.begin_silence(cause)

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
        if row.state == "terminated":
            del self._rows[row.id]
        self._changes.append((self._version, row))
        if self._desk is None:
            self._loop.call_later(TOLD_AT_LAST, self._counts_as_told, row)
        else:
            self._look(row)
        self._wake()

    def _look(self, row: Row) -> None:
        """Whether news counts as told to a router that has to ask: once it has not asked for too long."""
        conf = self.world.scenario.registry
        allowed = conf.must_ask * (AFTER_FAILURE if self._failed else 1.0)
        left = self._asked_at + allowed - self._loop.time()
        if self._waiting or self._watches:  # it asks
            left = max(left, LOOK_AGAIN)
        if left > 0:
            self._loop.call_later(min(left, LOOK_AGAIN), self._look, row)
        else:
            self._counts_as_told(row)

    def _counts_as_told(self, row: Row) -> None:
        """A router that did not ask is taken to know it all the same, unless there is later news."""
        now = self._rows.get(row.id)
        if (now.state if now is not None else "terminated") == row.state:
            self.world.record.tell(self.router, row.id, row.state, self.world.now(), row.started_ms)

    def begin_silence(self, cause: object) -> None:
        self._silences.add(cause)
        self.door.begin_silence(cause)

    def end_silence(self, cause: object) -> None:
        self._silences.discard(cause)
        self.door.end_silence(cause)
        if not self._silences:
            missed, self._missed = self._missed, []
            for row in missed:
                self.learn(row)

    def begin_lost(self, cause: object, rows: list[Row]) -> None:
        """Tell another list from now on, as a registry does that has lost its own."""
        self._lost[cause] = rows
        self._version += 1
        self._wake()

    def end_lost(self, cause: object) -> None:
        if self._lost.pop(cause, None) is not None:
            self._version += 1
            self._wake()

    def begin_trouble(self, cause: object, kind: FaultKind, share: float) -> None:
        """Such a share of answers is spoilt."""
        self._troubles[cause] = kind, share

    def end_trouble(self, cause: object) -> None:
        self._troubles.pop(cause, None)

    # Calls

    def take(self, connection: AgentConnection, request: HttpRequest) -> None:
        goes_on = connection.answered_at is not None and "index=" in request.target
        if self._desk is None or (goes_on and self._loop.time() - (connection.answered_at or 0.0) <= GOES_ON):
            connection.queued = False
            self._serve(connection, request)
            return
        now, connection.queued = self._loop.time(), True
        ends, answered = self._desk.call(now)
        self._waiting += 1
        self._loop.call_later(ends - now, self._called, connection, request, answered)

    def _called(self, connection: AgentConnection, request: HttpRequest, answered: bool) -> None:
        """A call has had its turn at the desk, or waited in vain."""
        self._waiting -= 1
        self._asked_at, self._failed = self._loop.time(), not answered
        if connection.closed:
            return
        if answered:
            self._serve(connection, request)
            return
        self._note_call(connection, Call.REFUSED)
        connection.respond(503, b"")

    def _note_call(self, connection: AgentConnection, ended: Call) -> None:
        if self._desk is not None:
            calls = self.world.record.list_calls
            calls.append(ListCall(self.world.now(), self.router, connection.queued, ended))

    def _serve(self, connection: AgentConnection, request: HttpRequest) -> None:
        url = urlsplit(request.target)
        query = parse_qs(url.query)
        if url.path != PATH or request.method != "GET":
            connection.respond(404, b"")
        elif "index" not in query:
            self._tell_all(connection)
        else:
            self._watch(connection, int(query["index"][0]), float(query.get("wait", ["0"])[0]) / 1000)

    def _watch(self, connection: AgentConnection, index: int, wait: float) -> None:
        if self._version > index:
            self._tell_news(connection, index)
            return
        connection.watching_from = index
        self._watches[connection] = None
        connection.timer = self._loop.call_later(min(wait, MOST_WAIT), self._tell_news, connection, index)

    def _wake(self) -> None:
        for connection in list(self._watches):
            index = connection.watching_from
            self.left(connection)
            self._tell_news(connection, index or 0)

    def left(self, connection: AgentConnection) -> None:
        """A watch is over."""
        self._watches.pop(connection, None)
        if connection.timer is not None:
            connection.timer.cancel()
            connection.timer = None

    def _tell_news(self, connection: AgentConnection, index: int) -> None:
        self.left(connection)
        if self._lost or not self._changes or index + 1 < self._changes[0][0] or self._jumped(index):
            if self._version > index:
                self._tell_all(connection)
            else:
                self._tell(connection, [], full=False)
            return
        self._tell(connection, [row for version, row in self._changes if version > index], full=False)

    def _jumped(self, index: int) -> bool:
        """Whether versions that are no changes of a row lie between: a lost list, and its return."""
        return self._version - index != sum(version > index for version, _ in self._changes)

    def _tell_all(self, connection: AgentConnection) -> None:
        rows = next(iter(self._lost.values())) if self._lost else list(self._rows.values())
        self._tell(connection, rows, full=True)

    def _tell(self, connection: AgentConnection, rows: list[Row], full: bool) -> None:
        if connection.closed:
            return
        body = {"version": self._version, "full": full, "servers": [row.told(self.router) for row in rows]}
        data, kind = orjson.dumps(body), ("Content-Type", "application/json")
        connection.answered_at = self._asked_at = self._loop.time()
        self._failed = False
        if self._spoilt(connection, data, kind):
            # what it had to tell counts as told some seconds later, whether or not it arrived
            self._note_call(connection, Call.SPOILT)
            self._loop.call_later(TOLD_AT_LAST, self._note_told, rows, full, True)
            return
        connection.respond(200, data, kind)
        self._note_call(connection, Call.TOLD)
        self._note_told(rows, full, False)

    def _spoilt(self, connection: AgentConnection, data: bytes, kind: tuple[str, str]) -> bool:
        """Whether an answer is spoilt, by a fault, and if so give what is left of it."""
        hit = [k for k, share in self._troubles.values() if self._draws.random() < share]
        if FaultKind.LIST_CUT in hit:
            whole = write_response(200, data, kind)
            connection.respond(200, b"", raw=whole[: len(whole) // 2])
            if self._draws.random() < 0.5:  # or it stops short and says nothing more
                connection.transport.close()
        elif FaultKind.LIST_SPOILT in hit:
            connection.respond(200, data[: len(data) // 2], kind)
        return bool(hit)

    def _note_told(self, rows: list[Row], full: bool, later: bool) -> None:
        """This is what the router was told, or counts as told unless there is later news."""
        if self._lost:  # the caches are well: whatever a router makes of such a list, it breaks no drain
            return
        now, record = self.world.now(), self.world.record
        for row in rows:
            if later:
                self._counts_as_told(row)
            else:
                record.tell(self.router, row.id, row.state, now, row.started_ms)
        if full:
            here = {row.id for row in rows} | (self._rows.keys() if later else set())
            for router, server in list(record.told):
                if router == self.router and server not in here:
                    record.tell(router, server, "terminated", now)


class Registry:
    """Carries changes to all agents, each after its own delay."""

    def __init__(self, world: World, rows: list[Row], routers: list[str]) -> None:
        self._world = world
        self._loop = asyncio.get_running_loop()
        self._draws = world.draws("registry")
        self._last: dict[tuple[str, str], float] = {}  # when the latest change of a row reaches an agent
        self.rows = {row.id: row for row in rows}
        conf = world.scenario.registry
        self._desk = Desk(conf.rate, conf.patience) if conf.asked else None
        self.agents = {router: Agent(world, router, rows, self._desk) for router in routers}
        self._crowds: dict[object, float] = {}
        self._lates: dict[object, float] = {}  # seconds, by cause

    def change(self, row: Row, after: float) -> None:
        """Something changed: agents hear of it so much later, and of changes of one server in their order."""
        if row.state == "terminated":
            self.rows.pop(row.id, None)
        else:
            self.rows[row.id] = row
        late = max(self._lates.values(), default=0.0)
        for router, agent in self.agents.items():
            delay = after + self._draws.random() * self._world.scenario.registry.spread + late
            at = max(self._loop.time() + delay, self._last.get((router, row.id), 0.0) + 1e-3)
            self._last[router, row.id] = at
            self._loop.call_at(at, agent.learn, row)

    def trouble(self, cause: object, kind: FaultKind, hard: float) -> None:
        """Calls take so many times as long, news comes seconds late, or a share of answers is spoilt."""
        if kind is FaultKind.LIST_CROWDED:
            self._crowds[cause] = hard
            self._pace()
        elif kind is FaultKind.LIST_LATE:
            self._lates[cause] = hard
        else:
            for agent in self.agents.values():
                agent.begin_trouble(cause, kind, hard)

    def well(self, cause: object) -> None:
        """A trouble is over."""
        self._lates.pop(cause, None)
        if self._crowds.pop(cause, None) is not None:
            self._pace()
        for agent in self.agents.values():
            agent.end_trouble(cause)

    def _pace(self) -> None:
        if self._desk is not None:
            self._desk.slower = max([1.0, *self._crowds.values()])

    def close(self) -> None:
        for agent in self.agents.values():
            agent.close()
