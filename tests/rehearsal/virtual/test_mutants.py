"""Each deliberately broken router fails its rule in virtual time too; the unmodified router passes."""

from __future__ import annotations

import importlib
import json
import sys
from pathlib import Path

import pytest

from tests.rehearsal.test_mutants import FOLDER, MUTANTS, Run, scenario_of, start

MOST_SEEDS = 3  # within which a broken router must be detected


def rehearse(name: str, scenario: str, folder: Path) -> tuple[Run, int]:
    """The first run that fails the rule, or the last run, with its seed."""
    rule = "" if name == "true" else importlib.import_module(f"tests.mutants.{name}").RULE
    for seed in range(1, MOST_SEEDS + 1):
        path = folder / f"{name}-{scenario}-{seed}.json"
        command = [sys.executable, "-m", "tests.mutants", name, str(FOLDER / scenario)]
        command += ["--seed", str(seed), "--json", str(path)]
        done = start(command)
        assert path.exists() and path.stat().st_size, done.stderr.decode()
        run = Run(done.returncode, json.loads(path.read_bytes()))
        if rule in run.failed() or name == "true":
            break
    return run, seed


@pytest.mark.parametrize("scenario", ["short.toml", "hang.toml"])
def test_the_true_router_passes(scenario: str, tmp_path: Path) -> None:
    run, _ = rehearse("true", scenario, tmp_path)
    assert (run.code, run.failed()) == (0, set())
    assert run.report["digest"]


@pytest.mark.parametrize("name", MUTANTS)
def test_a_broken_router_is_caught_in_virtual_time(name: str, tmp_path: Path) -> None:
    run, _ = rehearse(name, scenario_of(name), tmp_path)
    assert run.code == 1
    assert importlib.import_module(f"tests.mutants.{name}").RULE in run.failed()
