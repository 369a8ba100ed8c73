"""`ironrail rehearse`."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import shlex
import signal
import sys
from dataclasses import asdict
from pathlib import Path

import click
import orjson
import uvloop
from rich.console import Console
from rich.table import Table

from ironrail.operator_reader import read_operator
from ironrail.recorded.scaling import scaled
from ironrail.recorded.schedule import ReplayError, plan_of
from ironrail.recorded.trace import Trace, TraceError
from ironrail.rehearsal.faults.plan import PlanError
from ironrail.rehearsal.ground import RealGround
from ironrail.rehearsal.load.schedule import Planned
from ironrail.rehearsal.pipelines import Depth, compare
from ironrail.rehearsal.report.document import document
from ironrail.rehearsal.report.page import write_page
from ironrail.rehearsal.report.table import depth_table, print_report
from ironrail.rehearsal.routers import OWN_ROUTER
from ironrail.rehearsal.run import Rehearsal, Result
from ironrail.rehearsal.scenario import Scenario, ScenarioError, read_scenario, shipped
from ironrail.rehearsal.scenario.model import VIRTUAL_ROUTERS, Repeats
from ironrail.rehearsal.virtual.play import play_virtual

KEPT, FAILED, UNUSABLE, NO_VERDICT, INTERRUPTED = 0, 1, 2, 3, 130
PLAIN_WIDTH = 132  # columns where the output is no terminal
GC_FIRST, GC_SECOND, GC_THIRD = 20_000, 50, 100  # whole collections held up sends for 60 to 100 ms
TRACE_LINES = 200_000  # of the events that a trace keeps
PROGRESS_EVERY = 5.0  # seconds of the run between two lines that say how far it is


class Printer:
    """Says how far a run is, and what goes wrong in it."""

    def __init__(self, console: Console, scenario: Scenario) -> None:
        self._console, self._length = console, scenario.length
        self._next = 0.0

    def __call__(self, at: float, text: str) -> None:
        if not text:
            if at < self._next:
                return
            self._next = at - at % PROGRESS_EVERY + PROGRESS_EVERY
            text = f"of {self._length:.0f} s"
        self._console.print(f"{at:7.1f} s  {text}", highlight=False, markup=False)


def play(
    scenario: Scenario,
    seed: int,
    command: tuple[str, ...],
    console: Console,
    schedule: list[Planned] | None = None,
) -> Result:
    """One run on a loop of its own; ends cleanly on SIGINT and SIGTERM."""
    if beyond := scenario.beyond_sockets():
        raise ScenarioError(f"{beyond} (in virtual time more can be had)")
    told = Printer(console, scenario)
    rehearsal = Rehearsal(scenario, seed, ground=RealGround(command), progress=told, schedule=schedule)

    async def run() -> Result:
        task = asyncio.ensure_future(rehearsal.run())
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        return await task

    gc.set_threshold(GC_FIRST, GC_SECOND, GC_THIRD)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())


def _play_virtual(
    scenario: Scenario, seed: int, console: Console, events: str | None, schedule: list[Planned] | None
) -> Result:
    """In virtual time, with the last events in a file of their own."""
    kept = TRACE_LINES if events else 0
    told = Printer(console, scenario)
    played = play_virtual(scenario, seed, progress=told, kept_lines=kept, schedule=schedule)
    if events:
        Path(events).write_text("\n".join(played.lines) + "\n")
    return played.result


def read_load(
    path: Path, scenario: Scenario, speed: float, rate: float, seed: int
) -> tuple[Scenario, list[Planned]]:
    """What a trace asks for, and the scenario with its length, rate and titles."""
    window = max((c.window for c in scenario.classes if c.repeats is Repeats.KEYED), default=0.0)
    with Trace(path) as trace:
        entries = list(scaled(trace.entries(), speed, rate, window, seed))
    return plan_of(entries, scenario, seed)


def make_console(stderr: bool = False) -> Console:
    """A terminal as wide as it is, anything else wide enough for the tables."""
    console = Console(stderr=stderr)
    return console if console.is_terminal else Console(stderr=stderr, width=PLAIN_WIDTH)


def _list() -> None:
    table = Table(box=None)
    for name in ("scenario", "seconds", "what it rehearses"):
        table.add_column(name)
    for name, path in shipped().items():
        scenario = read_scenario(str(path))
        table.add_row(name, f"{scenario.warm_up + scenario.length:.0f}", scenario.summary)
    make_console().print(table)


def check_writable(*files: str | None) -> None:
    """Guards a run against having nowhere to go once it is over."""
    for file in files:
        if file and file != "-":
            with Path(file).open("ab"):
                pass


def _write(result: Result, json_file: str | None, html_file: str | None) -> None:
    if json_file:
        data = orjson.dumps(document(result), option=orjson.OPT_INDENT_2) + b"\n"
        if json_file == "-":
            sys.stdout.buffer.write(data)
        else:
            Path(json_file).write_bytes(data)
    if html_file:
        Path(html_file).write_text(write_page(result))


def _depths(text: str) -> list[Depth]:
    try:
        found = [Depth(None if part == "as-is" else int(part)) for part in text.split(",")]
    except ValueError as e:
        raise click.UsageError(f"--depths takes numbers and as-is, like 1,2,as-is, not {text!r}") from e
    if any(d.requests is not None and not 1 <= d.requests <= 1000 for d in found):
        raise click.UsageError("--depths: a depth is from 1 to 1000")
    return found


@click.command(
    epilog="Example: ironrail pipeline-report bad-replies --depths 1,4,as-is --json depths.json\n\n"
    "Exit codes: 0 no rule broken at any depth, 1 one was, 2 unusable input, 3 the machine was too busy."
)
@click.argument("scenario")
@click.option("--depths", default="1,2,4,8,as-is", show_default=True, help="Requests on one connection.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="What is drawn at random.")
@click.option("--json", "json_file", metavar="FILE", help="Write the lines for programs.")
@click.option("--virtual", is_flag=True, help="In virtual time: exact, and many times faster.")
def pipeline_report(scenario: str, depths: str, seed: int, json_file: str | None, virtual: bool) -> None:
    """Compare how many requests go behind one another on a connection to a cache.

    Plays SCENARIO once for each depth with the same seed, and shows the tail of latency, connections,
    handshakes and what was lost behind others.
    """
    console = make_console()
    wanted = _depths(depths)
    try:
        check_writable(json_file)
        chosen = read_scenario(scenario)

        def play_one(operator: Path, name: str) -> Result:
            console.print(f"{name}", highlight=False)
            if virtual:
                told = Printer(console, chosen)
                return play_virtual(chosen, seed, operator=read_operator(str(operator)), progress=told).result
            return play(chosen, seed, (*OWN_ROUTER, "--operator", str(operator)), console)

        lines = compare(wanted, play_one)
    except (ScenarioError, PlanError, OSError) as e:
        click.echo(f"ironrail: {e}", err=True)
        sys.exit(UNUSABLE)
    except (asyncio.CancelledError, KeyboardInterrupt):
        click.echo("ironrail: interrupted; nothing is left running", err=True)
        sys.exit(INTERRUPTED)
    console.print(depth_table(chosen.summary, lines))
    if json_file:
        rows = [
            {**asdict(line), "latencies": {str(q): s for q, s in line.latencies.items()}} for line in lines
        ]
        told = {"format": "ironrail-pipelines", "version": 1, "seed": seed, "lines": rows}
        Path(json_file).write_bytes(orjson.dumps(told, option=orjson.OPT_INDENT_2) + b"\n")
    busy = any(line.no_verdict for line in lines)
    sys.exit(NO_VERDICT if busy else FAILED if any(line.broken for line in lines) else KEPT)


@click.command(
    epilog="Example: ironrail rehearse saturday --seed 7 --json report.json --html report.html\n\n"
    "Exit codes: 0 all kept, 1 a verdict failed, 2 unusable input, 3 the machine was too busy for a verdict."
)
@click.argument("scenario", required=False)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="What is drawn at random.")
@click.option(
    "--routers", type=click.IntRange(1, VIRTUAL_ROUTERS), help="How many, in place of the scenario's."
)
@click.option("--json", "json_file", metavar="FILE", help="Write the report for programs; - is the output.")
@click.option("--html", "html_file", metavar="FILE", help="Write a page with plots.")
@click.option("--router", metavar="COMMAND", help="Rehearse this program in place of the router itself.")
@click.option("--virtual", is_flag=True, help="In virtual time: one seed gives the same events each time.")
@click.option("--events", "trace_file", metavar="FILE", help="Write the last events; with --virtual.")
@click.option("--trace", "load_file", metavar="FILE", help="Play this trace in place of a drawn load.")
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
        raise click.UsageError("--router names a program to start; with --virtual nothing is started")
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
        click.echo(f"ironrail: {scenario}: {e}" if isinstance(e, PlanError) else f"ironrail: {e}", err=True)
        sys.exit(UNUSABLE)
    except (OSError, TraceError, ReplayError) as e:
        click.echo(
            f"ironrail: {load_file}: {e}" if isinstance(e, ReplayError) else f"ironrail: {e}", err=True
        )
        sys.exit(UNUSABLE)
    except (asyncio.CancelledError, KeyboardInterrupt):
        with contextlib.suppress(OSError):
            click.echo("ironrail: interrupted; nothing is left running", err=True)
        sys.exit(INTERRUPTED)
    print_report(console, result)
    sys.exit(NO_VERDICT if result.no_verdict else KEPT if result.kept else FAILED)
