"""Trace files: Parquet, a row a request in order of time.

Parquet brings what a trace needs: columns packed with zstd, a checksum for each page, groups of rows with
their least and greatest time (so that a stretch is read without the rest), and a footer that is written last,
without which a file is known to be cut off. `docs/recorded/design.md` weighs the ways not taken.

One thing it lacks: a spoilt byte in the footer or in the head of a page is parsed all the same, and has ended
the process in the library's C++. So a seal stands behind the footer's own bytes, within its length, where
other readers pass over it: a digest of all that is before it. Nothing is parsed before that is checked.
"""

from __future__ import annotations

import hashlib
import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from types import TracebackType
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq

from ironrail.recorded.entry import Entry

VERSION = 1
MARK = b"ironrail-trace"  # in the file's metadata, with the version
GROUP = 20_000  # rows of a group: some seconds of a busy log, 2 MB in memory
WORD = pa.dictionary(pa.int32(), pa.string())
COLUMNS = {
    "at": pa.int64(),  # microseconds of Unix time
    "kind": WORD,
    "title": WORD,
    "key": pa.string(),
    "size": pa.int32(),
    "method": WORD,
    "status": pa.int16(),
    "took": pa.int64(),  # microseconds
    "client": pa.string(),
    "idempotency": pa.string(),
    "write": pa.bool_(),
    "work": pa.float64(),
}
MAGIC = b"PAR1"  # at the end of Parquet, behind four bytes with the footer's length
TAIL = 4 + len(MAGIC)
SEAL, SEAL_DIGEST = b"irtrace\n", 16
PIECE = 1024 * 1024  # bytes read at once for the digest: 1 GB takes a second or two
DAMAGE = (OSError, ValueError, TypeError, pa.ArrowException)  # whatever a spoilt byte may lead to
SCHEMA = pa.schema(list(COLUMNS.items()), metadata={MARK: str(VERSION).encode()})


class TraceError(ValueError):
    """A trace that can't be used; the message names the file and what is wrong with it."""


def _digest(path: Path, length: int) -> bytes:
    """Of the first bytes of a file."""
    digest = hashlib.blake2b(digest_size=SEAL_DIGEST)
    with path.open("rb") as file:
        while length > 0 and (piece := file.read(min(length, PIECE))):
            digest.update(piece)
            length -= len(piece)
    return digest.digest()


def _seal(path: Path) -> None:
    """Put the seal behind the footer, and have the footer's length take it in."""
    size = path.stat().st_size - TAIL
    digest = _digest(path, size)
    with path.open("r+b") as file:
        file.seek(size)
        length = int.from_bytes(file.read(4), "little")
        file.seek(size)
        file.write(SEAL + digest + (length + len(SEAL) + SEAL_DIGEST).to_bytes(4, "little") + MAGIC)


def _check_seal(path: Path) -> None:
    """ValueError if the file is not as it was written."""
    least = len(SEAL) + SEAL_DIGEST + TAIL
    size = path.stat().st_size - least
    if size < 0:
        raise ValueError("it is cut off")
    with path.open("rb") as file:
        file.seek(size)
        end = file.read(least)
    if end[-len(MAGIC) :] != MAGIC:
        raise ValueError("it is cut off, or is no trace at all")
    if end[: len(SEAL)] != SEAL:
        raise ValueError("Parquet, but no trace")
    if end[len(SEAL) : -TAIL] != _digest(path, size):
        raise ValueError("it is damaged")


