"""The connections of clients to one router."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any, Protocol, cast

from ironrail.rehearsal.account.record import Outcome, ReceivedAnswer, Try, value_digest
from ironrail.rehearsal.standins.meta_protocol import Answer, AnswerReader, InvalidMetaError
from ironrail.rehearsal.standins.world import World

CONNECT_TIMEOUT_SECONDS = 0.5
OUTCOMES = {"VA": Outcome.SERVED, "HD": Outcome.SERVED, "busy": Outcome.REFUSED}
MAX_PIPELINED_BEHIND = 3  # commands behind one that is unanswered; routers accept more


class AnswerHandler(Protocol):
    """What connections need of the clients whose tries they carry."""

    world: World

    def try_ended(self, one: Try, retry_after: float | None) -> None:
        """Called once a try has its answer."""

    def connection_closed(self, one: Try, uses: int) -> None:
        """Called when the connection ended without an answer, after `uses` requests on it."""

    def connect_failed(self, one: Try) -> None:
        """Called when no connection could be established."""


class ClientConnection(asyncio.Protocol):
    """One connection of a client, with one request at a time, or several if clients pipeline."""

    transport: asyncio.Transport

    def __init__(self, pool: ClientPool) -> None:
        self._pool = pool
        self._reader = AnswerReader()
        self.in_flight: deque[Try] = deque()  # in the order in which answers come
        self._abandoned: set[Try] = set()  # those of them whose answer the client no longer awaits
        self._latest: Try | None = None  # the latest that was answered
        self.uses = 0
        self.kept = True  # it is reused

    @property
    def router(self) -> str:
        """Name of the router."""
        return self._pool.router

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, one: Try, data: bytes) -> None:
        """Sends a try."""
        self.in_flight.append(one)
        self.uses += 1
        one.first_on_connection = self.uses == 1
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Handles all whole answers that have arrived."""
        self._reader.add(data)
        try:
            while (answer := self._reader.next()) is not None:
                self._handle_answer(answer)
        except InvalidMetaError:
            self._fail_unreadable()

    def _handle_answer(self, answer: Answer) -> None:
        now = self._pool.clients.world.now()
        is_expected = bool(self.in_flight)
        one = self.in_flight.popleft() if is_expected else self._latest
        if one is None:
            return  # unsolicited, on an unused connection: such as a refusal of the connection
        value = value_digest(answer.body) if answer.kind in ("VA", "HD") else None
        one.answers.append(ReceivedAnswer(now, answer.kind, answer.request, value, answer.retry_after))
        if not is_expected:
            return
        self._latest = one
        if not self.in_flight:
            self._pool.connection_freed(self)
        if one not in self._abandoned:
            one.end(OUTCOMES.get(answer.kind, Outcome.FAILED), now)
            self._pool.clients.try_ended(one, answer.retry_after)

    def _fail_unreadable(self) -> None:
        """Fails the try: its client can tell that the answer isn't whole."""
        self.transport.abort()
        self._end_in_flight(partial_answer="unreadable")

    def _end_in_flight(self, partial_answer: str) -> None:
        """Ends all tries in flight.

        `partial_answer` says what has arrived of the first answer; empty for nothing.
        """
        in_flight, self.in_flight = [one for one in self.in_flight if one not in self._abandoned], deque()
        for one in in_flight:
            if partial_answer:
                now = self._pool.clients.world.now()
                one.answers.append(ReceivedAnswer(now, partial_answer, "", None, None))
                one.end(Outcome.FAILED, now)
                self._pool.clients.try_ended(one, None)
            else:
                self._pool.clients.connection_closed(one, self.uses)
            partial_answer = ""

    def accepts_pipelined(self, due: float) -> bool:
        """Whether one more request may be sent behind those in flight, which are all due before it.

        Answers come in order: behind a request that may wait longer, none could be answered in
        time.
        """
        if self.transport.is_closing() or not self.kept or self._abandoned:
            return False
        return 0 < len(self.in_flight) <= MAX_PIPELINED_BEHIND and all(
            other.due <= due for other in self.in_flight
        )

    def give_up(self, one: Try) -> None:
        """Abandons a try; with nothing else in flight the connection is closed."""
        self._abandoned.add(one)
        if all(other in self._abandoned for other in self.in_flight):
            for other in self.in_flight:
                other.left_at = self._pool.clients.world.now()
            self.in_flight.clear()
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends all tries that are in flight."""
        self._pool.connection_lost(self)
        self._end_in_flight("cut-off" if self._reader.begun else "")


class ClientPool:
    """The connections of all clients to one router."""

    def __init__(
        self,
        clients: AnswerHandler,
        router: str,
        address: tuple[str, int],
        max_connections: int,
        source: str = "",
    ) -> None:
        """`source`: the local address of the connections; empty lets the system choose."""
        self.clients, self.router = clients, router
        self._connect_options: dict[str, Any] = {"local_addr": (source, 0)} if source else {}
        self._address, self._max_connections = address, max_connections
        self._idle: deque[ClientConnection] = deque()
        self.all: dict[ClientConnection, None] = {}
        self._num_connecting = 0
        self._pipelined = clients.world.scenario.clients.pipelined
        self._draws = clients.world.draws(f"clients.pipelined.{router}")
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, one: Try, data: bytes, own: bool) -> None:
        """Sends a try on an idle or a new connection; some are pipelined behind others.

        `own`: on a new connection that is not reused.
        """
        is_pipelined = self._pipelined and not own and self._draws.random() < self._pipelined
        connection = self._find_pipelined(one.due) if is_pipelined else None
        if connection is None and not own:
            connection = self._take_idle()
        if connection is not None:
            connection.send(one, data)
            return
        if len(self.all) + self._num_connecting >= self._max_connections:
            if self._idle:  # at the limit an idle connection serves instead of an own one
                self.send(one, data, False)
            else:
                self.clients.connect_failed(one)
            return
        self._num_connecting += 1
        task = asyncio.get_running_loop().create_task(self._connect(one, data, own))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def take_open(self, due: float, oldest: bool = False) -> ClientConnection | None:
        """Returns an open connection: an idle one or, where clients pipeline, one in use.

        `oldest`: prefers the one that was idle for longest, so that all of them stay in use.
        """
        return self._take_idle(oldest) or (self._find_pipelined(due) if self._pipelined else None)

    def _take_idle(self, oldest: bool = False) -> ClientConnection | None:
        while self._idle:
            connection = self._idle.popleft() if oldest else self._idle.pop()
            if not connection.transport.is_closing():
                return connection
        return None

    def _find_pipelined(self, due: float) -> ClientConnection | None:
        return next((connection for connection in self.all if connection.accepts_pipelined(due)), None)

    async def _connect(self, one: Try, data: bytes, own: bool) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self), *self._address, **self._connect_options
                )
        except (OSError, TimeoutError):
            self._num_connecting -= 1
            self.clients.connect_failed(one)
            return
        self._num_connecting -= 1
        self.all[connection] = None
        connection.kept = not own
        if one.outcome is Outcome.OPEN:  # it may have timed out meanwhile
            connection.send(one, data)
        else:
            connection.transport.close()

    def connection_freed(self, connection: ClientConnection) -> None:
        """A connection has nothing in flight any more."""
        if connection.kept and not connection.transport.is_closing():
            self._idle.append(connection)

    def connection_lost(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        self.all.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        """Aborts all connections."""
        for connection in list(self.all):
            connection.transport.abort()
