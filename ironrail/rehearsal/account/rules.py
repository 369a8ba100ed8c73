"""The four rules, and what goes with them, judged from the record alone. Pure.

A stand-in sees a byte when it reads it, so each bound has a slack for the kit's own lateness beside what
the protocol grants: 50 ms on sockets, half a second for an answer whose time was up.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from ironrail.rehearsal.account.leaving import sent_for_nobody, told_too_much
from ironrail.rehearsal.account.record import Attempt, Outcome, Record, Told, Try
from ironrail.rehearsal.scenario.model import Repeats, Scenario

GRANTED = 0.05  # seconds beyond each time limit on sockets, as the protocol has it
# seconds beyond its time after which an answer counts as never given; until then it earns nothing
LATE_GRANTED = 0.5
OWN_SLACK = 0.1  # seconds for the kit's own lateness; a run that is later gives no verdict
BLAMED = 2 / 3  # of what pushed a cold server over, from routers that were told of its start
MOST_ATTEMPTS = 3  # of a request
# Of all tries taken, one in so many may find its new connection closed with no answer: a router that is full
# or ends can't take every connection that came up. Such a try is refused, those beyond are lost.
CLOSED_ONE_IN = 200

RULES = {
    "one-answer": "each request taken gets exactly one final answer, half a second late at the most",
    "own-value": "no client gets a value that was not made for its request",
    "no-second-effect": "what must not run twice is sent again or refused only when it surely never ran",
    "drains": "nothing new to a draining or gone server once the grace is over",
    "cold": "cold servers are not pushed over",
    "gone-clients": "nothing is sent on for a client that has closed its connection",
    "time-told": "further attempts tell no more time than is left to the client",
    "protocol": "servers are sent what clients asked for, and nothing else",
}


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule with the whole history of the request that broke it."""

    rule: str  # a key of RULES
    at: float
    what: str
    request: str = ""
    history: list[str] = field(default_factory=list)


def violations(record: Record, scenario: Scenario) -> list[Violation]:
    """Every broken rule, in order of time."""
    found: list[Violation] = []
    for one, at, what in lost(record):
        found.append(Violation("one-answer", at, what, one.request, one.history()))
    for one in record.tries.values():
        checks = (_one_answer, _own_value, _sent_on, _effects)
        found += [
            Violation(rule, at, what, one.request, one.history())
            for check in checks
            for rule, at, what in check(one, scenario)
        ]
        found += [
            Violation("drains", at, what, one.request, one.history())
            for at, what in _drained(one, record.told, scenario.registry.grace)
        ]
    for one, at, what in sent_for_nobody(record, OWN_SLACK):
        found.append(Violation("gone-clients", at, what, one.request, one.history()))
    for one, at, what in told_too_much(record):
        found.append(Violation("time-told", at, what, one.request, one.history()))
    for fall in record.fallen:
        if fall.informed < BLAMED * fall.sent:  # pushed by those who could not know that it was cold
            continue
        what = f"{fall.server} was sent {fall.sent:.2f} s of work where {fall.allowed:.2f} s were allowed"
        found.append(Violation("cold", fall.at, what))
    found += [Violation("protocol", s.at, f"{s.where}: {s.text}") for s in record.strays]
    return sorted(found, key=lambda v: v.at)


Found = Iterator[tuple[str, float, str]]


def _one_answer(one: Try, scenario: Scenario) -> Found:
    if len(one.answers) > 1:
        yield "one-answer", one.answers[1].at, "answered twice"


def taken(one: Try) -> bool:
    """Whether a router had it: a connection came up."""
    return one.outcome is not Outcome.UNCONNECTED


def closed_new(one: Try) -> bool:
    """Whether its new connection was closed with no answer, and nothing was sent on for it."""
    unanswered = one.outcome is Outcome.CLOSED and not one.answers and not one.attempts
    return unanswered and one.first_on_connection and not one.excuse


def lost(record: Record) -> Iterator[tuple[Try, float, str]]:
    """Every try that was owed an answer and got none, or got it too late: with when and why."""
    tries = list(record.tries.values())
    for one in tries:
        if (found := _never_answered(one)) is not None:
            yield one, *found
    allowed = sum(taken(one) for one in tries) // CLOSED_ONE_IN
    closed = sorted((one for one in tries if closed_new(one)), key=lambda t: (_ended(t), t.request))
    for one in closed[allowed:]:
        what = f"its new connection was closed: more than one in {CLOSED_ONE_IN} tries"
        yield one, _ended(one), what


