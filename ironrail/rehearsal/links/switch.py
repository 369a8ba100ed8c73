"""Sets clock drift and disk faults of a running router process from outside.

The settings are a few numbers in memory mapped by both processes: the router needs no signal, socket or
thread for them, and a restarted process finds the current values.
"""

from __future__ import annotations

import mmap
import struct
from collections.abc import Callable
from enum import IntEnum
from pathlib import Path
from typing import Any

from ironrail.net.system import System

SLOT_FORMAT = struct.Struct("=d")


class Slot(IntEnum):
    """Index of a setting; 0 means no fault."""

    CLOCK = 0  # drift in seconds per second
    DISK_FULL = 1
    DISK_READ_ONLY = 2
    DISK_FAILING = 3  # share of reads and writes
    DISK_SLOW = 4  # seconds added to each read and write


MEMORY_BYTES = SLOT_FORMAT.size * len(Slot)


class Switch:
    """The settings of one router. In virtual time a `bytearray` holds them."""

    def __init__(self, memory: Any = None) -> None:
        self._memory = memory if memory is not None else bytearray(MEMORY_BYTES)

    @classmethod
    def at(cls, path: Path) -> Switch:
        """Maps the settings of a file, which is created if missing; raises OSError if that fails."""
        with path.open("a+b") as file:
            file.truncate(MEMORY_BYTES)
            # Aligned 8-byte values are read and written atomically.
            return cls(mmap.mmap(file.fileno(), MEMORY_BYTES))

    def close(self) -> None:
        """Unmaps the file."""
        if isinstance(self._memory, mmap.mmap):
            self._memory.close()

    def __getitem__(self, slot: Slot) -> float:
        number: float = SLOT_FORMAT.unpack_from(self._memory, slot * SLOT_FORMAT.size)[0]
        return number

    def __setitem__(self, slot: Slot, value: float) -> None:
        SLOT_FORMAT.pack_into(self._memory, slot * SLOT_FORMAT.size, value)


class DriftingClock:
    """A clock that drifts as the switch says and never goes back."""

    def __init__(self, clock: Callable[[], float], switch: Switch) -> None:
        self._clock, self._switch = clock, switch
        self._last_true = self._last_shown = clock()
        self._drift = 0.0

    def __call__(self) -> float:
        true = self._clock()
        shown = self._last_shown + (true - self._last_true) * (1.0 + self._drift)
        drift = self._switch[Slot.CLOCK]
        if drift != self._drift:  # a new drift counts from this reading on
            self._last_true, self._last_shown, self._drift = true, shown, drift
        return shown


class DriftingSystem:
    """A system whose clocks drift. Timers don't: the daemon's event loop has a clock of its own."""

    def __init__(self, system: System, switch: Switch) -> None:
        self.now: Callable[[], float] = DriftingClock(system.now, switch)
        self.wall: Callable[[], float] = DriftingClock(system.wall, switch)
        self.listen, self.is_served, self.unread_check = system.listen, system.is_served, system.unread_check
        self.has_hung_up, self.on_signal = system.has_hung_up, system.on_signal
        self.unsent_bytes = system.unsent_bytes
        self.run_pending_signals = system.run_pending_signals
        self.round_trip, self.startup_complete = system.round_trip, system.startup_complete
