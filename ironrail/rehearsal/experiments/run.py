"""Plays an experiment block by block, until the question is settled or all is played."""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ironrail.rehearsal.experiments.compare import Compared, compare, settled
from ironrail.rehearsal.experiments.crew import LONGEST, Crew
from ironrail.rehearsal.experiments.plan import Experiment, Run, blocks, world_of
from ironrail.rehearsal.experiments.store import Outcome, Store
from ironrail.rehearsal.experiments.trees import make_tree


@dataclass(slots=True)
class State:
    """How far an experiment is."""

    compared: list[Compared]  # at the latest look
    looks: int  # that were had
    settled: bool
    over: bool  # nothing more will be played


def state_of(experiment: Experiment, played: dict[Run, Outcome]) -> State:
    """Where an experiment stands by what was played: the same whether or not it was cut off on its way."""
    seen: dict[Run, Outcome] = {}
    state = State(compare(experiment, seen), 0, False, False)
    parts = list(blocks(experiment))
    for look, block in enumerate(parts, 1):
        if any(run not in played for run in block):
            return state
        seen |= {run: played[run] for run in block}
        compared = compare(experiment, seen)
        done = settled(compared)
        state = State(compared, look, done, done or look == len(parts))
        if state.over:
            break
    return state


def play(
    experiment: Experiment,
    store: Store,
    jobs: int,
    told: Callable[[int, int, Run, Outcome], None],
    longest: float = LONGEST,
) -> State:
    """Play what is missing; `told` hears how many runs there are, of how many at the most, and of each."""
    with tempfile.TemporaryDirectory(prefix="ironrail-experiment-") as name:
        trees, digests = {}, {}
        for variant in experiment.variants:
            trees[variant.name] = Path(name) / variant.name
            digests[variant.name] = make_tree(variant, trees[variant.name])
        store.keep_trees(digests)
        operators = {
            v.name: str(Path(v.operator).resolve()) if v.operator else "" for v in experiment.variants
        }
        crew = Crew(trees, operators, jobs, longest)
        played = store.played()
        most = sum(len(block) for block in blocks(experiment))

        def keep(run: Run, outcome: Outcome) -> None:
            store.add(run, outcome)
            played[run] = outcome
            told(len(played), most, run, outcome)

        for block in blocks(experiment):
            crew.play(_with_worlds(experiment, [run for run in block if run not in played]), keep)
            state = state_of(experiment, played)
            if state.over:
                break
        return state


def _with_worlds(experiment: Experiment, runs: list[Run]) -> Iterator[tuple[Run, dict[str, Any]]]:
    """Runs with their worlds, one variant after the other: a process then keeps to one."""
    families = {worlds.name: worlds for worlds in experiment.worlds}
    order = {variant.name: i for i, variant in enumerate(experiment.variants)}
    for run in sorted(runs, key=lambda run: (order[run.variant], run)):
        world = world_of(families[run.world], run.seed)
        yield run, world.model_dump(mode="json", by_alias=True, exclude_defaults=True)
