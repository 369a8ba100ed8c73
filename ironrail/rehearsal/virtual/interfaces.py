"""Interfaces between the modules of the simulation, which avoid circular imports."""

from __future__ import annotations

import contextvars
import signal
from collections.abc import Callable
from typing import Any, Protocol

Address = tuple[str, int]


class Descriptor(Protocol):
    """An open descriptor of a process, such as a socket."""

    @property
    def inbox(self) -> bytes | bytearray:
        """Received bytes that the process has not read."""

    def unsent(self) -> int:
        """Bytes in transit or still buffered by the owner."""

    def close(self) -> None:
        """Close the descriptor."""


class ProcessInterface(Protocol):
    """A process, as seen by the loop, the network and the log handler."""

    name: str
    alive: bool
    frozen: bool
    backlog: list[Any]
    handlers: dict[signal.Signals, Callable[[], None]]
    context: contextvars.Context
    extra_descriptors: int  # of files
    peak_descriptors: int

    def now(self) -> float:
        """Seconds on the loop's clock."""

    def descriptors(self) -> int:
        """The number of open descriptors."""

    def write_log(self, text: str) -> None:
        """Append to the log; only its end is kept."""

    def opened(self, socket: Descriptor) -> None:
        """Register an opened descriptor."""

    def closed(self, socket: Descriptor) -> None:
        """Unregister a closed descriptor."""

    def end(self, code: int) -> None:
        """End the process with an exit code."""


class ConnectionNetwork(Protocol):
    """The stream network, as used by the event loop."""

    async def connect(self, factory: Any, address: Any, local: Any = None) -> tuple[Any, Any]:
        """Connect to `address` from `local`; raises OSError if no listener accepts."""

    def adopt(self, factory: Any, socket: Any) -> tuple[Any, Any]:
        """The transport and protocol of an accepted connection."""


class DatagramNetwork(Protocol):
    """The datagram network, as used by the event loop."""

    def open(self, factory: Any, address: Any) -> tuple[Any, Any]:
        """An endpoint and its protocol; raises OSError if the address is in use."""
