"""The command `ironrail explore`."""

from __future__ import annotations

import os
import re
import sys
from collections import Counter
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click
import orjson
from rich.console import Console

from ironrail.rehearsal.virtual.explore import Finding, Report, SeedResult, shrink_finding, write_finding
from ironrail.rehearsal.virtual.explore import explore as explore_seeds

FORMAT, VERSION = "ironrail-exploration", 1
RANGE = re.compile(r"(\d+)\.\.(\d+)")
PROGRESS_INTERVAL_SEEDS = 500  # between progress lines
MAX_SHRUNK_PER_KIND = 1  # failures of one kind mostly share one cause


def _seeds(text: str) -> range:
    found = RANGE.fullmatch(text)
    if found is None or int(found[1]) >= int(found[2]):
        raise click.UsageError(f"--seeds takes a first and a last seed, like 0..999, not {text!r}")
    return range(int(found[1]), int(found[2]) + 1)


def _document(report: Report, written: dict[str, str]) -> dict[str, Any]:
    findings = []
    for finding in report.findings:
        row = asdict(finding)
        del row["scenario"], row["trace"]
        findings.append(row | {"file": written.get(f"{finding.kind} {finding.seed}", "")})
    return {
        "format": FORMAT,
        "version": VERSION,
        "seeds": report.seeds,
        "simulated_seconds": report.simulated,
        "wall_seconds": report.wall,
        "events": report.events,
        "requests": report.requests,
        "findings": findings,
    }


def _shrink(console: Console, findings: list[Finding], folder: Path) -> dict[str, str]:
    """Shrink the first finding of each kind, write it, and print the command that replays it."""
    written: dict[str, str] = {}
    done: Counter[str] = Counter()
    for finding in findings:
        if done[finding.kind] >= MAX_SHRUNK_PER_KIND:
            continue
        done[finding.kind] += 1
        console.print(f"shrinking {finding.kind} of seed {finding.seed}", highlight=False)
        path = write_finding(shrink_finding(finding), folder)
        written[f"{finding.kind} {finding.seed}"] = str(path)
        console.print(f"  ironrail rehearse {path} --virtual --seed {finding.seed}", highlight=False)
    return written


@click.command(
    epilog="Example: ironrail explore --seeds 0..1999 --jobs 4 --out found\n\n"
    "Exit codes: 0 no failures, 1 failures found, 2 unusable input, 3 no seed was run."
)
@click.option("--seeds", default="0..999", show_default=True, help="First and last seed, inclusive.")
@click.option(
    "--minutes",
    type=click.FloatRange(0.0, 600.0, min_open=True),
    help="Start no new scenario after that time.",
)
@click.option(
    "--jobs", type=click.IntRange(1, 64), default=os.cpu_count() or 1, help="Number of parallel processes."
)
@click.option("--out", default="found", show_default=True, help="Folder for the shrunk failures.")
@click.option("--shrink/--no-shrink", default=True, help="Shrink the first failure of each kind.")
@click.option("--json", "json_file", metavar="FILE", help="Write the report as JSON.")
def explore(
    seeds: str, minutes: float | None, jobs: int, out: str, shrink: bool, json_file: str | None
) -> None:
    """Run a small random scenario with random faults for each seed, in virtual time, and report failures.

    Checks the four rules, the internal state of each idle router at the end, and that service recovers.
    Failures are shrunk and written as scenario files that reproduce them.
    """
    console = Console(stderr=json_file == "-")
    chosen = _seeds(seeds)

    def on_result(report: Report, played: SeedResult) -> None:
        for finding in played.findings:
            console.print(
                f"seed {finding.seed}: {finding.kind}: {finding.what}", highlight=False, markup=False
            )
        if report.seeds % PROGRESS_INTERVAL_SEEDS == 0:
            hours = report.simulated / 3600
            console.print(
                f"{report.seeds} seeds, {hours:.1f} h simulated in {report.wall:.0f} s", highlight=False
            )

    report = explore_seeds(chosen, jobs, minutes, on_result)
    try:
        written = _shrink(console, report.findings, Path(out)) if shrink else {}
        if json_file:
            data = orjson.dumps(_document(report, written), option=orjson.OPT_INDENT_2) + b"\n"
            if json_file == "-":
                sys.stdout.buffer.write(data)
            else:
                Path(json_file).write_bytes(data)
    except OSError as e:
        click.echo(f"ironrail: {e}", err=True)
        sys.exit(2)
    kinds = Counter(finding.kind for finding in report.findings)
    found = ", ".join(f"{kind}: {count}" for kind, count in sorted(kinds.items())) or "nothing found"
    console.print(
        f"{report.seeds} seeds, {report.simulated / 3600:.2f} h simulated in {report.wall:.0f} s,"
        f" {report.requests} requests; {found}",
        highlight=False,
    )
    sys.exit(3 if not report.seeds else 1 if report.findings else 0)
