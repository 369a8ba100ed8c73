"""What an experiment says: by hand, where there is nothing to find, and where there is."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.rehearsal.experiments.compare import Word, compare, interval, settled
from ironrail.rehearsal.experiments.plan import Experiment, Run, blocks
from ironrail.rehearsal.experiments.run import state_of
from ironrail.rehearsal.experiments.store import Outcome
from ironrail.rehearsal.scenario.reader import parse

EXPERIMENT = """
question = "is it better?"
[[variant]]
name = "now"
[[variant]]
name = "new"
[[worlds]]
name = "one"
seeds = "0..59"
[[worlds]]
name = "two"
seeds = "100..159"
[stop]
margin = 0.004
"""


def experiment(text: str = EXPERIMENT) -> Experiment:
    return parse(Experiment, text, "e.toml")


def played(
    described: Experiment, difference: float, noise: float, draws: random.Random
) -> dict[Run, Outcome]:
    """Worlds that differ a lot, variants that differ a little, and noise of each pair."""
    found = {}
    for worlds in described.worlds:
        for seed in worlds.numbers():
            base = draws.uniform(0.5, 0.9)
            found[Run(worlds.name, seed, "now")] = Outcome(base, 100.0)
            changed = base + difference + draws.gauss(0.0, noise)
            found[Run(worlds.name, seed, "new")] = Outcome(changed, 100.0)
    return found


def test_an_interval_by_hand() -> None:
    found = interval([0.01] * 5 + [0.03] * 5, 0.05)
    assert found.pairs == 10 and found.mean == pytest.approx(0.02)
    half = 2.2622 * math.sqrt(0.001 / 9) / math.sqrt(10)  # t of 9 degrees at 0.975
    assert found.low == pytest.approx(0.02 - half, rel=1e-3)
    assert found.high == pytest.approx(0.02 + half, rel=1e-3)
    assert found.word(0.005) is Word.BETTER


def test_too_few_pairs_say_nothing() -> None:
    assert interval([0.5] * 9, 0.05).word(0.005) is Word.OPEN
    assert interval([], 0.05).word(0.005) is Word.OPEN


def test_where_all_pairs_are_alike_there_is_no_doubt() -> None:
    assert interval([0.0] * 10, 0.05).word(0.005) is Word.SAME
    assert interval([-0.1] * 10, 0.05).word(0.005) is Word.WORSE


def test_two_that_are_the_same_are_told_apart_in_hardly_any_of_a_hundred_repeats() -> None:
    draws, described = random.Random(1), experiment()
    words = [state_of(described, played(described, 0.0, 0.02, draws)).compared[0].word for _ in range(100)]
    assert sum(word in (Word.BETTER, Word.WORSE) for word in words) <= 5


def test_a_hundredth_is_found_and_stops_the_experiment_before_its_end() -> None:
    draws, described = random.Random(2), experiment()
    states = [state_of(described, played(described, 0.01, 0.02, draws)) for _ in range(50)]
    assert sum(state.compared[0].word is Word.BETTER for state in states) >= 48
    assert sum(state.looks < described.stop.looks for state in states) >= 25
    assert all(state.settled for state in states if state.looks < described.stop.looks)


def test_a_loss_in_one_family_is_shown_beside_a_gain_on_the_whole() -> None:
    described = experiment()
    found = played(described, 0.0, 0.0, random.Random(3))
    for run, outcome in list(found.items()):
        if run.variant == "new":
            gain = 0.05 if run.world == "one" else -0.01
            found[run] = Outcome(outcome.service + gain if outcome.service else None, 100.0)
    (one,) = compare(described, found)
    assert one.word is Word.BETTER
    assert one.families["two"].word(0.004) is Word.WORSE
    assert {family for _, family, _ in one.worst} == {"two"}


def test_runs_without_a_figure_are_left_out_in_pairs_and_named() -> None:
    described = experiment()
    found = played(described, 0.01, 0.0, random.Random(4))
    found[Run("one", 3, "new")] = Outcome(None, failed="hung for 300 s")
    found[Run("two", 101, "now")] = Outcome(None, failed="its process ended with -9")
    (one,) = compare(described, found)
    assert one.whole.pairs == 118
    assert one.failed == ["new in one 3: hung for 300 s", "now in two 101: its process ended with -9"]


def test_losses_are_told_as_shares_of_what_was_asked_for() -> None:
    described = experiment()
    found = {
        Run("one", 0, "now"): Outcome(0.5, 100.0, losses={"slow": 30.0, "dial": 20.0}),
        Run("one", 0, "new"): Outcome(0.6, 100.0, losses={"slow": 40.0}),
    }
    assert compare(described, found)[0].losses == {"dial": pytest.approx(-0.2), "slow": pytest.approx(0.1)}


@given(st.integers(1, 20), st.integers(0, 30), st.integers(0, 30))
def test_blocks_hold_every_run_once_and_both_of_each_pair(looks: int, first: int, second: int) -> None:
    text = EXPERIMENT.replace("0..59", f"0..{first}").replace("100..159", f"100..{100 + second}")
    described = experiment(f"{text}looks = {looks}\n")
    all_blocks = list(blocks(described))
    runs = [run for block in all_blocks for run in block]
    assert len(runs) == len(set(runs)) == 2 * (first + second + 2)
    for block in all_blocks:
        assert {(r.world, r.seed) for r in block if r.variant == "now"} == {
            (r.world, r.seed) for r in block if r.variant == "new"
        }


@given(st.sets(st.integers(0, 239)))
def test_what_is_missing_in_a_block_leaves_the_state_at_the_look_before(missing: set[int]) -> None:
    described = experiment()
    whole = played(described, 0.0, 0.1, random.Random(5))
    order = [run for block in blocks(described) for run in block]
    gone = {order[i] for i in missing}
    state = state_of(described, {run: outcome for run, outcome in whole.items() if run not in gone})
    first = min(missing, default=None)
    assert state.looks == (4 if first is None else first // 60)
    assert state.over is (first is None) and not settled(state.compared)
