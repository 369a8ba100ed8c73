"""`ironrail experiment`."""

from __future__ import annotations

import math
import os
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import orjson
from rich.console import Console
from rich.table import Table

from ironrail.rehearsal.command import INTERRUPTED, UNUSABLE, make_console
from ironrail.rehearsal.experiments.compare import Compared, Interval, Word
from ironrail.rehearsal.experiments.plan import Experiment, ExperimentError, Run, read_experiment
from ironrail.rehearsal.experiments.run import State, play, state_of
from ironrail.rehearsal.experiments.store import Outcome, Store
from ironrail.rehearsal.scenario.reader import ScenarioError, read_text

FORMAT, VERSION = "ironrail-experiment", 1
GOOD, WORSE, OPEN = 0, 1, 3
TOLD_EVERY = 50  # runs between two lines that say how far it is
MOST_CAUSES = 6  # shown of what was lost more, and as many of what was lost less
MOST_FAILED = 5
CODES = (
    "Exit codes: 0 settled, and nothing got worse, 1 a variant is worse or breaks rules that the reference"
    " keeps, 2 unusable input, 3 not settled."
)


def _guarded(work: Callable[[], int]) -> None:
    """Run a command: one clear line where the input can't be used."""
    try:
        code = work()
    except (ScenarioError, OSError) as e:
        click.echo(f"ironrail: {e}", err=True)
        code = UNUSABLE
    except KeyboardInterrupt:
        click.echo("ironrail: interrupted; what was played is kept: resume it", err=True)
        code = INTERRUPTED
    sys.exit(code)


@click.group(epilog="Example: ironrail experiment run budget.toml --store budget.db")
def experiment() -> None:
    """Compare variants of the router over the same worlds and seeds."""


_jobs = click.option("--jobs", type=click.IntRange(1, 64), default=os.cpu_count() or 1, help="Runs at once.")


def _options(command: Any) -> Any:
    for option in (
        click.option(
            "--json", "json_file", metavar="FILE", help="Write the result for programs; - is the output."
        ),
        click.option("--html", "html_file", metavar="FILE", help="Write a page with intervals by family."),
    ):
        command = option(command)
    return command


@experiment.command(
    "run", epilog=f"Example: ironrail experiment run budget.toml --store budget.db\n\n{CODES}"
)
@click.argument("file")
@click.option("--store", required=True, metavar="FILE", help="Where results are kept; must not be there yet.")
@_jobs
@_options
def run_command(file: str, store: str, jobs: int, json_file: str | None, html_file: str | None) -> None:
    """Play the experiment in FILE until its question is settled."""
    _guarded(lambda: _play(file, Path(store), jobs, True, json_file, html_file))


@experiment.command(
    "resume", epilog=f"Example: ironrail experiment resume budget.toml --store budget.db\n\n{CODES}"
)
@click.argument("file")
@click.option("--store", required=True, metavar="FILE", help="Of the experiment that was cut off.")
@_jobs
@_options
def resume(file: str, store: str, jobs: int, json_file: str | None, html_file: str | None) -> None:
    """Go on with an experiment that was cut off. Nothing is played twice."""
    _guarded(lambda: _play(file, Path(store), jobs, False, json_file, html_file))


@experiment.command("show", epilog=f"Example: ironrail experiment show budget.db --json -\n\n{CODES}")
@click.argument("store")
@_options
def show(store: str, json_file: str | None, html_file: str | None) -> None:
    """Tell what an experiment came to, as far as it was played."""

    def work() -> int:
        described, state, played = _open(store)
        return _tell(described, state, len(played), json_file, html_file)

    _guarded(work)


@experiment.command("diff", epilog="Example: ironrail experiment diff monday.db friday.db")
@click.argument("first")
@click.argument("second")
def diff(first: str, second: str) -> None:
    """Show the effects of the variants that two experiments share, side by side."""

    def work() -> int:
        table = Table(title="Difference of service from the reference", title_justify="left")
        for name in ("variant", "first", "second"):
            table.add_column(name, justify="left" if name == "variant" else "right")
        effects = [{c.variant: c for c in _open(store)[1].compared} for store in (first, second)]
        for variant in sorted(effects[0].keys() & effects[1].keys()):
            table.add_row(variant, *(_shown(effect[variant].whole) for effect in effects))
        if not table.row_count:
            raise ExperimentError(f"{first} and {second} share no variant")
        make_console().print(table)
        return GOOD

    _guarded(work)


def _open(path: str) -> tuple[Experiment, State, dict[Run, Outcome]]:
    store = Store(Path(path), "", "", new=False)
    try:
        described = Experiment.model_validate(tomllib.loads(store.text()))
        played = store.played()
    finally:
        store.close()
    return described, state_of(described, played), played


