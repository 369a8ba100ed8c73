"""Wraps the daemon's record store with disk faults set by a switch."""

from __future__ import annotations

import errno
import os
import random
import resource
import time
from collections.abc import Callable

from ironrail.net.peers.record_store import RecordStore
from ironrail.rehearsal.links.switch import Slot, Switch


def _os_error(number: int) -> OSError:
    return OSError(number, os.strerror(number))


class FaultyStore:
    """A store on a disk that may be full, read-only, failing or slow."""

    def __init__(
        self,
        store: RecordStore,
        switch: Switch,
        draws: random.Random,
        pause: Callable[[float], None] = time.sleep,
    ) -> None:
        """Wraps `store`; `pause` blocks for the given seconds while the disk is slow."""
        self._store, self._switch, self._draws, self._pause = store, switch, draws, pause

    def write(self, name: str, data: bytes) -> None:
        self._delay_or_fail()
        if self._switch[Slot.DISK_READ_ONLY]:
            raise _os_error(errno.EROFS)
        if self._switch[Slot.DISK_FULL]:
            self._write_half(name, data)
            raise _os_error(errno.ENOSPC)
        self._store.write(name, data)

    def read(self, name: str) -> bytes | None:
        self._delay_or_fail()
        return self._store.read(name)

    def _delay_or_fail(self) -> None:
        if slow := self._switch[Slot.DISK_SLOW]:
            self._pause(slow)
        if self._draws.random() < self._switch[Slot.DISK_FAILING]:
            raise _os_error(errno.EIO)

    def _write_half(self, name: str, data: bytes) -> None:
        """Limits files to half of the data, so that the store leaves what it would on a full disk."""
        before, hard_limit = resource.getrlimit(resource.RLIMIT_FSIZE)
        resource.setrlimit(resource.RLIMIT_FSIZE, (len(data) // 2, hard_limit))
        try:
            self._store.write(name, data)
        except OSError as e:
            if e.errno != errno.EFBIG:
                raise
        finally:
            resource.setrlimit(resource.RLIMIT_FSIZE, (before, hard_limit))
