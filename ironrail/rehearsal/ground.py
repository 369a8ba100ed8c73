"""The environment of a rehearsal: real processes and sockets, or a simulation in virtual time."""

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

READY_TIMEOUT_SECONDS = 15.0  # from a start until the router answers `mn` with `MN`
TAKEOVER_TIMEOUT_SECONDS = 6.0  # from the start of a replacement until it reports ready
READY_POLL_SECONDS = 0.02
READY_REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
# Second byte of the loopback addresses: stand-ins use 127.63.x.y, routers 127.64.x.y and above.
STAND_INS_NETWORK = 63
FIRST_ROUTER_NETWORK = 64


class Router(Protocol):
    """A router under test, which may be started again under its name and address."""

    name: str
    facts: RouterFacts
    address: tuple[str, int]
    admin_endpoint: tuple[str, int]

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
    """What differs between real processes and virtual time."""

    wall: Callable[[], float]

    @property
    def listen(self) -> OpenPort:
        """Return the function by which stand-ins listen."""

    def address_of(self, number: int) -> str:
        """Return the host at which a router listens, by the router's number."""

    def make_router(
        self, name: str, config: dict[str, Any], folder: Path, facts: RouterFacts, on_exit: OnExit
    ) -> Router:
        """Create a router without starting it."""

    def settled(self) -> None:
        """Called once everything is started and before the load begins."""

    def digest(self) -> str:
        """Return a digest of the run's events, empty where they are not reproducible."""


def _own_address(network: int) -> str:
    """Return a loopback address that only this process uses, so that parallel runs share no port.

    A stand-in that is down releases its port, while routers of this run go on connecting to it: no other run
    may get it.
    """
    pid = os.getpid()
    return f"127.{network}.{(pid >> 8) & 255}.{pid & 255}"


class RealGround:
    """Real processes and sockets on this machine."""

    wall = staticmethod(time.time)

    @property
    def listen(self) -> OpenPort:
        return partial(SocketListeningPort, host=_own_address(STAND_INS_NETWORK))

    def __init__(
        self,
        command: tuple[str, ...],
        environment_of: Callable[[str, Path], dict[str, str]] = lambda name, folder: {},
    ) -> None:
        """Create the environment.

        Args:
            command: The command that starts a router.
            environment_of: Returns further variables of a router, by its name and the folder of the run.
        """
        self._command, self._environment_of = command, environment_of

    def address_of(self, number: int) -> str:
        return _own_address(FIRST_ROUTER_NETWORK + number)

    def make_router(
        self, name: str, config: dict[str, Any], folder: Path, facts: RouterFacts, on_exit: OnExit
    ) -> RouterProcess:
        environment = self._environment_of(name, folder)
        return RouterProcess(name, self._command, config, folder, facts, on_exit, environment)

    def settled(self) -> None:
        gc.collect()
        gc.freeze()  # later collections skip these long-lived objects, which would make the kit late

    def digest(self) -> str:
        return ""


async def ready(router: Router) -> bool:
    """Wait until a started router serves clients; return whether it did so in time."""
    served = await _answers_in_time(router, router.address, b"mn\r\n", b"MN\r\n", READY_TIMEOUT_SECONDS)
    router.facts.ready = router.facts.ready or served
    return served


async def is_ready_to_take_over(router: Router) -> bool:
    """Wait until a replacement process reports ready; return whether it did so in time."""
    return await _answers_in_time(
        router, router.admin_endpoint, READY_REQUEST, b"HTTP/1.1 200 ", TAKEOVER_TIMEOUT_SECONDS
    )


async def handles_signals(router: Router) -> bool:
    """Wait until a process answers at its admin endpoint, ready or not; return whether it did in time.

    A process that answers has installed its signal handlers.
    """
    return await _answers_in_time(
        router, router.admin_endpoint, READY_REQUEST, b"HTTP/1.1 ", READY_TIMEOUT_SECONDS
    )


async def _answers_in_time(
    router: Router, address: tuple[str, int], question: bytes, answer: bytes, patience: float
) -> bool:
    """Poll a running router until it gives the expected answer; False after `patience` seconds."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(patience):
            while router.running:
                if await _answers_once(address, question, answer):
                    return True
                await asyncio.sleep(READY_POLL_SECONDS)
    return False


async def _answers_once(address: tuple[str, int], question: bytes, answer: bytes) -> bool:
    """Send a question to an address; return whether the first line of the reply starts with `answer`."""
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
