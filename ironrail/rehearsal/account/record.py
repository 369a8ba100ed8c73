"""The events of a run as the stand-ins observed them; nothing here relies on what a router reports.

All times are seconds since the start of the measured load.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import StrEnum

from ironrail.rehearsal.load.schedule import Planned

CLIENT_LEFT = (
    "its client gave up before its time was up"  # an excuse for a missing answer; attempts are still judged
)
MAX_STRAYS = 1000  # a router that sends only unrequested attempts must not exhaust the kit's memory


class Ended(StrEnum):
    """How an attempt ended at its stand-in."""

    SERVED = "served"
    MISS = "miss"
    BUSY = "busy"
    ERROR = "error"
    SPOILT = "spoilt"
    RESET = "reset"
    LOST = "lost"  # the reply never reaches the router
    LEFT = "left"  # the router closed the connection or never read the reply
    OPEN = "open"  # not ended yet


NEVER_RAN = (Ended.MISS, Ended.BUSY)  # ends that tell the router that nothing was executed


class Outcome(StrEnum):
    """How a try ended, as its client saw it."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    UNANSWERED = "unanswered"  # at its deadline
    CLOSED = "closed"  # the connection was closed without an answer
    UNCONNECTED = "unconnected"  # no connection was established, so no router accepted it
    OPEN = "open"


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt that a stand-in has received completely."""

    server: str
    router: str
    archive: bool
    first_at: float
    last_at: float
    late: bool  # sent while the stand-in read nothing, so its time of sending is unknown
    behind: bool = False  # other attempts were in progress on its connection when it arrived
    ended: Ended = Ended.OPEN
    ended_at: float | None = None
    effect_at: float | None = None  # when a write was executed
    announced_wait: float | None = (
        None  # seconds that its client still waits, as announced in the request, if at all
    )

    def end(self, ended: Ended, at: float) -> None:
        if self.ended is Ended.OPEN:
            self.ended, self.ended_at = ended, at

    def may_have_run(self) -> bool:
        """Return whether the router has to assume that the attempt was executed."""
        return self.ended not in NEVER_RAN

    def line(self) -> str:
        late = " (written during a silence)" if self.late else ""
        effect = f", took effect at {self.effect_at:.3f}" if self.effect_at is not None else ""
        end = f" at {self.ended_at:.3f}" if self.ended_at is not None else ""
        return f"{self.last_at:8.3f} {self.router} -> {self.server}{late}: {self.ended}{end}{effect}"


@dataclass(slots=True)
class ReceivedAnswer:
    """An answer that a client received."""

    at: float
    kind: str  # as in `Answer.kind`
    request: str  # the request id in the answer
    value: bytes | None  # digest of the value or receipt, None if the answer has neither
    retry_after: float | None


@dataclass(slots=True, eq=False)
class Try:
    """One request on the wire: a client's first try or one of its retries."""

    request: str  # its id
    planned: Planned
    number: int  # 0 for the first
    router: str
    sent_at: float
    due: float
    first_on_connection: bool = True
    answers: list[ReceivedAnswer] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    made: set[bytes] = field(default_factory=set)  # digests of the values that stand-ins produced for it
    outcome: Outcome = Outcome.OPEN
    ended_at: float | None = None
    left_at: float | None = None  # when its client closed the connection before an answer
    killed_at: float | None = None  # when its router was killed for not ending in time, before an answer
    excuse: str = ""  # why a missing answer is no violation

    def end(self, outcome: Outcome, at: float) -> None:
        if self.outcome is Outcome.OPEN:
            self.outcome, self.ended_at = outcome, at

    def history(self) -> list[str]:
        """Return a line for each event of the try, in order of time."""
        p = self.planned
        events = [
            (
                self.sent_at,
                f"{self.sent_at:8.3f} client -> {self.router}: {p.kind} of {p.key} as {self.request},"
                f" try {self.number + 1}, due at {self.due:.3f}",
            )
        ]
        events += [(a.last_at, a.line()) for a in self.attempts]
        events += [
            (g.at, f"{g.at:8.3f} {self.router} -> client: {g.kind} {g.request}".rstrip())
            for g in self.answers
        ]
        if self.ended_at is not None:
            events.append((self.ended_at, f"{self.ended_at:8.3f} client: {self.outcome}"))
        return [line for _, line in sorted(events, key=lambda t: t[0])]


