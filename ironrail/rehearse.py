"""`ironrail rehearse`: plays a scenario with the kit, on drawn or recorded load."""

from __future__ import annotations

import asyncio
import contextlib
import shlex
import sys
from pathlib import Path

import click
import orjson
from rich.console import Console
from rich.table import Table

from ironrail.recorded.scaling import scaled
from ironrail.recorded.schedule import ReplayError, plan_of
from ironrail.recorded.trace import Trace, TraceError
from ironrail.rehearsal.command import (
    FAILED,
    INTERRUPTED,
    KEPT,
    NO_VERDICT,
    UNUSABLE,
    Printer,
    check_writable,
    make_console,
    play,
)
from ironrail.rehearsal.faults.plan import PlanError
from ironrail.rehearsal.load.schedule import Planned
from ironrail.rehearsal.report.document import document
from ironrail.rehearsal.report.table import print_report
from ironrail.rehearsal.routers import OWN_ROUTER
from ironrail.rehearsal.run import Result
from ironrail.rehearsal.scenario import Scenario, ScenarioError, read_scenario, shipped
from ironrail.rehearsal.scenario.model import MAX_VIRTUAL_ROUTERS, Repeats
from ironrail.rehearsal.virtual.runner import run_virtual

TRACE_LINES = 200_000  # events that the event file holds at most


def _play_virtual(
    scenario: Scenario,
    seed: int,
    console: Console,
    events: str | None,
    schedule: list[Planned] | None,
) -> Result:
    """Play in virtual time and write the last events to a file."""
    kept = TRACE_LINES if events else 0
    printer = Printer(console, scenario)
    played = run_virtual(scenario, seed, progress=printer, kept_lines=kept, schedule=schedule)
    if events:
        Path(events).write_text("\n".join(played.lines) + "\n")
    return played.result


def read_load(
    path: Path, scenario: Scenario, speed: float, rate: float, seed: int
) -> tuple[Scenario, list[Planned]]:
    """Read a trace; return the scenario with the trace's length, rate and titles, and the schedule."""
    window = max((c.window for c in scenario.classes if c.repeats is Repeats.KEYED), default=0.0)
    with Trace(path) as trace:
        entries = list(scaled(trace.entries(), speed, rate, window, seed))
    return plan_of(entries, scenario, seed)


def _list() -> None:
    table = Table(box=None)
    for name in ("scenario", "seconds", "what it rehearses"):
        table.add_column(name)
    for name, path in shipped().items():
        scenario = read_scenario(str(path))
        table.add_row(name, f"{scenario.warm_up + scenario.length:.0f}", scenario.summary)
    make_console().print(table)


def _write(result: Result, json_file: str | None, html_file: str | None) -> None:
    if json_file:
        data = orjson.dumps(document(result), option=orjson.OPT_INDENT_2) + b"\n"
        if json_file == "-":
            sys.stdout.buffer.write(data)
        else:
            Path(json_file).write_bytes(data)
    if html_file:
        from ironrail.rehearsal.report.page import write_page  # noqa: PLC0415 - plots take a second

        Path(html_file).write_text(write_page(result))


@click.command(
    epilog="Example: ironrail rehearse saturday --seed 7 --json report.json --html report.html\n\n"
    "Exit codes: 0 all kept, 1 a verdict failed, 2 unusable input, 3 the machine was too busy for a verdict."
)
@click.argument("scenario", required=False)
@click.option(
    "--seed", type=click.IntRange(0), default=1, show_default=True, help="What is drawn at random."
)
@click.option(
    "--routers",
    type=click.IntRange(1, MAX_VIRTUAL_ROUTERS),
    help="How many, in place of the scenario's.",
)
@click.option(
    "--json", "json_file", metavar="FILE", help="Write the report for programs; - is the output."
)
@click.option("--html", "html_file", metavar="FILE", help="Write a page with plots.")
@click.option(
    "--router", metavar="COMMAND", help="Rehearse this program in place of the router itself."
)
@click.option(
    "--virtual", is_flag=True, help="In virtual time: one seed gives the same events each time."
)
@click.option(
    "--events", "trace_file", metavar="FILE", help="Write the last events; with --virtual."
)
@click.option(
    "--trace", "load_file", metavar="FILE", help="Play this trace in place of a drawn load."
)
@click.option(
    "--speed",
    type=click.FloatRange(0.01, 1000),
    default=1.0,
    help="Of the trace; repeats of one idempotency key keep their distance.",
)
@click.option(
    "--rate",
    type=click.FloatRange(0.0001, 100),
    default=1.0,
    help="Times as many requests, at the same speed.",
)
@click.option("--list", "list_them", is_flag=True, help="Tell which scenarios there are.")
def rehearse(
    scenario: str | None,
    seed: int,
    routers: int | None,
    json_file: str | None,
    html_file: str | None,
    router: str | None,
    virtual: bool,
    trace_file: str | None,
    load_file: str | None,
    speed: float,
    rate: float,
    list_them: bool,
) -> None:
    """Rehearse SCENARIO: a shipped one by its name, or a file.

    Starts real routers among stand-in caches, archive, discovery and clients on loopback, makes go wrong
    what the scenario says, and judges service and rules by what the stand-ins saw.
    """
    if list_them:
        _list()
        return
    if scenario is None:
        raise click.UsageError("name a SCENARIO, or --list them")
    if virtual and router:
        raise click.UsageError(
            "--router names a program to start; with --virtual nothing is started"
        )
    if trace_file and not virtual:
        raise click.UsageError("--events goes with --virtual")
    if load_file is None and (speed != 1 or rate != 1):
        raise click.UsageError("--speed and --rate go with --trace")
    console = make_console(stderr=json_file == "-")
    try:
        check_writable(json_file, html_file, trace_file)
        chosen = read_scenario(scenario)
        if routers is not None:
            conf = chosen.routers.model_copy(update={"count": routers})
            chosen = chosen.model_copy(update={"routers": conf})
        schedule = None
        if load_file is not None:
            chosen, schedule = read_load(Path(load_file), chosen, speed, rate, seed)
        if virtual:
            result = _play_virtual(chosen, seed, console, trace_file, schedule)
        else:
            command = tuple(shlex.split(router)) if router else OWN_ROUTER
            result = play(chosen, seed, command, console, schedule)
        _write(result, json_file, html_file)
    except (ScenarioError, PlanError) as e:
        click.echo(
            f"ironrail: {scenario}: {e}" if isinstance(e, PlanError) else f"ironrail: {e}", err=True
        )
        sys.exit(UNUSABLE)
    except (OSError, TraceError, ReplayError) as e:
        click.echo(
            f"ironrail: {load_file}: {e}" if isinstance(e, ReplayError) else f"ironrail: {e}",
            err=True,
        )
        sys.exit(UNUSABLE)
    except (asyncio.CancelledError, KeyboardInterrupt):
        with contextlib.suppress(OSError):
            click.echo("ironrail: interrupted; nothing is left running", err=True)
        sys.exit(INTERRUPTED)
    print_report(console, result)
    sys.exit(NO_VERDICT if result.no_verdict else KEPT if result.kept else FAILED)
