"""Every shipped scenario so many times with one seed: the same verdicts each time, and their margins.

    .kit-venv/bin/python benchmarks/kit_repeat.py [--times 3] [--seeds 1] [--at-once 2] [--only calm,drains]

Ends with exit code 1 if verdicts differ between runs of one seed, or if two seeds have one schedule.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from ironrail.rehearsal.scenario.reader import shipped

TRIES = 5  # of a run for which the machine was too busy
MEASURED = ("service", "worst window", "worst class", "archive fetches")


def play(name: str, seed: int, folder: str, n: int) -> dict[str, Any]:
    path = Path(folder) / f"{name}-{seed}-{n}.json"
    for _ in range(TRIES):
        command = [
            sys.executable,
            "-m",
            "ironrail.cli",
            "rehearse",
            name,
            "--seed",
            str(seed),
            "--json",
            str(path),
        ]
        if subprocess.run(command, capture_output=True, check=False).returncode != 3:
            break
    report: dict[str, Any] = json.loads(path.read_bytes())
    return report


def verdicts(report: dict[str, Any]) -> dict[str, bool]:
    return {v["name"]: v["kept"] for v in report["verdicts"]}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--times", type=int, default=3)
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--at-once", type=int, default=2)
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    names = options.only.split(",") if options.only else list(shipped())
    seeds = [int(seed) for seed in options.seeds.split(",")]
    good = True
    print(f"{os.cpu_count()} cores, {options.at_once} runs at once, {options.times} of each seed")
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(options.at_once) as pool:
        runs = {
            (name, seed): [pool.submit(play, name, seed, folder, n) for n in range(options.times)]
            for name in names
            for seed in seeds
        }
        for (name, seed), futures in runs.items():
            reports = [future.result() for future in futures]
            same = all(verdicts(r) == verdicts(reports[0]) for r in reports)
            same = same and len({r["schedule"]["digest"] for r in reports}) == 1
            good = good and same
            failed = sorted({v["name"] for r in reports for v in r["verdicts"] if not v["kept"]})
            spread = []
            for measured in MEASURED:
                found = [v for r in reports for v in r["verdicts"] if v["name"] == measured]
                if found:
                    low, high = (f([v["measured"] for v in found]) for f in (min, max))
                    spread.append(f"{measured} {low:.3f} to {high:.3f} ({found[0]['bound']:g})")
            print(
                f"{name:14s} seed {seed}: {'the same' if same else 'DIFFERENT'}, "
                f"{', '.join(failed) + ' failed' if failed else 'kept'}; {'; '.join(spread)}",
                flush=True,
            )
        digests = [f[0].result()["schedule"]["digest"] for f in runs.values()]
        for name in names:
            mine = [d for (n, _), d in zip(runs, digests, strict=True) if n == name]
            good = good and len(set(mine)) == len(seeds)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
