"""A store whose disk fails as the switch has it. The store itself is the daemon's."""

from __future__ import annotations

import errno
import os
import random
import resource
import time
from collections.abc import Callable

from ironrail.net.peers.record_store import RecordStore
from ironrail.rehearsal.links.switch import Slot, Switch


def _refuse(number: int) -> OSError:
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
        """`pause`: how a slow disk holds up who uses it, for so many seconds."""
        self._store, self._switch, self._draws, self._pause = store, switch, draws, pause

    def write(self, name: str, data: bytes) -> None:
        self._trouble()
        if self._switch[Slot.DISK_READ_ONLY]:
            raise _refuse(errno.EROFS)
        if self._switch[Slot.DISK_FULL]:
            self._write_half(name, data)
            raise _refuse(errno.ENOSPC)
        self._store.write(name, data)

    def read(self, name: str) -> bytes | None:
        self._trouble()
        return self._store.read(name)

    def _trouble(self) -> None:
        if slow := self._switch[Slot.DISK_SLOW]:
            self._pause(slow)
        if self._draws.random() < self._switch[Slot.DISK_FAILING]:
            raise _refuse(errno.EIO)

    def _write_half(self, name: str, data: bytes) -> None:
        """The system takes half of each file: what the store leaves then is what a full disk leaves."""
        before, most = resource.getrlimit(resource.RLIMIT_FSIZE)
        resource.setrlimit(resource.RLIMIT_FSIZE, (len(data) // 2, most))
        try:
            self._store.write(name, data)
        except OSError as e:
            if e.errno != errno.EFBIG:
                raise
        finally:
            resource.setrlimit(resource.RLIMIT_FSIZE, (before, most))
