"""Persistent storage of small records: each is written and synced as a whole, or not at all."""

from __future__ import annotations

import asyncio
import contextlib
import os
import zlib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Protocol

from ironrail.errors import InputError

MAGIC = b"ironrail-record-1\n"
MAX_RECORD_BYTES = 64 * 1024  # a voter's record is a policy document and a few numbers


class RecordError(InputError):
    """A stored record that can't be read: truncated, corrupt, foreign, or of another version."""

    advice = (
        "move the file away and start again:"
        " a voter without a record asks the others where things stand"
    )


class RecordStore(Protocol):
    """Stores one record per name."""

    def write(self, name: str, data: bytes) -> None:
        """Replace the record and sync it to disk.

        Raises:
            OSError: The record could not be written.
        """

    def read(self, name: str) -> bytes | None:
        """Return the record last written, None if there is none.

        Raises:
            OSError: The record could not be read.
            RecordError: The record is corrupt.
        """


class FolderStore:
    """Stores records as files.

    A record is replaced by a rename, so that a crash leaves either the old one or the new one.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def write(self, name: str, data: bytes) -> None:
        """Implement `RecordStore.write`.

        The checksum before the data detects a file that the disk truncated or corrupted all the
        same.
        """
        temporary = self._folder / f"{name}.half"
        try:
            with temporary.open("wb") as file:
                file.write(MAGIC + zlib.crc32(data).to_bytes(4, "big") + data)
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self._folder / name)
        except OSError:
            with contextlib.suppress(OSError):
                temporary.unlink()
            raise
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)  # persists the rename itself
        finally:
            os.close(folder)

    def read(self, name: str) -> bytes | None:
        """Implement `RecordStore.read`."""
        path = self._folder / name
        try:
            with path.open("rb") as file:
                content = file.read(MAX_RECORD_BYTES + 1)
        except FileNotFoundError:
            return None
        data = content[len(MAGIC) + 4 :]
        if len(content) > MAX_RECORD_BYTES or not content.startswith(MAGIC):
            raise RecordError("is not a record of this version", str(path))
        if zlib.crc32(data).to_bytes(4, "big") != content[len(MAGIC) : len(MAGIC) + 4]:
            raise RecordError("is truncated or corrupt", str(path))
        return data


class RecordWriter:
    """Writes one record after another in a thread, as a disk may block for seconds."""

    def __init__(
        self, store: RecordStore, name: str, on_written: Callable[[int, OSError | None], None]
    ) -> None:
        """Start the thread; call from a running event loop.

        Args:
            store: Where records are written.
            name: The record's name.
            on_written: Called on the event loop with the token of a record and the error, if any.
        """
        self._store, self._name, self._on_written = store, name, on_written
        self._loop = asyncio.get_running_loop()
        self._executor = ThreadPoolExecutor(1, "keeper")
        self._busy = False
        self._next: tuple[int, bytes] | None = None  # waits until another one is written

    def enqueue(self, token: int, record: bytes) -> None:
        """Write a record, one at a time and in order.

        Of the records that wait only the last is written, as it supersedes the others.
        """
        if self._busy:
            self._next = token, record
        else:
            self._busy = True
            self._executor.submit(self._write, token, record)

    def _complete(self, token: int, error: OSError | None) -> None:
        self._busy = False
        if self._next is not None:
            waiting, self._next = self._next, None
            self.enqueue(*waiting)
        self._on_written(token, error)

    def _write(self, token: int, record: bytes) -> None:
        error: OSError | None = None
        try:
            self._store.write(self._name, record)
        except OSError as e:
            error = e
        with contextlib.suppress(RuntimeError):  # the loop has ended
            self._loop.call_soon_threadsafe(self._complete, token, error)

    def stop(self) -> None:
        """Stop the thread; records that wait are not written."""
        self._executor.shutdown(wait=False, cancel_futures=True)
