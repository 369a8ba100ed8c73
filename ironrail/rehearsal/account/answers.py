"""How the tries that routers took were answered: how many are refused, and how many are lost. Pure.

Over all of a run, the warm-up too, as the rules are judged. `Outcome` is what a client saw; here a try that
was never sent on and is answered as failed is refused, as is one whose new connection was closed, up to what
`rules.CLOSED_ONE_IN` allows: nothing has run, so nothing but its worth is gone.
"""

from __future__ import annotations

from dataclasses import dataclass

from ironrail.rehearsal.account.record import Outcome, Record, Try
from ironrail.rehearsal.account.rules import closed_new, lost, taken


@dataclass(slots=True)
class Answers:
    """Tries by what they count as. Those that neither were served nor stand here had run and failed."""

    taken: int = 0  # connections came up for so many
    refused: int = 0  # the next two among them
    unsent_failed: int = 0  # never sent on and answered as failed
    closed_new: int = 0  # first on their connection, which was closed with no answer
    lost: int = 0  # never answered, or half a second after their time: each breaks `one-answer`
    untimed: int = 0  # refusals that name no time


def count_answers(record: Record) -> Answers:
    """All tries of a run."""
    found, gone = Answers(), {one.request for one, _, _ in lost(record)}
    found.lost = len(gone)
    for one in record.tries.values():
        found.taken += taken(one)
        if one.request in gone:
            continue
        failed, closed = unsent_failed(one), closed_new(one)
        found.unsent_failed += failed
        found.closed_new += closed
        found.refused += failed or closed or one.outcome is Outcome.REFUSED
    found.untimed = sum(untimed(one) for one in record.tries.values())
    return found


def unsent_failed(one: Try) -> bool:
    """Whether it was answered as failed though no stand-in was ever sent it."""
    told = one.outcome is Outcome.FAILED and bool(one.answers) and one.answers[0].kind == "failed"
    return told and not one.attempts


def untimed(one: Try) -> bool:
    """Whether its refusal names no time, as `SERVER_ERROR busy` always may."""
    return any(given.kind == "busy" and given.retry_after is None for given in one.answers)
