"""`ironrail pipeline-report`, and exit codes, console and run function shared by the kit's commands."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from dataclasses import asdict
from pathlib import Path

import click
import orjson
import uvloop
from rich.console import Console

from ironrail.operator_reader import read_operator
from ironrail.rehearsal.faults.plan import PlanError
from ironrail.rehearsal.ground import RealGround
from ironrail.rehearsal.load.schedule import Planned
from ironrail.rehearsal.pipelines import Depth, compare
from ironrail.rehearsal.report.table import depth_table
from ironrail.rehearsal.routers import OWN_ROUTER
from ironrail.rehearsal.run import Rehearsal, Result
from ironrail.rehearsal.scenario import Scenario, ScenarioError, read_scenario
from ironrail.rehearsal.virtual.runner import run_virtual

KEPT, FAILED, UNUSABLE, NO_VERDICT, INTERRUPTED = 0, 1, 2, 3, 130
PLAIN_WIDTH = 132  # columns, if the output is not a terminal
GC_FIRST, GC_SECOND, GC_THIRD = 20_000, 50, 100  # rare, as full collections delayed sends by 60 to 100 ms
PROGRESS_INTERVAL_SECONDS = 5.0  # of the run, between two progress lines


class Printer:
    """Prints the progress and the events of a run."""

    def __init__(self, console: Console, scenario: Scenario) -> None:
        self._console, self._length = console, scenario.length
        self._next = 0.0

    def __call__(self, at: float, text: str) -> None:
        if not text:
            if at < self._next:
                return
            self._next = at - at % PROGRESS_INTERVAL_SECONDS + PROGRESS_INTERVAL_SECONDS
            text = f"of {self._length:.0f} s"
        self._console.print(f"{at:7.1f} s  {text}", highlight=False, markup=False)


def play(
    scenario: Scenario,
    seed: int,
    command: tuple[str, ...],
    console: Console,
    schedule: list[Planned] | None = None,
) -> Result:
    """Play one run on its own event loop, which SIGINT and SIGTERM end cleanly.

    Raises:
        ScenarioError: The scenario exceeds a limit of real sockets.
    """
    if beyond := scenario.beyond_sockets():
        raise ScenarioError(f"{beyond} (in virtual time more can be had)")
    printer = Printer(console, scenario)
    rehearsal = Rehearsal(scenario, seed, ground=RealGround(command), progress=printer, schedule=schedule)

    async def run() -> Result:
        task = asyncio.ensure_future(rehearsal.run())
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        return await task

    gc.set_threshold(GC_FIRST, GC_SECOND, GC_THIRD)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())


def make_console(stderr: bool = False) -> Console:
    """Return a console of the terminal's width, or wide enough for the tables if it is not one."""
    console = Console(stderr=stderr)
    return console if console.is_terminal else Console(stderr=stderr, width=PLAIN_WIDTH)


def check_writable(*files: str | None) -> None:
    """Check before a run that its result files can be written.

    Raises:
        OSError: A file can't be opened for writing.
    """
    for file in files:
        if file and file != "-":
            with Path(file).open("ab"):
                pass


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
                printer = Printer(console, chosen)
                return run_virtual(
                    chosen, seed, operator=read_operator(str(operator)), progress=printer
                ).result
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
        report = {"format": "ironrail-pipelines", "version": 1, "seed": seed, "lines": rows}
        Path(json_file).write_bytes(orjson.dumps(report, option=orjson.OPT_INDENT_2) + b"\n")
    busy = any(line.no_verdict for line in lines)
    sys.exit(NO_VERDICT if busy else FAILED if any(line.broken for line in lines) else KEPT)
