"""Compares limits of connections to a cache, and of requests on each, by rehearsals.

    python benchmarks/connections_choice.py --choices 2x100,12x1,12x100 --scenarios calm,stalls --seeds 1,2

A choice is CONNECTIONSxDEPTH, or `adaptive` for the router without an operator's file. All choices run the
same scenarios and seeds, interleaved and `--at-once` at a time, so that a slow phase of the machine affects
them equally.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from io import StringIO
from pathlib import Path

from rich.console import Console
from rich.table import Table

from ironrail.operator_reader import read_operator
from ironrail.rehearsal.command import play
from ironrail.rehearsal.pipelines import Depth, Line, line_of
from ironrail.rehearsal.scenario import read_scenario
from ironrail.rehearsal.virtual.runner import run_virtual

Job = tuple[str, str, int, bool]  # choice, scenario, seed, in virtual time
FIGURES = ("service", "retries", "lost behind", "p50 ms", "p99 ms", "p99.9 ms", "connections", "handshakes")


def play_one(job: Job) -> Line:
    """Run one choice once, with an operator's file for it."""
    choice, scenario, seed, virtual = job
    with tempfile.TemporaryDirectory(prefix="ironrail-") as folder:
        path = Path(folder) / "operator.toml"
        path.write_text(operator_text(choice))
        if virtual:
            operator = read_operator(str(path))
            return line_of(Depth(None), run_virtual(read_scenario(scenario), seed, operator=operator).result)
        command = (sys.executable, "-B", "-m", "ironrail", "--operator", str(path))
        result = play(read_scenario(scenario), seed, command, Console(file=StringIO()))
    return line_of(Depth(None), result)


def operator_text(choice: str) -> str:
    if choice == "adaptive":
        return ""
    per_cache, depth = choice.split("x")
    return f"[connections]\nper_cache = {per_cache}\ndepth = {depth}\ncost_ms = 0\n"


def figures(line: Line) -> tuple[float, ...]:
    """Return the figures of one run, in the order of FIGURES."""
    tail = [1000 * line.latencies.get(q, float("nan")) for q in (0.5, 0.99, 0.999)]
    return (line.service, line.retries, line.lost_behind, *tail, line.connections, line.handshakes)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--choices", default="2x100,12x1,12x100")
    parser.add_argument("--scenarios", default="calm,stalls,bad-replies")
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--at-once", type=int, default=3)
    parser.add_argument("--virtual", action="store_true", help="in virtual time: exact with any --at-once")
    args = parser.parse_args()
    choices, scenarios = args.choices.split(","), args.scenarios.split(",")
    jobs = [
        (c, s, int(seed), args.virtual) for s in scenarios for seed in args.seeds.split(",") for c in choices
    ]
    with ProcessPoolExecutor(args.at_once) as pool:
        lines = dict(zip(jobs, pool.map(play_one, jobs), strict=True))
    for scenario in scenarios:
        table = Table("choice", *FIGURES, "rules broken", "busy", title=scenario)
        for choice in choices:
            runs = [line for (c, s, _, _), line in lines.items() if (c, s) == (choice, scenario)]
            means = [statistics.fmean(column) for column in zip(*map(figures, runs), strict=True)]
            broken, busy = sum(r.broken for r in runs), sum(bool(r.no_verdict) for r in runs)
            table.add_row(choice, *(f"{mean:.4g}" for mean in means), str(broken), str(busy))
        Console(width=140).print(table)


if __name__ == "__main__":
    main()
