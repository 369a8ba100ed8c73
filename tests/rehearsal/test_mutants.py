"""Each deliberately broken router fails the expected verdict, and the unmodified router passes."""

from __future__ import annotations

import importlib
import json
import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from tests.machine_lock import play_until_verdict
from tests.mutants import replace_method

ROOT = Path(__file__).parent.parent.parent
FOLDER = ROOT / "tests" / "mutants"
MUTANTS = sorted(path.stem for path in FOLDER.glob("*.py") if not path.stem.startswith("__"))
NO_VERDICT = 3  # the exit code of a run without a verdict
PATIENCE = 120.0  # seconds for one run; the kit's own limits are far lower
# pytest sets and unsets a variable for each test. A child that is given no environment and is started from a
# thread reads this process's own as it starts and may find its memory freed: execve fails with EFAULT.
ENVIRONMENT = dict(os.environ)


@dataclass
class Run:
    """The exit code and the report of a run."""

    code: int
    report: dict[str, Any]

    def failed(self) -> set[str]:
        return {v["name"] for v in self.report["verdicts"] if not v["kept"]}


def start(command: list[str]) -> subprocess.CompletedProcess[bytes]:
    """Run a command to its end, unaffected by concurrent changes of the environment."""
    return subprocess.run(
        command, cwd=ROOT, env=ENVIRONMENT, capture_output=True, timeout=PATIENCE, check=False
    )


def rehearse(name: str, scenario: str, folder: Path) -> Run:
    path = folder / f"{name}-{scenario}.json"
    command = [sys.executable, "-m", "ironrail.cli", "rehearse", str(FOLDER / scenario), "--seed", "1"]
    command += ["--json", str(path), "--router", f"{sys.executable} -B -m tests.mutants {name}"]
    done = play_until_verdict(lambda: start(command), why_no_verdict)
    assert path.exists(), done.stderr.decode()
    return Run(done.returncode, json.loads(path.read_bytes()))


def why_no_verdict(done: subprocess.CompletedProcess[bytes]) -> str:
    """Return the command's reason for giving no verdict, empty if it gave one."""
    if done.returncode != NO_VERDICT:
        return ""
    return (done.stdout + done.stderr).decode().strip().rpartition("\n")[2]


def scenario_of(name: str) -> str:
    return str(getattr(importlib.import_module(f"tests.mutants.{name}"), "SCENARIO", "short.toml"))


@pytest.mark.sockets
@pytest.mark.parametrize("scenario", ["short.toml", "errors.toml", "hang.toml"])
def test_the_unmodified_router_passes(scenario: str, tmp_path: Path) -> None:
    run = rehearse("true", scenario, tmp_path)
    assert (run.code, run.failed()) == (0, set())
    assert run.report["outcome"] == "kept"


@pytest.mark.sockets
@pytest.mark.parametrize("name", MUTANTS)
def test_a_broken_router_fails_for_its_reason(name: str, tmp_path: Path) -> None:
    run = rehearse(name, scenario_of(name), tmp_path)
    assert run.code == 1
    assert importlib.import_module(f"tests.mutants.{name}").RULE in run.failed()


def test_a_process_of_another_thread_has_the_environment_of_the_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv("IRONRAIL_SET_BY_A_TEST", "1")
    code = "import os; print('IRONRAIL_SET_BY_A_TEST' in os.environ, 'PYTEST_CURRENT_TEST' in os.environ)"
    assert start([sys.executable, "-c", code]).stdout.split() == [b"False", b"False"]


def test_a_mutant_of_a_missing_method_fails_to_start() -> None:
    with pytest.raises(AttributeError):
        replace_method(Run, "is_gone", lambda self: None)


def test_there_are_at_least_ten_mutants() -> None:
    assert len(MUTANTS) >= 10
