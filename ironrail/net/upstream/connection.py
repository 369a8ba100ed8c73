"""A connection to a server and an attempt on it, independent of the protocol."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Protocol, cast

from ironrail.connections.upstream import connection as upstream_connection
from ironrail.connections.upstream.connection import UpstreamConnection
from ironrail.connections.upstream.connection_fault import Fault
from ironrail.connections.upstream.reply_handler import AttemptReply
from ironrail.net.protocol.meta_codec import Command
from ironrail.net.system import Address, System
from ironrail.policy.events import AttemptStatus

MILLISECONDS_PER_SECOND = 1000


class ConnectionObserver(Protocol):
    """The pool of a connection, which receives its events."""

    system: System
    address: Address

    def on_read(
        self,
        connection: UpstreamConnection,
        replies: list[AttemptReply],
        is_partial: bool,
        fault: Fault | None,
    ) -> None:
        """Handle one read: complete replies, then a partial reply or a fault."""

    def on_stream_started(self, connection: UpstreamConnection, length: int) -> None:
        """Handle the start of a long value, of `length` bytes, in reply to the oldest attempt."""

    def on_stream_data(self, connection: UpstreamConnection, data: bytes) -> None:
        """Forward a chunk of a long value."""

    def on_client_paused(self, connection: UpstreamConnection, is_paused: bool) -> None:
        """Handle that the client of a long value reads too slowly, or has caught up."""

    def retire(self, connection: UpstreamConnection) -> None:
        """Stop using a connection that the server is about to close."""

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Handle the end of a connection."""


class LinkObserver(Protocol):
    """Collects measurements of the network link to a server's zone."""

    def on_connect_answered(self, seconds: float) -> None:
        """Record a connect that was accepted or refused after `seconds`."""

    def on_connect_timed_out(self) -> None:
        """Record that a connect timed out."""

    def on_reply(self) -> None:
        """Record that a reply was received."""

    def on_attempt_abandoned(self, seconds: float) -> None:
        """Record an attempt that was abandoned when nothing had been read for `seconds`."""


@dataclass(slots=True, eq=False)
class Attempt(upstream_connection.Attempt):
    """One attempt of a request, from its send to its one outcome."""

    command: Command
    on_ended: Callable[[Attempt, AttemptStatus, bytes], None] | None
    on_stream_started: Callable[[Attempt, int, Connection], None] | None = None
    on_stream_data: Callable[[Attempt, bytes], None] | None = None
    # called for each part of a value that is kept until it is complete, with its size in bytes;
    # returns whether there is memory for it
    reserve_buffer: Callable[[Attempt, int], bool] | None = None
    # called before the write if the attempt had to wait for a connection
    is_still_wanted: Callable[[Attempt], bool] | None = None
    # called right before the write; the argument is whether the server is ready
    may_write: Callable[[Attempt, bool], bool] | None = None
    send_by: float = math.inf  # latest time of the write
    timer: asyncio.TimerHandle | None = None
    holds_stream_memory: bool = False
    server: str = ""
    status: AttemptStatus | None = None  # the outcome

    @property
    def has_ended(self) -> bool:
        """Whether the attempt has its outcome."""
        return not self.is_open

    def finish(self, status: AttemptStatus, body: bytes) -> None:
        """Report the outcome; later ones are ignored."""
        on_ended = self.on_ended
        self.on_ended = None
        if self.timer is not None:
            self.timer.cancel()
        if on_ended is not None:
            on_ended(self, status, body)
        if self.command.value:
            # An abandoned attempt is kept until its reply arrives, but its value is not needed.
            self.command = replace(self.command, value=b"")


class Connection(asyncio.Protocol):
    """One connection and its attempts in the order written; subclasses implement the protocol."""

    transport: asyncio.Transport

    def __init__(self, pool: ConnectionObserver, upstream: UpstreamConnection) -> None:
        self.pool = pool
        self.upstream = upstream
        self._has_unread_bytes: Callable[[], bool] = lambda: False
        self._is_paused = False

    @property
    def in_flight(self) -> Sequence[Attempt]:
        """Attempts without a complete reply, including abandoned ones, oldest first."""
        return cast(Sequence[Attempt], self.upstream.in_flight)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a new transport."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class is no subclass of it
        # With a high-water mark of 0, writing is paused until the kernel has taken the last byte.
        # Until then the latest attempt can't have run.
        self.transport.set_write_buffer_limits(high=0)
        try:
            self._has_unread_bytes = self.pool.system.unread_check(self.transport)
        except OSError:  # without the check, surplus bytes would pass for the next reply
            self.transport.abort()

    def pause_writing(self) -> None:
        """Record that the kernel has not taken all bytes."""
        self.upstream.has_unsent_bytes = True

    def resume_writing(self) -> None:
        """Record that the kernel has taken all bytes."""
        self.upstream.has_unsent_bytes = False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self.pool.on_closed(self.upstream)

    def is_quiet(self) -> bool:
        """Whether nothing has arrived since the last reply, such as a duplicate of it."""
        return not self.transport.is_closing() and not self._has_unread_bytes()

    def encode(self, attempt: Attempt) -> list[bytes]:
        """Return the bytes of an attempt as it is written now."""
        raise NotImplementedError

    def remaining_milliseconds(self, attempt: Attempt) -> int:
        """Return the milliseconds until the attempt's deadline, to tell the server; at least 1."""
        seconds = attempt.deadline - self.pool.system.now()
        return max(1, int(seconds * MILLISECONDS_PER_SECOND))

    def set_paused(self, is_paused: bool) -> None:
        """Pause reading a long value while its client is slow, or resume it.

        The pool is told last: it may answer an earlier command of the same client, upon which the
        client calls this again.
        """
        if self._is_paused is is_paused or self.transport.is_closing():
            return
        self._is_paused = is_paused
        if is_paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
        self.pool.on_client_paused(self.upstream, is_paused)

    def report_read(
        self, replies: list[AttemptReply], is_partial: bool, fault: Fault | None = None
    ) -> None:
        """Report one read: complete replies, then a partial reply or a fault."""
        self.pool.on_read(self.upstream, replies, is_partial, fault)
