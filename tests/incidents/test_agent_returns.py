"""Discovery is back after an outage: what its agent has counts as told at once, whatever call was out then.

Incident of 2026-12-02, replay `incident-2`: a call that began right before the end of the outage was waited
for longer than the second in which sends to a draining server must cease.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from tests.net.lifecycle.test_process import free_port, start
from tests.peers import LOCAL, Client, Message, Peer, read_http, scenario

GRACE = 1.0  # seconds from the news to the last send
HELD_UP = 0.15  # seconds of it by which a router may be held up
BETWEEN_REQUESTS = 0.03  # seconds


class SilentAgent:
    """An agent that answers nothing while discovery is down, and then has news that a server drains."""

    def __init__(self, agent: Peer, draining: Peer, other: Peer) -> None:
        self._agent, self._draining, self._other = agent, draining, other
        self.returned_at: float | None = None
        self.calls: asyncio.Queue[Message] = asyncio.Queue()  # those that nothing answers

    async def serve(self) -> None:
        """Answer calls, once discovery is back."""
        while True:
            call = await self._agent.next()
            if self.returned_at is None:
                self.calls.put_nowait(call)
            elif call.head == b"GET /api/targets":
                rows = (self._draining.row("c", state="terminating"), self._other.row("d"))
                call.respond_list(2, *rows)

    async def unanswered(self, kind: str) -> Message:
        """The next call of a kind to begin during the outage."""
        while True:
            call = await self.calls.get()
            if (b"index=" in call.head) is (kind == "watch"):
                return call

    def return_(self) -> None:
        """Discovery is back: what is out was lost, what comes is answered."""
        self.returned_at = time.monotonic()


async def send_for_good(client: Client) -> None:
    number = 0
    while True:
        client.get(f"r{number}")
        number += 1
        await asyncio.sleep(BETWEEN_REQUESTS)


async def arrivals(cache: Peer, times: list[float]) -> None:
    while True:
        message = await cache.next()
        times.append(time.monotonic())
        message.reply_value(b"v")


@pytest.mark.sockets
@pytest.mark.parametrize("out", ["list", "watch", "answer that stops short"])
@scenario
async def test_a_drained_server_gets_no_request_a_second_after_the_agent_is_back(
    out: str, tmp_path: Path
) -> None:
    draining, other, told = await Peer().start(), await Peer().start(), await Peer(read_http).start()
    path, discovery = tmp_path / "config.json", f"{LOCAL}:{told.port}"
    process, client = await start(path, free_port(), draining, discovery=discovery)
    (await told.next()).respond_list(1, draining.row("c"))
    agent = SilentAgent(told, draining, other)
    to_draining: list[float] = []
    to_other: list[float] = []
    work = (agent.serve(), send_for_good(client), arrivals(draining, to_draining), arrivals(other, to_other))
    tasks = [asyncio.create_task(one) for one in work]
    call = await agent.unanswered("watch" if out == "watch" else "list")
    if out == "list":  # the first behind a silent watch is given up sooner
        call = await agent.unanswered("list")
    if out == "answer that stops short":
        call.reply(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{")
    agent.return_()
    assert agent.returned_at is not None
    while not to_other:
        await asyncio.sleep(BETWEEN_REQUESTS)
    assert max(to_draining) - agent.returned_at < GRACE - HELD_UP
    for task in tasks:
        task.cancel()
    process.kill()
    await process.wait()
