"""Discovery recovers after an outage: changes known to its agent apply at once, even if a call is pending.

Incident of 2026-12-02, replay `incident-2`: the router waited for a call that began right before the end of
the outage, for longer than the second within which sends to a draining server must end.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from tests.net.lifecycle.test_process import free_port, start
from tests.peers import LOCAL, Client, Message, Peer, read_http, scenario

DRAIN_GRACE_SECONDS = 1.0  # time from the change until the last send
MAX_STALL_SECONDS = 0.15  # longest time for which the router process may be stalled, within the grace
REQUEST_INTERVAL_SECONDS = 0.03


class SilentAgent:
    """An agent that answers no call while discovery is down, and then reports a draining server."""

    def __init__(self, agent: Peer, draining: Peer, other: Peer) -> None:
        self._agent, self._draining, self._other = agent, draining, other
        self.recovered_at: float | None = None
        self.calls: asyncio.Queue[Message] = asyncio.Queue()  # calls without an answer

    async def serve(self) -> None:
        """Answer calls after discovery has recovered."""
        while True:
            call = await self._agent.next()
            if self.recovered_at is None:
                self.calls.put_nowait(call)
            elif call.head == b"GET /api/targets":
                rows = (self._draining.row("c", state="terminating"), self._other.row("d"))
                call.respond_list(2, *rows)

    async def next_unanswered(self, kind: str) -> Message:
        """Return the next call of a kind that begins during the outage."""
        while True:
            call = await self.calls.get()
            if (b"index=" in call.head) is (kind == "watch"):
                return call

    def recover(self) -> None:
        """End the outage: pending calls stay unanswered, new ones are answered."""
        self.recovered_at = time.monotonic()


async def send_requests_forever(client: Client) -> None:
    number = 0
    while True:
        client.get(f"r{number}")
        number += 1
        await asyncio.sleep(REQUEST_INTERVAL_SECONDS)


async def record_arrivals(cache: Peer, times: list[float]) -> None:
    while True:
        message = await cache.next()
        times.append(time.monotonic())
        message.reply_value(b"v")


@pytest.mark.sockets
@pytest.mark.parametrize("out", ["list", "watch", "answer that stops short"])
@scenario
async def test_a_drained_server_gets_no_request_a_second_after_the_agent_recovers(
    out: str, tmp_path: Path
) -> None:
    draining, other, discovery_peer = (
        await Peer().start(),
        await Peer().start(),
        await Peer(read_http).start(),
    )
    path, discovery = tmp_path / "config.json", f"{LOCAL}:{discovery_peer.port}"
    process, client = await start(path, free_port(), draining, discovery=discovery)
    (await discovery_peer.next()).respond_list(1, draining.row("c"))
    agent = SilentAgent(discovery_peer, draining, other)
    to_draining: list[float] = []
    to_other: list[float] = []
    work = (
        agent.serve(),
        send_requests_forever(client),
        record_arrivals(draining, to_draining),
        record_arrivals(other, to_other),
    )
    tasks = [asyncio.create_task(one) for one in work]
    call = await agent.next_unanswered("watch" if out == "watch" else "list")
    if out == "list":  # the first list call after a silent watch has a shorter timeout
        call = await agent.next_unanswered("list")
    if out == "answer that stops short":
        call.reply(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{")
    agent.recover()
    assert agent.recovered_at is not None
    while not to_other:
        await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
    assert max(to_draining) - agent.recovered_at < DRAIN_GRACE_SECONDS - MAX_STALL_SECONDS
    for task in tasks:
        task.cancel()
    process.kill()
    await process.wait()