def _never_answered(one: Try) -> tuple[float, str] | None:
    """When and how it was lost; a try closed before anything was sent on may be sent again."""
    if one.excuse:
        return None
    if one.answers:
        at = one.answers[0].at
        return (at, "answered after its time was up") if at > one.due + LATE_GRANTED + OWN_SLACK else None
    if one.killed_at is not None:
        return one.killed_at, "unanswered when its router was killed, as it had not ended"
    crossed = one.outcome is Outcome.CLOSED and not one.attempts
    if one.outcome not in (Outcome.UNANSWERED, Outcome.CLOSED) or crossed:
        return None
    return _ended(one), f"never answered: {one.outcome}"


def _ended(one: Try) -> float:
    return one.due if one.ended_at is None else one.ended_at


def _own_value(one: Try, scenario: Scenario) -> Found:
    for given in one.answers:
        if given.kind not in ("VA", "HD"):
            continue
        if given.request != one.request:
            yield "own-value", given.at, f"given the answer of {given.request or 'nobody'}"
        elif given.value not in one.made:
            yield "own-value", given.at, "given a value that no server made for it"


def _sent_on(one: Try, scenario: Scenario) -> Found:
    if len(one.attempts) > MOST_ATTEMPTS:
        yield "protocol", one.attempts[MOST_ATTEMPTS].last_at, f"{len(one.attempts)} attempts"
    if not one.answers:
        return
    for attempt in one.attempts:
        if attempt.first_at > one.answers[0].at + GRANTED + OWN_SLACK and not attempt.late:
            yield "one-answer", attempt.last_at, f"sent to {attempt.server} after its answer"


def _effects(one: Try, scenario: Scenario) -> Found:
    kind = scenario.class_of(one.planned.kind)
    if kind.repeats is Repeats.SAFE:
        return
    attempts = sorted(one.attempts, key=lambda a: a.last_at)
    for i, attempt in enumerate(attempts):
        ran = [a for a in attempts[:i] if _might_have_run(a, attempt.first_at)]
        if not ran:
            continue
        if kind.repeats is Repeats.NEVER:
            yield "no-second-effect", attempt.last_at, f"sent to {attempt.server} though it may have run"
        elif attempt.first_at > ran[0].first_at + kind.window + GRANTED + OWN_SLACK and not attempt.late:
            yield "no-second-effect", attempt.last_at, f"sent to {attempt.server} after its window"
    effects = sum(a.effect_at is not None for a in attempts)
    if effects > 1:
        yield "no-second-effect", attempts[-1].last_at, f"took effect {effects} times"
    if kind.repeats is Repeats.NEVER and one.answers and one.answers[0].kind == "busy":
        at = one.answers[0].at
        if any(_might_have_run(a, at) for a in attempts if a.last_at <= at):
            yield "no-second-effect", at, "refused though it may have run"


def _might_have_run(attempt: Attempt, by: float) -> bool:
    """Whether the router could not know by then that it never ran."""
    return attempt.may_have_run() or attempt.ended_at is None or attempt.ended_at > by


def _drained(one: Try, told: dict[tuple[str, str], list[Told]], grace: float) -> Iterator[tuple[float, str]]:
    for attempt in one.attempts:
        if attempt.late:
            continue
        state = _state_at(told.get((attempt.router, attempt.server), []), attempt.first_at)
        if state is None or state.state == "in_service":
            continue
        after = attempt.first_at - state.at
        if after > grace + GRANTED + OWN_SLACK:
            yield (
                attempt.first_at,
                f"sent to {attempt.server} {after:.2f} s after being told that it is {state.state}",
            )


def _state_at(told: list[Told], at: float) -> Told | None:
    """What was told last before then; draining and then gone are one spell."""
    since: Told | None = None
    for news in told:
        if news.at > at:
            break
        out = since is not None and since.state != "in_service"
        if not (out and news.state != "in_service"):
            since = news
    return since
