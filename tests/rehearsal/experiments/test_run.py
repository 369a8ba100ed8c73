"""Experiments that are played: variants, a store that survives, and input that can't be used."""

from __future__ import annotations

import json
import os
import signal
import sqlite3
import subprocess
import sys
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from ironrail.rehearsal.experiments.command import experiment as command
from ironrail.rehearsal.experiments.crew import Worker
from ironrail.rehearsal.experiments.plan import ExperimentError, Run, Variant, read_experiment
from ironrail.rehearsal.experiments.store import Outcome, Store
from ironrail.rehearsal.experiments.trees import PACKAGE, digest_of, make_tree
from ironrail.rehearsal.scenario.reader import ScenarioError
from tests.rehearsal.test_mutants import ROOT

WORLD = """
summary = "tiny"
length = "1 s"
warm_up = "200 ms"
[load]
rate = 40
[routers]
count = 1
[caches]
count = 2
"""
EXPERIMENT = """
question = "does a router that fetches hardly anything serve less?"
[[variant]]
name = "now"
[[variant]]
name = "poor"
set = { "ironrail.policy.origin_queue.FETCH_LATENCY_FACTOR" = 1000.0 }
[[worlds]]
name = "tiny"
scenario = "SCENARIO"
seeds = "1..12"
[stop]
looks = 2
"""


@pytest.fixture
def file(tmp_path: Path) -> Path:
    (tmp_path / "tiny.toml").write_text(WORLD)
    path = tmp_path / "experiment.toml"
    path.write_text(EXPERIMENT.replace("SCENARIO", str(tmp_path / "tiny.toml")))
    return path


def call(*arguments: object) -> tuple[int, str]:
    done = CliRunner().invoke(command, [str(a) for a in arguments])
    return done.exit_code, done.output


def test_an_experiment_is_played_told_and_found_again(file: Path, tmp_path: Path) -> None:
    store, told, page = tmp_path / "e.db", tmp_path / "told.json", tmp_path / "page.html"
    code, output = call("run", file, "--store", store, "--jobs", 2, "--json", told, "--html", page)
    assert code == 1, output
    result = json.loads(told.read_bytes())
    assert (result["format"], result["version"], result["reference"]) == ("ironrail-experiment", 1, "now")
    (variant,) = result["variants"]
    assert variant["word"] == "worse" and variant["whole"]["high"] < 0 and not variant["failed"]
    assert "the archive had no room in time" in variant["losses"]
    assert "<svg" in page.read_text() and "worse" in page.read_text()
    again = tmp_path / "again.json"
    assert call("show", store, "--json", again)[0] == 1
    assert again.read_bytes() == told.read_bytes()
    assert "poor" in call("diff", store, store)[1]
    assert call("run", file, "--store", store)[0] == 2  # it is there already
    code, output = call("resume", file, "--store", store)  # and all is played
    assert code == 1 and "24 of" not in output


def test_an_experiment_that_was_killed_is_resumed_to_the_same_result(file: Path, tmp_path: Path) -> None:
    whole, cut = tmp_path / "whole.db", tmp_path / "cut.db"
    call("run", file, "--store", whole, "--jobs", 2)
    start = [sys.executable, "-m", "ironrail.cli", "experiment"]
    arguments = [str(file), "--store", str(cut), "--jobs", "2"]
    for turn, least in enumerate((1, 9)):
        process = subprocess.Popen(
            [*start, "resume" if turn else "run", *arguments],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            start_new_session=True,
        )
        while process.poll() is None and rows_of(cut) < least:
            time.sleep(0.01)
        process.send_signal(signal.SIGKILL)
        process.wait()
    assert 9 <= rows_of(cut) < 24
    assert call("resume", *arguments)[0] == 1
    results = []
    for store in (whole, cut):
        call("show", store, "--json", tmp_path / "result.json")
        results.append((tmp_path / "result.json").read_bytes())
    assert results[0] == results[1]


