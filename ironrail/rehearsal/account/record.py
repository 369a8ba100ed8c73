"""The facts of a run as the stand-ins saw them. Nothing here was told by a router.

All times are seconds from the start of the load that counts.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import StrEnum

from ironrail.rehearsal.load.schedule import Planned

LEFT = "its client gave up before its time was up"  # an excuse that leaves what is sent on to be judged
MOST_STRAYS = 1000  # kept of what belongs to no request: a router that sends nothing else must fill no memory


class Ended(StrEnum):
    """How an attempt ended at its stand-in."""

    SERVED = "served"
    MISS = "miss"
    BUSY = "busy"
    ERROR = "error"
    SPOILT = "spoilt"
    RESET = "reset"
    LOST = "lost"  # the answer never reaches the router
    LEFT = "left"  # the router closed the connection or never took the answer
    OPEN = "open"  # nothing has come of it so far


NEVER_RAN = (Ended.MISS, Ended.BUSY)  # as the router can know it


class Outcome(StrEnum):
    """What became of a try, as its client saw it."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    UNANSWERED = "unanswered"  # when its time was up
    CLOSED = "closed"  # the connection ended without an answer
    UNCONNECTED = "unconnected"  # no connection came up: no router had taken it
    OPEN = "open"


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a stand-in, from its last byte on."""

    server: str
    router: str
    archive: bool
    first_at: float
    last_at: float
    late: bool  # written during a silence, nobody knows when
    behind: bool = False  # others were in hand on its connection when it came
    ended: Ended = Ended.OPEN
    ended_at: float | None = None
    effect_at: float | None = None  # of a write that was carried out
    told: float | None = None  # seconds that it was told its client waits, where it was told

    def end(self, ended: Ended, at: float) -> None:
        if self.ended is Ended.OPEN:
            self.ended, self.ended_at = ended, at

    def may_have_run(self) -> bool:
        """As the router has to see it."""
        return self.ended not in NEVER_RAN

    def line(self) -> str:
        late = " (written during a silence)" if self.late else ""
        effect = f", took effect at {self.effect_at:.3f}" if self.effect_at is not None else ""
        end = f" at {self.ended_at:.3f}" if self.ended_at is not None else ""
        return f"{self.last_at:8.3f} {self.router} -> {self.server}{late}: {self.ended}{end}{effect}"


@dataclass(slots=True)
class Given:
    """An answer that a client was given."""

    at: float
    kind: str  # as in `Answer.kind`
    request: str  # the id that it bore
    value: bytes | None  # digest of the value or receipt, None where there is none
    retry_after: float | None


@dataclass(slots=True, eq=False)
class Try:
    """One request on the wire: a first try or a client's retry of it."""

    request: str  # its id
    planned: Planned
    number: int  # 0 for the first
    router: str
    sent_at: float
    due: float
    first_on_connection: bool = True
    answers: list[Given] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    made: set[bytes] = field(default_factory=set)  # digests of values that stand-ins made for it
    outcome: Outcome = Outcome.OPEN
    ended_at: float | None = None
    left_at: float | None = None  # when its client closed the connection, with no answer so far
    killed_at: float | None = None  # when its router was killed, as it had not ended, with no answer so far
    excuse: str = ""  # why no answer can be owed

    def end(self, outcome: Outcome, at: float) -> None:
        if self.outcome is Outcome.OPEN:
            self.outcome, self.ended_at = outcome, at

    def history(self) -> list[str]:
        """All that is known of it, in order of time."""
        p = self.planned
        told = [
            (
                self.sent_at,
                f"{self.sent_at:8.3f} client -> {self.router}: {p.kind} of {p.key} as {self.request},"
                f" try {self.number + 1}, due at {self.due:.3f}",
            )
        ]
        told += [(a.last_at, a.line()) for a in self.attempts]
        told += [
            (g.at, f"{g.at:8.3f} {self.router} -> client: {g.kind} {g.request}".rstrip())
            for g in self.answers
        ]
        if self.ended_at is not None:
            told.append((self.ended_at, f"{self.ended_at:8.3f} client: {self.outcome}"))
        return [line for _, line in sorted(told, key=lambda t: t[0])]


def value_digest(value: bytes) -> bytes:
    """Names a value: the record keeps no values."""
    return hashlib.blake2b(value, digest_size=12).digest()


@dataclass(frozen=True, slots=True)
class Stray:
    """Something at a stand-in that no client asked for in this form."""

    at: float
    where: str
    text: str


@dataclass(frozen=True, slots=True)
class Fallen:
    """A cold cache that was pushed over."""

    at: float
    server: str
    sent: float  # seconds of work within the window
    allowed: float
    informed: float  # of what was sent, by routers that had been told of its start


@dataclass(frozen=True, slots=True)
class Told:
    """A router was told that a server is in a state."""

    at: float
    state: str  # `in_service`, `terminating`, `terminated`


class Call(StrEnum):
    """How a call for the list ended."""

    TOLD = "told"
    REFUSED = "refused"  # it had waited too long
    SPOILT = "spoilt"  # its answer broke off, stopped short or can't be read


@dataclass(frozen=True, slots=True)
class ListCall:
    """One call of a router for the list, or for what is new in it."""

    at: float
    router: str
    queued: bool  # it waited for its turn; a watch that goes on does not
    ended: Call


@dataclass(slots=True)
class RouterFacts:
    """What one router's process did, from outside."""

    ready: bool = False
    crashed: str = ""  # how it ended when nobody had told it to
    stopped_in: float | None = None  # seconds from SIGTERM to its end
    stop_code: int | None = None
    log_bytes: int = 0
    memory: int = 0  # the most, in bytes
    descriptors: int = 0  # the most


class Record:
    """Everything that was seen in one run."""

    def __init__(self) -> None:
        self.tries: dict[str, Try] = {}
        self.strays: list[Stray] = []
        self.stray_count = 0
        self.fallen: list[Fallen] = []
        self.told: dict[tuple[str, str], list[Told]] = {}
        self.starts: dict[tuple[str, str], int] = {}  # that a router was told of, by router and server
        self.routers: dict[str, RouterFacts] = {}
        self.archive_fetches: list[float] = []
        self.archive_falls: list[float] = []
        self.handshakes = 0
        self.crowded = 0  # connections that found the table of their cache full
        self.most_connections = 0  # at one cache at once
        self.cold: dict[
            tuple[str, int], float
        ] = {}  # most of what a start bears that it was sent, by id and start
        self.list_calls: list[ListCall] = []  # where the list is asked for

    def begin(self, one: Try) -> None:
        self.tries[one.request] = one

    def attempt(self, request: str, attempt: Attempt) -> Try | None:
        """An attempt's last byte has come; None where no client has asked for it."""
        one = self.tries.get(request)
        if one is None:
            self.stray(attempt.last_at, attempt.server, f"an attempt of {request!r}, which nobody asked for")
            return None
        one.attempts.append(attempt)
        return one

    def stray(self, at: float, where: str, text: str) -> None:
        self.stray_count += 1
        if len(self.strays) < MOST_STRAYS:
            self.strays.append(Stray(at, where, text))

    def tell(self, router: str, server: str, state: str, at: float, started_ms: int = 0) -> None:
        """A router was told; the same state told again changes nothing."""
        self.starts[router, server] = started_ms
        known = self.told.setdefault((router, server), [])
        if not known or known[-1].state != state:
            known.append(Told(at, state))
