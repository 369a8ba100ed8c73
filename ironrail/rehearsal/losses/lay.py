"""Lays each lost request to the one cause that took most of its time. Pure.

From what stand-ins saw and what the module decided. A request's time runs from when it was due to be sent
until it would have had to be answered. Every moment of it belongs to what it waited for then; the time
between a try that was given up and the next one belongs to what ended the former. The cause with the largest
part has the whole loss, the earlier one of two that are equal. A request whose own work is longer than that
time at the fastest server is laid to that, whatever became of it.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from ironrail.policy.events import AttemptStatus
from ironrail.rehearsal.account.record import Attempt, Ended, Outcome, Record, Try
from ironrail.rehearsal.account.service import WINDOW_SECONDS, Loss
from ironrail.rehearsal.losses.tap import Decided, Sent, Why
from ironrail.rehearsal.scenario.model import Scenario

DIALLED = 0.005  # seconds from a send to its last byte at the server beyond which a connection was waited for
ADDS_UP = 1e-6  # of the whole loss, by which the parts may differ from it


class Causes:
    """Names of what is not the module's giving up."""

    ROUTER_DOWN = "its router was dead, frozen or starting"
    PLACE = "no connection to its router"
    ROUTER = "its router had not come to it"
    DIAL = "a connection was dialled"
    BEHIND = "behind another reply that was lost or slow"
    SILENT = "sent to a server that said nothing"
    SLOW = "the server was slow"
    FULL = "the server turned it away"
    LOST = "its reply was lost, spoilt or an error"
    ARCHIVE = "at the archive"
    ARCHIVE_WAIT = "waiting for a place at the archive"
    ARCHIVE_LOST = "turned away or lost by the archive"
    CLIENT = "its client tried no more"
    HEAVY = "no server could have done its work in time"


Part = tuple[float, float, str]  # from, until, cause


