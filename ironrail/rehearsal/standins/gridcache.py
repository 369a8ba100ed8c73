"""A grid cache: the meta protocol over TCP, a bounded store, and cores that can be overrun."""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from dataclasses import dataclass

from ironrail.rehearsal.account.record import Attempt, Ended, Fallen
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.standins.door import Door, DoorConnection
from ironrail.rehearsal.standins.meta import CommandReader, MetaCommand, NotMeta
from ironrail.rehearsal.standins.spoiling import ENDLESS_LENGTH, ENDLESS_PIECE, ENDLESS_PIECES, spoil, surplus
from ironrail.rehearsal.standins.store import Store
from ironrail.rehearsal.standins.warmth import Warmth
from ironrail.rehearsal.standins.work import Job, Workplace
from ironrail.rehearsal.standins.world import World

MISS_WORK = 0.1  # of the work of a request, to find that its key is not there
BUSY, FAILED = b"SERVER_ERROR busy\r\n", b"SERVER_ERROR failed\r\n"
SWEEP = 1.0  # seconds between looks at idle connections
MOST_STREAMS = 100  # requests in hand on one connection
SHARES = {  # of replies that a fault hits, where it does not say how hard
    FaultKind.RESET: 0.2,
    FaultKind.SPOILT: 0.2,
    FaultKind.SURPLUS: 0.3,
    FaultKind.ENDLESS: 0.05,
    FaultKind.ERRORS: 0.2,
    FaultKind.SLOW_CLOSE: 0.1,
    FaultKind.LOST: 0.02,
}


@dataclass(slots=True, eq=False)
class Turn:
    """One command and the place of its answer."""

    command: MetaCommand
    attempt: Attempt
    connection: CacheConnection
    answer: bytes | None = None


class CacheConnection(DoorConnection):
    """One connection of a router: answers come in the order of the commands."""

    def __init__(self, door: Door, cache: GridCache) -> None:
        super().__init__(door)
        self._cache = cache
        self._reader = CommandReader()
        self._turns: deque[Turn] = deque()
        self._first_at: float | None = None
        self.ready = False  # its handshake is done
        self.waiting: list[Turn] = []  # for that
        self.crowded = False  # there were too many when it came up: all on it is turned away
        self.deaf = False  # it closes soon and reads no more
        self.used_at = 0.0

    def opened(self) -> None:
        self.used_at = self._cache.world.now()
        self._cache.opened(self)

    def received(self, data: bytes) -> None:
        now = self.used_at = self._cache.world.now()
        if self.deaf:
            return
        if self._first_at is None:
            self._first_at = now
        self._reader.add(data)
        try:
            while not self.closed and (command := self._reader.next()) is not None:
                self._take(command, now)
        except NotMeta as e:
            if not self.late:
                self._cache.world.record.stray(now, self._cache.name, str(e))
            self.transport.close()  # whatever else waits on it
        if not self._reader.begun:
            self._first_at = None

    def _take(self, command: MetaCommand, now: float) -> None:
        first_at = self._first_at if self._first_at is not None else now
        behind = bool(self._turns)
        attempt = Attempt(self._cache.id, self.door.router, False, first_at, now, self.late, behind)
        self._first_at = now
        one = self._cache.world.record.attempt(command.request, attempt)
        if one is not None and (command.key != one.planned.key or command.value is not None):
            self._cache.world.record.stray(now, self._cache.name, f"{command.line[:120]!r} was altered")
        turn = Turn(command, attempt, self)
        self._turns.append(turn)
        self._cache.take(turn)

    def answer(self, turn: Turn, data: bytes) -> None:
        """Give the answer of one command, once those before it have theirs."""
        turn.answer = data
        while self._turns and self._turns[0].answer is not None:
            self.write(self._turns.popleft().answer or b"")
        self.used_at = self._cache.world.now()

    def busy(self) -> bool:
        return bool(self._turns) or self._reader.begun

    def lost(self) -> None:
        now = self._cache.world.now()
        for turn in self._turns:
            turn.attempt.end(Ended.LEFT, now)
        self._turns.clear()
        self._cache.lost(self)


