"""What goes on behind others as a dial is refused."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.outcomes.bench import Bench, Script
from tests.outcomes.test_nobody_waits import Client
from tests.peers import Peer, scenario, until


class Refused:
    """The loop, but for dials: they wait until they are to be refused."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.refuse = asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *what: object) -> None:
        await self.refuse.wait()
        raise ConnectionRefusedError


@scenario
async def test_a_client_that_left_untold_has_nothing_begun_behind_others_as_a_dial_is_refused() -> None:
    peer, script, client = await Peer().start(), Script(), Client()
    bench = Bench(script, peer.port, most=2, connect_timeout=5.0)
    bench.take("0")
    first = await peer.next()
    pool = bench.host.pools["s"]
    refused = pool.connector._loop = Refused()  # type: ignore[assignment]
    bench.take("1", passage=client)  # how long a reply takes is not known yet: it dials
    bench.take("2")  # no more than two connections: behind the first
    second = await peer.next()
    first.reply(b"VA 1 O0 h1\r\nv\r\n")  # the server works: what the dial was for would go behind others
    assert (await script.outcome()).request_id == "0"
    client.gone = True
    refused.refuse.set()
    await until(lambda: not pool.connector.tasks)
    second.reply(b"VA 1 O2 h1\r\nv\r\n")
    bench.take("3")
    assert (await peer.next()).flag == b"O3"
    assert client.cuts == 1 and not [
        entry for entry in bench.host.attempts if entry.attempt.request_id == "1"
    ]
