"""A cache server: the meta protocol over TCP, a bounded store, and cores that can be overloaded."""

from __future__ import annotations

import asyncio
from functools import partial

from ironrail.rehearsal.account.record import CacheCollapse, Ended
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.standins.cache_connection import CacheConnection, PendingCommand
from ironrail.rehearsal.standins.faulty_endpoint import FaultyEndpoint
from ironrail.rehearsal.standins.replies import Replies
from ironrail.rehearsal.standins.store import Store
from ironrail.rehearsal.standins.warm_up import WarmUp
from ironrail.rehearsal.standins.work_queue import Job, WorkQueue
from ironrail.rehearsal.standins.world import World

MISS_WORK_FRACTION = 0.1  # of a request's work, to find that its key is missing
BUSY = b"SERVER_ERROR busy\r\n"
DEFAULT_MAX_CONNECT_DELAY_SECONDS = 1.0  # if the fault doesn't say
HANG_RESET_FRACTION = 0.5  # of the connections that waited during a hang; the others are answered
IDLE_CHECK_SECONDS = 1.0  # between checks for idle connections
MAX_WAITING_COMMANDS = 100  # on one connection


class CacheServer:
    """One cache server with an endpoint for each router."""

    def __init__(self, world: World, name: str, speed: float, routers: list[str]) -> None:
        conf = world.scenario.caches
        self.world, self.name, self.zone = world, name, world.zones[name]
        self._conf = conf
        self.replies = Replies(world, name)
        self._connect_delay_draws = world.draws(f"cache.{name}.late")
        self._hang_draws = world.draws(f"cache.{name}.hang")
        self.store = Store(conf.memory)
        self.work = WorkQueue(conf.cores, speed, conf.slots, conf.queue)
        self.speed = speed
        capacity = conf.cores * speed
        self._warm_up = WarmUp(capacity, conf.cold_share, conf.warm, conf.fall_multiple, conf.fall_time)
        self.work.capacity_fraction = lambda: self._warm_up.capacity_fraction(world.now())
        self.endpoints = {
            router: FaultyEndpoint(router, lambda endpoint: CacheConnection(endpoint, self), world.listen)
            for router in routers
        }
        self.connections: dict[CacheConnection, None] = {}
        self.draining = False
        self.has_collapsed = False  # under overload
        self.id = name  # in the endpoint list; a machine that replaces this one has another
        self.started_ms = 0  # Unix time of its start in the endpoint list; 0 is long ago
        self._incarnation = 0  # of its process: work that an earlier one began is dropped
        self._hangs: set[object] = set()  # causes for which it answers nothing
        self._held: list[PendingCommand] = []  # received during a hang
        self._idle_timer = asyncio.get_running_loop().call_later(IDLE_CHECK_SECONDS, self._close_idle)

    # Connections

    def connection_opened(self, connection: CacheConnection) -> None:
        """Registers a connection; its handshake is work for the cores."""
        connection.crowded = len(self.connections) >= self._conf.connections
        self.connections[connection] = None
        record = self.world.record
        record.handshakes += 1
        record.crowded += connection.crowded
        record.most_connections = max(record.most_connections, len(self.connections))
        self.work.take(Job(self._conf.handshake, lambda: self._handshake_done(connection)))

    def _handshake_done(self, connection: CacheConnection) -> None:
        connection.ready = True
        waiting, connection.waiting = connection.waiting, []
        for pending in waiting:
            self._start(pending)

    def connection_lost(self, connection: CacheConnection) -> None:
        """Removes a connection that has ended."""
        self.connections.pop(connection, None)

    def _close_idle(self) -> None:
        oldest = self.world.now() - self._conf.idle
        for connection in list(self.connections):
            if connection.used_at <= oldest and not connection.busy() and not self._hangs:
                connection.transport.close()
        self._idle_timer = asyncio.get_running_loop().call_later(IDLE_CHECK_SECONDS, self._close_idle)

    # Requests

    def handle_command(self, pending: PendingCommand) -> None:
        """Admits or refuses a whole command; during a hang it is held."""
        self._check_overload(pending)
        if self._hangs:
            self._held.append(pending)
        else:
            self._admit(pending)

    def _admit(self, pending: PendingCommand) -> None:
        is_refused = self.draining or pending.connection.crowded or self.work.full()
        if is_refused or len(pending.connection.waiting) >= MAX_WAITING_COMMANDS:
            pending.finish(BUSY, Ended.BUSY)
        elif pending.connection.ready:
            self._start(pending)
        else:
            pending.connection.waiting.append(pending)

    def _work_of(self, pending: PendingCommand) -> float:
        one = self.world.record.tries.get(pending.command.request)
        return one.planned.work if one is not None else 0.0

    def _check_overload(self, pending: PendingCommand) -> None:
        """Goes silent when it is sent more work than it can bear while it warms up."""
        now = self.world.now()
        overload = self._warm_up.record_work(
            now, self._work_of(pending), self._is_informed(pending.connection.endpoint.router)
        )
        if self._warm_up.max_load_ratio > 0.0:
            self.world.record.cold[self.id, self.started_ms] = self._warm_up.max_load_ratio
        if overload is not None and not self.has_collapsed:
            self.has_collapsed = True
            self.world.record.collapses.append(
                CacheCollapse(now, self.id, overload.sent, overload.allowed, overload.informed)
            )
            for endpoint in self.endpoints.values():
                endpoint.begin_silence("fallen")
            self.work.clear()

    def _is_informed(self, router: str) -> bool:
        """Whether a router was told that this process has started."""
        return self.world.record.known_starts.get((router, self.id), 0) >= self.started_ms

    def _start(self, pending: PendingCommand) -> None:
        delay = self.world.round_trip_seconds(pending.connection.endpoint.router, self.zone)
        if delay > 0.0:
            asyncio.get_running_loop().call_later(delay, self._execute, pending, self._incarnation)
        else:
            self._execute(pending, self._incarnation)

    def _execute(self, pending: PendingCommand, incarnation: int) -> None:
        if incarnation != self._incarnation or pending.connection.closed:
            return
        if self._hangs:
            self._held.append(pending)
            return
        if self.work.full():
            pending.finish(BUSY, Ended.BUSY)
            return
        command = pending.command
        size = self.store.get(command.key) if command.value is None else None
        work = self._work_of(pending) * (MISS_WORK_FRACTION if size is None else 1.0)
        self.work.take(Job(work, lambda: self.replies.reply(pending, size)))

    # Faults

    def begin_fault(self, cause: object, kind: FaultKind, severity: float | None) -> None:
        """Begins a fault of replies, or delays connects by up to `severity` seconds."""
        if kind is FaultKind.LATE_CONNECT:
            max_seconds = severity if severity is not None else DEFAULT_MAX_CONNECT_DELAY_SECONDS
            for endpoint in self.endpoints.values():
                endpoint.begin_connect_delay(
                    cause, partial(self._connect_delay_draws.uniform, 0.0, max_seconds)
                )
        else:
            self.replies.begin_fault(cause, kind, severity)

    def end_fault(self, cause: object) -> None:
        """Ends the fault of this cause."""
        self.replies.end_fault(cause)
        for endpoint in self.endpoints.values():
            endpoint.end_connect_delay(cause)

    def begin_hang(self, cause: object) -> None:
        """Accepts connections but answers nothing on any of them."""
        self._hangs.add(cause)

    def end_hang(self, cause: object) -> None:
        """Resumes: some connections with held commands are answered, the others reset."""
        self._hangs.discard(cause)
        if self._hangs:
            return
        held, self._held = [pending for pending in self._held if not pending.connection.closed], []
        resets = {
            connection
            for connection in dict.fromkeys(pending.connection for pending in held)
            if self._hang_draws.random() < HANG_RESET_FRACTION
        }
        for pending in held:
            if pending.connection in resets:
                pending.connection.abandon_all(Ended.RESET)
                pending.connection.reset()
            else:
                self._admit(pending)

    def end_process(self) -> None:
        """Ends the process: connections are reset, the store is lost."""
        self._incarnation += 1
        for connection in list(self.connections):
            connection.abandon_all(Ended.RESET)
        self._held.clear()
        for endpoint in self.endpoints.values():
            endpoint.reset_all()
        self.work.clear()
        self.store.clear()

    def start_process(self) -> None:
        """Starts a new process, cold and empty."""
        self._warm_up.start(self.world.now())
        self.draining = self.has_collapsed = False
        for endpoint in self.endpoints.values():
            endpoint.end_silence("fallen")

    def close(self) -> None:
        """Ends the stand-in with the run."""
        self._idle_timer.cancel()
        for endpoint in self.endpoints.values():
            endpoint.close()
            endpoint.reset_all()
