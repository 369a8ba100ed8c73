"""Clients: they send what the schedule says when it says so, wait so long, and try again by themselves.

An open loop: nothing that a router does holds up a first try. Each try has a connection of its own while it
lasts; those that are free again are used again, the latest first.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from ironrail.rehearsal.account.record import Given, Outcome, Try, value_digest
from ironrail.rehearsal.account.rules import LATE_GRANTED, OWN_SLACK
from ironrail.rehearsal.draws import stream, token
from ironrail.rehearsal.load.schedule import Planned
from ironrail.rehearsal.scenario.model import Repeats
from ironrail.rehearsal.standins.front import Front
from ironrail.rehearsal.standins.meta import Answer, AnswerReader, NotMeta, write_command
from ironrail.rehearsal.standins.world import World

CONNECT_PATIENCE = 0.5  # seconds for a connection to come up
CLIENTS_SHARE = 1 / 3  # of a router's descriptors: what all clients together open at it
MOST_NAMED_WAIT = 2.0  # seconds that a client stays away at the most, whatever a refusal names
OUTCOMES = {"VA": Outcome.SERVED, "HD": Outcome.SERVED, "busy": Outcome.REFUSED}


class ClientConnection(asyncio.Protocol):
    """One connection of a client, with one request out at a time."""

    transport: asyncio.Transport

    def __init__(self, pool: ClientPool) -> None:
        self._pool = pool
        self._reader = AnswerReader()
        self.current: Try | None = None
        self._last: Try | None = None
        self.given_up = False
        self.uses = 0
        self.kept = True  # to be used again

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, one: Try, data: bytes) -> None:
        self.current = one
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
        one = self.current or self._last
        if one is None:
            return  # a word of farewell on a connection never used, such as that there are too many
        value = value_digest(answer.body) if answer.kind in ("VA", "HD") else None
        one.answers.append(Given(now, answer.kind, answer.request, value, answer.retry_after))
        if self.current is None:
            return
        self.current, self._last = None, one
        one.end(OUTCOMES.get(answer.kind, Outcome.FAILED), now)
        if not self.given_up:
            self._pool.freed(self)
        self._pool.clients.ended(one, answer.retry_after)

    def _spoilt(self) -> None:
        """An answer that can't be read: the client can tell that it is not whole, so it has failed."""
        one, self.current = self.current, None
        self.transport.abort()
        if one is not None:
            now = self._pool.clients.world.now()
            one.answers.append(Given(now, "unreadable", "", None, None))
            one.end(Outcome.FAILED, now)
            self._pool.clients.ended(one, None)

    def give_up(self) -> None:
        """The client stops waiting."""
        self.given_up = True
        self.current = None
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._pool.lost(self)
        one, self.current = self.current, None
        if one is None:
            return
        if self._reader.begun:  # cut off midway: failed, as the client can tell
            now = self._pool.clients.world.now()
            one.answers.append(Given(now, "cut-off", "", None, None))
            one.end(Outcome.FAILED, now)
            self._pool.clients.ended(one, None)
        else:
            self._pool.clients.closed(one, self.uses)


class ClientPool:
    """The connections of all clients to one router."""

    def __init__(self, clients: Clients, router: str, address: tuple[str, int], most: int) -> None:
        self.clients, self.router = clients, router
        self._address, self._most = address, most
        self._idle: deque[ClientConnection] = deque()
        self.all: dict[ClientConnection, None] = {}
        self._opening = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, one: Try, data: bytes, own: bool) -> None:
        """Send on a connection that is free, or on a new one."""
        while self._idle and not own:
            connection = self._idle.pop()
            if not connection.transport.is_closing():
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

    async def _open(self, one: Try, data: bytes, own: bool) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_PATIENCE):
                _, connection = await loop.create_connection(lambda: ClientConnection(self), *self._address)
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

    def holding(self) -> list[Try]:
        """What its router owes an answer now."""
        return [c.current for c in self.all if c.current is not None]

    def close(self) -> None:
        for connection in list(self.all):
            connection.transport.abort()


@dataclass(slots=True)
class Waiting:
    """A try whose answer is awaited."""

    one: Try
    timer: asyncio.TimerHandle
    data: bytes