def _play(file: str, path: Path, jobs: int, new: bool, json_file: str | None, html_file: str | None) -> int:
    described, digest = read_experiment(file)
    store = Store(path, digest, read_text(Path(file)), new=new)
    console = make_console(stderr=True)

    def told(count: int, most: int, run: Run, outcome: Outcome) -> None:
        if outcome.failed:
            console.print(
                f"{run.variant} in {run.world} {run.seed}: {outcome.failed}", highlight=False, markup=False
            )
        if count % TOLD_EVERY == 0:
            console.print(f"{count} of at most {most} runs", highlight=False)

    try:
        state = play(described, store, jobs, told)
        return _tell(described, state, len(store.played()), json_file, html_file)
    finally:
        store.close()


def _tell(
    described: Experiment, state: State, runs: int, json_file: str | None, html_file: str | None
) -> int:
    console = make_console(stderr=json_file == "-")
    _print(console, described, state, runs)
    if json_file:
        data = orjson.dumps(document(described, state, runs), option=orjson.OPT_INDENT_2) + b"\n"
        if json_file == "-":
            sys.stdout.buffer.write(data)
        else:
            Path(json_file).write_bytes(data)
    if html_file:
        from ironrail.rehearsal.experiments.page import write_page  # noqa: PLC0415 - plots take a second

        Path(html_file).write_text(write_page(described, state))
    if any(one.word is Word.WORSE or one.broken > one.reference_broken for one in state.compared):
        return WORSE
    return GOOD if state.settled else OPEN


def _shown(interval: Interval) -> str:
    if math.isinf(interval.low):
        return f"{interval.mean:+.4f} ({interval.pairs} pairs)"
    return f"{interval.mean:+.4f} [{interval.low:+.4f}, {interval.high:+.4f}]"


def _print(console: Console, described: Experiment, state: State, runs: int) -> None:
    looks = f"{state.looks} of {described.stop.looks} looks, {runs} runs"
    table = Table(title=f"{described.question} ({looks})", title_justify="left")
    for name in ("variant", "worlds", "difference of service", "pairs", "", "rules broken"):
        table.add_column(name, justify="right" if name in ("pairs", "rules broken") else "left")
    for one in state.compared:
        broken = f"{one.broken} ({one.reference_broken})"
        table.add_row(one.variant, "all", _shown(one.whole), str(one.whole.pairs), str(one.word), broken)
        if len(one.families) > 1:
            for family, interval in one.families.items():
                word = str(interval.word(described.stop.margin))
                table.add_row("", family, _shown(interval), str(interval.pairs), word, "")
    console.print(table)
    for one in state.compared:
        _print_details(console, one)


def _print_details(console: Console, one: Compared) -> None:
    worse = [
        f"{family} {seed} ({difference:+.3f})" for difference, family, seed in one.worst if difference < 0
    ]
    if worse:
        console.print(f"{one.variant} lost most in: {', '.join(worse)}", highlight=False)
    moved = sorted(one.losses.items(), key=lambda row: row[1])
    for title, rows in (("less", moved[:MOST_CAUSES]), ("more", moved[::-1][:MOST_CAUSES])):
        told = [
            f"{cause} {share:+.4f}" for cause, share in rows if (share < 0) == (title == "less") and share
        ]
        if told:
            console.print(
                f"{one.variant} lost {title} of what was asked for to: {'; '.join(told)}", highlight=False
            )
    for why in one.failed[:MOST_FAILED]:
        console.print(f"no figure: {why}", highlight=False, markup=False)


def document(described: Experiment, state: State, runs: int) -> dict[str, Any]:
    """The result as JSON values; an interval without bounds has null."""
    return {
        "format": FORMAT,
        "version": VERSION,
        "question": described.question,
        "reference": described.variants[0].name,
        "runs": runs,
        "looks": state.looks,
        "settled": state.settled,
        "variants": [
            {
                "name": one.variant,
                "word": str(one.word),
                "whole": _interval(one.whole),
                "families": {family: _interval(interval) for family, interval in one.families.items()},
                "worst": [
                    {"world": family, "seed": seed, "difference": difference}
                    for difference, family, seed in one.worst
                ],
                "losses": one.losses,
                "broken": one.broken,
                "reference_broken": one.reference_broken,
                "failed": one.failed,
            }
            for one in state.compared
        ],
    }


def _interval(interval: Interval) -> dict[str, Any]:
    bounds = [None if math.isinf(bound) else bound for bound in (interval.low, interval.high)]
    return {"pairs": interval.pairs, "mean": interval.mean, "low": bounds[0], "high": bounds[1]}
