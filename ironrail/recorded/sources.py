"""Files of lines and HAR files, packed or not, a piece at a time whatever their size."""

from __future__ import annotations

import gzip
import io
from collections.abc import Iterator
from decimal import Decimal
from pathlib import Path
from typing import IO, Any, cast

import ijson
import zstandard

from ironrail.recorded.entry import Malformed, Place, Raw
from ironrail.recorded.fields import split_target
from ironrail.recorded.formats import SECRET
from ironrail.recorded.times import LONGEST, iso_time

LONGEST_LINE = 64 * 1024  # bytes: longer ones are malformed, and passed over unread
PIECE = 256 * 1024  # bytes read at once
GZIP, ZSTD = b"\x1f\x8b", b"\x28\xb5\x2f\xfd"
Piece = tuple[Place, bytes | Malformed]
FROM_CACHE = "the browser's own cache"


class SourceError(ValueError):
    """A file that can't be read at all; the message names it."""


def open_source(path: Path) -> IO[bytes]:
    """The bytes of a file, unpacked if it is packed."""
    try:
        plain = path.open("rb")
    except OSError as e:
        raise SourceError(f"{path}: {e.strerror or e}") from e
    start = plain.read(4)
    plain.seek(0)
    if start.startswith(GZIP):
        return cast(IO[bytes], io.BufferedReader(gzip.GzipFile(fileobj=plain), PIECE))
    if start == ZSTD:
        reader = zstandard.ZstdDecompressor().stream_reader(plain, read_across_frames=True)
        return io.BufferedReader(cast(io.RawIOBase, reader), PIECE)
    return plain


def lines(path: Path) -> Iterator[Piece]:
    """Each line with its place, or why it can't be had. A packed file cut off ends with a Malformed."""
    number, offset = 0, 0
    with open_source(path) as source:
        while True:
            place = Place(str(path), number + 1, offset)
            try:
                line = source.readline(LONGEST_LINE + 1)
                whole = line.endswith(b"\n") or len(line) <= LONGEST_LINE
                length = len(line)
                while not whole:  # passed over, in pieces: guards memory against a file that is one line
                    more = source.readline(PIECE)
                    length += len(more)
                    whole = not more or more.endswith(b"\n")
            except (EOFError, OSError, zstandard.ZstdError) as e:
                yield place, Malformed(f"the packed file is broken off: {e}")
                return
            if not line:
                return
            number, offset = number + 1, offset + length
            if length > LONGEST_LINE + 1:
                yield place, Malformed(f"longer than {LONGEST_LINE} bytes")
            else:
                yield place, line.rstrip(b"\r\n")


def is_har(path: Path) -> bool:
    """By its name, or by the start of what it holds."""
    if ".har" in path.suffixes:
        return True
    with open_source(path) as source:
        try:
            start = source.read(512).lstrip(b"\xef\xbb\xbf \t\r\n")
        except (EOFError, OSError, zstandard.ZstdError):
            return False
    return start.startswith(b"{") and b'"log"' in start and b"\n{" not in start


class _Counted:
    """A source that knows how far it has been read, without a mark of byte order at its start."""

    def __init__(self, source: IO[bytes]) -> None:
        self._source, self.read_bytes = source, 0

    def read(self, size: int = -1) -> bytes:
        data = self._source.read(size)
        if not self.read_bytes and data.startswith(b"\xef\xbb\xbf"):
            data, self.read_bytes = data[3:], 3
        self.read_bytes += len(data)
        return data


def har_entries(path: Path) -> Iterator[tuple[Place, Raw | Malformed | str]]:
    """Each entry of a HAR file: a request, why it can't be read, or why it is left out.

    Bodies are read over, never kept. The place is the entry's number and, at the least, its offset.
    """
    number = 0
    with open_source(path) as source:
        counted = _Counted(source)
        entries = ijson.items(counted, "log.entries.item", buf_size=64 * 1024)
        while True:
            place = Place(str(path), number + 1, counted.read_bytes)
            try:
                entry = next(entries, None)
            except (ijson.JSONError, EOFError, OSError, zstandard.ZstdError, UnicodeDecodeError) as e:
                yield place, Malformed(f"the file is no JSON from here on: {str(e).splitlines()[0][:120]}")
                return
            if entry is None:
                return
            number += 1
            try:
                yield place, read_har_entry(entry)
            except Malformed as e:
                yield place, e


def read_har_entry(entry: Any) -> Raw | str:
    """The request of one entry, as browsers and proxies really write it; a word why it is left out."""
    request, response = _table(entry, "request"), _table(entry, "response")
    # Chromium's recorders write the bytes on the wire less those of the head: of what never left the browser
    # that is below -1, which means that nobody knows
    if entry.get("_fromCache") or _number(response.get("bodySize")) < -1:
        return FROM_CACHE
    url, method = request.get("url"), request.get("method")
    if not isinstance(url, str) or not isinstance(method, str):
        raise Malformed("no url or no method")
    if not url.startswith(("http://", "https://")):
        return "no HTTP"
    started = entry.get("startedDateTime")
    if not isinstance(started, str):
        raise Malformed("no startedDateTime")
    host, path, query = split_target(url)
    content = _table(response, "content")
    size = max(_whole(response.get("bodySize")), 0) or max(_whole(content.get("size")), 0)
    return Raw(
        iso_time(started),
        method.upper()[:32],
        path,
        query,
        host.lower(),
        min(999, max(0, _whole(response.get("status")))),
        min(LONGEST, max(0.0, _number(entry.get("time")) / 1000)),  # -1 is not known
        min(size, 2**31 - 1),
        "browser",
        dict(_headers(request)),
    )


def _table(table: Any, name: str) -> dict[str, Any]:
    if not isinstance(table, dict):
        raise Malformed("an entry that is no object")
    value = table.get(name)
    return value if isinstance(value, dict) else {}


def _headers(request: dict[str, Any]) -> Iterator[tuple[str, str]]:
    rows = request.get("headers")
    for row in rows if isinstance(rows, list) else []:
        if isinstance(row, dict) and isinstance(row.get("name"), str) and isinstance(row.get("value"), str):
            name = row["name"].lower()
            if name not in SECRET:
                yield name, row["value"]


def _number(value: Any) -> float:
    return float(value) if isinstance(value, (int, float, Decimal)) and not isinstance(value, bool) else 0.0


def _whole(value: Any) -> int:
    number = _number(value)
    return int(number) if abs(number) < 2**53 else 0
