"""Clients: they send what the schedule says when it says so, wait so long, and try again by themselves.

An open loop: nothing that a router does holds up a first try. Each try has a connection of its own while it
lasts; those that are free again are used again, the latest first.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ironrail.rehearsal.account.record import CLIENT_LEFT, Outcome, Try
from ironrail.rehearsal.account.rules import KIT_LATENESS_SECONDS, LATE_ANSWER_TOLERANCE_SECONDS
from ironrail.rehearsal.draws import stream, token
from ironrail.rehearsal.load.schedule import Planned
from ironrail.rehearsal.scenario.model import Repeats, RequestClass
from ironrail.rehearsal.standins.clientpool import ClientConnection, ClientPool
from ironrail.rehearsal.standins.front import Front
from ironrail.rehearsal.standins.meta import write_command
from ironrail.rehearsal.standins.world import World

CLIENTS_SHARE = 1 / 3  # of a router's descriptors: what all clients together open at it
MOST_NAMED_WAIT = 2.0  # seconds that a client stays away at the most, whatever a refusal names
LEAVES_AFTER = 0.15, 0.5  # of the time that it told the router, for a client that gives up early


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
        self._stay_draws, self._leave_draws = world.draws("clients.stay"), world.draws("clients.leave")
        self._waiting: dict[str, Waiting] = {}
        self._pending = 0  # retries to come
        self._quiet = asyncio.Event()
        self.excused: Callable[[Try], str] = lambda one: ""
        self.staying_share = 0.0  # of all tries that go on there, if not that router's own share

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
        own = planned.own_connection and number == 0
        stays = None if own or not self._conf.stay else self._stay(now + patience)
        if stays is not None:
            router = stays.router
        name = token(self.world.seed, f"request.{planned.number}.{number}")
        one = Try(name, planned, number, router, now, now + patience)
        self.world.record.begin(one)
        data = self._command(planned, name, patience, number)
        early = self._leaves_after(kind, patience)
        limit = patience + LATE_ANSWER_TOLERANCE_SECONDS + KIT_LATENESS_SECONDS if early is None else early
        timer = self._loop.call_later(limit, self._time_is_up, name, early is not None)
        self._waiting[name] = Waiting(one, timer, data)
        if stays is not None:
            stays.send(one, data)
        else:
            self.pools[router].send(one, data, own)

    def _stay(self, due: float) -> ClientConnection | None:
        """A connection to a router that was told to end, for clients that keep to it while it is open.

        They go on with the share of all tries that was that router's once nobody new is sent there.
        """
        told = [router for router in self._front.told if not self._front.routers[router].alive]
        for router in told:
            share = self._conf.stay / len(self._front.routers)
            if self.staying_share:
                share = self.staying_share / len(told)
            if self._stay_draws.random() < share:
                return self.pools[router].take_open(due, oldest=bool(self.staying_share))
        return None

    def _leaves_after(self, kind: RequestClass, patience: float) -> float | None:
        """Seconds after which a client gives up before its time is up, which it can where it may repeat."""
        if not self._conf.leave or kind.repeats is not Repeats.SAFE:
            return None
        if self._leave_draws.random() >= self._conf.leave:
            return None
        return patience * self._leave_draws.uniform(*LEAVES_AFTER)

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

    def _time_is_up(self, name: str, early: bool) -> None:
        waiting = self._waiting.get(name)
        if waiting is None:
            return
        one = waiting.one
        if early:
            one.excuse = self.excused(one) or CLIENT_LEFT
        for connection in list(self.pools[one.router].all):
            if one in connection.out:
                connection.give_up(one)
        self._end(one, Outcome.UNANSWERED)
        self._again(one, None)

    def leave(self, share: float) -> None:
        """Such a share of those that wait, and may repeat, give up at one moment."""
        for name, waiting in list(self._waiting.items()):
            kind = self.world.scenario.class_of(waiting.one.planned.kind)
            if kind.repeats is Repeats.SAFE and self._leave_draws.random() < share:
                waiting.timer.cancel()
                self._time_is_up(name, early=True)

    def router_killed(self, router: str) -> None:
        """A router that was told to end is killed now: what it has taken and not answered is lost."""
        now = self.world.now()
        for connection in self.pools[router].all:
            for one in connection.out:
                if one.request in self._waiting and one.sent_at < now - KIT_LATENESS_SECONDS:
                    one.killed_at = now

    def unconnected(self, one: Try) -> None:
        """No connection came up."""
        self._end(one, Outcome.UNCONNECTED)
        self._again(one, None)

    def closed(self, one: Try, uses: int) -> None:
        """The connection ended without an answer."""
        waiting = self._waiting.get(one.request)
        if waiting is None:
            return
        killed = one.killed_at is not None
        if uses > 1 and not one.attempts and not killed and not self.excused(one):
            # the router closed it as this was sent
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
