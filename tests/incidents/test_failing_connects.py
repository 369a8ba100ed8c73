"""Connects to servers that fail for want of descriptors, ports or memory on the router's own machine.

Incident of 2026-12-04. Real processes on loopback; the shim of the kit makes the calls fail.
"""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

import pytest

from ironrail.rehearsal.syscalls.control import SystemCall
from tests.incidents.failing_calls import VALUE, FailingRouter, failing_router
from tests.peers import Message, Peer, scenario

pytestmark = pytest.mark.sockets

SETTLED_SECONDS = 0.3  # after a burst of failures, within which service has to be back
REQUESTS = 40


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (SystemCall.SOCKET, errno.EMFILE),
        (SystemCall.SOCKET, errno.ENOBUFS),
        (SystemCall.CONNECT, errno.EADDRNOTAVAIL),
        (SystemCall.CONNECT, errno.EAGAIN),
    ],
)
@scenario
async def test_requests_are_served_right_after_connects_have_failed_on_this_machine(
    call: SystemCall, error: int, tmp_path: Path
) -> None:
    """Guards against a lack of descriptors or ports that counts as a fault of the server."""
    async with failing_router(tmp_path) as router:
        router.faults.fail(call, error)
        for number in range(10):
            router.client.get(f"n{number}", wait=100)
            assert (await router.client.line()).startswith(b"SERVER_ERROR ")
        router.faults.clear_all()
        await asyncio.sleep(SETTLED_SECONDS)
        async with router.answering():
            for number in range(REQUESTS):
                router.client.get(f"after{number}", wait=2000)
                assert await router.client.value(f"after{number}") == VALUE


@scenario
async def test_a_connection_to_a_server_that_can_not_be_looked_at_is_not_used(tmp_path: Path) -> None:
    """Guards against surplus bytes that pass for the reply to the next request."""
    async with failing_router(tmp_path) as router, router.answering():
        router.faults.fail(SystemCall.GETSOCKNAME, errno.ENOBUFS)
        for number in range(3):
            router.client.get(f"n{number}", wait=100)
            assert (await router.client.line()).startswith(b"SERVER_ERROR ")
        assert router.faults.failed(SystemCall.GETSOCKNAME) > 0
        router.faults.clear_all()
        await asyncio.sleep(SETTLED_SECONDS)
        router.client.get("after", wait=2000)
        assert await router.client.value("after") == VALUE
        await router.stop()
        assert not [line for line in await router.log() if "internal_error" in line]


@scenario
async def test_a_server_is_not_ejected_because_this_machine_could_not_connect(tmp_path: Path) -> None:
    """Guards against a lack of descriptors or ports that counts as a fault of the server."""
    caches = [await Peer().start(), await Peer().start()]
    rows = [cache.row(f"c{number}") for number, cache in enumerate(caches)]
    known = {"version": 1, "full": True, "servers": rows}
    async with failing_router(tmp_path, known=known) as router:
        keys: dict[Peer, str] = {}
        number = 0
        while len(keys) < len(caches):  # both have a connection, and one key is known of each
            number += 1
            router.client.get(f"first{number}", key=f"k{number}")
            calls = {asyncio.create_task(cache.next()): cache for cache in caches}
            done, rest = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
            for task in rest:
                task.cancel()
            (task,) = done
            message = task.result()
            message.reply_value(VALUE)
            assert await router.client.value(f"first{number}") == VALUE
            keys[calls[task]] = f"k{number}"
        home, key = next(iter(keys.items()))
        message = await asyncio.wait_for(_request(router, home, key), 1.0)
        message.reply_value(VALUE)
        assert await router.client.value("again") == VALUE
        message.end()  # the next request there needs a new connection
        await asyncio.sleep(0.1)
        router.faults.fail(SystemCall.SOCKET, errno.EMFILE)
        for attempt in range(30):
            router.client.get(f"n{attempt}", key=key, wait=100)
            await router.client.line()
        assert router.faults.failed(SystemCall.SOCKET) > 0
        router.faults.clear_all()
        await asyncio.sleep(SETTLED_SECONDS)
        router.client.get("after", key=key)
        async with asyncio.timeout(1.0):
            assert (await home.next()).flag == b"Oafter"


async def _request(router: FailingRouter, home: Peer, key: str) -> Message:
    router.client.get("again", key=key)
    return await home.next()
