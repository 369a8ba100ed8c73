"""What is sent on for clients that have gone, and the time that servers are told is left. Pure.

A client that closes its connection has gone: what is sent on for it afterwards is work for nobody.
"""

from __future__ import annotations

from collections.abc import Iterator

from ironrail.rehearsal.account.record import LEFT, Attempt, Record, Try

BEGINS_WITHIN = 0.1  # seconds after the close in which an attempt may begin
BREAKS_FROM = 3  # attempts of a run that begin later than that
WAITED_WITHIN = 0.3  # the same for those that waited for their first attempt as the client closed
WAITED_SHARE, WAITED_LEAST = 0.25, 5  # of these may be sent on later than that, and so many always
TOLD_BEYOND = 0.15  # seconds beyond what is left to the client that a further attempt may tell
TOLD_SHARE = 0.2  # of further attempts may tell more than that

NOT_EXCUSED = "", LEFT
Found = tuple[Try, float, str]


def begun_after(record: Record, slack: float) -> list[tuple[Try, Attempt]]:
    """Attempts that began later than they may for a client that has gone, in order of time."""
    found = [
        (one, attempt)
        for one in _gone(record)
        for attempt in one.attempts
        if not attempt.late and attempt.first_at > (one.left_at or 0.0) + BEGINS_WITHIN + slack
    ]
    return sorted(found, key=lambda pair: (pair[1].first_at, pair[0].request))


def sent_for_nobody(record: Record, slack: float) -> Iterator[Found]:
    """What breaks the terms on clients that have gone."""
    for one, attempt in begun_after(record, slack)[BREAKS_FROM - 1 :]:
        after = attempt.first_at - (one.left_at or 0.0)
        yield one, attempt.first_at, f"sent to {attempt.server} {after:.2f} s after its client had gone"
    waited, late = 0, []
    for one in _gone(record):
        left = one.left_at or 0.0
        if any(attempt.first_at <= left for attempt in one.attempts):
            continue
        waited += 1
        first = min((a.first_at for a in one.attempts if not a.late), default=left)
        if first > left + WAITED_WITHIN + slack:
            late.append((one, first))
    if len(late) >= WAITED_LEAST and len(late) > WAITED_SHARE * waited:
        one, first = late[0]
        yield one, first, f"sent on for the first time with {len(late) - 1} more, of {waited} left waiting"


def _gone(record: Record) -> Iterator[Try]:
    """Tries that were left, but for those of a router that could not know."""
    for one in record.tries.values():
        if one.left_at is not None and one.excuse in NOT_EXCUSED:
            yield one


def told_too_much(record: Record) -> Iterator[Found]:
    """Further attempts that told more time than was left to the client, if they are too many."""
    count, found = 0, list[Found]()
    for one in record.tries.values():
        if one.excuse not in NOT_EXCUSED:  # a router that stood still can't know when it was sent
            continue
        for attempt in sorted(one.attempts, key=lambda a: a.first_at)[1:]:
            if attempt.late or attempt.told is None:
                continue
            count += 1
            beyond = attempt.told - (one.due - attempt.first_at)
            if beyond > TOLD_BEYOND:
                what = f"told {attempt.server} {beyond:.2f} s more than was left to the client"
                found.append((one, attempt.first_at, what))
    if len(found) > TOLD_SHARE * count:
        yield from found
