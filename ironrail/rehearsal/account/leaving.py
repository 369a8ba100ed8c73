"""Checks attempts sent for clients that disconnected, and the waiting times announced to servers. No I/O.

A client that closes its connection no longer wants its answer, so an attempt sent for it afterwards wastes
the capacity of a server.
"""

from __future__ import annotations

from collections.abc import Iterator

from ironrail.rehearsal.account.record import CLIENT_LEFT, Attempt, Record, Try

ATTEMPT_GRACE_SECONDS = 0.1  # after the client's close, in which an attempt may begin
FIRST_COUNTED_ATTEMPT = 3  # of a run's attempts later than that, the third and those after it are violations
FIRST_ATTEMPT_GRACE_SECONDS = 0.3  # the same where no attempt had begun before the close
MAX_LATE_FIRST_FRACTION, MIN_LATE_FIRST_COUNT = (
    0.25,
    5,
)  # a violation needs both: more than the fraction, at least the count
WAIT_TOLERANCE_SECONDS = 0.15  # by which a further attempt may overstate the client's remaining time
MAX_OVERSTATED_FRACTION = 0.2  # of further attempts that may overstate it by more

JUDGED_EXCUSES = "", CLIENT_LEFT  # excuses that leave what a router sends subject to the rules
Found = tuple[Try, float, str]


def attempts_after_departure(record: Record, slack: float) -> list[tuple[Try, Attempt]]:
    """Return attempts that began too late after their client had disconnected, in order of time.

    Args:
        record: What the stand-ins saw.
        slack: Seconds of tolerance on top of `ATTEMPT_GRACE_SECONDS`.
    """
    found = [
        (one, attempt)
        for one in _gone(record)
        for attempt in one.attempts
        if not attempt.late and attempt.first_at > (one.left_at or 0.0) + ATTEMPT_GRACE_SECONDS + slack
    ]
    return sorted(found, key=lambda pair: (pair[1].first_at, pair[0].request))


def abandoned_request_violations(record: Record, slack: float) -> Iterator[Found]:
    """Yield the violations of rule `gone-clients`: the try, the time and a description."""
    for one, attempt in attempts_after_departure(record, slack)[FIRST_COUNTED_ATTEMPT - 1 :]:
        after = attempt.first_at - (one.left_at or 0.0)
        yield one, attempt.first_at, f"sent to {attempt.server} {after:.2f} s after its client had gone"
    waited, late = 0, []
    for one in _gone(record):
        left = one.left_at or 0.0
        if any(attempt.first_at <= left for attempt in one.attempts):
            continue
        waited += 1
        first = min((a.first_at for a in one.attempts if not a.late), default=left)
        if first > left + FIRST_ATTEMPT_GRACE_SECONDS + slack:
            late.append((one, first))
    if len(late) >= MIN_LATE_FIRST_COUNT and len(late) > MAX_LATE_FIRST_FRACTION * waited:
        one, first = late[0]
        yield one, first, f"sent on for the first time with {len(late) - 1} more, of {waited} left waiting"


def _gone(record: Record) -> Iterator[Try]:
    """Yield tries whose client disconnected, except where the router could not notice it."""
    for one in record.tries.values():
        if one.left_at is not None and one.excuse in JUDGED_EXCUSES:
            yield one


def overstated_wait_violations(record: Record) -> Iterator[Found]:
    """Yield further attempts that announced more time than the client had left, if too many did."""
    count, found = 0, list[Found]()
    for one in record.tries.values():
        if one.excuse not in JUDGED_EXCUSES:  # a suspended router can't know when the try was sent
            continue
        for attempt in sorted(one.attempts, key=lambda a: a.first_at)[1:]:
            if attempt.late or attempt.announced_wait is None:
                continue
            count += 1
            beyond = attempt.announced_wait - (one.due - attempt.first_at)
            if beyond > WAIT_TOLERANCE_SECONDS:
                what = f"told {attempt.server} {beyond:.2f} s more than was left to the client"
                found.append((one, attempt.first_at, what))
    if len(found) > MAX_OVERSTATED_FRACTION * count:
        yield from found
