"""From logs to a trace: read, put in order, merged, mapped, retries folded. Every line is accounted for."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

from ironrail.recorded.clock import Sorter, Step
from ironrail.recorded.entry import Entry, Malformed, Place, Raw
from ironrail.recorded.fields import LineParser
from ironrail.recorded.folding import Folder
from ironrail.recorded.formats import Format
from ironrail.recorded.mapping import Mapper
from ironrail.recorded.sources import har_entries, is_har, lines

MOST_TOLD = 1000  # places of malformed lines that are kept; all are counted
MOST_GAPS = 100
GAP = 60.0  # seconds without a line that are told of
FOLDED = "retry of an earlier one"
BLANK = "blank or a comment"
Told = tuple[Place, Raw]


@dataclass(slots=True)
class Account:
    """What became of each line. `check` is the proof that none has vanished."""

    lines: int = 0
    entries: int = 0
    filtered: Counter[str] = field(default_factory=Counter)  # by reason
    malformed: Counter[str] = field(default_factory=Counter)
    places: list[tuple[Place, str]] = field(default_factory=list)  # of the first malformed ones
    gaps: list[tuple[float, float]] = field(default_factory=list)  # Unix time, seconds
    steps: list[tuple[str, Step]] = field(default_factory=list)  # by file: the clock was set back

    def spoilt(self, place: Place, reason: str) -> None:
        """A line that can't be used."""
        self.malformed[reason] += 1
        if len(self.places) < MOST_TOLD:
            self.places.append((place, reason))

    def check(self) -> None:
        """AssertionError if lines in are not entries, malformed and filtered together."""
        told = self.entries + self.malformed.total() + self.filtered.total()
        assert self.lines == told, f"{self.lines} lines, but {told} accounted for"


class Importer:
    """One import. `entries` yields the trace's entries in order of time, in memory that does not grow."""

    def __init__(self, formats: Sequence[Format], mapper: Mapper, *, window: float, within: float) -> None:
        """`window`: seconds by which lines may be out of order; `within`: in which a retry follows."""
        self._formats, self._mapper, self._window = formats, mapper, window
        self._folder = Folder(within)
        self.account = Account()

    def entries(self, files: Iterable[Path]) -> Iterator[Entry]:
        """Of all files, merged: rotated pieces and the logs of several servers alike."""
        account, last = self.account, None
        merged = heapq.merge(*(self._ordered(path) for path in files), key=lambda told: told[0])
        for at, (place, raw) in merged:
            if last is not None and at - last > GAP and len(account.gaps) < MOST_GAPS:
                account.gaps.append((last, at - last))
            last = at
            try:
                made = raw.ready or self._mapper.entry(raw)
            except Malformed as e:
                account.spoilt(place, str(e))
                continue
            if isinstance(made, str):
                account.filtered[made] += 1
            elif raw.again or self._folder.retry(made):
                account.filtered[FOLDED] += 1
            else:
                account.entries += 1
                yield replace(made, at=at)
        account.check()

    def _ordered(self, path: Path) -> Iterator[tuple[float, Told]]:
        """The requests of one file by time; those that come in whole seconds spread over each."""
        sorter: Sorter[Told] = Sorter(self._window)

        def released() -> Iterator[tuple[float, Told]]:
            for place, raw in self._read(path):
                yield from sorter.add(raw.at, (place, raw))
                self._late(sorter)
            yield from sorter.rest()
            self._late(sorter)
            self.account.steps += [(str(path), step) for step in sorter.steps]

        return spread(released())

    def _late(self, sorter: Sorter[Told]) -> None:
        for place, _ in sorter.late:
            self.account.spoilt(place, f"out of order by more than {self._window:g} s")
        sorter.late.clear()

    def _read(self, path: Path) -> Iterator[Told]:
        return self._read_har(path) if is_har(path) else self._read_lines(path)

    def _read_lines(self, path: Path) -> Iterator[Told]:
        account, parser = self.account, LineParser(self._formats)
        for place, line in lines(path):
            account.lines += 1
            if isinstance(line, Malformed):
                account.spoilt(place, str(line))
                continue
            if not line.strip() or line.startswith(b"#"):
                account.filtered[BLANK] += 1
                continue
            try:
                yield place, parser.parse(line)
            except Malformed as e:
                account.spoilt(place, str(e))

    def _read_har(self, path: Path) -> Iterator[Told]:
        account = self.account
        for place, entry in har_entries(path):
            account.lines += 1
            if isinstance(entry, Malformed):
                account.spoilt(place, str(entry))
            elif isinstance(entry, str):
                account.filtered[entry] += 1
            else:
                yield place, entry


MOST_A_SECOND = 100_000  # lines of one second that are held to be spread


def spread(told: Iterable[tuple[float, Told]]) -> Iterator[tuple[float, Told]]:
    """Lines of one whole second, evenly over it.

    Servers write such times in whole seconds: left as they are, all requests of a second would be one burst.
    """
    held: list[Told] = []
    second = 0.0
    for at, what in told:
        whole = at == int(at)
        if held and (at != second or not whole or len(held) >= MOST_A_SECOND):
            yield from _evenly(second, held)
            held = []
        if whole:
            second = at
            held.append(what)
        else:
            yield at, what
    yield from _evenly(second, held)


def _evenly(second: float, held: list[Told]) -> Iterator[tuple[float, Told]]:
    for number, what in enumerate(held):
        yield second + (number / len(held) if len(held) > 1 else 0.0), what
