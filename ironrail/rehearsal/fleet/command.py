"""The command `ironrail fleet`."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path
from typing import Any

import click
import orjson
import tomli_w
from rich.table import Table

from ironrail.rehearsal.command import FAILED, KEPT, UNUSABLE, Printer, check_writable, make_console
from ironrail.rehearsal.faults.plan import PlanError
from ironrail.rehearsal.fleet.counts import Counts, count, judge_fleet
from ironrail.rehearsal.fleet.scenarios import FAULT_GENERATORS, fleet_scenario
from ironrail.rehearsal.report.document import document
from ironrail.rehearsal.report.table import print_report
from ironrail.rehearsal.scenario.model import MAX_VIRTUAL_ROUTERS, Scenario
from ironrail.rehearsal.scenario.reader import ScenarioError, read_scenario
from ironrail.rehearsal.virtual.runner import VirtualRun, run_virtual

FORMAT, VERSION = "ironrail-fleet", 1
MIN_LENGTH_SECONDS, MAX_LENGTH_SECONDS = 12.0, 600.0  # every generated fault is over within the minimum
MAX_CACHES = 400


def run_fleet(
    scenario: Scenario, seed: int, progress: Any = lambda at, text: None
) -> tuple[VirtualRun, Counts]:
    """Run a fleet scenario, count over all routers, and append the fleet's verdicts to the result."""
    played = run_virtual(scenario, seed, progress=progress)
    result = played.result
    samples = [sample.connections for sample in result.samples if sample.at >= 0]
    counts = count(result.record, played.decided, sum(samples) / max(1, len(samples)))
    result.verdicts += judge_fleet(counts, scenario)
    return played, counts


def counts_document(counts: Counts) -> dict[str, Any]:
    """The counts as JSON values."""
    return {
        "first_tries": counts.first_tries,
        "tries": counts.tries,
        "attempts": counts.attempts,
        "attempts_each": round(counts.attempts_per_first_try(), 4),
        "connections": {
            "made": counts.connections_made,
            "refused": counts.connections_refused,
            "most_at_a_cache": counts.max_connections_per_cache,
            "open_mean": round(counts.open_mean, 2),
        },
        "list": {
            "calls": dict(sorted(counts.list_calls.items())),
            "peak_a_second": counts.peak_list_calls,
            "most_of_a_router": counts.max_list_calls_per_router,
            "routers_told": counts.routers_listed,
        },
        "cold": {
            "starts": counts.cold_starts,
            "fallen": counts.caches_overloaded,
            "most": round(counts.max_cold_load, 4),
            "whom": counts.max_cold_load_cache,
        },
        "given_up": dict(sorted(counts.given_up.items())),
    }


def _most_common(counter: Counter[str]) -> str:
    return ", ".join(f"{n} {name}" for name, n in counter.most_common()) or "none"


def _table(counts: Counts) -> Table:
    table = Table(title="All routers together", title_justify="left", show_header=False)
    rows = {
        "first tries, tries, attempts": f"{counts.first_tries}, {counts.tries}, {counts.attempts}"
        f" ({counts.attempts_per_first_try():.2f} for each first try)",
        "connections to caches": f"{counts.connections_made} made, {counts.connections_refused} had no place"
        f", {counts.open_mean:.0f} open on average, at most {counts.max_connections_per_cache} at a cache",
        "calls for the list": f"{_most_common(counts.list_calls)};"
        f" {counts.peak_list_calls} in the fullest second,"
        f" {counts.max_list_calls_per_router} of one router at most;"
        f" {counts.routers_listed} routers were notified",
        "cold caches": f"{counts.cold_starts} starts, {counts.caches_overloaded} fell;"
        f" notified routers sent at most {counts.max_cold_load:.2f} of its capacity"
        f" ({counts.max_cold_load_cache or '-'})",
        "given up": _most_common(counts.given_up),
    }
    for name, text in rows.items():
        table.add_row(name, text)
    return table


@click.command(
    epilog="Example: ironrail fleet release --routers 40 --caches 60 --seed 7 --json fleet.json\n\n"
    "Exit codes: 0 all kept, 1 a verdict failed, 2 unusable input."
)
@click.argument("trouble")
@click.option(
    "--routers", type=click.IntRange(1, MAX_VIRTUAL_ROUTERS), default=40, show_default=True, help="How many."
)
@click.option("--caches", type=click.IntRange(3, MAX_CACHES), default=60, show_default=True, help="How many.")
@click.option(
    "--length",
    type=click.FloatRange(MIN_LENGTH_SECONDS, MAX_LENGTH_SECONDS),
    default=20.0,
    show_default=True,
    help="Seconds of load that counts.",
)
@click.option(
    "--seed", type=click.IntRange(0), default=1, show_default=True, help="Seed of all random draws."
)
@click.option("--json", "json_file", metavar="FILE", help="Write the report and the counts as JSON.")
@click.option(
    "--write", "world_file", metavar="FILE", help="Write the scenario to a file without running it."
)
def fleet(
    trouble: str,
    routers: int,
    caches: int,
    length: float,
    seed: int,
    json_file: str | None,
    world_file: str | None,
) -> None:
    """Run many routers in front of many caches, in virtual time.

    TROUBLE is calm (no faults), release (most routers killed at once), hall (a zone disappears and returns
    cold), replaced (60% of the caches within 7 s), list (overloaded list service, corrupt responses), roll
    (routers restart in ten steps, half of the caches are replaced, 5% hang, the list moves), split (a zone is
    partitioned, lists arrive late, replies are lost), herd (the list is unavailable as caches are released
    and most routers killed), join (60% of the caches replaced, slow connects, duplicate replies), all, or a
    scenario file.
    """
    console = make_console()
    try:
        check_writable(json_file, world_file)
        if trouble in FAULT_GENERATORS:
            world = fleet_scenario(trouble, seed, routers, caches, length)
        elif trouble.endswith(".toml"):
            world = read_scenario(trouble)
        else:
            raise ScenarioError(
                f"{trouble}: unknown fault family ({', '.join(FAULT_GENERATORS)}) and no .toml file"
            )
        if world_file:
            table = world.model_dump(mode="json", by_alias=True, exclude_none=True, exclude_defaults=True)
            Path(world_file).write_text(tomli_w.dumps(table))
            return
        played, counts = run_fleet(world, seed, Printer(console, world))
    except (ScenarioError, OSError) as e:
        click.echo(f"ironrail: {e}", err=True)
        sys.exit(UNUSABLE)
    except PlanError as e:
        click.echo(f"ironrail: {trouble}: {e}", err=True)
        sys.exit(UNUSABLE)
    if json_file:
        report = {"format": FORMAT, "version": VERSION, "counts": counts_document(counts)}
        report["rehearsal"] = document(played.result)
        Path(json_file).write_bytes(orjson.dumps(report, option=orjson.OPT_INDENT_2) + b"\n")
    print_report(console, played.result)
    console.print(_table(counts))
    sys.exit(KEPT if played.result.kept else FAILED)
