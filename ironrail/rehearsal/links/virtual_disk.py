"""A voter's disk in virtual time: data outlives the process; writes take time and may fail."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from ironrail.net.peers.policies import RECORD_NAME
from ironrail.net.peers.record_store import RecordStore
from ironrail.rehearsal.links.disk import FaultyStore
from ironrail.rehearsal.links.switch import Slot, Switch

SYNC_SECONDS = 0.005  # duration of a synced write


class MemoryDisk:
    """A record store in memory."""

    def __init__(self) -> None:
        self._kept: dict[str, bytes] = {}

    def write(self, name: str, data: bytes) -> None:
        self._kept[name] = data

    def read(self, name: str) -> bytes | None:
        return self._kept.get(name)


class _FaultyMemoryStore(FaultyStore):
    def _write_half(self, name: str, data: bytes) -> None:
        """Writes nothing: on a full disk the real store leaves the previous record in place."""


def make_faulty_store(disk: MemoryDisk, switch: Switch, draws: random.Random) -> FaultyStore:
    """Returns a store that fails as the switch says; `VirtualRecordWriter` adds the delay of a slow disk."""
    return _FaultyMemoryStore(disk, switch, draws, lambda seconds: None)


class VirtualRecordWriter:
    """Replaces `net.peers.record_store.RecordWriter` without a thread: writes one record after another."""

    def __init__(
        self, store: RecordStore, switch: Switch, done: Callable[[int, OSError | None], None]
    ) -> None:
        self._store, self._switch, self._done = store, switch, done
        self._loop = asyncio.get_running_loop()
        self._free_at = 0.0

    def enqueue(self, token: int, record: bytes) -> None:
        """Schedules the write of a record after all earlier ones."""
        now = self._loop.time()
        self._free_at = max(now, self._free_at) + SYNC_SECONDS + self._switch[Slot.DISK_SLOW]
        self._loop.call_later(self._free_at - now, self._write, token, record)

    def _write(self, token: int, record: bytes) -> None:
        failed: OSError | None = None
        try:
            self._store.write(RECORD_NAME, record)
        except OSError as e:
            failed = e
        self._done(token, failed)

    def stop(self) -> None:
        """Does nothing: there is no thread to stop."""
