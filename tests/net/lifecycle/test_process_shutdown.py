"""Graceful shutdown of a process: idle, incomplete, pipelined and unread commands."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from ironrail.net.lifecycle.graceful_shutdown import shutdown_schedule
from ironrail.policy.settings import RequestClass, Settings
from tests.net.lifecycle.test_process import free_port, start
from tests.peers import LOCAL, Client, Peer, connect, scenario


def settings(*give_up: float) -> Settings:
    """Of classes with deadlines of so many seconds."""
    return Settings({f"c{n}": RequestClass(f"c{n}", 0.1, client_timeout=g) for n, g in enumerate(give_up)})


async def told_to_end(process: asyncio.subprocess.Process) -> None:
    """Send SIGTERM and wait until the router knows."""
    process.send_signal(signal.SIGTERM)
    assert process.stderr is not None
    while b'"stopping"' not in await process.stderr.readline():
        pass


async def answered(cache: Peer, client: Client, name: str) -> None:
    (await cache.next()).reply_value(b"v" + name.encode())
    assert await client.value(name) == b"v" + name.encode()


@scenario
async def test_unread_commands_are_answered_before_their_connection_closes(tmp_path: Path) -> None:
    """Closed behind the answer before it, the reset took both along: seen as the router was told to end."""
    cache, port = await Peer().start(), free_port()
    process, client = await start(tmp_path / "config.json", port, cache)
    client.get("1")
    held = await cache.next()
    await told_to_end(process)
    process.send_signal(signal.SIGSTOP)
    held.reply_value(b"v1")  # read first, as it came first
    client.get("2")
    process.send_signal(signal.SIGCONT)
    assert await client.value("1") == b"v1"
    await answered(cache, client, "2")
    assert await client.ended()
    assert await process.wait() == 0


@scenario
async def test_commands_are_answered_in_every_phase_of_the_shutdown(tmp_path: Path) -> None:
    cache, port = await Peer().start(), free_port()
    process, behind = await start(tmp_path / "config.json", port, cache)
    half, idle = await connect((LOCAL, port)), await connect((LOCAL, port))
    for client, name in ((half, "h0"), (idle, "i0")):
        client.get(name)
        await answered(cache, client, name)
    behind.get("b1")
    held = await cache.next()
    half.send(b"mg k v Oh1 Pc=read,t")
    process.send_signal(signal.SIGSTOP)  # what comes now waits in the system's queues
    waiting = [
        await connect((LOCAL, port)) for _ in range(2)
    ]  # four out at the cache: as many as it is sent at first
    for n, client in enumerate(waiting):
        client.get(f"w{n}")
    idle.get("i1")
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGCONT)
    for _ in range(3):
        message = await cache.next()
        message.reply_value(b"v" + message.flag[1:])
    assert await idle.value("i1") == b"vi1"
    for n, client in enumerate(waiting):
        assert await client.value(f"w{n}") == b"vw%d" % n
    half.send(b"=x,d=5000\r\n")
    await answered(cache, half, "h1")
    for name in ("b2", "b3"):  # behind the held answer
        behind.get(name)
        (await cache.next()).reply_value(b"v" + name.encode())
    held.reply_value(b"vb1")
    for name in ("b1", "b2", "b3"):
        assert await behind.value(name) == b"v" + name.encode()
    for client in (idle, half, behind, *waiting):
        assert await client.ended()  # and nothing else
    assert await process.wait() == 0


@scenario
async def test_an_open_connection_is_served_until_the_response_deadline(tmp_path: Path) -> None:
    """Clients send on it up to SIGKILL; whoever the end finds with a request has an answer, not a reset."""
    cache, port = await Peer().start(), free_port()
    process, client = await start(tmp_path / "config.json", port, cache)
    client.get("held", wait=8000)
    await cache.next()  # never answered
    began = time.monotonic()
    process.send_signal(signal.SIGTERM)
    sent = 0
    while time.monotonic() - began < 3.0:
        client.get(f"r{sent}", wait=8000)
        (await cache.next()).reply_value(b"v")
        sent += 1
        await asyncio.sleep(0.1)  # a client's own pace
    client.get("last", wait=8000)
    assert (await client.line()).startswith(b"SERVER_ERROR ")
    assert shutdown_schedule(settings(9.0)).exit_at < 3.7  # SIGKILL may come then
    assert time.monotonic() - began < 4.5  # and a busy machine besides
    for n in range(sent):
        assert await client.value(f"r{n}") == b"v"
    assert (await client.line()).startswith(b"SERVER_ERROR ")
    assert await client.ended()
    assert await process.wait() == 0
