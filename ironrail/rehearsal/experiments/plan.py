"""The form of an experiment: a question, variants, worlds, and when the question is settled.

The first variant is the reference; each other one is compared with it, pair by pair of world and seed.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Self

from pydantic import Field, field_validator, model_validator

from ironrail.rehearsal.scenario.base import Table
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import ScenarioError, parse, read_scenario, read_text
from ironrail.rehearsal.virtual.random_scenarios import random_scenario
from ironrail.rehearsal.worlds import FAMILIES, family_scenario

SEEDS = re.compile(r"(\d+)\.\.(\d+)")
DRAWN = "drawn"  # the worlds that the explorer draws, in place of a scenario
FAMILY = "family:"  # and a name: worlds of a family
MOST_RUNS = 1_000_000
MOST_NAMED = 200  # scenarios and variants

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,39}$")]


class ExperimentError(ScenarioError):
    """An experiment that can't be used; the message names file, line and mistake."""


class Variant(Table):
    """A router to be compared. With nothing set it is the working tree."""

    name: Name
    commit: str = ""  # the daemon of this commit; the kit stays that of the working tree
    operator: str = ""  # the operator's file
    constants: Annotated[dict[str, float | int], Field(alias="set")] = {}  # by module and name

    @field_validator("constants")
    @classmethod
    def _named(cls, constants: dict[str, float | int]) -> dict[str, float | int]:
        for name in constants:
            if not re.fullmatch(r"ironrail(\.[a-z_0-9]+)+\.[A-Z][A-Z_0-9]*", name):
                example = "ironrail.policy.hash_ring.BOUNDED_LOAD_MARGIN_RATIO"
                raise ValueError(f"{name!r} is no constant, as {example} is")
        return constants


class Worlds(Table):
    """Worlds of one family."""

    name: Name
    scenario: str = DRAWN  # a shipped one, a file, `drawn`, or `family:` and its name
    seeds: str  # the first and the last one

    @field_validator("seeds")
    @classmethod
    def _range(cls, seeds: str) -> str:
        found = SEEDS.fullmatch(seeds)
        if found is None or int(found[1]) > int(found[2]):
            raise ValueError(f"must be a first and a last one, like 0..99, not {seeds!r}")
        return seeds

    @field_validator("scenario")
    @classmethod
    def _there(cls, scenario: str) -> str:
        if scenario.startswith(FAMILY) and scenario.removeprefix(FAMILY) not in FAMILIES:
            raise ValueError(f"there is no family {scenario.removeprefix(FAMILY)!r} ({', '.join(FAMILIES)})")
        return scenario

    @property
    def is_drawn(self) -> bool:
        """Whether each seed has a world of its own."""
        return self.scenario == DRAWN or self.scenario.startswith(FAMILY)

    def numbers(self) -> range:
        first, last = self.seeds.split("..")
        return range(int(first), int(last) + 1)


class Stop(Table):
    """When the question is settled, short of all seeds."""

    level: Annotated[float, Field(gt=0.0, lt=0.5)] = 0.05  # of being wrong, over all looks and comparisons
    margin: Annotated[float, Field(ge=0.0)] = 0.005  # of service: less than that is no difference
    looks: Annotated[int, Field(ge=1, le=20)] = (
        4  # at what has come so far, evenly spread; the last is the end
    )


class Experiment(Table):
    """One experiment."""

    question: Annotated[str, Field(min_length=1)]
    variants: Annotated[list[Variant], Field(alias="variant", min_length=2, max_length=MOST_NAMED)]
    worlds: Annotated[list[Worlds], Field(min_length=1, max_length=MOST_NAMED)]
    stop: Stop = Stop()

    @model_validator(mode="after")
    def _fits(self) -> Self:
        for what, names in (
            ("variants", [v.name for v in self.variants]),
            ("worlds", [w.name for w in self.worlds]),
        ):
            if len(set(names)) < len(names):
                raise ValueError(f"two {what} have one name")
        if len(self.variants) * sum(len(w.numbers()) for w in self.worlds) > MOST_RUNS:
            raise ValueError(f"more than {MOST_RUNS} runs")
        return self


@dataclass(frozen=True, slots=True, order=True)
class Run:
    """One variant in one world."""

    world: str
    seed: int
    variant: str


def read_experiment(path: str) -> tuple[Experiment, str]:
    """The experiment that a file holds, and its text's digest. Scenarios and files it names must be there."""
    text = read_text(Path(path))
    experiment = parse(Experiment, text, path)
    for worlds in experiment.worlds:
        if not worlds.is_drawn:
            read_scenario(worlds.scenario)
    for variant in experiment.variants:
        if variant.operator and not Path(variant.operator).is_file():
            raise ExperimentError(f"{path}: variant {variant.name}: there is no file {variant.operator}")
    return experiment, hashlib.sha256(text.encode()).hexdigest()[:16]


def world_of(worlds: Worlds, seed: int) -> Scenario:
    """The world of a seed."""
    if worlds.scenario.startswith(FAMILY):
        return family_scenario(worlds.scenario.removeprefix(FAMILY), seed)
    return random_scenario(seed) if worlds.scenario == DRAWN else read_scenario(worlds.scenario)


def blocks(experiment: Experiment) -> Iterator[list[Run]]:
    """All runs in the order of playing: each block has every variant, and its share of every family's seeds.

    A block ends with a look at what has come, so that the families weigh alike at each.
    """
    looks = experiment.stop.looks
    for look in range(looks):
        block = []
        for worlds in experiment.worlds:
            seeds = worlds.numbers()
            part = seeds[len(seeds) * look // looks : len(seeds) * (look + 1) // looks]
            block += [Run(worlds.name, seed, v.name) for seed in part for v in experiment.variants]
        if block:
            yield block
