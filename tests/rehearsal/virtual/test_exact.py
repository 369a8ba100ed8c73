"""A scenario and seed give the same events, independent of string hashes and object addresses."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from ironrail.rehearsal.scenario.reader import parse_scenario, read_scenario
from ironrail.rehearsal.virtual.runner import run_virtual
from tests.rehearsal.test_mutants import FOLDER, ROOT

BUSY = """
summary = "everything at once"
length = "5 s"
warm_up = "500 ms"
[load]
rate = 60
[routers]
count = 2
[caches]
count = 4
[network]
split = 0.3
jitter = 5.0
"""
KINDS = ("vanish", "reset", "spoilt", "drain", "list-silent", "router-kill", "router-stop", "hall-cut")
FAULTS = "".join(
    f'[[fault]]\nkind = "{kind}"\nat = "{300 + 200 * n} ms"\nlasts = "700 ms"\n'
    for n, kind in enumerate(KINDS)
)
PLAY = """
import sys
from ironrail.rehearsal.scenario.reader import read_scenario
from ironrail.rehearsal.virtual.runner import run_virtual
print(run_virtual(read_scenario(sys.argv[1]), 7).result.digest)
"""


def test_two_runs_of_one_seed_have_one_digest_and_another_seed_another() -> None:
    scenario = parse_scenario(BUSY + FAULTS, "busy.toml")
    first, second, other = (run_virtual(scenario, seed) for seed in (7, 7, 8))
    assert first.result.digest == second.result.digest != other.result.digest
    assert first.events == second.events > 1000
    assert [v.measured for v in first.result.verdicts] == [v.measured for v in second.result.verdicts]


def test_hashes_of_texts_leak_nowhere(tmp_path: Path) -> None:
    path = tmp_path / "busy.toml"
    path.write_text(BUSY + FAULTS)
    digests = set()
    for hash_seed in ("0", "1", "4242"):
        done = subprocess.run(
            [sys.executable, "-c", PLAY, str(path)],
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            capture_output=True,
            check=True,
        )
        digests.add(done.stdout)
    assert len(digests) == 1


@pytest.mark.parametrize("kept", [0, 50])
def test_the_trace_changes_nothing_and_keeps_its_end(kept: int) -> None:
    scenario = read_scenario(str(FOLDER / "short.toml")).model_copy(update={"length": 1.0, "faults": []})
    played = run_virtual(scenario, 1, kept_lines=kept)
    assert len(played.lines) == kept
    assert played.result.digest == run_virtual(scenario, 1).result.digest
    assert played.result.kept, [v for v in played.result.verdicts if not v.kept]


def test_a_world_leaves_nothing_behind() -> None:
    """A simulated run leaves no open descriptor: all of it is in memory."""
    before = set(os.listdir("/proc/self/fd")) if os.path.isdir("/proc/self/fd") else set()
    run_virtual(parse_scenario(BUSY + FAULTS, "busy.toml"), 3)
    after = set(os.listdir("/proc/self/fd")) if os.path.isdir("/proc/self/fd") else set()
    assert len(after) <= len(before)
