"""Attempts that are moved to other connections after a refused connect."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.net.dispatch.harness import DispatchHarness, ScriptedPolicy
from tests.net.dispatch.test_disconnected_clients import Client
from tests.peers import Peer, scenario, until


class Refused:
    """An event loop whose connects block until they are refused."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.refuse = asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *what: object) -> None:
        await self.refuse.wait()
        raise ConnectionRefusedError


@scenario
async def test_a_client_that_disconnected_unnoticed_has_nothing_queued_after_a_refused_connect() -> None:
    peer, policy, client = await Peer().start(), ScriptedPolicy(), Client()
    harness = DispatchHarness(policy, peer.port, most=2, connect_timeout=5.0)
    harness.take("0")
    first = await peer.next()
    pool = harness.host.pools["s"]
    refused = pool.connector._loop = Refused()  # type: ignore[assignment]
    harness.take("1", stream=client)  # the service time is not known yet, so the pool connects
    harness.take("2")  # at the limit of two connections: queued behind the first
    second = await peer.next()
    first.reply(b"VA 1 O0 h1\r\nv\r\n")  # the server replies: the attempt would be queued there
    assert (await policy.outcome()).request_id == "0"
    client.gone = True
    refused.refuse.set()
    await until(lambda: not pool.connector.tasks)
    second.reply(b"VA 1 O2 h1\r\nv\r\n")
    harness.take("3")
    assert (await peer.next()).flag == b"O3"
    assert client.cuts == 1 and not [
        entry for entry in harness.host.attempts if entry.attempt.request_id == "1"
    ]
