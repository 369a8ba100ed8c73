"""Generating random scenarios, finding failures, shrinking them and replaying them."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from ironrail.policy.events import AttemptEnded, AttemptStatus
from ironrail.policy.router import Router
from ironrail.policy.state import AttemptId
from ironrail.rehearsal.faults.plan import make_plan
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import read_scenario
from ironrail.rehearsal.scenario.units import read_time, write_time
from ironrail.rehearsal.virtual.command import explore as command
from ironrail.rehearsal.virtual.explore import Finding, run_and_check, shrink_finding, write_finding
from ironrail.rehearsal.virtual.random_scenarios import RECOVERY_SECONDS, random_scenario
from ironrail.rehearsal.virtual.shrink import shrink

CORPUS = sorted((Path(__file__).parent.parent.parent / "corpus").glob("*.toml"))


@settings(max_examples=50, deadline=None)
@given(st.integers(0, 10**9))
def test_every_seed_gives_a_valid_reproducible_scenario(seed: int) -> None:
    world = random_scenario(seed)
    assert world == random_scenario(seed)
    plan = make_plan(world, seed)
    assert all(p.ends <= world.length - RECOVERY_SECONDS + 2.5 for p in plan)
    again = Scenario.model_validate(world.model_dump(mode="json", by_alias=True, exclude_defaults=True))
    assert again == world


@given(st.floats(0.0, 3600.0))
def test_a_time_that_was_written_is_read_as_it_was(seconds: float) -> None:
    text = write_time(seconds)
    assert write_time(read_time(text)) == text
    assert abs(read_time(text) - seconds) < 1e-6


def test_a_failure_is_shrunk_to_what_brings_it_about() -> None:
    """Any drain counts as a failure here: one fault must be left, and minimal values elsewhere."""
    world = next(w for w in map(random_scenario, range(500)) if _drains(w) and len(w.faults) >= 4)
    runs = 0

    def fails(smaller: Scenario) -> bool:
        nonlocal runs
        runs += 1
        return _drains(smaller)

    small = shrink(world, fails)
    assert [fault.kind for fault in small.faults] == [FaultKind.DRAIN]
    assert (small.routers.count, small.caches.count, len(small.classes)) == (1, 1, 1)
    assert small.length < world.length and small.load.rate <= world.load.rate / 2
    assert runs <= 400


def _drains(world: Scenario) -> bool:
    return any(fault.kind is FaultKind.DRAIN for fault in world.faults)


def test_shrinking_stops_in_time() -> None:
    asked = 0

    def never(world: Scenario) -> bool:
        nonlocal asked
        asked += 1
        return True

    shrink(random_scenario(1), never, max_runs=25)
    assert asked <= 25


def test_an_invariant_violation_is_found_shrunk_written_and_replayed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A policy module that keeps counting an attempt after a reset ended it."""
    on_outcome = Router._on_attempt_ended

    def forgetful(self: Router, event: AttemptEnded) -> None:
        attempt = self.attempts_in_flight.get(AttemptId(event.request_id, event.attempt_number))
        on_outcome(self, event)
        if attempt is not None and event.status is AttemptStatus.RESET:
            attempt.server.in_flight += 1

    monkeypatch.setattr(Router, "_on_attempt_ended", forgetful)
    found: list[Finding] = []
    for seed in range(30):
        found += [f for f in run_and_check(random_scenario(seed), seed)[0].findings if f.kind == "load"]
        if found:
            break
    assert found, "no violation found in thirty scenarios, some of them with resets"
    small = shrink_finding(found[0], max_runs=30)
    path = write_finding(small, tmp_path)
    assert len(small.scenario.faults) <= len(found[0].scenario.faults)
    assert (tmp_path / f"{path.stem}.trace").read_text().count("\n") > 10
    again = run_and_check(read_scenario(str(path)), small.seed)[0].findings
    assert small.kind in {finding.kind for finding in again}
    monkeypatch.undo()
    assert small.kind not in {f.kind for f in run_and_check(read_scenario(str(path)), small.seed)[0].findings}


def test_the_command_runs_seeds_and_reports(tmp_path: Path) -> None:
    told = tmp_path / "report.json"
    done = CliRunner().invoke(
        command,
        ["--seeds", "0..5", "--jobs", "2", "--no-shrink", "--json", str(told), "--out", str(tmp_path)],
    )
    assert done.exit_code in (0, 1), done.output
    report = json.loads(told.read_bytes())
    assert (report["format"], report["version"], report["seeds"]) == ("ironrail-exploration", 1, 6)
    assert report["simulated_seconds"] > 6 and (done.exit_code == 1) is bool(report["findings"])


@pytest.mark.parametrize("seeds", ["x", "5..5", "9..1", "1..", "-1..4"])
def test_invalid_seed_ranges_are_refused(seeds: str) -> None:
    done = CliRunner().invoke(command, ["--seeds", seeds])
    assert done.exit_code == 2 and "--seeds" in done.output


@pytest.mark.parametrize("path", CORPUS, ids=[path.stem for path in CORPUS])
def test_scenarios_of_the_corpus_no_longer_fail(path: Path) -> None:
    seed = int(path.stem.rpartition("-")[2])
    findings = run_and_check(read_scenario(str(path)), seed)[0].findings
    assert not findings, [(f.kind, f.what) for f in findings]
