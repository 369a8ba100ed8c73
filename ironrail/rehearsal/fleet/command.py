"""`ironrail fleet`."""

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
from ironrail.rehearsal.fleet.worlds import TROUBLES, fleet_world
from ironrail.rehearsal.report.document import document
from ironrail.rehearsal.report.table import print_report
from ironrail.rehearsal.scenario.model import MAX_VIRTUAL_ROUTERS, Scenario
from ironrail.rehearsal.scenario.reader import ScenarioError, read_scenario
from ironrail.rehearsal.virtual.play import Virtual, play_virtual

FORMAT, VERSION = "ironrail-fleet", 1
LEAST_LENGTH, MOST_LENGTH = 12.0, 600.0  # seconds: every trouble is over within the first
MOST_CACHES = 400


def play_fleet(
    scenario: Scenario, seed: int, progress: Any = lambda at, text: None
) -> tuple[Virtual, Counts]:
    """Play a fleet and count over all of it; the fleet's verdicts come behind the run's."""
    played = play_virtual(scenario, seed, progress=progress)
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
        "attempts_each": round(counts.attempts_each(), 4),
        "connections": {
            "made": counts.connections_made,
            "refused": counts.connections_refused,
            "most_at_a_cache": counts.connections_most,
            "open_mean": round(counts.open_mean, 2),
        },
        "list": {
            "calls": dict(sorted(counts.list_calls.items())),
            "peak_a_second": counts.list_peak,
            "most_of_a_router": counts.list_most,
            "routers_told": counts.listed,
        },
        "cold": {
            "starts": counts.cold_starts,
            "fallen": counts.cold_fallen,
            "most": round(counts.cold_most, 4),
            "whom": counts.cold_whom,
        },
        "given_up": dict(sorted(counts.given_up.items())),
    }


def _largest(counter: Counter[str]) -> str:
    return ", ".join(f"{n} {name}" for name, n in counter.most_common()) or "none"


def _table(counts: Counts) -> Table:
    table = Table(title="All routers together", title_justify="left", show_header=False)
    rows = {
        "first tries, tries, attempts": f"{counts.first_tries}, {counts.tries}, {counts.attempts}"
        f" ({counts.attempts_each():.2f} for each first try)",
        "connections to caches": f"{counts.connections_made} made, {counts.connections_refused} had no place"
        f", {counts.open_mean:.0f} open on average, at most {counts.connections_most} at a cache",
        "calls for the list": f"{_largest(counts.list_calls)}; {counts.list_peak} in the fullest second,"
        f" {counts.list_most} of one router at most; {counts.listed} routers were told",
        "cold caches": f"{counts.cold_starts} starts, {counts.cold_fallen} fell;"
        f" who knew sent at most {counts.cold_most:.2f} of what one bears ({counts.cold_whom or '-'})",
        "given up": _largest(counts.given_up),
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
@click.option(
    "--caches", type=click.IntRange(3, MOST_CACHES), default=60, show_default=True, help="How many."
)
@click.option(
    "--length",
    type=click.FloatRange(LEAST_LENGTH, MOST_LENGTH),
    default=20.0,
    show_default=True,
    help="Seconds of load that counts.",
)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="What is drawn at random.")
@click.option("--json", "json_file", metavar="FILE", help="Write the report and the counts for programs.")
@click.option(
    "--write", "world_file", metavar="FILE", help="Write the world as a scenario, and play nothing."
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
    """Rehearse many routers before many caches, in virtual time.

    TROUBLE is calm, release (most routers killed at once), hall (one is lost and returns cold), replaced (six
    in ten caches within 7 s), list (its service is crowded, answers are spoilt), roll (routers restart by
    tenths, half of the caches are replaced, one in twenty hangs, the list moves), split (a hall is cut off,
    lists come late, answers get lost), herd (the list is out of reach as caches are released and most
    routers killed), join (six in ten caches replaced, connects late, commands answered twice), all, or a
    scenario's file.
    """
    console = make_console()
    try:
        check_writable(json_file, world_file)
        if trouble in TROUBLES:
            world = fleet_world(trouble, seed, routers, caches, length)
        elif trouble.endswith(".toml"):
            world = read_scenario(trouble)
        else:
            raise ScenarioError(f"{trouble}: no such trouble ({', '.join(TROUBLES)}) and no .toml file")
        if world_file:
            table = world.model_dump(mode="json", by_alias=True, exclude_none=True, exclude_defaults=True)
            Path(world_file).write_text(tomli_w.dumps(table))
            return
        played, counts = play_fleet(world, seed, Printer(console, world))
    except (ScenarioError, OSError) as e:
        click.echo(f"ironrail: {e}", err=True)
        sys.exit(UNUSABLE)
    except PlanError as e:
        click.echo(f"ironrail: {trouble}: {e}", err=True)
        sys.exit(UNUSABLE)
    if json_file:
        told = {"format": FORMAT, "version": VERSION, "counts": counts_document(counts)}
        told["rehearsal"] = document(played.result)
        Path(json_file).write_bytes(orjson.dumps(told, option=orjson.OPT_INDENT_2) + b"\n")
    print_report(console, played.result)
    console.print(_table(counts))
    sys.exit(KEPT if played.result.kept else FAILED)