class GridCache:
    """One grid cache with a door for each router."""

    def __init__(self, world: World, name: str, speed: float, routers: list[str]) -> None:
        conf = world.scenario.caches
        self.world, self.name, self.hall = world, name, world.halls[name]
        self._conf = conf
        self._draws = world.draws(f"cache.{name}")
        self.store = Store(conf.memory)
        self.work = Workplace(conf.cores, speed, conf.slots, conf.queue)
        self.speed = speed
        capacity = conf.cores * speed
        self._warmth = Warmth(capacity, conf.cold_share, conf.warm, conf.fall_multiple, conf.fall_time)
        self.work.share = lambda: self._warmth.share(world.now())
        self.doors = {
            router: Door(router, lambda door: CacheConnection(door, self), world.listen) for router in routers
        }
        self.connections: dict[CacheConnection, None] = {}
        self.draining = False
        self.fallen = False
        self.id = name  # as the list has it: a machine that takes its place has another one
        self.started_ms = 0  # Unix time of its start as the list has it; 0 is long ago
        self._life = 0  # of its process: what an earlier one began is dropped
        self._faults: dict[object, tuple[FaultKind, float]] = {}
        self._numbers = itertools.count()
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP, self._sweep)

    # Connections

    def opened(self, connection: CacheConnection) -> None:
        """A connection has come up: its handshake is work."""
        connection.crowded = len(self.connections) >= self._conf.connections
        self.connections[connection] = None
        record = self.world.record
        record.handshakes += 1
        record.crowded += connection.crowded
        record.most_connections = max(record.most_connections, len(self.connections))
        self.work.take(Job(self._conf.handshake, lambda: self._shaken(connection)))

    def _shaken(self, connection: CacheConnection) -> None:
        connection.ready = True
        waiting, connection.waiting = connection.waiting, []
        for turn in waiting:
            self._start(turn)

    def lost(self, connection: CacheConnection) -> None:
        self.connections.pop(connection, None)

    def _sweep(self) -> None:
        oldest = self.world.now() - self._conf.idle
        for connection in list(self.connections):
            if connection.used_at <= oldest and not connection.busy():
                connection.transport.close()
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP, self._sweep)

    # Requests

    def take(self, turn: Turn) -> None:
        """A whole command has come."""
        self._warn_if_pushed(turn)
        turned_away = self.draining or turn.connection.crowded or self.work.full()
        if turned_away or len(turn.connection.waiting) >= MOST_STREAMS:
            self._finish(turn, BUSY, Ended.BUSY)
        elif turn.connection.ready:
            self._start(turn)
        else:
            turn.connection.waiting.append(turn)

    def _work_of(self, turn: Turn) -> float:
        one = self.world.record.tries.get(turn.command.request)
        return one.planned.work if one is not None else 0.0

    def _warn_if_pushed(self, turn: Turn) -> None:
        now = self.world.now()
        fall = self._warmth.sent(now, self._work_of(turn), self._informed(turn.connection.door.router))
        if self._warmth.most > 0.0:
            self.world.record.cold[self.id, self.started_ms] = self._warmth.most
        if fall is not None and not self.fallen:
            self.fallen = True
            self.world.record.fallen.append(Fallen(now, self.id, fall.sent, fall.allowed, fall.informed))
            for door in self.doors.values():
                door.begin_silence("fallen")
            self.work.clear()

    def _informed(self, router: str) -> bool:
        """Whether a router was told that this process has started."""
        return self.world.record.starts.get((router, self.id), 0) >= self.started_ms

    def _start(self, turn: Turn) -> None:
        delay = self.world.apart(turn.connection.door.router, self.hall)
        if delay > 0.0:
            asyncio.get_running_loop().call_later(delay, self._enter, turn, self._life)
        else:
            self._enter(turn, self._life)

    def _enter(self, turn: Turn, life: int) -> None:
        if life != self._life or turn.connection.closed:
            return
        if self.work.full():
            self._finish(turn, BUSY, Ended.BUSY)
            return
        command = turn.command
        size = self.store.get(command.key) if command.value is None else None
        work = self._work_of(turn) * (MISS_WORK if size is None else 1.0)
        self.work.take(Job(work, lambda: self._done(turn, size)))

    def _done(self, turn: Turn, size: int | None) -> None:
        request = turn.command.request
        if self._hits(FaultKind.ERRORS):
            self._finish(turn, FAILED, Ended.ERROR)
        elif self._hits(FaultKind.RESET):
            self._end_connection(turn, Ended.RESET)
        elif self._hits(FaultKind.LOST):
            turn.attempt.end(Ended.LOST, self.world.now())  # and with it all behind it on the connection
        elif size is None:
            self._finish(turn, f"EN O{request}\r\n".encode(), Ended.MISS)
        else:
            value = self.world.make_value(request, turn.command.key, self.name, next(self._numbers), size)
            head = f"VA {len(value)} O{request} h1\r\n".encode()
            self._reply(turn, head + value + b"\r\n")

    def _reply(self, turn: Turn, good: bytes) -> None:
        """A good reply, or what a fault makes of it."""
        connection = turn.connection
        if self._hits(FaultKind.SPOILT):
            self._finish(turn, spoil(good, self._draws), Ended.SPOILT)
        elif self._hits(FaultKind.ENDLESS):
            self._finish(turn, f"VA {ENDLESS_LENGTH} O{turn.command.request} h1\r\n".encode(), Ended.SPOILT)
            self._pour(connection, ENDLESS_PIECES)
        elif self._hits(FaultKind.SURPLUS) and not connection.waiting and len(connection._turns) == 1:
            self._finish(turn, good + surplus(good, self._draws), Ended.SERVED)
        else:
            self._finish(turn, good, Ended.SERVED)
        if self._hits(FaultKind.SLOW_CLOSE):
            connection.deaf = True  # what is written to it from now on ends as a reset
            asyncio.get_running_loop().call_later(0.3, connection.reset)

    def _pour(self, connection: CacheConnection, pieces: int) -> None:
        if pieces and not connection.closed:
            connection.write(b"x" * ENDLESS_PIECE)
            asyncio.get_running_loop().call_later(0.02, self._pour, connection, pieces - 1)

    def _end_connection(self, turn: Turn, ended: Ended) -> None:
        turn.attempt.end(ended, self.world.now())
        turn.connection.reset()

    def _finish(self, turn: Turn, data: bytes, ended: Ended) -> None:
        if turn.connection.closed:
            return
        turn.attempt.end(ended, self.world.now())
        turn.connection.answer(turn, data)

    # Faults

    def begin(self, cause: object, kind: FaultKind, hard: float | None) -> None:
        """Replies fail from now on, in the way of this kind."""
        self._faults[cause] = kind, hard if hard is not None else SHARES[kind]

    def end(self, cause: object) -> None:
        self._faults.pop(cause, None)

    def _hits(self, kind: FaultKind) -> bool:
        return any(k is kind and self._draws.random() < share for k, share in self._faults.values())

    def die(self) -> None:
        """The process ends: connections reset, nothing kept."""
        self._life += 1
        now = self.world.now()
        for connection in list(self.connections):
            for turn in connection._turns:
                turn.attempt.end(Ended.RESET, now)
        for door in self.doors.values():
            door.reset_all()
        self.work.clear()
        self.store.clear()

    def come_back(self) -> None:
        """A new process, cold and empty."""
        self._warmth.start(self.world.now())
        self.draining = self.fallen = False
        for door in self.doors.values():
            door.end_silence("fallen")

    def close(self) -> None:
        """The end of the run."""
        self._sweeper.cancel()
        for door in self.doors.values():
            door.shut()
            door.reset_all()
