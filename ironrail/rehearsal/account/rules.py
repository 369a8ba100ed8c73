"""Checks the rules against the record of a run. No I/O.

A stand-in notices a byte only when it reads it, so each time limit has a tolerance for the kit's own lateness
in addition to what the protocol allows: 50 ms on sockets, 0.5 s for an answer after its deadline.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from ironrail.rehearsal.account.leaving import abandoned_request_violations, overstated_wait_violations
from ironrail.rehearsal.account.record import Attempt, Outcome, Record, StateNotice, Try
from ironrail.rehearsal.scenario.model import Repeats, Scenario

SOCKET_TOLERANCE_SECONDS = 0.05  # beyond each time limit on sockets, by the protocol
# after the deadline, beyond which an answer counts as never given; until then it only earns nothing
LATE_ANSWER_TOLERANCE_SECONDS = 0.5
KIT_LATENESS_SECONDS = 0.1  # of the kit itself; a run that is later gives no verdict
MIN_INFORMED_FRACTION = 2 / 3  # of a cold server's load, from routers notified of its start
MAX_ATTEMPTS = 3  # of a request
# One in so many of the accepted tries may have its new connection closed without an answer, as a router that
# is full or shutting down can't serve every established connection. Such tries count as refused, further ones
# as lost.
TRIES_PER_CLOSED_CONNECTION = 200

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
    """A violation of a rule, with the whole history of the request concerned."""

    rule: str  # a key of RULES
    at: float
    what: str
    request: str = ""
    history: list[str] = field(default_factory=list)


def find_violations(record: Record, scenario: Scenario) -> list[Violation]:
    """Return all violations of the rules, in order of time."""
    found: list[Violation] = []
    for one, at, what in lost_tries(record):
        found.append(Violation("one-answer", at, what, one.request, one.history()))
    for one in record.tries.values():
        checks = (_one_answer, _own_value, _extra_attempts, _repeated_effects)
        found += [
            Violation(rule, at, what, one.request, one.history())
            for check in checks
            for rule, at, what in check(one, scenario)
        ]
        found += [
            Violation("drains", at, what, one.request, one.history())
            for at, what in _sent_to_drained(one, record.state_notices, scenario.registry.grace)
        ]
    for one, at, what in abandoned_request_violations(record, KIT_LATENESS_SECONDS):
        found.append(Violation("gone-clients", at, what, one.request, one.history()))
    for one, at, what in overstated_wait_violations(record):
        found.append(Violation("time-told", at, what, one.request, one.history()))
    for fall in record.collapses:
        if (
            fall.informed < MIN_INFORMED_FRACTION * fall.sent
        ):  # mostly from routers that could not know that it was cold
            continue
        what = f"{fall.server} was sent {fall.sent:.2f} s of work where {fall.allowed:.2f} s were allowed"
        found.append(Violation("cold", fall.at, what))
    found += [Violation("protocol", s.at, f"{s.where}: {s.text}") for s in record.strays]
    return sorted(found, key=lambda v: v.at)


Found = Iterator[tuple[str, float, str]]


def _one_answer(one: Try, scenario: Scenario) -> Found:
    if len(one.answers) > 1:
        yield "one-answer", one.answers[1].at, "answered twice"


def is_taken(one: Try) -> bool:
    """Return whether a router accepted the try, which is so once its connection was established."""
    return one.outcome is not Outcome.UNCONNECTED


def is_closed_new_connection(one: Try) -> bool:
    """Return whether the try's new connection was closed without an answer or an attempt."""
    unanswered = one.outcome is Outcome.CLOSED and not one.answers and not one.attempts
    return unanswered and one.first_on_connection and not one.excuse


def lost_tries(record: Record) -> Iterator[tuple[Try, float, str]]:
    """Yield every try whose answer is missing or too late, with the time and a description."""
    tries = list(record.tries.values())
    for one in tries:
        if (found := _never_answered(one)) is not None:
            yield one, *found
    allowed = sum(is_taken(one) for one in tries) // TRIES_PER_CLOSED_CONNECTION
    closed = sorted(
        (one for one in tries if is_closed_new_connection(one)), key=lambda t: (_ended(t), t.request)
    )
    for one in closed[allowed:]:
        what = f"its new connection was closed: more than one in {TRIES_PER_CLOSED_CONNECTION} tries"
        yield one, _ended(one), what


