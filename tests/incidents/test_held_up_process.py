"""A router process that is held up while requests come: their time runs from their last byte.

Incident of 2026-12-02, replay `incident-1`: clients that leave 60 ms after the time they named got no answer.
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

HOLD_UP = 0.14  # seconds; a router may be held up for 0.15
PATIENCE_MS = 600  # that a client names
FIRST_KILL = 3.7  # seconds after SIGTERM: the longest deadline of which 3 s count, and 0.7 s
CLIENT_LEAVES_AFTER = 0.06  # seconds beyond that, in which an answer still counts


def stop(process: asyncio.subprocess.Process) -> None:
    """Hold a process up; returns once the system says that it has stopped."""
    process.send_signal(signal.SIGSTOP)
    stat = Path(f"/proc/{process.pid}/stat")
    while stat.read_text().rpartition(")")[2].split()[0] != "T":
        os.sched_yield()


async def late_by(client: Client, sent_at: float) -> float:
    """Seconds after its time at which a request is answered."""
    line = await client.line()
    assert line.startswith(b"SERVER_ERROR "), line
    return time.monotonic() - sent_at - PATIENCE_MS / 1000


@pytest.mark.sockets
@pytest.mark.parametrize("how", ["open connection", "new connection", "pipelined", "in pieces"])
@scenario
async def test_a_request_that_arrives_during_a_hold_up_is_answered_by_its_deadline(
    how: str, tmp_path: Path
) -> None:
    cache, port = await Peer().start(), free_port()
    process, client = await start(tmp_path / "config.json", port, cache)
    if how == "in pieces":
        client.send(b"mg k v Olate ")
        await asyncio.sleep(0.05)  # it is read
    stop(process)
    sent_at = time.monotonic()
    requests = 1
    if how == "new connection":
        client = await connect((LOCAL, port))
    if how == "in pieces":
        client.send(b"Pc=read,t=x,d=%d\r\n" % PATIENCE_MS)
    else:
        client.get("late", wait=PATIENCE_MS)
    if how == "pipelined":
        client.get("later", wait=PATIENCE_MS)
        requests = 2
    await asyncio.sleep(HOLD_UP)
    process.send_signal(signal.SIGCONT)
    for _ in range(requests):
        assert await late_by(client, sent_at) < CLIENT_LEAVES_AFTER
    process.kill()
    await process.wait()


@pytest.mark.sockets
@scenario
async def test_no_request_of_a_client_that_disconnected_during_a_hold_up_is_forwarded(tmp_path: Path) -> None:
    """Its request and its end are read in one turn, more than 0.1 s after it closed."""
    cache, port = await Peer().start(), free_port()
    process, client = await start(tmp_path / "config.json", port, cache)
    other = await connect((LOCAL, port))
    other.get("warm")
    (await cache.next()).reply_value(b"v")
    assert await other.value("warm") == b"v"
    stop(process)
    client.get("gone")
    client.close()
    await client.writer.wait_closed()
    await asyncio.sleep(HOLD_UP)
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
async def test_a_signal_that_is_noticed_late_delays_no_response(tmp_path: Path) -> None:
    """All is answered before SIGKILL may come, counted from when SIGTERM was sent."""
    cache, port = await Peer().start(), free_port()
    process, client = await start(tmp_path / "config.json", port, cache)
    client.get("held", wait=8000)
    await cache.next()  # never answered
    stop(process)
    sent_at = time.monotonic()
    process.send_signal(signal.SIGTERM)
    await asyncio.sleep(HOLD_UP)
    process.send_signal(signal.SIGCONT)
    assert (await client.line()).startswith(b"SERVER_ERROR ")
    assert time.monotonic() - sent_at < FIRST_KILL - HOLD_UP / 2
    assert await process.wait() == 0
