"""Connections to one server and the attempts that wait for one; nothing here knows a protocol."""

from __future__ import annotations

import asyncio
import logging
import math
import select
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from ironrail.net.memcache import Command
from ironrail.policy.interface import Status

log = logging.getLogger(__name__)

Address = tuple[str, int]
HALF_READ = 0.3  # seconds for a reply to end that has begun: until then all behind it wait in vain
OVERTAKEN = 0.4  # of the time for an attempt: one written so much later has its reply on another connection
LEAST_IDLE = 0.5  # seconds; what breaks after a shorter pause tells nothing of idle connections
IDLE_REGAIN = 1.03  # by each look at them: doubles in half a minute
SPARE = 2  # connections beyond the most where they break, for what waits behind another is lost with it
ROUGH = 10.0  # seconds for which they may be opened after one broke
WARN_EVERY = 5.0  # seconds between warnings about one server
IDLE_SHARE = 0.75  # of the idle limit, for a request written as the server closes ends as a reset


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request, from its send to its one outcome."""

    request: str
    number: int
    command: Command
    sent_at: float
    until: float  # when the router stops waiting for it
    report: Callable[[Attempt, Status, bytes], None] | None
    timer: asyncio.TimerHandle | None = None
    connection: Connection | None = None  # that it was written to
    written_at: float = 0.0

    def end(self, status: Status, body: bytes = b"") -> None:
        """Report the outcome; whatever comes later has nobody left to hear it."""
        report, self.report = self.report, None
        if self.timer is not None:
            self.timer.cancel()
        if report is not None:
            report(self, status, body)


Ended = tuple[Attempt, Status, bytes]


class Connection(asyncio.Protocol):
    """One connection: attempts in the order written. Subclasses write and parse."""

    transport: asyncio.Transport

    def __init__(self, pool: Pool) -> None:
        self.pool, self.address = pool, pool.address
        self.attempts: deque[Attempt] = deque()  # written and not replied to, given up ones among them
        self.opened_at = self.used_at = self.heard_at = time.monotonic()
        self.pause = 0.0  # for which it stood idle before what is out was written
        self.half_since: float | None = None  # when the reply began of which a part is still to come
        self.held_back = False  # the last bytes written are not yet with the system
        self._unread = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self._unread.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        # high water at 0 tells at once whether the last byte is out: until then the attempt never ran
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        self.held_back = True

    def resume_writing(self) -> None:
        self.held_back = False

    def quiet(self) -> bool:
        """Whether nothing has come since the last reply: a second copy would pass for the next one."""
        return not self.transport.is_closing() and not self._unread.poll(0)

    def send(self, attempt: Attempt) -> None:
        """Write an attempt behind those that are out."""
        now = time.monotonic()
        if not self.attempts:
            self.pause = now - self.used_at
        self.used_at = attempt.written_at = now
        attempt.connection = self
        self.attempts.append(attempt)
        self.transport.write(self.encode(attempt))

    def encode(self, attempt: Attempt) -> bytes:
        raise NotImplementedError

    def settle(self, ended: list[Ended], part: bool, fault: object = None) -> None:
        """Report what one read brought, once it is known whether the connection can be used again."""
        self.used_at = self.heard_at = time.monotonic()
        self.pause = 0.0
        if fault is None and part and not self.attempts:
            fault = "more than belongs to the reply"
        if fault is not None:
            self.pool.warn(fault)
            self.pool.lost(self)
            self.transport.abort()
        elif not part:
            self.half_since = None
        elif self.half_since is None or ended:
            self.half_since = self.used_at
        if not self.attempts and fault is None:
            self.pool.freed(self)
        for attempt, status, body in ended:
            attempt.end(status, body)
        if fault is not None:  # the oldest is answered, though nobody can read it; those behind never will be
            self._end_all(Status.ERROR, Status.CANCELLED)
        elif ended:
            self.pool.overtaken(ended[-1][0])

    def broken(self, fault: object) -> None:
        """Give up the connection: what its peer sends can't be told apart any more."""
        self.settle([], False, fault)

    def silent(self, attempt: Attempt) -> None:
        """Give up the connection, if nothing has come on it since an attempt that has waited long."""
        if self.heard_at <= attempt.written_at and self in self.pool:
            self.pool.warn("it fell silent")
            self.pool.lost(self)
            self.transport.abort()
            self._end_all(Status.CANCELLED, Status.CANCELLED)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.lost(self)
        if self.attempts:
            self.pool.note_pause(self.pause)
        self._end_all(Status.RESET, Status.RESET)

    def _end_all(self, oldest: Status, others: Status) -> None:
        attempts, self.attempts = self.attempts, deque()
        status = oldest
        while attempts:
            attempt = attempts.popleft()
            # guards against a needless failure: what broke before its last byte was out never ran
            unsent = self.held_back and not attempts
            attempt.end(Status.CONNECT_FAILED if unsent else status)
            status = others

    def abandoned(self) -> bool:
        """Whether nobody waits for anything on it."""
        return all(a.report is None for a in self.attempts)

    def blocked(self) -> bool:
        """Whether what is sent now would queue behind a reply that may never end."""
        return self.half_since is not None or any(a.report is None for a in self.attempts)

    def close(self) -> None:
        self.transport.close()


