"""One connection to a server, and an attempt on it. Nothing here knows a protocol."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Protocol, cast

from ironrail.connections.upstream import pool_manager
from ironrail.connections.upstream.pool_manager import Reply, UpstreamConnection
from ironrail.net.protocol.meta_codec import MAX_BUFFERED_VALUE_BYTES, Command
from ironrail.net.system import Address, System
from ironrail.policy.events import AttemptStatus


class ConnectionObserver(Protocol):
    """Who is told of what happens on a connection: the pool that it belongs to."""

    system: System
    address: Address

    def read(
        self, link: UpstreamConnection, replies: list[Reply], part: bool, fault: object
    ) -> None:
        """One read brought whole replies in order, a part of another, or what is none."""

    def began(self, link: UpstreamConnection, length: int) -> None:
        """A long value comes as the reply to the oldest attempt."""

    def piece(self, link: UpstreamConnection, data: bytes) -> None:
        """Some of it has come."""

    def taken(self, link: UpstreamConnection, full: bool) -> None:
        """The client of a long value takes no more for now, or again."""

    def retire(self, link: UpstreamConnection) -> None:
        """The server is going to end it."""

    def ended(self, link: UpstreamConnection) -> None:
        """It has ended."""


class LinkObserver(Protocol):
    """Who is told of the way to a server."""

    def connected(self, seconds: float) -> None:
        """A connection came up, or was refused at once: somebody answered."""

    def unconnected(self) -> None:
        """Nothing answered a connect."""

    def heard(self) -> None:
        """A reply."""

    def silent(self, seconds: float) -> None:
        """An attempt was given up, and for so long not a byte had come on its connection."""


@dataclass(slots=True, eq=False)
class Attempt(pool_manager.Attempt):
    """One attempt of a request, from its send to its one outcome."""

    command: Command
    report: Callable[[Attempt, AttemptStatus, bytes], None] | None
    begun: Callable[[Attempt, int, Connection], None] | None = None  # a long value comes in pieces
    piece: Callable[[Attempt, bytes], None] | None = None
    # asked before it is written, where it had to wait
    wanted: Callable[[Attempt], bool] | None = None
    # asked as it is written; whether its server is ready
    may_send: Callable[[Attempt, bool], bool] | None = None
    begin_by: float = math.inf  # on the host's clock; after that nothing of it may be sent
    timer: asyncio.TimerHandle | None = None
    lent: bool = False  # it has room for a long value
    server: str = ""
    outcome: AttemptStatus | None = None  # once it has one

    def end(self, status: AttemptStatus, body: bytes) -> None:
        """Report the outcome; whatever comes later has nobody left to hear it."""
        report, self.report = self.report, None
        if self.timer is not None:
            self.timer.cancel()
        if report is not None:
            report(self, status, body)
        if (
            self.command.value and len(self.command.value) > MAX_BUFFERED_VALUE_BYTES
        ):  # guards memory: it waits for its reply
            self.command = replace(self.command, value=b"")


class Connection(asyncio.Protocol):
    """One connection: attempts in the order written. Subclasses write and parse."""

    transport: asyncio.Transport

    def __init__(self, pool: ConnectionObserver, link: UpstreamConnection) -> None:
        self.pool, self.link = pool, link
        self._unread: Callable[[], bool] = lambda: False
        self._held = False  # nothing is read for now

    @property
    def attempts(self) -> Sequence[Attempt]:
        """Written and not replied to, given up ones among them; the oldest is first."""
        return cast(Sequence[Attempt], self.link.out)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self._unread = self.pool.system.unread_check(self.transport)
        # high water at 0 tells at once whether the last byte is out: until then the attempt never ran
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        self.link.held_back = True

    def resume_writing(self) -> None:
        self.link.held_back = False

    def quiet(self) -> bool:
        """Whether nothing has come since the last reply: a second copy would pass for the next one."""
        return not self.transport.is_closing() and not self._unread()

    def encode(self, attempt: Attempt) -> list[bytes]:
        raise NotImplementedError

    def wait_ms(self, attempt: Attempt) -> int:
        """What its server is told of the time that is left as it is written: never more than that."""
        return max(1, int((attempt.until - self.pool.system.now()) * 1000))

    def hold(self, full: bool) -> None:
        """The client of a long value takes no more for now, or again: what it does not take is not read."""
        if self._held is not full and not self.transport.is_closing():
            self._held = full
            self.pool.taken(self.link, full)
            if full:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def settle(self, replies: list[Reply], part: bool, fault: object = None) -> None:
        """Tell what one read brought: whole replies in order, a part of another, or what is none."""
        self.pool.read(self.link, replies, part, fault)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.ended(self.link)
