"""Clients: they send what the schedule says at its time, wait for a limited time, and retry.

The load is an open loop: nothing that a router does delays a first try. Each try has a connection
of its own while it lasts (unless clients pipeline); idle connections are reused, the latest first.
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
from ironrail.rehearsal.standins.client_pool import ClientConnection, ClientPool
from ironrail.rehearsal.standins.load_balancer import LoadBalancer
from ironrail.rehearsal.standins.meta_protocol import write_command
from ironrail.rehearsal.standins.world import World

MAX_DESCRIPTORS_FRACTION = 1 / 3  # of a router's descriptors: what all clients together open at it
MAX_RETRY_AFTER_SECONDS = 2.0  # a client waits no longer, whatever a refusal asks for
EARLY_LEAVE_FRACTIONS = 0.15, 0.5  # of the stated timeout, for a client that gives up early


@dataclass(slots=True)
class OpenTry:
    """A try whose answer is awaited."""

    one: Try
    timer: asyncio.TimerHandle
    data: bytes


class Clients:
    """All clients of a run."""

    def __init__(
        self, world: World, load_balancer: LoadBalancer, addresses: dict[str, tuple[str, int]]
    ) -> None:
        self.world, self._load_balancer = world, load_balancer
        scenario = world.scenario
        self._conf = scenario.clients
        self._loop = asyncio.get_running_loop()
        max_connections = int(scenario.routers.descriptors * MAX_DESCRIPTORS_FRACTION)
        self.pools = {r: ClientPool(self, r, a, max_connections) for r, a in addresses.items()}
        self._choice_draws = world.draws("front")
        self._stay_draws, self._leave_draws = world.draws("clients.stay"), world.draws("clients.leave")
        self._open_tries: dict[str, OpenTry] = {}  # by request id
        self._num_scheduled_retries = 0
        self._idle = asyncio.Event()
        # why a failure of this try is not the router's fault; empty if it is
        self.excuse_of: Callable[[Try], str] = lambda one: ""
        # of all tries that stay at routers told to terminate; 0: those routers' own shares
        self.staying_share = 0.0

    # Tries

    def send(self, planned: Planned) -> None:
        """Sends the first try of a request."""
        self._try(planned, 0)

    def _try(self, planned: Planned, number: int) -> None:
        now = self.world.now()
        kind = self.world.scenario.class_of(planned.kind)
        left = planned.at + kind.give_up - now
        timeout = min(kind.give_up * self._conf.try_share, left)
        if timeout <= 0.01:
            return
        router = self._load_balancer.choose(planned.hall, now, self._choice_draws)
        own = planned.own_connection and number == 0
        kept = None if own or not self._conf.stay else self._connection_to_keep(now + timeout)
        if kept is not None:
            router = kept.router
        name = token(self.world.seed, f"request.{planned.number}.{number}")
        one = Try(name, planned, number, router, now, now + timeout)
        self.world.record.begin(one)
        data = self._encode(planned, name, timeout, number)
        early = self._early_leave_after(kind, timeout)
        limit = timeout + LATE_ANSWER_TOLERANCE_SECONDS + KIT_LATENESS_SECONDS if early is None else early
        timer = self._loop.call_later(limit, self._time_out, name, early is not None)
        self._open_tries[name] = OpenTry(one, timer, data)
        if kept is not None:
            kept.send(one, data)
        else:
            self.pools[router].send(one, data, own)

    def _connection_to_keep(self, due: float) -> ClientConnection | None:
        """An open connection to a terminating router, for clients that keep to theirs.

        They send the share of all tries that was that router's, once no new client is sent there.
        """
        terminating = [
            router
            for router in self._load_balancer.terminating
            if not self._load_balancer.routers[router].alive
        ]
        for router in terminating:
            share = self._conf.stay / len(self._load_balancer.routers)
            if self.staying_share:
                share = self.staying_share / len(terminating)
            if self._stay_draws.random() < share:
                return self.pools[router].take_open(due, oldest=bool(self.staying_share))
        return None

    def _early_leave_after(self, kind: RequestClass, timeout: float) -> float | None:
        """Seconds until a client gives up early, None if it doesn't.

        Only requests that are safe to repeat are given up.
        """
        if not self._conf.leave or kind.repeats is not Repeats.SAFE:
            return None
        if self._leave_draws.random() >= self._conf.leave:
            return None
        return timeout * self._leave_draws.uniform(*EARLY_LEAVE_FRACTIONS)

    def _encode(self, planned: Planned, name: str, timeout: float, number: int) -> bytes:
        info = {"c": planned.kind, "t": planned.title, "d": f"{timeout * 1000:.0f}"}
        if planned.idempotency:
            info["k"] = planned.idempotency
        if number:
            info["r"] = "1"
        info["h"] = f"{planned.hint * 1e6:.0f}"
        info["size"] = str(planned.size)
        write = self.world.scenario.class_of(planned.kind).write
        return write_command(planned.key, name, info, b"w" * planned.size if write else None)

    def _time_out(self, name: str, early: bool) -> None:
        open_try = self._open_tries.get(name)
        if open_try is None:
            return
        one = open_try.one
        if early:
            one.excuse = self.excuse_of(one) or CLIENT_LEFT
        for connection in list(self.pools[one.router].all):
            if one in connection.in_flight:
                connection.give_up(one)
        self._end(one, Outcome.UNANSWERED)
        self._maybe_retry(one, None)

    def leave(self, share: float) -> None:
        """This share of the open tries that are safe to repeat is given up at once."""
        for name, open_try in list(self._open_tries.items()):
            kind = self.world.scenario.class_of(open_try.one.planned.kind)
            if kind.repeats is Repeats.SAFE and self._leave_draws.random() < share:
                open_try.timer.cancel()
                self._time_out(name, early=True)

    def router_killed(self, router: str) -> None:
        """A terminating router is killed now: what it has received and not answered is lost."""
        now = self.world.now()
        for connection in self.pools[router].all:
            for one in connection.in_flight:
                if one.request in self._open_tries and one.sent_at < now - KIT_LATENESS_SECONDS:
                    one.killed_at = now

    def connect_failed(self, one: Try) -> None:
        """Ends a try for which no connection could be established."""
        self._end(one, Outcome.UNCONNECTED)
        self._maybe_retry(one, None)

    def connection_closed(self, one: Try, uses: int) -> None:
        """Ends a try whose connection ended without an answer, or sends it again."""
        open_try = self._open_tries.get(one.request)
        if open_try is None:
            return
        was_killed = one.killed_at is not None
        if uses > 1 and not one.attempts and not was_killed and not self.excuse_of(one):
            # the router closed an idle connection just as this was sent
            self.pools[one.router].send(one, open_try.data, True)
            return
        self._end(one, Outcome.CLOSED)
        self._maybe_retry(one, None)

    def try_ended(self, one: Try, retry_after: float | None) -> None:
        """A try has its answer."""
        one.excuse = one.excuse or self.excuse_of(one)
        self._remove(one)
        if one.outcome is not Outcome.SERVED:
            self._maybe_retry(one, retry_after)

    def _end(self, one: Try, outcome: Outcome) -> None:
        one.excuse = one.excuse or self.excuse_of(one)
        one.end(outcome, self.world.now())
        self._remove(one)

    def _remove(self, one: Try) -> None:
        open_try = self._open_tries.pop(one.request, None)
        if open_try is not None:
            open_try.timer.cancel()
        self._check_idle()

    # Retries

    def _maybe_retry(self, one: Try, retry_after: float | None) -> None:
        """Schedules a retry where a repeat is harmless and can still be answered in time."""
        planned, number = one.planned, one.number + 1
        kind = self.world.scenario.class_of(planned.kind)
        is_harmless = (
            one.outcome in (Outcome.REFUSED, Outcome.UNCONNECTED) or kind.repeats is not Repeats.NEVER
        )
        if number > self._conf.retries or not is_harmless:
            return
        draws = stream(self.world.seed, f"retry.{planned.number}.{number}")
        wait = self._conf.wait * draws.uniform(0.5, 1.5)
        if retry_after is not None and draws.random() < self._conf.honour:
            wait = min(retry_after, MAX_RETRY_AFTER_SECONDS)
        now, first = self.world.now(), planned.at
        until = first + (kind.window if kind.repeats is Repeats.KEYED else kind.give_up)
        if now + wait >= min(until, first + kind.give_up):
            return
        self._num_scheduled_retries += 1
        self._loop.call_later(wait, self._retry, planned, number)

    def _retry(self, planned: Planned, number: int) -> None:
        self._num_scheduled_retries -= 1
        self._try(planned, number)
        self._check_idle()

    # The end of a run

    def _check_idle(self) -> None:
        if not self._open_tries and not self._num_scheduled_retries:
            self._idle.set()

    async def wait_until_idle(self) -> None:
        """Waits until no try is open and no retry is scheduled."""
        while self._open_tries or self._num_scheduled_retries:
            self._idle.clear()
            await self._idle.wait()

    def num_open_tries(self) -> int:
        """The number of tries whose answer is awaited."""
        return len(self._open_tries)

    def close(self) -> None:
        """Cancels all timers and closes all connections."""
        for open_try in self._open_tries.values():
            open_try.timer.cancel()
        for pool in self.pools.values():
            pool.close()