class Clients:
    """All clients of a run."""

    def __init__(self, world: World, front: Front, addresses: dict[str, tuple[str, int]]) -> None:
        self.world, self._front = world, front
        scenario = world.scenario
        self._conf = scenario.clients
        self._loop = asyncio.get_running_loop()
        most = int(scenario.routers.descriptors * CLIENTS_SHARE)
        self.pools = {r: ClientPool(self, r, a, most) for r, a in addresses.items()}
        self._front_draws = world.draws("front")
        self._waiting: dict[str, Waiting] = {}
        self._pending = 0  # retries to come
        self._quiet = asyncio.Event()
        self.excused: Callable[[Try], str] = lambda one: ""

    # Tries

    def send(self, planned: Planned) -> None:
        """A first try is due."""
        self._try(planned, 0)

    def _try(self, planned: Planned, number: int) -> None:
        now = self.world.now()
        kind = self.world.scenario.class_of(planned.kind)
        left = planned.at + kind.give_up - now
        patience = min(kind.give_up * self._conf.try_share, left)
        if patience <= 0.01:
            return
        router = self._front.choose(planned.hall, now, self._front_draws)
        name = token(self.world.seed, f"request.{planned.number}.{number}")
        one = Try(name, planned, number, router, now, now + patience)
        self.world.record.begin(one)
        data = self._command(planned, name, patience, number)
        timer = self._loop.call_later(patience + LATE_GRANTED + OWN_SLACK, self._time_is_up, name)
        self._waiting[name] = Waiting(one, timer, data)
        self.pools[router].send(one, data, planned.own_connection and number == 0)

    def _command(self, planned: Planned, name: str, patience: float, number: int) -> bytes:
        info = {"c": planned.kind, "t": planned.title, "d": f"{patience * 1000:.0f}"}
        if planned.idempotency:
            info["k"] = planned.idempotency
        if number:
            info["r"] = "1"
        info["h"] = f"{planned.hint * 1e6:.0f}"
        info["size"] = str(planned.size)
        write = self.world.scenario.class_of(planned.kind).write
        return write_command(planned.key, name, info, b"w" * planned.size if write else None)

    def _time_is_up(self, name: str) -> None:
        waiting = self._waiting.get(name)
        if waiting is None:
            return
        one = waiting.one
        for connection in list(self.pools[one.router].all):
            if connection.current is one:
                connection.give_up()
        self._end(one, Outcome.UNANSWERED)
        self._again(one, None)

    def unconnected(self, one: Try) -> None:
        """No connection came up."""
        self._end(one, Outcome.UNCONNECTED)
        self._again(one, None)

    def closed(self, one: Try, uses: int) -> None:
        """The connection ended without an answer."""
        waiting = self._waiting.get(one.request)
        if waiting is None:
            return
        if uses > 1 and not one.attempts and not self.excused(one):  # the router closed it as this was sent
            self.pools[one.router].send(one, waiting.data, True)
            return
        self._end(one, Outcome.CLOSED)
        self._again(one, None)

    def ended(self, one: Try, retry_after: float | None) -> None:
        """It has its answer."""
        one.excuse = one.excuse or self.excused(one)
        self._drop(one)
        if one.outcome is not Outcome.SERVED:
            self._again(one, retry_after)

    def _end(self, one: Try, outcome: Outcome) -> None:
        one.excuse = one.excuse or self.excused(one)
        one.end(outcome, self.world.now())
        self._drop(one)

    def _drop(self, one: Try) -> None:
        waiting = self._waiting.pop(one.request, None)
        if waiting is not None:
            waiting.timer.cancel()
        self._check_quiet()

    # Retries

    def _again(self, one: Try, retry_after: float | None) -> None:
        """Try once more where that is harmless, and worth it."""
        planned, number = one.planned, one.number + 1
        kind = self.world.scenario.class_of(planned.kind)
        harmless = one.outcome in (Outcome.REFUSED, Outcome.UNCONNECTED) or kind.repeats is not Repeats.NEVER
        if number > self._conf.retries or not harmless:
            return
        draws = stream(self.world.seed, f"retry.{planned.number}.{number}")
        wait = self._conf.wait * draws.uniform(0.5, 1.5)
        if retry_after is not None and draws.random() < self._conf.honour:
            wait = min(retry_after, MOST_NAMED_WAIT)
        now, first = self.world.now(), planned.at
        until = first + (kind.window if kind.repeats is Repeats.KEYED else kind.give_up)
        if now + wait >= min(until, first + kind.give_up):
            return
        self._pending += 1
        self._loop.call_later(wait, self._retry, planned, number)

    def _retry(self, planned: Planned, number: int) -> None:
        self._pending -= 1
        self._try(planned, number)
        self._check_quiet()

    # The end

    def _check_quiet(self) -> None:
        if not self._waiting and not self._pending:
            self._quiet.set()

    async def quiet(self) -> None:
        """Wait until nothing is out and no retry is to come."""
        while self._waiting or self._pending:
            self._quiet.clear()
            await self._quiet.wait()

    def waiting(self) -> int:
        return len(self._waiting)

    def close(self) -> None:
        for waiting in self._waiting.values():
            waiting.timer.cancel()
        for pool in self.pools.values():
            pool.close()
