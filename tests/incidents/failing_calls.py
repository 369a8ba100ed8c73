"""A router process whose system calls fail on demand, with one cache and clients that expect answers."""

from __future__ import annotations

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Self

from ironrail.rehearsal.syscalls.control import SyscallFaults
from tests.net.lifecycle.test_process import free_port, start
from tests.peers import LOCAL, Client, Message, Peer, connect

VALUE = b"v" * 20
CLIENT_GRACE_SECONDS = 0.06  # time after its deadline at which a client disconnects


class FailingRouter:
    """One router process under the shim, one cache, and its first client."""

    faults: SyscallFaults
    cache: Peer
    port: int
    process: asyncio.subprocess.Process
    client: Client

    async def start(self, folder: Path, **changes: Any) -> Self:
        self.faults = SyscallFaults(folder / "faults")
        self.cache = await Peer().start()
        self.port = free_port()
        environment = self.faults.environment()
        os.environ.update(environment)
        try:
            self.process, self.client = await start(folder / "config.json", self.port, self.cache, **changes)
        finally:
            for name in environment:
                del os.environ[name]
        return self

    async def connect(self) -> Client:
        return await connect((LOCAL, self.port))

    async def stop(self) -> None:
        """Kill the process, if it still runs."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def log(self) -> list[str]:
        """Return all log lines; call it after the end of the process."""
        assert self.process.stderr is not None
        return (await self.process.stderr.read()).decode().splitlines()

    async def request(self, client: Client, name: str) -> Message:
        """Send a request and return what reaches the cache."""
        client.get(name)
        return await self.cache.next()

    @asynccontextmanager
    async def answering(self, delay: float = 0.0) -> AsyncIterator[None]:
        """Have the cache answer each request after a delay."""
        task = asyncio.create_task(self._answer(delay))
        try:
            yield
        finally:
            task.cancel()

    async def _answer(self, delay: float) -> None:
        loop = asyncio.get_running_loop()
        while True:
            message = await self.cache.next()
            loop.call_later(delay, message.reply_value, VALUE)


@asynccontextmanager
async def failing_router(folder: Path, **changes: Any) -> AsyncIterator[FailingRouter]:
    router = await FailingRouter().start(folder, **changes)
    try:
        yield router
    finally:
        await router.stop()
