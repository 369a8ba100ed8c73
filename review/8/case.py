"""Clients send hundreds of writes at once, each with a value that the protocol allows."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness2 as kit

MEMORY_MB = 192  # the largest limit that the pages name
SOCKETS = 1024
BAD_CLIENTS = 64
COMMANDS = 200  # of each of them, at once
VALUE_BYTES = 60_000  # values hold at most 64 KiB
USUAL_CLIENTS = 4
QUIET_SECONDS = 2.0  # before the writers come
PLAY_SECONDS = 15.0
MIN_USUAL_SERVED = 20  # for a verdict


class Crowd:
    """A crowd of writers beside a few usual readers, and the platform that watches the memory."""

    def __init__(self, stage: kit.Stage, router: kit.Router) -> None:
        self.breaks: list[str] = []
        self.most_bytes = 0
        self.usual_served = 0
        self._record = stage.record
        self._router = router
        self._loop = asyncio.get_running_loop()
        self._ends_at = self._loop.time() + PLAY_SECONDS

    async def play(self) -> None:
        """Play all of them until the end."""
        readers = [asyncio.create_task(self._read_as_usual(n)) for n in range(USUAL_CLIENTS)]
        platform = asyncio.create_task(self._watch_memory())
        await asyncio.sleep(QUIET_SECONDS)
        writers = [asyncio.create_task(self._write_many(n)) for n in range(BAD_CLIENTS)]
        await asyncio.gather(platform, *(self._in_time(one) for one in [*readers, *writers]))

    async def _in_time(self, work: asyncio.Task[None]) -> None:
        with contextlib.suppress(kit.NotWholeError, OSError, TimeoutError):
            async with asyncio.timeout_at(self._ends_at + 2.0):
                await work

    async def _watch_memory(self) -> None:
        """Kill the router when it holds more memory than its limit, as the platform does."""
        while self._loop.time() < self._ends_at:
            self.most_bytes = max(self.most_bytes, self._router.private_bytes())
            if self.most_bytes > MEMORY_MB * 2**20:
                self._router.signal(signal.SIGKILL)
                self.breaks.append(f"killed with {self.most_bytes >> 20} MiB of {MEMORY_MB}")
                return
            await asyncio.sleep(0.01)

    async def _write_many(self, number: int) -> None:
        client = kit.Client(self._record)
        await client.connect(self._router.port)
        if kit.trouble():  # all at once, else each after the answer to the one before
            for count in range(COMMANDS):
                self._write(client, number, count)
        for count in range(COMMANDS):
            if not kit.trouble():
                self._write(client, number, count)
            kind, named, _ = await client.read_answer()
            self._record.add("answered", client=number, kind=kind, request=named)
            if self._loop.time() > self._ends_at:
                break
        client.close()

    def _write(self, client: kit.Client, number: int, count: int) -> None:
        request = client.new_id()
        self._record.add("sent", request=request, client=number)
        key, value = f"entry:{number}-{count}", b"e" * VALUE_BYTES
        client.writer.write(client.command(key, request, "prize-entry", 3000, value))

    async def _read_as_usual(self, number: int) -> None:
        client = kit.Client(self._record)
        await client.connect(self._router.port)
        count = 0
        while self._loop.time() < self._ends_at:
            count += 1
            key, request = f"page:{number}-{count % 50}", client.new_id()
            self._record.add("sent", request=request, client=f"usual-{number}")
            client.writer.write(client.command(key, request, "grid-read", 850))
            try:
                kind, _, _ = await client.read_answer()
            except kit.NotWholeError:
                self.breaks.append(f"request {request} of a usual client was never answered")
                return
            self._record.add("answered", request=request, kind=kind)
            self.usual_served += kind == "VA"
            await asyncio.sleep(0.05)
        client.close()


async def play(stage: kit.Stage) -> list[str]:
    """Play the crowd; return what the platform and the usual clients saw."""
    stage.origin.seconds = 0.05
    router = stage.new_router()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    known = stage.agent.document()
    await router.start(stage.agent.port, kit.make_settings(), known=known, limits=limits)
    crowd = Crowd(stage, router)
    await crowd.play()
    most = crowd.most_bytes >> 20
    stage.record.add("counted", most_mib=most, usual_served=crowd.usual_served)
    print(f"{most} MiB at most, {crowd.usual_served} reads of usual clients were served")
    if crowd.usual_served < MIN_USUAL_SERVED:
        raise RuntimeError(f"only {crowd.usual_served} reads of usual clients were served")
    if router.exit_code is not None and not crowd.breaks:
        crowd.breaks.append(f"the router ended with {router.exit_code}")
    return crowd.breaks


kit.run_case(Path(__file__).resolve().parent, play)
