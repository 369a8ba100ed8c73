"""A voter's disk in virtual time: what is kept outlives the process, and takes a while or fails."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from ironrail.net.peers.policies import RECORD_NAME
from ironrail.net.peers.record_store import RecordStore
from ironrail.rehearsal.links.disk import FaultyStore
from ironrail.rehearsal.links.switch import Slot, Switch

SYNC = 0.005  # seconds of a write that is synced


class MemoryDisk:
    """A store without files."""

    def __init__(self) -> None:
        self._kept: dict[str, bytes] = {}

    def write(self, name: str, data: bytes) -> None:
        self._kept[name] = data

    def read(self, name: str) -> bytes | None:
        return self._kept.get(name)


class _Faulty(FaultyStore):
    def _write_half(self, name: str, data: bytes) -> None:
        """The store on a disk that is full leaves the record as it was."""


def faulty(disk: MemoryDisk, switch: Switch, draws: random.Random) -> FaultyStore:
    """The disk as the switch has it; how slow it is, the keeper sees to."""
    return _Faulty(disk, switch, draws, lambda seconds: None)


class VirtualKeeper:
    """In place of `net.peers.record_store.RecordWriter`, which has a thread: one record after another."""

    def __init__(
        self, store: RecordStore, switch: Switch, done: Callable[[int, OSError | None], None]
    ) -> None:
        self._store, self._switch, self._done = store, switch, done
        self._loop = asyncio.get_running_loop()
        self._free_at = 0.0

    def enqueue(self, token: int, record: bytes) -> None:
        """In order, one at a time."""
        now = self._loop.time()
        self._free_at = max(now, self._free_at) + SYNC + self._switch[Slot.DISK_SLOW]
        self._loop.call_later(self._free_at - now, self._write, token, record)

    def _write(self, token: int, record: bytes) -> None:
        failed: OSError | None = None
        try:
            self._store.write(RECORD_NAME, record)
        except OSError as e:
            failed = e
        self._done(token, failed)

    def stop(self) -> None:
        """Nothing is held."""
