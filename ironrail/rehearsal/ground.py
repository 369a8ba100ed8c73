"""What a rehearsal stands on: real processes and sockets, or a world in virtual time."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import signal
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, Protocol

from ironrail.rehearsal.account.record import RouterFacts
from ironrail.rehearsal.routers import Exit, RouterProcess
from ironrail.rehearsal.standins.listening_port import OpenPort, SocketListeningPort

READY_PATIENCE = 15.0  # seconds from its start until it answers `mn` with `MN`
YES_PATIENCE = 6.0  # seconds from its start until a process that is to take over says yes
READY_PAUSE = 0.02
READY_CALL = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
# second bytes of the loopback addresses that are used: 127.63.x.y by stand-ins, from 127.64.x.y on by routers
STAND_INS_NETWORK = 63
FIRST_ROUTER_NETWORK = 64


class Router(Protocol):
    """A router under rehearsal, which may be started again under its name and address."""

    name: str
    facts: RouterFacts
    address: tuple[str, int]
    door: tuple[str, int]  # for operators

    @property
    def running(self) -> bool: ...

    @property
    def log(self) -> bytes: ...

    async def start(self) -> None: ...

    def configure(self, **fields: str) -> None: ...

    def signal(self, number: signal.Signals, asked: bool = True) -> None: ...

    async def ended(self) -> None: ...

    async def kill(self) -> None: ...

    def sample(self) -> tuple[int, int] | None: ...


OnExit = Callable[[Any, Exit], None]


class Ground(Protocol):
    """All that differs between the two."""

    wall: Callable[[], float]

    @property
    def listen(self) -> OpenPort:
        """How stand-ins listen."""

    def address_of(self, number: int) -> str:
        """Where a router listens."""

    def make_router(
        self, name: str, config: dict[str, Any], folder: Path, facts: RouterFacts, on_exit: OnExit
    ) -> Router:
        """A router that is not started yet."""

    def settled(self) -> None:
        """All is up, the load begins."""

    def digest(self) -> str:
        """Names the events of the run, where they can be named."""


def _own_address(network: int) -> str:
    """A loopback address of this process alone, so that runs beside each other never share a port.

    A stand-in that is down releases its port; no other run must be given it, as routers of this one go on
    connecting to it.
    """
    pid = os.getpid()
    return f"127.{network}.{(pid >> 8) & 255}.{pid & 255}"


class RealGround:
    """The machine."""

    wall = staticmethod(time.time)

    @property
    def listen(self) -> OpenPort:
        return partial(SocketListeningPort, host=_own_address(STAND_INS_NETWORK))

    def __init__(self, command: tuple[str, ...]) -> None:
        self._command = command

    def address_of(self, number: int) -> str:
        return _own_address(FIRST_ROUTER_NETWORK + number)

    def make_router(
        self, name: str, config: dict[str, Any], folder: Path, facts: RouterFacts, on_exit: OnExit
    ) -> RouterProcess:
        return RouterProcess(name, self._command, config, folder, facts, on_exit)

    def settled(self) -> None:
        gc.collect()
        gc.freeze()  # what is here stays: looking through it again and again would make the kit late

    def digest(self) -> str:
        return ""


async def ready(router: Router) -> bool:
    """Whether a router that was started answers in time that it serves."""
    served = await _says(router, router.address, b"mn\r\n", b"MN\r\n", READY_PATIENCE)
    router.facts.ready = router.facts.ready or served
    return served


async def says_yes(router: Router) -> bool:
    """Whether a process that is to take over says in time that it is ready."""
    return await _says(router, router.door, READY_CALL, b"HTTP/1.1 200 ", YES_PATIENCE)


async def takes_signals(router: Router) -> bool:
    """Whether a process that was started says anything at its door in time, be it that it isn't ready."""
    return await _says(router, router.door, READY_CALL, b"HTTP/1.1 ", READY_PATIENCE)


async def _says(
    router: Router, address: tuple[str, int], question: bytes, answer: bytes, patience: float
) -> bool:
    """Whether it answers so within so many seconds, asked again and again while it runs."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(patience):
            while router.running:
                if await _asked(address, question, answer):
                    return True
                await asyncio.sleep(READY_PAUSE)
    return False


async def _asked(address: tuple[str, int], question: bytes, answer: bytes) -> bool:
    """Whether who listens there answers with a line that begins so."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    try:
        writer.write(question)
        return (await reader.readline()).startswith(answer)
    except OSError:
        return False
    finally:
        writer.transport.abort()
