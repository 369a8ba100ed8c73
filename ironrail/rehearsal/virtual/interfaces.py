"""What the parts of the virtual world know of each other, so that none has to import one above it."""

from __future__ import annotations

import contextvars
import signal
from collections.abc import Callable
from typing import Any, Protocol

Address = tuple[str, int]


class Held(Protocol):
    """What a process has open."""

    @property
    def inbox(self) -> bytes | bytearray:
        """Bytes that have come and that it has not read."""

    def unsent(self) -> int:
        """Bytes under way, or held by its user."""

    def close(self) -> None:
        """Give it up."""


class Owner(Protocol):
    """A process, to those who run what is its own, open things for it or hear what it says."""

    name: str
    alive: bool
    frozen: bool
    backlog: list[Any]
    handlers: dict[signal.Signals, Callable[[], None]]
    context: contextvars.Context
    extra_descriptors: int  # of files
    most_descriptors: int

    def now(self) -> float:
        """Seconds on the loop's clock."""

    def descriptors(self) -> int:
        """How many it has open."""

    def write_log(self, text: str) -> None:
        """Of a log without bound its end is kept."""

    def opened(self, socket: Held) -> None:
        """It holds one more descriptor."""

    def closed(self, socket: Held) -> None:
        """It holds it no more."""

    def end(self, code: int) -> None:
        """It is over."""


class Connects(Protocol):
    """A network, to the loop that its connections are asked of."""

    async def connect(self, factory: Any, address: Any, local: Any = None) -> tuple[Any, Any]:
        """A transport and its protocol, from the address `local`; OSError if nobody listens there."""

    def adopt(self, factory: Any, socket: Any) -> tuple[Any, Any]:
        """The same for a connection that was accepted."""


class Posts(Protocol):
    """All datagrams of a world, to the loop that their endpoints are asked of."""

    def open(self, factory: Any, address: Any) -> tuple[Any, Any]:
        """An endpoint and its protocol; OSError where another has the address."""