def _never_answered(one: Try) -> tuple[float, str] | None:
    """Return when and how a try was lost; one closed before any attempt may be sent again."""
    if one.excuse:
        return None
    if one.answers:
        at = one.answers[0].at
        return (
            (at, "answered after its time was up")
            if at > one.due + LATE_ANSWER_TOLERANCE_SECONDS + KIT_LATENESS_SECONDS
            else None
        )
    if one.killed_at is not None:
        return one.killed_at, "unanswered when its router was killed, as it had not ended"
    closed_unsent = one.outcome is Outcome.CLOSED and not one.attempts
    if one.outcome not in (Outcome.UNANSWERED, Outcome.CLOSED) or closed_unsent:
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


def _extra_attempts(one: Try, scenario: Scenario) -> Found:
    if len(one.attempts) > MAX_ATTEMPTS:
        yield "protocol", one.attempts[MAX_ATTEMPTS].last_at, f"{len(one.attempts)} attempts"
    if not one.answers:
        return
    for attempt in one.attempts:
        if (
            attempt.first_at > one.answers[0].at + SOCKET_TOLERANCE_SECONDS + KIT_LATENESS_SECONDS
            and not attempt.late
        ):
            yield "one-answer", attempt.last_at, f"sent to {attempt.server} after its answer"


def _repeated_effects(one: Try, scenario: Scenario) -> Found:
    kind = scenario.class_of(one.planned.kind)
    if kind.repeats is Repeats.SAFE:
        return
    attempts = sorted(one.attempts, key=lambda a: a.last_at)
    for i, attempt in enumerate(attempts):
        ran = [a for a in attempts[:i] if _possibly_ran(a, attempt.first_at)]
        if not ran:
            continue
        if kind.repeats is Repeats.NEVER:
            yield "no-second-effect", attempt.last_at, f"sent to {attempt.server} though it may have run"
        elif (
            attempt.first_at > ran[0].first_at + kind.window + SOCKET_TOLERANCE_SECONDS + KIT_LATENESS_SECONDS
            and not attempt.late
        ):
            yield "no-second-effect", attempt.last_at, f"sent to {attempt.server} after its window"
    effects = sum(a.effect_at is not None for a in attempts)
    if effects > 1:
        yield "no-second-effect", attempts[-1].last_at, f"took effect {effects} times"
    if kind.repeats is Repeats.NEVER and one.answers and one.answers[0].kind == "busy":
        at = one.answers[0].at
        if any(_possibly_ran(a, at) for a in attempts if a.last_at <= at):
            yield "no-second-effect", at, "refused though it may have run"


def _possibly_ran(attempt: Attempt, by: float) -> bool:
    """Return whether the router could not yet know at time `by` that the attempt never ran."""
    return attempt.may_have_run() or attempt.ended_at is None or attempt.ended_at > by


def _sent_to_drained(
    one: Try, told: dict[tuple[str, str], list[StateNotice]], grace: float
) -> Iterator[tuple[float, str]]:
    for attempt in one.attempts:
        if attempt.late:
            continue
        state = _state_at(told.get((attempt.router, attempt.server), []), attempt.first_at)
        if state is None or state.state == "in_service":
            continue
        after = attempt.first_at - state.at
        if after > grace + SOCKET_TOLERANCE_SECONDS + KIT_LATENESS_SECONDS:
            yield (
                attempt.first_at,
                f"sent to {attempt.server} {after:.2f} s after being told that it is {state.state}",
            )


def _state_at(told: list[StateNotice], at: float) -> StateNotice | None:
    """Return the notice in force at a time.

    Draining followed by terminated counts as one period, which begins with the first of both.
    """
    since: StateNotice | None = None
    for news in told:
        if news.at > at:
            break
        out = since is not None and since.state != "in_service"
        if not (out and news.state != "in_service"):
            since = news
    return since
