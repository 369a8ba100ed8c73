"""What a router's process is told from outside while it runs: how fast its clock goes, how its disk fails.

A few numbers in memory that both processes have mapped: no signal, no socket, no thread in the router, and a
process that was started again finds them as they stand.
"""

from __future__ import annotations

import mmap
import struct
from collections.abc import Callable
from enum import IntEnum
from pathlib import Path
from typing import Any

from ironrail.net.system import System

NUMBER = struct.Struct("=d")


class Slot(IntEnum):
    """A number; 0 is as usual."""

    CLOCK = 0  # seconds more each second
    DISK_FULL = 1
    DISK_READ_ONLY = 2
    DISK_FAILING = 3  # share of reads and writes
    DISK_SLOW = 4  # seconds of each


SIZE = NUMBER.size * len(Slot)


class Switch:
    """The numbers. In virtual time a `bytearray` holds them."""

    def __init__(self, memory: Any = None) -> None:
        self._memory = memory if memory is not None else bytearray(SIZE)

    @classmethod
    def at(cls, path: Path) -> Switch:
        """Those of a file, which is made if it is not there. OSError if it can't be."""
        with path.open("a+b") as file:
            file.truncate(SIZE)
            return cls(mmap.mmap(file.fileno(), SIZE))  # eight bytes on their boundary: read whole or not

    def close(self) -> None:
        """Leave no descriptor of the file."""
        if isinstance(self._memory, mmap.mmap):
            self._memory.close()

    def __getitem__(self, slot: Slot) -> float:
        number: float = NUMBER.unpack_from(self._memory, slot * NUMBER.size)[0]
        return number

    def __setitem__(self, slot: Slot, value: float) -> None:
        NUMBER.pack_into(self._memory, slot * NUMBER.size, value)


class Pace:
    """A clock that goes as fast as the switch has it, and never back."""

    def __init__(self, clock: Callable[[], float], switch: Switch) -> None:
        self._clock, self._switch = clock, switch
        self._from = self._shown = clock()
        self._more = 0.0

    def __call__(self) -> float:
        true = self._clock()
        shown = self._shown + (true - self._from) * (1.0 + self._more)
        more = self._switch[Slot.CLOCK]
        if more != self._more:  # from this look on
            self._from, self._shown, self._more = true, shown, more
        return shown


class Drifting:
    """A system whose clocks drift. Timers keep the true pace: a daemon's loop has a clock of its own."""

    def __init__(self, system: System, switch: Switch) -> None:
        self.now: Callable[[], float] = Pace(system.now, switch)
        self.wall: Callable[[], float] = Pace(system.wall, switch)
        self.listen, self.is_served, self.unread_check = system.listen, system.is_served, system.unread_check
        self.has_hung_up = system.has_hung_up
        self.round_trip, self.startup_complete = system.round_trip, system.startup_complete