def value_digest(value: bytes) -> bytes:
    """Return the digest that stands for a value; the record stores no values."""
    return hashlib.blake2b(value, digest_size=12).digest()


@dataclass(frozen=True, slots=True)
class Stray:
    """Something that a stand-in received and no client had requested in this form."""

    at: float
    where: str
    text: str


@dataclass(frozen=True, slots=True)
class CacheCollapse:
    """A cold cache that was overloaded until it stopped serving."""

    at: float
    server: str
    sent: float  # seconds of work within the window
    allowed: float
    informed: float  # part of `sent` that came from routers notified of the cache's start


@dataclass(frozen=True, slots=True)
class StateNotice:
    """A router was notified that a server is in a state."""

    at: float
    state: str  # `in_service`, `terminating`, `terminated`


class ListCallOutcome(StrEnum):
    """How a call for the endpoint list ended."""

    TOLD = "told"
    REFUSED = "refused"  # it had waited longer than the service's limit
    SPOILT = "spoilt"  # its answer was cut off or unreadable


@dataclass(frozen=True, slots=True)
class ListCall:
    """One call of a router for the endpoint list, or for changes to it."""

    at: float
    router: str
    queued: bool  # the call waited in the service's queue; a watch that continues does not
    ended: ListCallOutcome


@dataclass(slots=True)
class RouterFacts:
    """What was observed of one router's process from outside."""

    ready: bool = False
    crashed: str = ""  # how it ended without having been asked to
    stopped_in: float | None = None  # seconds from SIGTERM to its end
    stop_code: int | None = None
    log_bytes: int = 0
    memory: int = 0  # maximum, in bytes
    descriptors: int = 0  # maximum number of open descriptors


class Record:
    """All events that were observed in one run."""

    def __init__(self) -> None:
        self.tries: dict[str, Try] = {}
        self.strays: list[Stray] = []
        self.stray_count = 0
        self.collapses: list[CacheCollapse] = []
        self.state_notices: dict[tuple[str, str], list[StateNotice]] = {}
        self.known_starts: dict[
            tuple[str, str], int
        ] = {}  # start times in ms that routers were notified of, by router and server
        self.routers: dict[str, RouterFacts] = {}
        self.archive_fetches: list[float] = []
        self.archive_falls: list[float] = []
        self.handshakes = 0
        self.crowded = 0  # connections to a cache whose connection table was full
        self.most_connections = 0  # open at one cache at the same time
        # highest load relative to what a cold start tolerates, by server id and start
        self.cold: dict[tuple[str, int], float] = {}
        self.list_calls: list[ListCall] = []  # used where routers call a service for the list

    def begin(self, one: Try) -> None:
        self.tries[one.request] = one

    def attempt(self, request: str, attempt: Attempt) -> Try | None:
        """Record an attempt whose last byte has arrived; return its try, None if no client sent one."""
        one = self.tries.get(request)
        if one is None:
            self.stray(attempt.last_at, attempt.server, f"an attempt of {request!r}, which nobody asked for")
            return None
        one.attempts.append(attempt)
        return one

    def stray(self, at: float, where: str, text: str) -> None:
        self.stray_count += 1
        if len(self.strays) < MAX_STRAYS:
            self.strays.append(Stray(at, where, text))

    def add_state_notice(self, router: str, server: str, state: str, at: float, started_ms: int = 0) -> None:
        """Record that a router was notified of a server's state; a repeated state is ignored."""
        self.known_starts[router, server] = started_ms
        known = self.state_notices.setdefault((router, server), [])
        if not known or known[-1].state != state:
            known.append(StateNotice(at, state))
