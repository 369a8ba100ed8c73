"""The connections of clients to one router, and how each of them is used."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any, Protocol, cast

from ironrail.rehearsal.account.record import Outcome, ReceivedAnswer, Try, value_digest
from ironrail.rehearsal.standins.meta import Answer, AnswerReader, NotMeta
from ironrail.rehearsal.standins.world import World

CONNECT_PATIENCE = 0.5  # seconds for a connection to come up
OUTCOMES = {"VA": Outcome.SERVED, "HD": Outcome.SERVED, "busy": Outcome.REFUSED}
MOST_BEHIND = 3  # commands behind one that is held: routers take more


class Asking(Protocol):
    """Those whose tries go out on these connections."""

    world: World

    def ended(self, one: Try, retry_after: float | None) -> None:
        """It has its answer."""

    def closed(self, one: Try, uses: int) -> None:
        """The connection ended without an answer."""

    def unconnected(self, one: Try) -> None:
        """No connection came up."""


class ClientConnection(asyncio.Protocol):
    """One connection of a client, with one request out at a time, or some behind each other."""

    transport: asyncio.Transport

    def __init__(self, pool: ClientPool) -> None:
        self._pool = pool
        self._reader = AnswerReader()
        self.out: deque[Try] = deque()  # in the order in which answers come
        self._left: set[Try] = set()  # of these, whose answer is not awaited any more
        self._last: Try | None = None
        self.uses = 0
        self.kept = True  # to be used again

    @property
    def router(self) -> str:
        return self._pool.router

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, one: Try, data: bytes) -> None:
        self.out.append(one)
        self.uses += 1
        one.first_on_connection = self.uses == 1
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self._reader.add(data)
        try:
            while (answer := self._reader.next()) is not None:
                self._take(answer)
        except NotMeta:
            self._spoilt()

    def _take(self, answer: Answer) -> None:
        now = self._pool.clients.world.now()
        asked = bool(self.out)
        one = self.out.popleft() if asked else self._last
        if one is None:
            return  # a word of farewell on a connection never used, such as that there are too many
        value = value_digest(answer.body) if answer.kind in ("VA", "HD") else None
        one.answers.append(ReceivedAnswer(now, answer.kind, answer.request, value, answer.retry_after))
        if not asked:
            return
        self._last = one
        if not self.out:
            self._pool.freed(self)
        if one not in self._left:
            one.end(OUTCOMES.get(answer.kind, Outcome.FAILED), now)
            self._pool.clients.ended(one, answer.retry_after)

    def _spoilt(self) -> None:
        """An answer that can't be read: the client can tell that it is not whole, so it has failed."""
        self.transport.abort()
        self._break(unread="unreadable")

    def _break(self, unread: str) -> None:
        """It has ended. `unread` tells what has come of the first answer, if anything."""
        out, self.out = [one for one in self.out if one not in self._left], deque()
        for one in out:
            if unread:
                now = self._pool.clients.world.now()
                one.answers.append(ReceivedAnswer(now, unread, "", None, None))
                one.end(Outcome.FAILED, now)
                self._pool.clients.ended(one, None)
            else:
                self._pool.clients.closed(one, self.uses)
            unread = ""

    def takes_behind(self, due: float) -> bool:
        """Whether one more may be written behind what is out on it, all of which is due before.

        Answers come in order: behind one that may wait for longer none could come in time.
        """
        if self.transport.is_closing() or not self.kept or self._left:
            return False
        return 0 < len(self.out) <= MOST_BEHIND and all(other.due <= due for other in self.out)

    def give_up(self, one: Try) -> None:
        """The client stops waiting for one; with nothing else out the connection goes too."""
        self._left.add(one)
        if all(other in self._left for other in self.out):
            for other in self.out:
                other.left_at = self._pool.clients.world.now()
            self.out.clear()
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._pool.lost(self)
        self._break("cut-off" if self._reader.begun else "")


class ClientPool:
    """The connections of all clients to one router."""

    def __init__(
        self, clients: Asking, router: str, address: tuple[str, int], most: int, source: str = ""
    ) -> None:
        """`source`: the address that they come from, where it matters."""
        self.clients, self.router = clients, router
        self._from: dict[str, Any] = {"local_addr": (source, 0)} if source else {}
        self._address, self._most = address, most
        self._idle: deque[ClientConnection] = deque()
        self.all: dict[ClientConnection, None] = {}
        self._opening = 0
        self._pipelined = clients.world.scenario.clients.pipelined
        self._draws = clients.world.draws(f"clients.pipelined.{router}")
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, one: Try, data: bytes, own: bool) -> None:
        """Send on a connection that is free, or on a new one; some go behind one that waits."""
        behind = self._pipelined and not own and self._draws.random() < self._pipelined
        connection = self._behind(one.due) if behind else None
        if connection is None and not own:
            connection = self._free()
        if connection is not None:
            connection.send(one, data)
            return
        if len(self.all) + self._opening >= self._most:
            if self._idle:  # a client's own connection is as good as none where there are no more
                self.send(one, data, False)
            else:
                self.clients.unconnected(one)
            return
        self._opening += 1
        task = asyncio.get_running_loop().create_task(self._open(one, data, own))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def take_open(self, due: float, oldest: bool = False) -> ClientConnection | None:
        """A connection that a client may go on with: free or, where clients pipeline, with others out.

        `oldest`: the one that was free for longest, so that all of them stay in use.
        """
        return self._free(oldest) or (self._behind(due) if self._pipelined else None)

    def _free(self, oldest: bool = False) -> ClientConnection | None:
        while self._idle:
            connection = self._idle.popleft() if oldest else self._idle.pop()
            if not connection.transport.is_closing():
                return connection
        return None

    def _behind(self, due: float) -> ClientConnection | None:
        return next((connection for connection in self.all if connection.takes_behind(due)), None)

    async def _open(self, one: Try, data: bytes, own: bool) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_PATIENCE):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self), *self._address, **self._from
                )
        except (OSError, TimeoutError):
            self._opening -= 1
            self.clients.unconnected(one)
            return
        self._opening -= 1
        self.all[connection] = None
        connection.kept = not own
        if one.outcome is Outcome.OPEN:  # its time may be up
            connection.send(one, data)
        else:
            connection.transport.close()

    def freed(self, connection: ClientConnection) -> None:
        if connection.kept and not connection.transport.is_closing():
            self._idle.append(connection)

    def lost(self, connection: ClientConnection) -> None:
        self.all.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        for connection in list(self.all):
            connection.transport.abort()
