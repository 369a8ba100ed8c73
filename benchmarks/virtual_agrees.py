"""Every shipped scenario on real sockets and in virtual time: verdicts, service, and how fast each was.

    .kit-venv/bin/python benchmarks/virtual_agrees.py [--seed 1] [--at-once 2] [--only calm,drains]

The real runs need a quiet machine. Exit code 1 if verdicts differ, or service by more than 0.03.
"""

from __future__ import annotations

import argparse
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from io import StringIO

from rich.console import Console
from rich.table import Table

from ironrail.rehearsal.command import play
from ironrail.rehearsal.routers import OWN_ROUTER
from ironrail.rehearsal.run import Result
from ironrail.rehearsal.scenario.reader import read_scenario, shipped
from ironrail.rehearsal.virtual.runner import run_virtual

APART = 0.03  # of service
TRIES = 4  # of a real run for which the machine was too busy
Figures = tuple[float, float, set[str], str]  # service, seconds, verdicts that failed, why there is none


def figures(result: Result, seconds: float) -> Figures:
    failed = {v.name for v in result.verdicts if not v.kept}
    return result.service.whole.share, seconds, failed, result.no_verdict


def real(name: str, seed: int) -> Figures:
    for _ in range(TRIES):
        began = time.monotonic()
        result = play(read_scenario(name), seed, OWN_ROUTER, Console(file=StringIO()))
        if not result.no_verdict:
            break
    return figures(result, time.monotonic() - began)


def virtual(name: str, seed: int) -> Figures:
    began = time.monotonic()
    return figures(run_virtual(read_scenario(name), seed).result, time.monotonic() - began)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--at-once", type=int, default=2)
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    names = options.only.split(",") if options.only else list(shipped())
    with ProcessPoolExecutor(options.at_once) as pool:
        on_sockets = list(pool.map(real, names, [options.seed] * len(names)))
    in_memory = [virtual(name, options.seed) for name in names]
    table = Table("scenario", "service", "virtual", "failed", "virtual", "seconds", "virtual", "")
    good = True
    for name, there, here in zip(names, on_sockets, in_memory, strict=True):
        same = there[2] == here[2] and abs(there[0] - here[0]) <= APART
        good = good and (same or bool(there[3]))
        table.add_row(
            name,
            f"{there[0]:.4f}",
            f"{here[0]:.4f}",
            ", ".join(sorted(there[2])),
            ", ".join(sorted(here[2])),
            f"{there[1]:.1f}",
            f"{here[1]:.1f}",
            "busy" if there[3] else "" if same else "APART",
        )
    Console(width=150).print(f"{os.cpu_count()} cores, {options.at_once} real runs at once", table)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