def rows_of(path: Path) -> int:
    """Runs kept in a store that may not be there yet."""
    try:
        with sqlite3.connect(f"file:{path}?mode=ro", uri=True) as db:
            return int(db.execute("select count(*) from runs").fetchone()[0])
    except sqlite3.OperationalError:
        return 0


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ('name = "poor"', 'name = "now"', "two variants have one name"),
        ("1..12", "12..1", "experiment.toml:11: worlds.1.seeds: must be a first and a last one"),
        ("looks = 2", "looks = 0", "experiment.toml:13: stop.looks"),
        ("looks = 2", "look = 2", "stop.look: Extra inputs"),
        ("queue.FETCH_LATENCY_FACTOR", "queue.limit", "'ironrail.policy.origin_queue.limit' is no constant"),
        ("tiny.toml", "none.toml", "none.toml: No such file"),
        (
            "queue.FETCH_LATENCY_FACTOR",
            "queue.NO_SUCH",
            "ironrail.policy.origin_queue assigns NO_SUCH 0 times, not once",
        ),
        ("policy.origin_queue.FETCH", "policy.nowhere.FETCH", "there is no module ironrail.policy.nowhere"),
        ('name = "poor"', 'name = "poor"\ncommit = "no-such"', "variant poor: commit 'no-such'"),
        ('name = "poor"', 'name = "poor"\noperator = "no.toml"', "there is no file no.toml"),
    ],
)
def test_what_can_t_be_used_is_said_in_one_line(file: Path, old: str, new: str, told: str) -> None:
    text = file.read_text()
    assert old in text
    file.write_text(text.replace(old, new))
    code, output = call("run", file, "--store", file.with_name("e.db"))
    assert code == 2 and told in output
    assert output.count("\n") == 1


def test_a_store_of_something_else_is_left_as_it_is(file: Path, tmp_path: Path) -> None:
    _, digest = read_experiment(str(file))
    path = tmp_path / "e.db"
    store = Store(path, digest, file.read_text(), new=True)
    store.keep_trees({"now": "a"})
    with pytest.raises(ExperimentError, match="variant now is no longer what was played"):
        store.keep_trees({"now": "b"})
    store.close()
    with pytest.raises(ExperimentError, match="holds another experiment"):
        Store(path, "another", "", new=False)
    (tmp_path / "text").write_text("not a database, and longer than nothing at all" * 20)
    with pytest.raises(ExperimentError, match="not a database"):
        Store(tmp_path / "text", digest, "", new=False)
    with pytest.raises(ExperimentError, match="is not there"):
        Store(tmp_path / "none", digest, "", new=False)
    with sqlite3.connect(path) as db:
        db.execute("update about set version = 99")
    with pytest.raises(ExperimentError, match="version 99"):
        Store(path, digest, "", new=False)


def test_two_experiments_on_one_store_keep_each_run_once(file: Path, tmp_path: Path) -> None:
    _, digest = read_experiment(str(file))
    first = Store(tmp_path / "e.db", digest, file.read_text(), new=True)
    second = Store(tmp_path / "e.db", digest, file.read_text(), new=False)
    run = Run("tiny", 1, "now")
    first.add(run, Outcome(0.5, 1.0))
    second.add(run, Outcome(0.7, 1.0))
    assert {r: o.service for r, o in second.played().items()} == {run: 0.5}


def test_a_tree_has_its_constants_and_its_own_digest(tmp_path: Path) -> None:
    plain = make_tree(Variant(name="a"), tmp_path / "a")
    changed = make_tree(
        Variant.model_validate(
            {"name": "b", "set": {"ironrail.policy.hash_ring.BOUNDED_LOAD_MARGIN_RATIO": 0.5}}
        ),
        tmp_path / "b",
    )
    assert plain == digest_of(PACKAGE) != changed
    assert (
        "\nBOUNDED_LOAD_MARGIN_RATIO = 0.5\n"
        in (tmp_path / "b" / "ironrail" / "policy" / "hash_ring.py").read_text()
    )
    (tmp_path / "operator.toml").write_text("[connections]\ndepth = 1\n")
    operated = make_tree(Variant(name="c", operator=str(tmp_path / "operator.toml")), tmp_path / "c")
    assert operated != plain


@pytest.mark.parametrize(("number", "told"), [(signal.SIGKILL, "ended with -9"), (signal.SIGSTOP, "hung")])
def test_a_variant_that_dies_or_hangs_has_failed_its_run(
    tmp_path: Path, number: signal.Signals, told: str
) -> None:
    make_tree(Variant(name="a"), tmp_path / "a")
    worker = Worker("a", tmp_path / "a", "", longest=1.0)
    os.kill(worker._process.pid, number)
    outcome = worker.play({"summary": "x", "length": "1 s"}, 1)
    assert outcome.service is None and told in outcome.failed
    worker.close()


def test_a_world_that_can_t_be_played_is_the_run_s_failure(tmp_path: Path) -> None:
    make_tree(Variant(name="a"), tmp_path / "a")
    worker = Worker("a", tmp_path / "a", "", longest=30.0)
    assert "ValidationError" in worker.play({"summary": "x"}, 1).failed
    assert worker.alive
    worker.close()


def test_the_form_of_an_experiment_is_a_scenario_s_kind_of_error() -> None:
    assert issubclass(ExperimentError, ScenarioError)