@dataclass(slots=True)
class Laid:
    """A run's losses by cause, in worth."""

    whole: float = 0.0
    causes: dict[str, float] = field(default_factory=dict)
    requests: dict[str, int] = field(default_factory=dict)
    windows: dict[int, dict[str, float]] = field(
        default_factory=dict
    )  # by cause in each window of the account
    examples: dict[str, str] = field(default_factory=dict)  # the id of a request for each cause

    def add(self, loss: Loss, cause: str, example: str) -> None:
        """One request more, with its id."""
        self.whole += loss.worth
        self.causes[cause] = self.causes.get(cause, 0.0) + loss.worth
        self.requests[cause] = self.requests.get(cause, 0) + 1
        window = self.windows.setdefault(int(loss.planned.at // WINDOW_SECONDS), {})
        window[cause] = window.get(cause, 0.0) + loss.worth
        self.examples.setdefault(cause, example)

    def largest_first(self) -> list[tuple[str, float]]:
        """Causes with their worth."""
        return sorted(self.causes.items(), key=lambda row: (-row[1], row[0]))


class _Lives:
    """When each server gave answers of any kind: one that gave some meanwhile was slow, not silent."""

    def __init__(self, record: Record) -> None:
        spoke: defaultdict[str, list[float]] = defaultdict(list)
        for one in record.tries.values():
            for attempt in one.attempts:
                if attempt.ended not in (Ended.LEFT, Ended.OPEN, Ended.LOST) and attempt.ended_at is not None:
                    spoke[attempt.server].append(attempt.ended_at)
        self._spoke = {server: sorted(times) for server, times in spoke.items()}

    def spoke(self, server: str, begin: float, end: float) -> bool:
        times = self._spoke.get(server, [])
        return bisect_right(times, end) > bisect_right(times, begin)


def lay(
    losses: list[Loss], record: Record, scenario: Scenario, decided: Mapping[str, Decided], start: float
) -> Laid:
    """Every loss of a run with its cause; `start` is the load's on the clock of what was decided."""
    tries: defaultdict[int, list[Try]] = defaultdict(list)
    for one in record.tries.values():
        tries[one.planned.number].append(one)
    lives, laid = _Lives(record), Laid()
    fastest = scenario.caches.speed * (1 + scenario.caches.uneven)
    for loss in losses:
        mine = sorted(tries.get(loss.planned.number, []), key=lambda t: t.number)
        until = loss.planned.at + scenario.class_of(loss.planned.kind).wanted
        cause = largest(_parts(mine, decided, lives, loss.planned.at, until, start))
        at_archive = any(attempt.archive for one in mine for attempt in one.attempts)
        if not at_archive and loss.planned.work / fastest > until - loss.planned.at:
            cause = Causes.HEAVY
        laid.add(loss, cause, mine[0].request if mine else "")
    assert math.isclose(sum(laid.causes.values()), laid.whole, rel_tol=ADDS_UP, abs_tol=ADDS_UP)
    return laid


def largest(parts: Iterable[Part]) -> str:
    """The cause with most time; what no part covers at all was the client's own doing."""
    times: dict[str, float] = {}
    for begin, end, cause in parts:
        times[cause] = times.get(cause, 0.0) + max(0.0, end - begin)
    return max(times, key=lambda cause: times[cause]) if times else Causes.CLIENT


def _parts(
    mine: list[Try], decided: Mapping[str, Decided], lives: _Lives, at: float, until: float, start: float
) -> Iterator[Part]:
    """The time of one request, moment by moment, cut off where it had to be answered."""
    last, cause = at, Causes.CLIENT
    for one in mine:
        yield last, min(one.sent_at, until), cause
        end = min(one.ended_at if one.ended_at is not None else until, until)
        yield from _of_try(one, decided.get(one.request), lives, end, start)
        last, cause = end, _end_of(one, decided.get(one.request), lives, start)
    yield last, until, cause


def _of_try(one: Try, mine: Decided | None, lives: _Lives, end: float, start: float) -> Iterator[Part]:
    if mine is None:
        yield one.sent_at, end, _unheard(one)
        return
    asked = mine.asked - start
    yield one.sent_at, min(asked, end), Causes.ROUTER_DOWN if one.excuse else Causes.ROUTER
    marks: list[tuple[float, Sent | None]] = [(sent.at - start, sent) for sent in mine.sent.values()]
    marks += [(waited - start, None) for waited in mine.waits]
    marks.sort(key=lambda mark: mark[0])
    for i, (begin, sent) in enumerate(marks):
        follows = marks[i + 1][0] if i + 1 < len(marks) else end
        if sent is None:
            yield begin, min(follows, end), Causes.ARCHIVE_WAIT
        else:
            yield from _of_attempt(one, sent, lives, begin, min(follows, end), start)


def _unheard(one: Try) -> str:
    if one.excuse:
        return Causes.ROUTER_DOWN
    return Causes.PLACE if one.outcome in (Outcome.UNCONNECTED, Outcome.CLOSED) else Causes.ROUTER


def _of_attempt(
    one: Try, sent: Sent, lives: _Lives, begin: float, end: float, start: float
) -> Iterator[Part]:
    """One send: the way to the server first, then what the server made of it."""
    seen = _seen(one, sent, begin, start)
    if seen is None:
        yield begin, end, Causes.DIAL
        return
    came = min(seen.last_at, end)
    yield begin, came, Causes.DIAL if came - begin > DIALLED else _made_of(seen, lives)
    yield came, end, _made_of(seen, lives)


def _seen(one: Try, sent: Sent, begin: float, start: float) -> Attempt | None:
    """The attempt as its server saw it, if it came so far."""
    over = math.inf if sent.ended is None else sent.ended - start
    for attempt in one.attempts:
        if attempt.server == sent.server and begin <= attempt.last_at <= over + DIALLED:
            return attempt
    return None


def _made_of(seen: Attempt, lives: _Lives) -> str:
    if seen.archive:
        return Causes.ARCHIVE if seen.ended in (Ended.SERVED, Ended.LEFT, Ended.OPEN) else Causes.ARCHIVE_LOST
    if seen.ended is Ended.BUSY:
        return Causes.FULL
    if seen.ended in (Ended.LEFT, Ended.OPEN):
        over = seen.ended_at if seen.ended_at is not None else math.inf
        if lives.spoke(seen.server, seen.last_at, over):
            return Causes.BEHIND if seen.behind else Causes.SLOW
        return Causes.SILENT
    if seen.ended in (Ended.RESET, Ended.SPOILT, Ended.ERROR, Ended.LOST):
        return Causes.LOST
    return Causes.BEHIND if seen.behind else Causes.SLOW


def _end_of(one: Try, mine: Decided | None, lives: _Lives, start: float) -> str:
    """Why a try was not served, as far as the time after it goes."""
    if mine is None:
        return _unheard(one)
    sent = [mine.sent[number] for number in sorted(mine.sent)]
    last = sent[-1] if sent else None
    if mine.why is None or mine.why is Why.TIME or (mine.why is Why.UNSAFE and last is not None):
        if last is None:
            return Causes.ARCHIVE_WAIT if mine.waits else _unheard(one)
        if mine.waits and mine.waits[-1] > last.at:
            return Causes.ARCHIVE_WAIT
        seen = _seen(one, last, last.at - start, start)
        if seen is None:
            return Causes.DIAL if last.status is not AttemptStatus.OK else Causes.ROUTER
        return _made_of(seen, lives)
    return str(mine.why)
