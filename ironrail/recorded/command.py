"""`ironrail trace`: import logs, look at traces, and make other traces of them."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from dataclasses import replace
from datetime import UTC, datetime
from functools import wraps
from pathlib import Path
from typing import Any

import click
import orjson
from rich.table import Table

from ironrail.access.names import Hasher
from ironrail.recorded.entry import Entry
from ironrail.recorded.formats import KNOWN, FormatError, compile_format
from ironrail.recorded.importing import Account, Importer
from ironrail.recorded.mapping import Mapper, Mapping
from ironrail.recorded.mix import HOT, Mix, differences, largest, mix_of
from ironrail.recorded.page import write_page
from ironrail.recorded.scaling import scaled
from ironrail.recorded.sources import SourceError
from ironrail.recorded.trace import Trace, TraceError, write_trace
from ironrail.rehearsal.command import FAILED, KEPT, UNUSABLE, make_console
from ironrail.rehearsal.scenario.reader import ScenarioError, parse, read_text
from ironrail.rehearsal.scenario.units import read_time

DIFFERS = FAILED  # of two traces
MOST_SHOWN = 20  # rows of a table
ANY = Mapping.model_validate({"rule": [{"drop": True}]})  # of lines that need no mapping


class Length(click.ParamType[float]):
    """A time with its unit."""

    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> float:
        if isinstance(value, float):
            return value
        try:
            return read_time(value)
        except ValueError as e:
            self.fail(str(e), param, ctx)


TRACE = click.Path(exists=True, dir_okay=False, path_type=Path)
NEW = click.Path(dir_okay=False, path_type=Path)
LENGTH = Length()


def _plainly(command: Callable[..., None]) -> Callable[..., None]:
    """One clear line for what can't be used, and the exit code for it."""

    @wraps(command)
    def guarded(*args: Any, **options: Any) -> None:
        try:
            command(*args, **options)
        except (TraceError, SourceError, ScenarioError, FormatError, OSError) as e:
            click.echo(f"ironrail: {e}", err=True)
            sys.exit(UNUSABLE)

    return guarded


def _new(path: Path, *sources: Path) -> Path:
    """Guards a trace against being written over while it is read."""
    if any(path.exists() and path.samefile(source) for source in sources):
        raise TraceError(f"{path}: is what is read; name another file")
    return path