class TraceWriter:
    """Writes a trace; it has its name once it is whole, and not before."""

    def __init__(self, path: Path) -> None:
        self._path, self._part = path, path.with_name(path.name + ".part")
        try:
            self._file = pq.ParquetWriter(
                self._part, SCHEMA, compression="zstd", write_page_checksum=True, write_statistics=["at"]
            )
        except OSError as e:
            raise TraceError(f"{path}: {e.strerror or e}") from e
        self._rows: list[Entry] = []
        self._latest = float("-inf")
        self.count = 0

    def add(self, entry: Entry) -> None:
        """The next request; ValueError if it is earlier than the one before."""
        if entry.at < self._latest:
            raise ValueError("entries must come in order of time")
        self._latest = entry.at
        self._rows.append(entry)
        self.count += 1
        if len(self._rows) >= GROUP:
            self._flush()

    def _flush(self) -> None:
        if not self._rows:
            return
        rows, self._rows = self._rows, []
        columns: dict[str, list[Any]] = {name: [getattr(row, name) for row in rows] for name in COLUMNS}
        for name in ("at", "took"):
            columns[name] = [round(value * 1e6) for value in columns[name]]
        arrays = [pa.array(columns[name], kind) for name, kind in COLUMNS.items()]
        self._file.write_batch(pa.record_batch(arrays, schema=SCHEMA))

    def __enter__(self) -> TraceWriter:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, value: BaseException | None, trace: TracebackType | None
    ) -> None:
        if kind is None:
            self._flush()
        self._file.close()
        if kind is None:
            _seal(self._part)
            os.replace(self._part, self._path)
        else:  # half a trace must not be taken for one
            self._part.unlink(missing_ok=True)


class Trace:
    """A trace that is there, read a group at a time."""

    def __init__(self, path: Path) -> None:
        """Open it; TraceError if it is none, is cut off, or is of another version."""
        self.path = path
        try:
            _check_seal(path)
            self._file = pq.ParquetFile(path, page_checksum_verification=True)
            told = (self._file.schema_arrow.metadata or {}).get(MARK, b"unknown")
            alike = self._file.schema_arrow.equals(SCHEMA)
            self._bounds = [self._bounds_of(n) for n in range(self._file.num_row_groups)] if alike else []
        except FileNotFoundError as e:
            raise TraceError(f"{path}: {e.strerror}") from e
        except DAMAGE as e:
            raise TraceError(f"{path}: no whole trace: {_short(e)}") from e
        if told != str(VERSION).encode():
            why = f"a trace of version {told.decode(errors='replace')}; this program reads {VERSION}"
        elif not alike:
            why = f"a trace with other columns than version {VERSION} has"
        else:
            return
        self.close()
        raise TraceError(f"{path}: {why}")

    def _bounds_of(self, group: int) -> tuple[float, float]:
        """Unix times of the first and the last request of a group."""
        told = self._file.metadata.row_group(group).column(0).statistics
        if told is None or not isinstance(told.min, int) or not isinstance(told.max, int):
            raise ValueError(f"group {group + 1} does not tell its times")
        return told.min / 1e6, told.max / 1e6

    def __len__(self) -> int:
        return int(self._file.metadata.num_rows)

    def span(self) -> tuple[float, float]:
        """Unix times of the first and the last request, from the footer alone; (0, 0) of an empty trace."""
        return (self._bounds[0][0], self._bounds[-1][1]) if self._bounds else (0.0, 0.0)

    def entries(self, since: float = float("-inf"), until: float = float("inf")) -> Iterator[Entry]:
        """Those with since <= at < until, in order; groups of other times are not read."""
        for group, (first, last) in enumerate(self._bounds):
            if last < since or first >= until:
                continue
            try:
                rows = self._file.read_row_group(group).to_pylist()
                made = [Entry(**{**row, "at": row["at"] / 1e6, "took": row["took"] / 1e6}) for row in rows]
            except DAMAGE as e:
                raise TraceError(f"{self.path}: group {group + 1} is damaged: {_short(e)}") from e
            for entry in made:
                if since <= entry.at < until:
                    yield entry

    def close(self) -> None:
        self._file.close()

    def __enter__(self) -> Trace:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


def _short(error: BaseException) -> str:
    return str(error).partition("\n")[0][:200]


def write_trace(path: Path, entries: Iterable[Entry]) -> int:
    """Write all of them, and tell how many they were."""
    with TraceWriter(path) as writer:
        for entry in entries:
            writer.add(entry)
    return writer.count
