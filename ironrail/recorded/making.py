"""`ironrail trace import`, `cut`, `scale` and `anonymise`: traces made of logs and of other traces."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import click
import orjson
from rich.table import Table

from ironrail.recorded.entry import Entry
from ironrail.recorded.formats import KNOWN, compile_format
from ironrail.recorded.importing import Account, Importer
from ironrail.recorded.mapping import Mapper, Mapping
from ironrail.recorded.options import LENGTH, MOST_SHOWN, NEW, TRACE, hasher_of, moment, new_file, plainly
from ironrail.recorded.scaling import scaled
from ironrail.recorded.trace import Trace, write_trace
from ironrail.rehearsal.command import make_console
from ironrail.rehearsal.scenario.reader import parse, read_text

ANY = Mapping.model_validate({"rule": [{"drop": True}]})  # of lines that need no mapping


@click.command(
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
@plainly
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
    mapper = Mapper(mapping, hasher_of(hash_key))
    known = [compile_format(text) for text in formats or ("combined", "common")]
    importer = Importer(known, mapper, window=window, within=retry_within)
    if out is None:
        for _ in importer.entries(files):
            pass
    else:
        write_trace(new_file(out, *files), importer.entries(files))
    _tell(importer.account, mapper, mapping_file is not None)
    if malformed_file is not None:
        rows = (
            orjson.dumps({"file": place.file, "line": place.line, "offset": place.offset, "reason": reason})
            for place, reason in importer.account.places
        )
        malformed_file.write_bytes(b"".join(row + b"\n" for row in rows))


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
        console.print(f"  nothing for {length:.0f} s from {moment(at)}", highlight=False)
    for file, step in account.steps[:MOST_SHOWN]:
        text = f"  {file}: the clock was set back by {step.back:.1f} s to {moment(step.at)}; times go on"
        console.print(text, highlight=False, markup=False, soft_wrap=True)
    if mapped and mapper.unmapped:
        console.print("Unmapped, by frequency:")
        for shape, count in mapper.unmapped.most_common(MOST_SHOWN):
            console.print(f"  {count:>9}  {shape}", highlight=False, markup=False, soft_wrap=True)


@click.command(
    epilog="Example: ironrail trace cut monday.trace --from '10 min' --for '60 s' --out rush.trace"
)
@click.argument("file", type=TRACE)
@click.option("--out", type=NEW, required=True)
@click.option("--from", "begin", type=LENGTH, default="0 s", help="From the trace's first request.")
@click.option("--for", "length", type=LENGTH, help="How long; to the end where left out.")
@click.option("--class", "kinds", multiple=True, help="Only these classes.")
@click.option("--title", "titles", multiple=True, help="Only these titles.")
@plainly
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
        click.echo(f"{write_trace(new_file(out, file), kept)} requests")


@click.command(epilog="Example: ironrail trace scale monday.trace --speed 10 --out fast.trace")
@click.argument("file", type=TRACE)
@click.option("--out", type=NEW, required=True)
@click.option("--speed", type=click.FloatRange(0.01, 1000), default=1.0, help="Squeeze time by so much.")
@click.option(
    "--rate", type=click.FloatRange(0.0001, 100), default=1.0, help="Below 1 thin, above 1 superpose."
)
@click.option("--keyed-window", type=LENGTH, default="2.5 s", help="In which a repeat of a key is dropped.")
@click.option("--seed", type=click.IntRange(0, 2**63), default=1, show_default=True)
@plainly
def scale(file: Path, out: Path, speed: float, rate: float, keyed_window: float, seed: int) -> None:
    """Make it faster, thinner or denser. The operators' page tells what each keeps."""
    with Trace(file) as opened:
        entries = scaled(opened.entries(), speed, rate, keyed_window, seed)
        click.echo(f"{write_trace(new_file(out, file), entries)} requests")


@click.command(epilog="Example: ironrail trace anonymise monday.trace --out public.trace")
@click.argument("file", type=TRACE)
@click.option("--out", type=NEW, required=True)
@click.option(
    "--hash-key", type=TRACE, help="A file of 16 to 64 bytes; without it a key is drawn and forgotten."
)
@plainly
def anonymise(file: Path, out: Path, hash_key: Path | None) -> None:
    """Give keys, clients and idempotency keys other names: the same one for the same, and no way back."""
    hasher = hasher_of(hash_key)

    def renamed(entry: Entry) -> Entry:
        return replace(
            entry,
            key=hasher("key " + entry.key),
            client=hasher(entry.client),
            idempotency=hasher(entry.idempotency),
        )

    with Trace(file) as opened:
        click.echo(f"{write_trace(new_file(out, file), map(renamed, opened.entries()))} requests")
