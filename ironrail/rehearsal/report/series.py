"""What a page plots: counts second by second. Pure."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from ironrail.rehearsal.account.record import Outcome
from ironrail.rehearsal.run import Result

OUTCOMES = (Outcome.SERVED, Outcome.REFUSED, Outcome.FAILED, Outcome.UNANSWERED, Outcome.UNCONNECTED)


@dataclass(slots=True)
class Series:
    """One value for each second of the run, from 0."""

    seconds: list[int] = field(default_factory=list)
    service: list[float] = field(default_factory=list)  # of first tries sent then, the share in time
    outcomes: dict[str, list[int]] = field(default_factory=dict)  # of tries that ended then
    fetches: list[int] = field(default_factory=list)


def series(result: Result) -> Series:
    """The counts of a run. A second without first tries has a service of NaN, which plots as a gap."""
    whole = max(1, math.ceil(result.scenario.length))
    asked, in_time = Counter[int](), Counter[int]()
    ended: dict[str, Counter[int]] = {str(o): Counter() for o in OUTCOMES}
    best: dict[int, float] = {}
    for one in result.record.tries.values():
        if one.ended_at is not None and one.outcome in ended:
            ended[one.outcome][int(one.ended_at // 1)] += 1
        if one.outcome is Outcome.SERVED and one.answers:
            took = one.answers[0].at - one.planned.at
            best[one.planned.number] = min(took, best.get(one.planned.number, math.inf))
    for planned in result.schedule:
        second = int(planned.at // 1)
        asked[second] += 1
        wanted = result.scenario.class_of(planned.kind).wanted
        in_time[second] += best.get(planned.number, math.inf) <= wanted
    fetches = Counter(int(at // 1) for at in result.record.archive_fetches)
    seconds = list(range(whole))
    return Series(
        seconds,
        [in_time[s] / asked[s] if asked[s] else math.nan for s in seconds],
        {name: [counts[s] for s in seconds] for name, counts in ended.items()},
        [fetches[s] for s in seconds],
    )
