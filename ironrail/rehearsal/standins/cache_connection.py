"""A connection of a router to a cache: commands in, answers out in the order of the commands."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from ironrail.rehearsal.account.record import Attempt, Ended
from ironrail.rehearsal.standins.faulty_endpoint import FaultyConnection, FaultyEndpoint
from ironrail.rehearsal.standins.meta_protocol import (
    CommandReader,
    InvalidMetaError,
    MetaCommand,
    client_timeout_seconds,
)
from ironrail.rehearsal.standins.world import World


class CommandHandler(Protocol):
    """What connections need of the cache server."""

    world: World
    name: str
    id: str

    def connection_opened(self, connection: CacheConnection) -> None:
        """Called once a connection is established."""

    def handle_command(self, pending: PendingCommand) -> None:
        """Called with each whole command."""

    def connection_lost(self, connection: CacheConnection) -> None:
        """Called once a connection has ended."""


@dataclass(slots=True, eq=False)
class PendingCommand:
    """A command and its answer, which is sent once all earlier commands are answered."""

    command: MetaCommand
    attempt: Attempt
    connection: CacheConnection
    answer: bytes | None = None

    def finish(self, data: bytes, ended: Ended) -> None:
        """Answers the command, if its connection is still open."""
        if not self.connection.closed:
            self.attempt.end(ended, self.connection.now())
            self.connection.answer(self, data)


class CacheConnection(FaultyConnection):
    """One connection of a router: answers are sent in the order of the commands."""

    def __init__(self, endpoint: FaultyEndpoint, cache: CommandHandler) -> None:
        super().__init__(endpoint)
        self._cache = cache
        self._reader = CommandReader()
        self._pending: deque[PendingCommand] = deque()
        self._first_at: float | None = None  # when the first byte of the next command arrived
        self.ready = False  # the handshake is done
        self.waiting: list[PendingCommand] = []  # for the handshake
        self.crowded = False  # opened beyond the cache's limit of connections: all commands are refused
        self.ignores_input = False  # it closes soon and reads no more
        self.used_at = 0.0
        # drawn once: whether a fault that affects whole connections affects this one
        self.fault_draw: float | None = None

    def now(self) -> float:
        """Seconds from the start of the measured load."""
        return self._cache.world.now()

    def opened(self) -> None:
        """Tells the cache that the connection is established."""
        self.used_at = self.now()
        self._cache.connection_opened(self)

    def received(self, data: bytes) -> None:
        """Handles all whole commands that have arrived."""
        now = self.used_at = self.now()
        if self.ignores_input:
            return
        if self._first_at is None:
            self._first_at = now
        self._reader.add(data)
        try:
            while not self.closed and (command := self._reader.next()) is not None:
                self._handle_command(command, now)
        except InvalidMetaError as e:
            if not self.late:
                self._cache.world.record.stray(now, self._cache.name, str(e))
            self.transport.close()  # even if other commands are pending
        if not self._reader.begun:
            self._first_at = None

    def _handle_command(self, command: MetaCommand, now: float) -> None:
        first_at = self._first_at if self._first_at is not None else now
        behind = bool(self._pending)
        attempt = Attempt(self._cache.id, self.endpoint.router, False, first_at, now, self.late, behind)
        attempt.announced_wait = client_timeout_seconds(command.info)
        self._first_at = now
        one = self._cache.world.record.attempt(command.request, attempt)
        if one is not None and (command.key != one.planned.key or command.value is not None):
            self._cache.world.record.stray(now, self._cache.name, f"{command.line[:120]!r} was altered")
        pending = PendingCommand(command, attempt, self)
        self._pending.append(pending)
        self._cache.handle_command(pending)

    def answer(self, pending: PendingCommand, data: bytes) -> None:
        """Sets the answer of a command, and sends it once all earlier commands are answered."""
        pending.answer = data
        while self._pending and self._pending[0].answer is not None:
            self.write(self._pending.popleft().answer or b"")
        self.used_at = self.now()

    def write_unsolicited(self, data: bytes) -> None:
        """Sends data that answers no pending command, between two answers."""
        if not self.closed:
            self.write(data)

    def is_only_pending(self, pending: PendingCommand) -> bool:
        """Whether this is the only command on the connection that has no answer yet."""
        return not self.waiting and len(self._pending) == 1

    def abandon_all(self, ended: Ended) -> None:
        """Ends the attempts of all pending commands: they will not be answered."""
        for pending in self._pending:
            pending.attempt.end(ended, self.now())

    def busy(self) -> bool:
        """Whether a command is pending or partly received."""
        return bool(self._pending) or self._reader.begun

    def lost(self) -> None:
        """Ends all attempts, and tells the cache that the connection has ended."""
        self.abandon_all(Ended.LEFT)
        self._pending.clear()
        self._cache.connection_lost(self)
