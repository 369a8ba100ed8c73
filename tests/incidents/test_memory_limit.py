"""A router process with the least memory that deployments have, under unsound clients."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.net.lifecycle.test_process import free_port, start
from tests.peers import LOCAL, Client, Peer, connect, scenario

MEMORY_MB = 32
LIMITS = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
LOAD_SECONDS = 2.0
SAMPLE_SECONDS = 0.02
NUM_CLIENTS = 300
VALUE_BYTES = 60_000
HEAD = b"ms key %d O1 " % VALUE_BYTES


def private_bytes(process_id: int) -> int:
    """Return the memory of its own that a process holds."""
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    (line,) = [line for line in lines if line.startswith("RssAnon:")]
    return int(line.split()[1]) * 1024


async def flood(port: int, commands: bytes) -> None:
    """Send commands at full speed, and read the answers."""
    client = await connect((LOCAL, port))

    async def read() -> None:
        while await client.reader.read(65536):
            pass

    answers = asyncio.create_task(read())
    try:
        while True:
            client.send(commands)
            await client.writer.drain()
    finally:
        answers.cancel()
        client.close()


async def send_small_commands(port: int) -> None:
    await flood(port, b"mn\r\n" * 2000)


async def send_unknown_commands(port: int) -> None:
    await flood(port, (b"unknown\r\n" * 6 + b"mn\r\n") * 200)


async def send_heads_of_many_words(port: int) -> None:
    await flood(port, (b"mg " + b"a " * 2000 + b"\r\n" + b"mn\r\n") * 10)


async def come_again_when_turned_away(port: int) -> None:
    while True:
        with contextlib.suppress(OSError):
            client = await connect((LOCAL, port))
            client.send(b"unknown\r\n" * 8)
            await client.reader.read()
            client.close()


async def stop_half_way(port: int, sent: bytes) -> None:
    clients: list[Client] = []
    for _ in range(NUM_CLIENTS):
        clients.append(await connect((LOCAL, port)))
        clients[-1].send(sent)
    await asyncio.sleep(LOAD_SECONDS)


async def stop_in_a_value(port: int) -> None:
    await stop_half_way(port, HEAD + b"Pc=read,t=x,d=400\r\n" + bytes(VALUE_BYTES - 1000))


async def stop_behind_a_head_of_many_words(port: int) -> None:
    await stop_half_way(port, HEAD + b"aa " * 1300 + b"\r\n" + bytes(1000))


# The process passed its memory limit and was killed.
@pytest.mark.parametrize(
    "load",
    [
        send_small_commands,
        send_unknown_commands,
        send_heads_of_many_words,
        come_again_when_turned_away,
        stop_in_a_value,
        stop_behind_a_head_of_many_words,
    ],
)
@scenario
async def test_a_router_stays_within_the_least_memory(
    load: Callable[[int], Awaitable[None]], tmp_path: Path
) -> None:
    cache, port = await Peer().start(), free_port()
    process, usual = await start(tmp_path / "config.json", port, cache, limits=LIMITS)
    task = asyncio.ensure_future(load(port))
    most = 0
    try:
        for _ in range(round(LOAD_SECONDS / SAMPLE_SECONDS)):
            most = max(most, private_bytes(process.pid))
            await asyncio.sleep(SAMPLE_SECONDS)
        usual.send(b"mn\r\n")
        assert await usual.line() == b"MN\r\n"
    finally:
        task.cancel()
        process.kill()
        await process.wait()
    assert 0 < most < MEMORY_MB * 1024**2
