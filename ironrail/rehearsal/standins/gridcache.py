"""A grid cache: the meta protocol over TCP, a bounded store, and cores that can be overrun."""

from __future__ import annotations

import asyncio
from functools import partial

from ironrail.rehearsal.account.record import CacheCollapse, Ended
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.standins.cacheconnection import CacheConnection, Turn
from ironrail.rehearsal.standins.door import Door
from ironrail.rehearsal.standins.replies import Replies
from ironrail.rehearsal.standins.store import Store
from ironrail.rehearsal.standins.warmth import Warmth
from ironrail.rehearsal.standins.work import Job, Workplace
from ironrail.rehearsal.standins.world import World

MISS_WORK = 0.1  # of the work of a request, to find that its key is not there
BUSY = b"SERVER_ERROR busy\r\n"
LATE_CONNECT = 1.0  # seconds that connections come up late at the most, where the fault does not say
RESET_AFTER = 0.5  # of the connections that waited while it hung: the others are answered
SWEEP = 1.0  # seconds between looks at idle connections
MOST_STREAMS = 100  # requests in hand on one connection


class GridCache:
    """One grid cache with a door for each router."""

    def __init__(self, world: World, name: str, speed: float, routers: list[str]) -> None:
        conf = world.scenario.caches
        self.world, self.name, self.hall = world, name, world.halls[name]
        self._conf = conf
        self.replies = Replies(world, name)
        self._late_draws = world.draws(f"cache.{name}.late")
        self._hang_draws = world.draws(f"cache.{name}.hang")
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
        self._hangs: set[object] = set()  # causes for which it answers nothing
        self._held: list[Turn] = []  # what came meanwhile
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
            if connection.used_at <= oldest and not connection.busy() and not self._hangs:
                connection.transport.close()
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP, self._sweep)

    # Requests

    def take(self, turn: Turn) -> None:
        """A whole command has come."""
        self._warn_if_pushed(turn)
        if self._hangs:
            self._held.append(turn)
        else:
            self._admit(turn)

    def _admit(self, turn: Turn) -> None:
        turned_away = self.draining or turn.connection.crowded or self.work.full()
        if turned_away or len(turn.connection.waiting) >= MOST_STREAMS:
            turn.finish(BUSY, Ended.BUSY)
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
            self.world.record.collapses.append(
                CacheCollapse(now, self.id, fall.sent, fall.allowed, fall.informed)
            )
            for door in self.doors.values():
                door.begin_silence("fallen")
            self.work.clear()

    def _informed(self, router: str) -> bool:
        """Whether a router was told that this process has started."""
        return self.world.record.known_starts.get((router, self.id), 0) >= self.started_ms

    def _start(self, turn: Turn) -> None:
        delay = self.world.apart(turn.connection.door.router, self.hall)
        if delay > 0.0:
            asyncio.get_running_loop().call_later(delay, self._enter, turn, self._life)
        else:
            self._enter(turn, self._life)

    def _enter(self, turn: Turn, life: int) -> None:
        if life != self._life or turn.connection.closed:
            return
        if self._hangs:
            self._held.append(turn)
            return
        if self.work.full():
            turn.finish(BUSY, Ended.BUSY)
            return
        command = turn.command
        size = self.store.get(command.key) if command.value is None else None
        work = self._work_of(turn) * (MISS_WORK if size is None else 1.0)
        self.work.take(Job(work, lambda: self.replies.give(turn, size)))

    # Faults

    def begin(self, cause: object, kind: FaultKind, hard: float | None) -> None:
        """Replies fail from now on, in the way of this kind, or connections come up late."""
        if kind is FaultKind.LATE_CONNECT:
            most = hard if hard is not None else LATE_CONNECT
            for door in self.doors.values():
                door.begin_late(cause, partial(self._late_draws.uniform, 0.0, most))
        else:
            self.replies.begin(cause, kind, hard)

    def end(self, cause: object) -> None:
        self.replies.end(cause)
        for door in self.doors.values():
            door.end_late(cause)

    def begin_hang(self, cause: object) -> None:
        """Connections come up, and nothing on any of them is answered."""
        self._hangs.add(cause)

    def end_hang(self, cause: object) -> None:
        """Go on: of the connections that waited, some are answered and the others reset."""
        self._hangs.discard(cause)
        if self._hangs:
            return
        held, self._held = [turn for turn in self._held if not turn.connection.closed], []
        resets = {
            connection
            for connection in dict.fromkeys(turn.connection for turn in held)
            if self._hang_draws.random() < RESET_AFTER
        }
        for turn in held:
            if turn.connection in resets:
                turn.connection.leave_all(Ended.RESET)
                turn.connection.reset()
            else:
                self._admit(turn)

    def die(self) -> None:
        """The process ends: connections reset, nothing kept."""
        self._life += 1
        for connection in list(self.connections):
            connection.leave_all(Ended.RESET)
        self._held.clear()
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
