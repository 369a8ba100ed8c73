"""Whether a variant differs from the reference, by more than chance. Pure.

Differences are paired by world and seed: both played the same requests and faults, so that most of what
makes worlds differ cancels. Intervals are Student's t on the mean difference (scipy.stats). The level is
shared evenly among all looks and comparisons (Bonferroni): the chance of any wrong word over a whole
experiment stays below it.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from ironrail.rehearsal.experiments.plan import Experiment, Run
from ironrail.rehearsal.experiments.store import Outcome

LEAST_PAIRS = 10  # fewer tell nothing
WORSE_SHOWN = 5  # worlds of a comparison that got worst


class Word(StrEnum):
    """What can be said."""

    BETTER = "better"
    WORSE = "worse"
    SAME = "no difference that matters"
    OPEN = "not settled"


@dataclass(frozen=True, slots=True)
class Interval:
    """A mean difference of service, and where it lies with the confidence asked for."""

    pairs: int
    mean: float
    low: float
    high: float

    def word(self, margin: float) -> Word:
        """Better or worse where 0 is outside; the same where nothing that matters is inside."""
        if self.low > 0.0:
            return Word.BETTER
        if self.high < 0.0:
            return Word.WORSE
        return Word.SAME if -margin <= self.low and self.high <= margin else Word.OPEN


@dataclass(slots=True)
class Compared:
    """A variant beside the reference."""

    variant: str
    whole: Interval
    word: Word
    families: dict[str, Interval] = field(default_factory=dict)
    worst: list[tuple[float, str, int]] = field(default_factory=list)  # difference, world, seed
    losses: dict[str, float] = field(
        default_factory=dict
    )  # by cause: its share of worth asked, less the reference's
    broken: int = 0  # rules that it broke
    reference_broken: int = 0
    failed: list[str] = field(default_factory=list)  # why runs have no figure


def interval(differences: list[float], level: float) -> Interval:
    """The mean and its interval; without bounds where there are too few."""
    from scipy import stats  # noqa: PLC0415 - it takes longer than all else that the command imports

    count = len(differences)
    mean = sum(differences) / count if count else 0.0
    if count < LEAST_PAIRS:
        return Interval(count, mean, -math.inf, math.inf)
    spread = float(stats.sem(differences))
    if spread == 0.0 or math.isnan(spread):
        return Interval(count, mean, mean, mean)
    low, high = stats.t.interval(1.0 - level, count - 1, loc=mean, scale=spread)
    return Interval(count, mean, float(low), float(high))


def compare(experiment: Experiment, played: Mapping[Run, Outcome]) -> list[Compared]:
    """Each variant beside the first, from the pairs that are there."""
    reference, *others = [v.name for v in experiment.variants]
    level = experiment.stop.level / (experiment.stop.looks * len(others))
    return [_compared(experiment, played, reference, name, level) for name in others]


def settled(compared: list[Compared]) -> bool:
    """Whether nothing is open any more."""
    return all(one.word is not Word.OPEN for one in compared)


def _compared(
    experiment: Experiment, played: Mapping[Run, Outcome], reference: str, name: str, level: float
) -> Compared:
    families: defaultdict[str, list[float]] = defaultdict(list)
    worlds: list[tuple[float, str, int]] = []
    pairs: list[tuple[Outcome, Outcome]] = []
    failed = []
    for run, outcome in sorted(played.items(), key=lambda item: item[0]):
        if run.variant not in (reference, name):
            continue
        if outcome.failed:
            failed.append(f"{run.variant} in {run.world} {run.seed}: {outcome.failed}")
        other = played.get(Run(run.world, run.seed, reference))
        if run.variant == reference or other is None or other.service is None or outcome.service is None:
            continue
        difference = outcome.service - other.service
        families[run.world].append(difference)
        worlds.append((difference, run.world, run.seed))
        pairs.append((outcome, other))
    whole = interval([difference for difference, _, _ in worlds], level)
    each = level / max(1, len(families))  # several comparisons at once: each family has its part
    return Compared(
        name,
        whole,
        whole.word(experiment.stop.margin),
        {world: interval(differences, each) for world, differences in sorted(families.items())},
        sorted(worlds)[:WORSE_SHOWN],
        _losses(pairs),
        sum(own.broken for own, _ in pairs),
        sum(other.broken for _, other in pairs),
        failed,
    )


def _losses(pairs: list[tuple[Outcome, Outcome]]) -> dict[str, float]:
    """By cause, what of the worth asked for was lost more than by the reference; below 0 is less."""
    asked = sum(own.asked for own, _ in pairs)
    sums: defaultdict[str, float] = defaultdict(float)
    for own, other in pairs:
        for cause, worth in (own.losses or {}).items():
            sums[cause] += worth
        for cause, worth in (other.losses or {}).items():
            sums[cause] -= worth
    return {cause: worth / asked for cause, worth in sorted(sums.items())} if asked else {}
