"""Counts how the tries that routers accepted were answered: refused, lost, or refused without a time.

Covers the whole run including the warm-up, like the rules. `Outcome` is what a client saw. Here, a try that
was answered as failed without being sent to any server counts as refused, and so does a try whose new
connection was closed, up to the share that `rules.TRIES_PER_CLOSED_CONNECTION` allows: nothing was executed,
so only the worth of the request is lost.
"""

from __future__ import annotations

from dataclasses import dataclass

from ironrail.rehearsal.account.record import Outcome, Record, Try
from ironrail.rehearsal.account.rules import is_closed_new_connection, is_taken, lost_tries


@dataclass(slots=True)
class Answers:
    """Number of tries by category; a try that was executed and failed is in none but `taken`."""

    taken: int = 0  # tries whose connection was established
    refused: int = 0  # includes `unsent_failed` and `closed_new`
    unsent_failed: int = 0  # answered as failed without being sent to a server
    closed_new: int = 0  # first on their connection, which was closed without an answer
    lost: int = 0  # never answered, or over 0.5 s after the deadline; each breaks `one-answer`
    untimed: int = 0  # refusals without a retry time


def count_answer_outcomes(record: Record) -> Answers:
    """Count the answers to all tries of a run."""
    found, gone = Answers(), {one.request for one, _, _ in lost_tries(record)}
    found.lost = len(gone)
    for one in record.tries.values():
        found.taken += is_taken(one)
        if one.request in gone:
            continue
        failed, closed = is_unsent_failed(one), is_closed_new_connection(one)
        found.unsent_failed += failed
        found.closed_new += closed
        found.refused += failed or closed or one.outcome is Outcome.REFUSED
    found.untimed = sum(is_untimed(one) for one in record.tries.values())
    return found


def is_unsent_failed(one: Try) -> bool:
    """Return whether the try was answered as failed although no stand-in received an attempt."""
    answered_failed = one.outcome is Outcome.FAILED and bool(one.answers) and one.answers[0].kind == "failed"
    return answered_failed and not one.attempts


def is_untimed(one: Try) -> bool:
    """Return whether the try was refused without a retry time, as `SERVER_ERROR busy` may be."""
    return any(given.kind == "busy" and given.retry_after is None for given in one.answers)
