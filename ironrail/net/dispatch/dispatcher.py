"""Drives the decision module: hands it events and carries out its actions, and decides nothing."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ironrail.access_log.keep import RequestOutcome
from ironrail.connections.downstream.memory_budget import MemoryBudget
from ironrail.diagnostics.daemon import DaemonDiagnostics
from ironrail.diagnostics.reasons import retry_reason
from ironrail.net.dispatch.pending_request import Answer, InFlightRequest, ResponseStream
from ironrail.net.dispatch.policy_driver import BEAT
from ironrail.net.dispatch.response_tracker import STREAM_ROOM, Note, ResponseTracker
from ironrail.net.protocol import meta_codec
from ironrail.net.protocol.meta_codec import Command, read_figure
from ironrail.net.system import REAL, Address, System
from ironrail.net.upstream.connection_pool import Attempt, ConnectionPool
from ironrail.net.upstream.pool_registry import PoolRegistry
from ironrail.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpointList,
    LogMessage,
    RejectRequest,
    SendAttempt,
    SetTimer,
)
from ironrail.policy.endpoints import Endpoint
from ironrail.policy.events import (
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    EndpointListUpdate,
    RequestReceived,
    TimerFired,
)
from ironrail.policy.router import Router

__all__ = ["STREAM_ROOM", "Answer", "InFlightRequest", "RequestDispatcher", "ResponseStream"]

log = logging.getLogger(__name__)

# seconds: what is sent on by then is so in the turn of the loop in which it was read
JUST_READ = 0.01
SWEEP = 1.0  # seconds between looks at idle connections


class RequestDispatcher(ResponseTracker):
    """One router on real sockets."""

    def __init__(
        self,
        router: Router,
        make_pool: Callable[[Endpoint, Address], ConnectionPool],
        ask_list: Callable[[], None],
        most_connections: int,
        system: System = REAL,
        returned: Callable[[], None] = lambda: None,
        room: MemoryBudget | None = None,
        note: Note | None = None,
        diagnostics: DaemonDiagnostics | None = None,
    ) -> None:
        """`note`: is told of each request that ends; `most_connections` are those to all servers together."""
        super().__init__(router, system, returned, room, note, diagnostics)
        self._ask_list = ask_list
        self._servers = PoolRegistry(make_pool, most_connections)
        self._pools = self._servers.by_name
        self._loop.call_later(SWEEP, self._sweep)
        self._loop.call_later(BEAT, self._beat)

    # What happens

    def can_serve(self) -> bool:
        return any(pool.ready for pool in self._pools.values())

    def gauges(self) -> dict[str, int]:
        """What is true now, of all that operators may ask for."""
        counts = self._router.server_counts(self._now())
        return {
            "inflight": len(self._held),
            "hosts_listed": counts.listed,
            "hosts_down": counts.unavailable,
        }

    def metrics(self) -> bytes:
        """All that operators may ask for, in the form of statsd."""
        self.diagnostics.held_up = self.monitor.detector.count
        return self.figures.lines(self.gauges(), self.diagnostics.counts())

    def take(
        self, command: Command, answer: Answer, passage: ResponseStream | None = None
    ) -> str | None:
        """Take a client's request; answers with its name, or None if it was turned down at once.

        Without a `passage` a long value is a failed attempt, and its time runs from now.
        """
        name = command.request_id.decode()
        known = self._router.settings.classes.get(command.fields["c"])
        if known is None:
            answer(b"CLIENT_ERROR unknown class\r\n")
            return None
        if self._router.settings.names_tenants and "t" not in command.fields:
            answer(b"CLIENT_ERROR missing t\r\n")
            return None
        patience = float(command.fields["d"]) / 1000
        if (
            patience > known.client_timeout
        ):  # guards memory and timers against what no client waits for
            answer(b"CLIENT_ERROR bad d\r\n")
            return None
        # guards the first of the two: answers and attempts are told apart by id
        if name in self._held or any(
            (name, n) in self._open for n in range(self._router.settings.max_attempts)
        ):
            answer(b"CLIENT_ERROR id in use\r\n")
            return None
        if not self.diagnostics.guard.may_start(
            self._now(), name, name in self._held, self._ending
        ):
            answer(meta_codec.write_busy(None))
            return None
        reader = passage.reader if passage is not None else None
        now, arrived_at = self._now(), passage.arrived_at if passage is not None else None
        read_late = 0.0 if arrived_at is None else now - arrived_at
        time_left = patience - read_late
        if reader is not None:
            time_left = reader.time_left(time_left)
        time_left = max(0.0, time_left)  # what can't be there in time any more is given up at once
        hint = read_figure(command.fields, "h")
        timer = self._loop.call_later(time_left, self._on_deadline, name)
        self._held[name] = InFlightRequest(
            name,
            command,
            answer,
            now + time_left,
            timer,
            passage,
            taken_at=now,
            reader=reader,
            read_late=read_late,
        )
        self._feed(
            RequestReceived(
                name,
                command.fields["c"],
                time_left,
                command.key.decode(),
                None if hint is None else hint / 1e6,
                command.is_write,
                command.fields.get("t", ""),
            )
        )
        return name

    def gone(self, name: str) -> None:
        """The client of a request has left."""
        held = self._held.pop(name, None)
        if held is not None:
            held.timer.cancel()
            self._withdraw(held)
            if self._now() >= held.deadline:
                self.diagnostics.left_unanswered(self._now(), self._summary(held))
            held.ended(self._now(), RequestOutcome.LEFT)
            if self._note is not None:
                self._note(held.command, self._now() - held.taken_at, RequestOutcome.LEFT, 0)
            if held.streaming is not None:
                self._give_up(name, held.streaming.number, AttemptStatus.CANCELLED)
            self._feed(ClientDisconnected(name))

    def _left(self, held: InFlightRequest, waited: bool) -> bool:
        """Whether its client has left untold: told now, for all that it sent."""
        if held.passage is None or not held.passage.left(waited):
            return False
        held.passage.cut()
        self.gone(held.request)
        return True

    def servers(self, news: EndpointListUpdate, addresses: dict[str, Address]) -> None:
        """Discovery has told something of the list of servers."""
        # the module hears of the list before it hears what becomes of attempts by it, or what came meanwhile
        if self._catching_up:
            self._events.appendleft(news)
            self._catching_up = False
        else:
            self._events.append(news)
        self._busy = True
        try:
            self._servers.update(news, addresses)
        finally:
            self._busy = False
        self._pump()

    def _sweep(self) -> None:
        for pool in self._pools.values():
            pool.expire()
        self._loop.call_later(SWEEP, self._sweep)

    # What the module makes of it

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendAttempt():
                self._send(action)
            case SetTimer(delay, timer):
                self._loop.call_later(delay, self._feed, TimerFired(timer))
            case CancelAttempt(name, number):
                self._cancel(name, number)
            case RejectRequest(name) if name in self._held:
                self._refuse(self._held[name], action.retry_after)
            case FailRequest(name) if name in self._held:
                self._finish(self._held[name], meta_codec.FAILED, self.figures.failure)
            case CloseIdleConnections(server) if server in self._pools:
                self._pools[server].close_idle()
            case FetchEndpointList():
                self._ask_list()
            case LogMessage(text):
                log.info("module_says", extra={"text": text})

    def _cancel(self, name: str, number: int) -> None:
        """Stop waiting for an attempt. What may follow is a second copy while this one is out."""
        if (
            name in self._held
            and (name, number) in self._open
            and not self._router.settings.hedging_allowed
        ):
            attempt, pool = self._open[name, number]
            pool.revoke(attempt)
        else:
            self._give_up(name, number, AttemptStatus.CANCELLED)

    def _send(self, action: SendAttempt) -> None:
        name, now = action.request_id, self._now()
        held, pool = self._held.get(name), self._pools.get(action.server)
        # guards against work for a request that has its answer, or that nobody will be there to answer
        waited = held is not None and (
            bool(held.attempts) or now - held.taken_at + held.read_late > JUST_READ
        )
        if held is None or self._ending or self._left(held, waited):
            self._feed(AttemptEnded(name, action.attempt_number, AttemptStatus.NOT_SENT, True))
            return
        until = (
            held.deadline if action.timeout is None else min(held.deadline, now + action.timeout)
        )
        attempt = Attempt(name, len(held.attempts), now, until, held.command, self._on_outcome)
        attempt.begun, attempt.piece, attempt.wanted = self._on_begun, self._on_piece, self._wanted
        attempt.may_send = self._may_send
        attempt.alone = held.command.is_write  # a repeat may not be harmless: its risks are its own
        attempt.server = action.server
        if held.attempts:
            self.diagnostics.retries.add(retry_reason(held.attempts[-1].outcome))
        held.attempts.append(attempt)
        if pool is None:
            self._feed(AttemptEnded(name, attempt.number, AttemptStatus.CONNECT_FAILED))
            return
        self._open[name, attempt.number] = attempt, pool
        # also for what outlives its request: without an outcome it would count as load for good
        status = AttemptStatus.TIMEOUT
        attempt.timer = self._loop.call_later(
            until - now, self._give_up, name, attempt.number, status
        )
        if action.send_within is not None:
            attempt.begin_by = now + action.send_within
            self._loop.call_later(action.send_within, pool.withdraw, attempt)
        pool.send(attempt)

    def _wanted(self, attempt: Attempt) -> bool:
        """Whether an attempt that had to wait is still to be sent."""
        held = self._held.get(attempt.request)
        now = self._now()
        if held is None or now >= min(held.deadline, attempt.begin_by):
            return False
        return not self._left(held, True)