def _moment(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds")


@click.group()
def trace() -> None:
    """Recorded load: logs and HAR files as traces that can be rehearsed."""


@trace.command(
    "import",
    epilog="Example: ironrail trace import --mapping grids.toml --out monday.trace access.log*\n\n"
    "Exit codes: 0 done, 2 unusable input. Malformed lines are counted, told of and passed over.",
)
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
@click.option("--out", type=NEW, help="The trace to write. Without it nothing is: a dry run.")
@click.option(
    "--mapping", "mapping_file", type=TRACE, help="What a request is here; the daemon's log needs none."
)
@click.option(
    "--format",
    "formats",
    multiple=True,
    metavar="NAME|TEXT",
    help=f"{', '.join(KNOWN)}, or the server's own.",
)
@click.option("--window", type=LENGTH, default="30 s", help="By so much lines may be out of order.")
@click.option("--retry-within", type=LENGTH, default="5 s", help="In which a failed request is asked again.")
@click.option(
    "--hash-key", type=TRACE, help="A file of 16 to 64 bytes; without it a key is drawn and forgotten."
)
@click.option(
    "--malformed", "malformed_file", type=NEW, help="Write the places of malformed lines, as JSON lines."
)
@_plainly
def import_(
    files: tuple[Path, ...],
    out: Path | None,
    mapping_file: Path | None,
    formats: tuple[str, ...],
    window: float,
    retry_within: float,
    hash_key: Path | None,
    malformed_file: Path | None,
) -> None:
    """Read logs and HAR files, packed or not, and write one trace of all."""
    mapping = ANY if mapping_file is None else parse(Mapping, read_text(mapping_file), str(mapping_file))
    mapper = Mapper(mapping, _hasher(hash_key))
    known = [compile_format(text) for text in formats or ("combined", "common")]
    importer = Importer(known, mapper, window=window, within=retry_within)
    if out is None:
        for _ in importer.entries(files):
            pass
    else:
        write_trace(_new(out, *files), importer.entries(files))
    _tell(importer.account, mapper, mapping_file is not None)
    if malformed_file is not None:
        rows = (
            orjson.dumps({"file": place.file, "line": place.line, "offset": place.offset, "reason": reason})
            for place, reason in importer.account.places
        )
        malformed_file.write_bytes(b"".join(row + b"\n" for row in rows))


def _hasher(file: Path | None) -> Hasher:
    if file is None:
        return Hasher(os.urandom(32))
    try:
        return Hasher(file.read_bytes().strip())
    except ValueError as e:
        raise TraceError(f"{file}: {e}") from e


def _tell(account: Account, mapper: Mapper, mapped: bool) -> None:
    console = make_console()
    console.print(
        f"{account.lines} lines in = {account.entries} entries + {account.malformed.total()} malformed"
        f" + {account.filtered.total()} filtered",
        highlight=False,
    )
    table = Table(box=None)
    for name in ("", "lines", "why"):
        table.add_column(name, justify="right" if name == "lines" else "left")
    for word, counts in (("malformed", account.malformed), ("filtered", account.filtered)):
        for reason, count in counts.most_common(MOST_SHOWN):
            table.add_row(word, str(count), reason)
    if table.rows:
        console.print(table)
    for place, reason in account.places[:MOST_SHOWN]:
        console.print(f"  {place}: {reason}", highlight=False, markup=False, soft_wrap=True)
    for at, length in account.gaps[:MOST_SHOWN]:
        console.print(f"  nothing for {length:.0f} s from {_moment(at)}", highlight=False)
    for file, step in account.steps[:MOST_SHOWN]:
        text = f"  {file}: the clock was set back by {step.back:.1f} s to {_moment(step.at)}; times go on"
        console.print(text, highlight=False, markup=False, soft_wrap=True)
    if mapped and mapper.unmapped:
        console.print("Unmapped, by frequency:")
        for shape, count in mapper.unmapped.most_common(MOST_SHOWN):
            console.print(f"  {count:>9}  {shape}", highlight=False, markup=False, soft_wrap=True)


@trace.command(epilog="Example: ironrail trace stats monday.trace --json mix.json")
@click.argument("file", type=TRACE)
@click.option("--json", "json_file", type=NEW, help="Write the figures for programs.")
@_plainly
def stats(file: Path, json_file: Path | None) -> None:
    """Tell what a trace is made of."""
    with Trace(file) as opened:
        mix = mix_of(opened.entries())
    console = make_console()
    if not mix.entries:
        console.print("an empty trace")
    else:
        console.print(
            f"{mix.entries} requests in {mix.length:.1f} s from {_moment(mix.first)}: {mix.rate:.1f} each,"
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


@trace.command(epilog="Example: ironrail trace show monday.trace --html monday.html")
@click.argument("file", type=TRACE)
@click.option("--html", "html_file", type=NEW, required=True, help="The page to write.")
@_plainly
def show(file: Path, html_file: Path) -> None:
    """Plot rate, mix, popularity and sizes on a page that stands alone."""
    with Trace(file) as opened:
        html_file.write_text(write_page(file.name, mix_of(opened.entries())))


@trace.command(
    epilog="Example: ironrail trace cut monday.trace --from '10 min' --for '60 s' --out rush.trace"
)
@click.argument("file", type=TRACE)
@click.option("--out", type=NEW, required=True)
@click.option("--from", "begin", type=LENGTH, default="0 s", help="From the trace's first request.")
@click.option("--for", "length", type=LENGTH, help="How long; to the end where left out.")
@click.option("--class", "kinds", multiple=True, help="Only these classes.")
@click.option("--title", "titles", multiple=True, help="Only these titles.")
@_plainly
def cut(
    file: Path, out: Path, begin: float, length: float | None, kinds: tuple[str, ...], titles: tuple[str, ...]
) -> None:
    """Keep a stretch of a trace, or some classes and titles of it."""
    with Trace(file) as opened:
        since = opened.span()[0] + begin
        until = since + length if length is not None else float("inf")
        kept = (
            entry
            for entry in opened.entries(since, until)
            if (not kinds or entry.kind in kinds) and (not titles or entry.title in titles)
        )
        click.echo(f"{write_trace(_new(out, file), kept)} requests")


@trace.command(epilog="Example: ironrail trace scale monday.trace --speed 10 --out fast.trace")
@click.argument("file", type=TRACE)
@click.option("--out", type=NEW, required=True)
@click.option("--speed", type=click.FloatRange(0.01, 1000), default=1.0, help="Squeeze time by so much.")
@click.option(
    "--rate", type=click.FloatRange(0.0001, 100), default=1.0, help="Below 1 thin, above 1 superpose."
)
@click.option("--keyed-window", type=LENGTH, default="2.5 s", help="In which a repeat of a key is dropped.")
@click.option("--seed", type=click.IntRange(0, 2**63), default=1, show_default=True)
@_plainly
def scale(file: Path, out: Path, speed: float, rate: float, keyed_window: float, seed: int) -> None:
    """Make it faster, thinner or denser. The operators' page tells what each keeps."""
    with Trace(file) as opened:
        entries = scaled(opened.entries(), speed, rate, keyed_window, seed)
        click.echo(f"{write_trace(_new(out, file), entries)} requests")


@trace.command(epilog="Example: ironrail trace anonymise monday.trace --out public.trace")
@click.argument("file", type=TRACE)
@click.option("--out", type=NEW, required=True)
@click.option(
    "--hash-key", type=TRACE, help="A file of 16 to 64 bytes; without it a key is drawn and forgotten."
)
@_plainly
def anonymise(file: Path, out: Path, hash_key: Path | None) -> None:
    """Give keys, clients and idempotency keys other names: the same one for the same, and no way back."""
    hasher = _hasher(hash_key)

    def renamed(entry: Entry) -> Entry:
        return replace(
            entry,
            key=hasher("key " + entry.key),
            client=hasher(entry.client),
            idempotency=hasher(entry.idempotency),
        )

    with Trace(file) as opened:
        click.echo(f"{write_trace(_new(out, file), map(renamed, opened.entries()))} requests")


@trace.command(
    epilog="Example: ironrail trace diff monday.trace fast.trace --within 1\n\n"
    "Exit codes: 0 no share differs by more, 1 one does, 2 unusable input."
)
@click.argument("before", type=TRACE)
@click.argument("after", type=TRACE)
@click.option("--within", type=click.FloatRange(0, 100), default=1.0, help="Percent of all requests.")
@_plainly
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
