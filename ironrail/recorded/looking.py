"""`ironrail trace stats`, `show` and `diff`: what is in traces."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import orjson
from rich.table import Table

from ironrail.recorded.mix import HOT, Mix, differences, largest, mix_of
from ironrail.recorded.options import MOST_SHOWN, NEW, TRACE, moment, plainly
from ironrail.recorded.trace import Trace
from ironrail.rehearsal.command import FAILED, KEPT, make_console

DIFFERS = FAILED  # of two traces


@click.command(epilog="Example: ironrail trace stats monday.trace --json mix.json")
@click.argument("file", type=TRACE)
@click.option("--json", "json_file", type=NEW, help="Write the figures for programs.")
@plainly
def stats(file: Path, json_file: Path | None) -> None:
    """Tell what a trace is made of."""
    with Trace(file) as opened:
        mix = mix_of(opened.entries())
    console = make_console()
    if not mix.entries:
        console.print("an empty trace")
    else:
        console.print(
            f"{mix.entries} requests in {mix.length:.1f} s from {moment(mix.first)}: {mix.rate:.1f} each,"
            f" variance over mean {mix.burstiness():.2f}; {mix.chains} with an idempotency key",
            highlight=False,
        )
    table = Table(box=None)
    for name in ("", "name", "requests", "share"):
        table.add_column(name, justify="left" if name in ("", "name") else "right")
    for what, counts in _counts(mix).items():
        for name, count in counts[:MOST_SHOWN]:
            table.add_row(what, name, str(count), f"{count / mix.entries:.2%}")
    console.print(table)
    if json_file is not None:
        told = {"format": "ironrail-mix", "version": 1, "requests": mix.entries, "seconds": mix.length}
        told |= {"burstiness": mix.burstiness(), "uncounted_keys": mix.dropped}
        told |= {what: dict(counts) for what, counts in _counts(mix).items()}
        json_file.write_bytes(orjson.dumps(told, option=orjson.OPT_INDENT_2) + b"\n")


def _counts(mix: Mix) -> dict[str, list[tuple[str, int]]]:
    statuses = [(str(status), count) for status, count in mix.statuses.most_common()]
    return {
        "class": mix.kinds.most_common(),
        "title": mix.titles.most_common(),
        "size": mix.sizes.most_common(),
        "status": statuses,
        "key": mix.keys.most_common(HOT),
    }


@click.command(epilog="Example: ironrail trace show monday.trace --html monday.html")
@click.argument("file", type=TRACE)
@click.option("--html", "html_file", type=NEW, required=True, help="The page to write.")
@plainly
def show(file: Path, html_file: Path) -> None:
    """Plot rate, mix, popularity and sizes on a page that stands alone."""
    from ironrail.recorded.page import write_page  # noqa: PLC0415 - plots take a second

    with Trace(file) as opened:
        html_file.write_text(write_page(file.name, mix_of(opened.entries())))


@click.command(
    epilog="Example: ironrail trace diff monday.trace fast.trace --within 1\n\n"
    "Exit codes: 0 no share differs by more, 1 one does, 2 unusable input."
)
@click.argument("before", type=TRACE)
@click.argument("after", type=TRACE)
@click.option("--within", type=click.FloatRange(0, 100), default=1.0, help="Percent of all requests.")
@plainly
def diff(before: Path, after: Path, within: float) -> None:
    """Compare the mix of two traces: classes, titles, sizes and the hottest keys."""
    with Trace(before) as one, Trace(after) as other:
        mixes = mix_of(one.entries()), mix_of(other.entries())
    table = Table(box=None)
    for name in ("", "name", "before", "after", "differs by"):
        table.add_column(name, justify="left" if name in ("", "name") else "right")
    rows = sorted(differences(*mixes), key=lambda d: -d.points)
    for row in rows[:MOST_SHOWN]:
        table.add_row(row.what, row.name, f"{row.before:.2%}", f"{row.after:.2%}", f"{row.points:.2%}")
    console = make_console()
    console.print(table)
    worst = largest(*mixes)
    console.print(
        f"{mixes[0].entries} and {mixes[1].entries} requests,"
        f" {mixes[0].rate:.1f} and {mixes[1].rate:.1f} a second"
    )
    sys.exit(DIFFERS if worst is not None and worst.points > within / 100 else KEPT)
