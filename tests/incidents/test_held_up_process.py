"""Requests that arrive while the router process is stalled: their deadline counts from their last byte.

Incident of 2026-12-02, replay `incident-1`: clients that disconnect 60 ms after their deadline got no answer.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from pathlib import Path

import pytest

from tests.net.lifecycle.test_process import free_port, start
from tests.peers import LOCAL, Client, Peer, connect, scenario

STALL_SECONDS = 0.14  # a router may be stalled for 0.15 s
CLIENT_TIMEOUT_MS = 600  # time that a client states in its request
EARLIEST_SIGKILL_SECONDS = 3.7  # earliest SIGKILL after SIGTERM: the longest deadline, at most 3 s, and 0.7 s
CLIENT_GRACE_SECONDS = 0.06  # time after its deadline at which a client disconnects


def suspend(process: asyncio.subprocess.Process) -> None:
    """Stop a process, and return once the system reports that it has stopped."""
    process.send_signal(signal.SIGSTOP)
    stat = Path(f"/proc/{process.pid}/stat")
    while stat.read_text().rpartition(")")[2].split()[0] != "T":
        os.sched_yield()


async def seconds_late(client: Client, sent_at: float) -> float:
    """Return the seconds after its deadline at which a request is answered."""
    line = await client.line()
    assert line.startswith(b"SERVER_ERROR "), line
    return time.monotonic() - sent_at - CLIENT_TIMEOUT_MS / 1000


@pytest.mark.sockets
@pytest.mark.parametrize("how", ["open connection", "new connection", "pipelined", "in pieces"])
@scenario
async def test_a_request_that_arrives_during_a_stall_is_answered_by_its_deadline(
    how: str, tmp_path: Path
) -> None:
    cache, port = await Peer().start(), free_port()
    process, client = await start(tmp_path / "config.json", port, cache)
    if how == "in pieces":
        client.send(b"mg k v Olate ")
        await asyncio.sleep(0.05)  # time for the router to read it
    suspend(process)
    sent_at = time.monotonic()
    requests = 1
    if how == "new connection":
        client = await connect((LOCAL, port))
    if how == "in pieces":
        client.send(b"Pc=read,t=x,d=%d\r\n" % CLIENT_TIMEOUT_MS)
    else:
        client.get("late", wait=CLIENT_TIMEOUT_MS)
    if how == "pipelined":
        client.get("later", wait=CLIENT_TIMEOUT_MS)
        requests = 2
    await asyncio.sleep(STALL_SECONDS)
    process.send_signal(signal.SIGCONT)
    for _ in range(requests):
        assert await seconds_late(client, sent_at) < CLIENT_GRACE_SECONDS
    process.kill()
    await process.wait()


@pytest.mark.sockets
@scenario
async def test_no_request_of_a_client_that_disconnected_during_a_stall_is_forwarded(tmp_path: Path) -> None:
    """The request and the end of input are read in one turn, over 0.1 s after the client closed."""
    cache, port = await Peer().start(), free_port()
    process, client = await start(tmp_path / "config.json", port, cache)
    other = await connect((LOCAL, port))
    other.get("warm")
    (await cache.next()).reply_value(b"v")
    assert await other.value("warm") == b"v"
    suspend(process)
    client.get("gone")
    client.close()
    await client.writer.wait_closed()
    await asyncio.sleep(STALL_SECONDS)
    process.send_signal(signal.SIGCONT)
    other.get("stays")
    message = await cache.next()
    assert message.flag == b"Ostays"
    message.reply_value(b"v")
    assert await other.value("stays") == b"v"
    assert cache.messages.empty()
    process.kill()
    await process.wait()


@pytest.mark.sockets
@scenario
async def test_a_signal_that_is_handled_late_delays_no_response(tmp_path: Path) -> None:
    """All requests are answered before SIGKILL may come, which counts from the sending of SIGTERM."""
    cache, port = await Peer().start(), free_port()
    process, client = await start(tmp_path / "config.json", port, cache)
    client.get("held", wait=8000)
    await cache.next()  # never answered
    suspend(process)
    sent_at = time.monotonic()
    process.send_signal(signal.SIGTERM)
    await asyncio.sleep(STALL_SECONDS)
    process.send_signal(signal.SIGCONT)
    assert (await client.line()).startswith(b"SERVER_ERROR ")
    assert time.monotonic() - sent_at < EARLIEST_SIGKILL_SECONDS - STALL_SECONDS / 2
    assert await process.wait() == 0
