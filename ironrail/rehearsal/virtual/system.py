"""The system calls of a daemon in virtual time."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

from ironrail.rehearsal.virtual.loop import LOOP_START_SECONDS, VirtualLoop
from ironrail.rehearsal.virtual.network import Network
from ironrail.rehearsal.virtual.socket import Listener

SIMULATION_START_UNIX_SECONDS = 1_700_000_000.0  # wall clock at the start of a run


class VirtualSystem:
    """Implements the `System` interface of `net/system.py` on the simulated network and clock."""

    def __init__(self, loop: VirtualLoop, network: Network) -> None:
        self.now: Callable[[], float] = loop.time
        self.wall: Callable[[], float] = lambda: (
            SIMULATION_START_UNIX_SECONDS + loop.time() - LOOP_START_SECONDS
        )
        self._loop, self._network = loop, network

    def listen(self, address: tuple[str, int], backlog: int) -> Listener:
        return self._network.listen(address, backlog)

    def is_served(self, address: tuple[str, int]) -> bool:
        return self._network.is_listening(address)

    def unread_check(self, transport: asyncio.Transport) -> Callable[[], bool]:
        waiting: Callable[[], bool] = transport.get_extra_info("socket").waiting
        return waiting

    def unsent_bytes(self, transport: asyncio.Transport) -> int:
        """Bytes that were written and have not arrived."""
        unsent: int = transport.get_extra_info("socket").unsent()
        return unsent

    def has_hung_up(self, transport: asyncio.Transport) -> bool:
        return bool(transport.get_extra_info("socket").hung_up())

    def round_trip(self, transport: asyncio.Transport) -> float | None:
        return self._network.round_trip(transport.get_extra_info("socket"))

    def on_signal(self, number: signal.Signals, callback: Callable[[], object]) -> None:
        self._loop.add_signal_handler(number, callback)

    def run_pending_signals(self) -> None:
        """Does nothing: a simulated system loses no signal."""

    def startup_complete(self) -> None:
        """Does nothing: a simulated system has no startup memory to release."""
