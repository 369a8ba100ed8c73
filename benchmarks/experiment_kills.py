"""An experiment that is killed again and again, resumed each time, and compared with one that was not.

    .kit-venv/bin/python benchmarks/experiment_kills.py [--kills 50] [--jobs 4]

Exit code 1 if the results differ in a byte. Kills come after a time drawn from the seed, also while the store
is made or trees are written, and nothing has been played yet. Edit nothing of the package meanwhile.
"""

from __future__ import annotations

import argparse
import os
import random
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

WORLD = 'summary = "tiny"\nlength = "1 s"\nwarm_up = "200 ms"\n[load]\nrate = 40\n[routers]\ncount = 1\n'
EXPERIMENT = """
question = "are they the same?"
[[variant]]
name = "now"
[[variant]]
name = "spill"
set = {{ "ironrail.policy.candidate_selection.MAX_VISITED_SERVERS" = 1 }}
[[worlds]]
name = "tiny"
scenario = "{world}"
seeds = "1..{seeds}"
[stop]
margin = 0.0
looks = 5
"""
LONGEST = 2.5  # seconds until a kill


def ironrail(*arguments: str) -> subprocess.Popen[bytes]:
    command = [sys.executable, "-m", "ironrail.cli", "experiment", *arguments]
    return subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)


def shown(store: Path, folder: Path) -> bytes:
    path = folder / "shown.json"
    path.unlink(missing_ok=True)
    ironrail("show", str(store), "--json", str(path)).wait()
    return path.read_bytes()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--kills", type=int, default=50)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--seeds", type=int, default=600)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    draws = random.Random(options.seed)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "tiny.toml").write_text(WORLD)
        file, whole, cut = folder / "e.toml", folder / "whole.db", folder / "cut.db"
        file.write_text(EXPERIMENT.format(world=folder / "tiny.toml", seeds=options.seeds))
        rest = ["--jobs", str(options.jobs)]
        kills = 0
        for _ in range(options.kills):
            mode = "resume" if cut.exists() and cut.stat().st_size else "run"
            process = ironrail(mode, str(file), "--store", str(cut), *rest)
            try:
                process.wait(draws.uniform(0.2, LONGEST))
            except subprocess.TimeoutExpired:
                process.send_signal(signal.SIGKILL)
                process.wait()
                kills += 1
        mode = "resume" if cut.exists() and cut.stat().st_size else "run"
        ironrail(mode, str(file), "--store", str(cut), *rest).wait()
        ironrail("run", str(file), "--store", str(whole), *rest).wait()
        same = shown(whole, folder) == shown(cut, folder)
        print(f"{os.cpu_count()} cores: {kills} kills, {'the same' if same else 'ANOTHER'} result")
    return 0 if same else 1


if __name__ == "__main__":
    sys.exit(main())
