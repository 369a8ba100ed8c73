"""The requests that a router holds, and how each comes to its one final answer."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ironrail.access_log.keep import RequestOutcome
from ironrail.admin.figures import Figures
from ironrail.connections.downstream.memory_budget import MemoryBudget
from ironrail.diagnostics.daemon import AttemptSummary, DaemonDiagnostics, RequestSummary
from ironrail.diagnostics.invariants import EarlierAttempt, Sending
from ironrail.diagnostics.reasons import RefusalReason
from ironrail.net.dispatch.pending_request import InFlightRequest
from ironrail.net.dispatch.policy_driver import PolicyDriver
from ironrail.net.protocol import meta_codec
from ironrail.net.protocol.meta_codec import Command
from ironrail.net.system import System
from ironrail.net.upstream.connection_pool import Attempt, Connection, ConnectionPool
from ironrail.policy.events import (
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    DeadlineReached,
    Event,
    StreamingStarted,
)
from ironrail.policy.router import Router

log = logging.getLogger(__name__)

Note = Callable[
    [Command, float, RequestOutcome, int], None
]  # of a request that ends: its seconds, its value's size
STREAM_ROOM = (
    320 * 1024
)  # bytes of a long value on its way: one read, and what its client has not taken
MOST_ROOM = 64 * 1024**2  # bytes for all long values where nobody says how much there is
# after its deadline: an answer that is so late is told of, as the protocol grants 0.05
LATE_SECONDS = 0.03


def _written(held: InFlightRequest, count: int) -> list[EarlierAttempt]:
    """Of the first so many attempts of a request those that were written to a connection."""
    return [
        EarlierAttempt(attempt.written_at, attempt.outcome, attempt in attempt.link.out)
        for attempt in held.attempts[:count]
        if attempt.link is not None
    ]


class ResponseTracker(PolicyDriver):
    """Owes each request it holds one answer, and each attempt that is out its end; a subclass sends."""

    def __init__(
        self,
        router: Router,
        system: System,
        returned: Callable[[], None],
        room: MemoryBudget | None,
        note: Note | None,
        diagnostics: DaemonDiagnostics | None = None,
    ) -> None:
        super().__init__(router, system, returned)
        self._note = note
        self.room = room or MemoryBudget(MOST_ROOM)
        self.figures = Figures(router.settings.classes)
        self.diagnostics = diagnostics or DaemonDiagnostics()
        self._ending = False
        self._held: dict[str, InFlightRequest] = {}
        self._open: dict[
            tuple[str, int], tuple[Attempt, ConnectionPool]
        ] = {}  # attempts without an outcome

    def _on_deadline(self, name: str) -> None:
        """The client stops waiting: nothing may stay out for the request, and its answer is due."""
        if not self._settle(self._held[name]):
            log.error("request_lost_sight_of", extra={"request": name})

    def _settle(self, held: InFlightRequest) -> bool:
        """The time of a request is up: answered now, by the module unless it lost sight of it."""
        name = held.request
        self._notice_return()  # now: noticed further on, the module would hear of nothing any more
        for attempt in held.attempts:
            self._give_up(attempt.request, attempt.number, AttemptStatus.TIMEOUT)
        if self._catching_up:
            self._end_unseen(name)
        if name in self._held:  # it waits, and its own timer is due an instant later
            self._feed(DeadlineReached(name))
        if name in self._held:
            self._lose(held)
            return False
        return True

    def end_all(self) -> None:
        """The router ends: all that is held gets its answer now, and nothing more is sent."""
        self._ending = True
        for held in list(self._held.values()):
            if held.request in self._held:  # the end of another may have ended it
                self._settle(held)

    def _end_unseen(self, name: str) -> None:
        """The module hears of nothing now: what concerns a request whose time is up it is told at once."""
        self._hear_of(name)
        if name in self._held:
            self._handle(DeadlineReached(name))

    def _failed_on(self, event: Event) -> None:
        held = self._held.get(getattr(event, "request_id", ""))
        if held is not None:
            self._lose(held)

    def _lose(self, held: InFlightRequest) -> None:
        """Fail a request that the module no longer looks after, and have it forgotten."""
        self._finish(held, meta_codec.FAILED, self.figures.failure)
        self._feed(ClientDisconnected(held.request))

    def _finish(self, held: InFlightRequest, answer: bytes, counts: dict[str, int]) -> None:
        """Give the one final answer of a request."""
        if not self.diagnostics.guard.may_answer(
            self._now(), held.request, held.request in self._held
        ):
            return
        self._close(held, counts)
        held.answer(answer)

    def _close(self, held: InFlightRequest, counts: dict[str, int]) -> None:
        """A request ends: it is counted, and owed nothing more."""
        counts[held.command.fields["c"]] += 1
        if counts is not self.figures.success:
            self.diagnostics.refusals.add(self._refusal_reason(held))
        if self._now() > held.deadline + LATE_SECONDS:
            self.diagnostics.answered_late(self._now(), self._summary(held))
        del self._held[held.request]
        held.timer.cancel()
        self._withdraw(held)
        if self._note is None and held.reader is None:
            return
        figures = self.figures
        served, refused = counts is figures.success, counts is figures.busy
        ended = (
            RequestOutcome.SERVED
            if served
            else RequestOutcome.REFUSED
            if refused
            else RequestOutcome.FAILED
        )
        held.ended(self._now(), ended)
        if self._note is not None:
            self._note(
                held.command,
                self._now() - held.taken_at,
                ended,
                0 if held.command.is_write else held.length,
            )

    # What the log and the metrics tell

    def _refusal_reason(self, held: InFlightRequest) -> RefusalReason:
        if self._ending:
            return RefusalReason.SHUTDOWN
        if self._now() >= held.deadline:
            return RefusalReason.TIME_UP
        return RefusalReason.ATTEMPT_FAILED if held.attempts else RefusalReason.NOT_SENT

    def _summary(self, held: InFlightRequest) -> RequestSummary:
        attempts = tuple(
            AttemptSummary(
                attempt.server,
                attempt.sent_at - held.taken_at,
                attempt.outcome.value if attempt.outcome is not None else "open",
            )
            for attempt in held.attempts
        )
        age = self._now() - held.taken_at + held.read_late
        patience = float(held.command.fields["d"]) / 1000
        request_class = held.command.fields["c"]
        return RequestSummary(held.request, request_class, patience, held.read_late, age, attempts)

    # Attempts

    def _may_send(self, attempt: Attempt, server_ready: bool) -> bool:
        """The last look before an attempt is written."""
        held = self._held.get(attempt.request)
        request_class = self._router.settings.classes[attempt.command.fields["c"]]
        guard = self.diagnostics.guard
        known = guard.violations.total()
        allowed = guard.may_send(
            Sending(
                self._now(),
                attempt.request,
                attempt.server,
                server_ready,
                held is not None,
                attempt.until,
                attempt.begin_by,
                request_class.idempotency,
                request_class.idempotency_window,
                self._router.settings.hedging_allowed,
                _written(held, attempt.number) if held is not None else (),
            )
        )
        if held is not None and guard.violations.total() > known:
            self._lose(held)  # the module has lost its way with this request
        return allowed

    def _refuse(self, held: InFlightRequest, retry_after: float | None) -> None:
        """Answer that the request had no effect, where that is sure."""
        effect = self._router.settings.classes[held.command.fields["c"]].idempotency
        written = _written(held, len(held.attempts))
        if self.diagnostics.guard.may_refuse(self._now(), held.request, effect, written):
            self._finish(held, meta_codec.write_busy(retry_after), self.figures.busy)
        else:
            self._finish(held, meta_codec.FAILED, self.figures.failure)

    def _on_outcome(self, attempt: Attempt, status: AttemptStatus, body: bytes) -> None:
        del self._open[attempt.request, attempt.number]
        attempt.outcome = status
        if attempt.lent:
            self.room.release(attempt)
        held = self._held.get(attempt.request)
        latency = self._now() - attempt.sent_at
        if held is not None and held.streaming is attempt:
            latency = (
                held.streams_since - attempt.sent_at
            )  # what comes after is the client's own pace too
            self._end_stream(held, status is AttemptStatus.OK)
            held = None
        elif held is not None and status is AttemptStatus.OK and held.streaming is None:
            held.length = len(body)
            self._finish(held, meta_codec.write_served(held.command, body), self.figures.success)
            held = None
        self._feed(AttemptEnded(attempt.request, attempt.number, status, held is None, latency))

    def _give_up(self, name: str, number: int, status: AttemptStatus) -> None:
        """Stop waiting for an attempt, if it is still out."""
        if (name, number) in self._open:
            attempt, pool = self._open[name, number]
            pool.abandon(attempt, status)

    def _withdraw(self, held: InFlightRequest) -> None:
        """Nobody waits for more: what is surely unsent never runs, whatever the settings say of the rest."""
        for attempt in held.attempts:
            if attempt is not held.streaming and (attempt.request, attempt.number) in self._open:
                self._open[attempt.request, attempt.number][1].withdraw(attempt)

    # Long values

    def _on_begun(self, attempt: Attempt, length: int, connection: Connection) -> None:
        """An attempt is answered with a long value: the request is its own from now on."""
        held = self._held.get(attempt.request)
        passage = None if held is None or held.streaming is not None else held.passage
        # guards memory against more long values at once than there is room for
        if held is None or passage is None or not self.room.reserve(attempt, STREAM_ROOM):
            self._give_up(attempt.request, attempt.number, AttemptStatus.CANCELLED)
            return
        attempt.lent = True
        held.streaming, held.streams_since, held.length = attempt, self._now(), length
        held.timer.cancel()
        if attempt.timer is not None:
            attempt.timer.cancel()
        self._withdraw(held)
        passage.begin(
            meta_codec.write_value_header(held.command.request_id, length), connection.hold
        )
        self._feed(StreamingStarted(attempt.request, attempt.number))

    def _on_piece(self, attempt: Attempt, data: bytes) -> None:
        held = self._held.get(attempt.request)
        if held is not None and held.streaming is attempt and held.passage is not None:
            held.passage.more(data)

    def _end_stream(self, held: InFlightRequest, whole: bool) -> None:
        assert held.passage is not None
        self._close(held, self.figures.success if whole else self.figures.failure)
        if whole:
            held.passage.finish()
        else:
            held.passage.cut()