class Pool:
    """The connections to one server: the latest used is reused first, a new one opened when none is idle."""

    def __init__(
        self,
        name: str,
        address: Address,
        connect: Callable[[Pool], Connection],
        *,
        most: int,
        streams: int,
        connect_timeout: float,
        idle: float,
    ) -> None:
        self.name, self.address = name, address
        self.streams = streams
        self.wanted = self.most = most  # connections at once, and as many as descriptors allow
        self.connect_timeout, self._idle_limit = connect_timeout, idle * IDLE_SHARE
        self.idle_limit = self._idle_limit  # as last learned
        self.ready = True  # may be sent to; a drained or removed server may not
        # beyond the most, where one broke lately, or each is blocked by a reply that may never end
        self.spare = SPARE if streams > 1 else 0
        self._rough_until = -math.inf
        self._connect = connect
        self._loop = asyncio.get_running_loop()
        self._all: dict[Connection, None] = {}
        self._idle: list[Connection] = []  # the most recently used is last
        self._waiting: deque[Attempt] = deque()
        self._dialling: set[asyncio.Task[None]] = set()
        self._quiet_until, self._untold = 0.0, 0  # of warnings

    def __len__(self) -> int:
        return len(self._all) + len(self._dialling)

    def __contains__(self, connection: Connection) -> bool:
        return connection in self._all

    def send(self, attempt: Attempt) -> None:
        """Write an attempt to an idle connection, or have it wait for one."""
        if not self.ready:  # guards against an attempt in the queue of a server that has just gone
            attempt.end(Status.CONNECT_FAILED)
            return
        while self._idle:
            connection = self._idle.pop()
            if attempt.sent_at - connection.used_at < self.idle_limit and connection.quiet():
                connection.send(attempt)
                return
            self._drop(connection)
        spare = self.spare if attempt.sent_at < self._rough_until else 0
        if len(self) < self.most + spare or self._make_room():
            self._waiting.append(attempt)
            if len(self._dialling) < len(self._waiting):
                self._dial()
        elif self._send_behind(attempt):
            pass
        elif self._dialling:
            self._waiting.append(attempt)
        elif len(self) < self.most + self.spare:
            self._waiting.append(attempt)
            self._dial()
        else:  # no fault of the server's
            attempt.end(Status.FULL if self.streams == 1 else Status.MOOT)

    def _make_room(self) -> bool:
        """Guards against given up attempts keeping every connection: close the one given up longest."""
        for connection in self._all:
            if connection.attempts and connection.abandoned():
                self._drop(connection)
                return True
        return False

    def _send_behind(self, attempt: Attempt) -> bool:
        """At the most connections: queue behind the fewest, for answers come in order."""
        usable = [c for c in self._all if len(c.attempts) < self.streams and not c.blocked()]
        if usable:
            min(usable, key=lambda c: len(c.attempts)).send(attempt)
        return bool(usable)

    def _dial(self) -> None:
        task = self._loop.create_task(self._open())
        self._dialling.add(task)

    async def _open(self) -> None:
        task = asyncio.current_task()
        assert task is not None
        host, port = self.address
        try:
            async with asyncio.timeout(self.connect_timeout):
                _, connection = await self._loop.create_connection(lambda: self._connect(self), host, port)
            # guards against keeping one that has ended already, or that leads to where the server was
            if connection.transport.is_closing() or (host, port) != self.address:
                connection.transport.abort()
                raise ConnectionResetError
        except (OSError, TimeoutError):
            self._dialling.discard(task)
            while self._waiting:
                self._waiting.popleft().end(Status.CONNECT_FAILED)
                if self._dialling:  # which may serve the others
                    break
        else:
            self._dialling.discard(task)
            self._all[connection] = None
            self.freed(connection)

    def freed(self, connection: Connection) -> None:
        """A connection has nothing out: it takes the attempt that waits longest, or turns idle."""
        if connection not in self._all:
            return
        if not self.ready or connection.address != self.address:
            self._drop(connection)
        elif self._waiting and connection.quiet():
            connection.send(self._waiting.popleft())
            # no dial is under way for the rest
            while len(self._dialling) < len(self._waiting) and len(connection.attempts) < self.streams:
                connection.send(self._waiting.popleft())
        else:
            self._idle.append(connection)

    def lost(self, connection: Connection) -> None:
        """A connection has ended."""
        if connection.attempts and connection in self._all:
            self._rough_until = time.monotonic() + ROUGH
        self._all.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)

    def abandon(self, attempt: Attempt, status: Status) -> None:
        """Stop waiting for an attempt; if written, its connection is in use until the reply has come."""
        if attempt in self._waiting:
            self._waiting.remove(attempt)
            if status is Status.TIMEOUT:  # of a connection that never came up
                status = Status.CONNECT_FAILED
        attempt.end(status)
        if status is Status.TIMEOUT and attempt.connection is not None:
            attempt.connection.silent(attempt)
        if not self.ready:  # guards against leaks: nobody would ever close it
            self.close_idle()

    def overtaken(self, attempt: Attempt) -> None:
        """Guards against a connection that fell silent beside others that work, and swallows what is sent."""
        for connection in [c for c in self._all if c.attempts and self.streams > 1]:
            oldest = connection.attempts[0]
            if attempt.written_at - oldest.written_at > OVERTAKEN * (oldest.until - oldest.written_at):
                connection.silent(oldest)

    def note_pause(self, pause: float) -> None:
        """Guards against a server that ends idle connections sooner than it says, and does not tell."""
        if pause > LEAST_IDLE:
            self.idle_limit = max(LEAST_IDLE, min(self.idle_limit, pause / 2))

    def _drop(self, connection: Connection) -> None:
        self.lost(connection)
        connection.close()

    def close_idle(self) -> None:
        """Close what nobody waits on."""
        for connection in [c for c in self._all if c.abandoned()]:
            self._drop(connection)

    def warn(self, fault: object) -> None:
        """Guards the log against a server whose every reply is spoilt."""
        now = time.monotonic()
        if now >= self._quiet_until:
            self._quiet_until = now + WARN_EVERY
            log.warning("closing a connection to %s: %s (%d not told)", self.name, fault, self._untold)
            self._untold = 0
        else:
            self._untold += 1

    def expire(self) -> None:
        """Close what has stood idle for nearly as long as the server allows, and what stopped midway."""
        now = time.monotonic()
        for connection in [c for c in self._all if c.half_since is not None]:
            if now - (connection.half_since or now) >= HALF_READ:
                connection.broken("a reply that does not end")
        self.idle_limit = min(self._idle_limit, self.idle_limit * IDLE_REGAIN)
        oldest = now - self.idle_limit
        for connection in [c for c in self._all if c.used_at <= oldest and c.abandoned()]:
            self._drop(connection)

    def stop(self) -> None:
        """The server drains or is gone: nothing new goes out, what is out may end."""
        self.ready = False
        while self._waiting:
            self._waiting.popleft().end(Status.CONNECT_FAILED)
        self.close_idle()

    def restart(self, started_at: float) -> None:
        """The server is a new process since then: older connections lead nowhere."""
        for connection in [c for c in self._all if c.opened_at < started_at]:
            self.lost(connection)
            connection.transport.abort()

    def move(self, address: Address) -> None:
        """Connections opened from now on go to another address."""
        self.address = address
        for connection in list(self._idle):
            self._drop(connection)
