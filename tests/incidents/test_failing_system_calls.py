"""System calls of a router fail for a moment: each request that it has taken gets its whole answer in time.

Incident of 2026-12-04. Real processes on loopback; the shim of the kit makes the calls fail.
"""

from __future__ import annotations

import asyncio
import errno
import signal
import time
from pathlib import Path

import pytest

from ironrail.rehearsal.syscalls.control import SHORT, SystemCall
from tests.incidents.failing_calls import CLIENT_GRACE_SECONDS, VALUE, failing_router
from tests.peers import scenario

pytestmark = pytest.mark.sockets

ACCEPT_UNTIL_SECONDS = 0.45  # after SIGTERM, when the router stops listening
CLIENT_TIMEOUT_MS = 700
REQUESTS = 40


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (SystemCall.SOCKET, errno.EMFILE),
        (SystemCall.SETSOCKOPT, errno.ENOBUFS),
        (SystemCall.BIND, errno.ENOMEM),
        (SystemCall.POLL, errno.ENOMEM),
        (SystemCall.IOCTL, errno.ENOMEM),
        (SystemCall.SHUTDOWN, errno.ENOBUFS),
        (SystemCall.ACCEPT, errno.EMFILE),
    ],
)
@scenario
async def test_a_failed_call_does_not_end_a_shutdown_before_its_requests_are_answered(
    call: SystemCall, error: int, tmp_path: Path
) -> None:
    async with failing_router(tmp_path) as router:
        held = await router.request(router.client, "held")
        router.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(ACCEPT_UNTIL_SECONDS - 0.1)
        router.faults.fail(call, error)
        await asyncio.sleep(0.4)
        router.faults.clear_all()
        assert router.process.returncode is None
        held.reply_value(VALUE)
        assert await router.client.value("held") == VALUE
        assert await router.process.wait() == 0


@scenario
async def test_requests_in_the_backlog_are_answered_if_accept_fails_as_the_listener_closes(
    tmp_path: Path,
) -> None:
    async with failing_router(tmp_path) as router, router.answering():
        router.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(ACCEPT_UNTIL_SECONDS - 0.15)
        router.faults.fail(SystemCall.ACCEPT, errno.EMFILE)
        client = await router.connect()
        client.get("late", wait=3000)
        await asyncio.sleep(0.35)
        router.faults.clear_all()
        assert await client.value("late") == VALUE
        assert await router.process.wait() == 0


@pytest.mark.parametrize("per_thousand", [1000, 200])
@scenario
async def test_requests_are_answered_while_and_after_poll_fails(per_thousand: int, tmp_path: Path) -> None:
    """Guards against an error between two actions that drops the rest, or ends a client's connection."""
    async with failing_router(tmp_path) as router, router.answering(0.01):
        clients = [await router.connect() for _ in range(2)]
        router.faults.fail(SystemCall.POLL, errno.ENOMEM, per_thousand=per_thousand)
        for number in range(REQUESTS):
            for client in clients:
                client.get(f"{id(client)}n{number}", wait=2000)
                client.get(f"{id(client)}m{number}", wait=2000)
            for client in clients:
                for letter in "nm":
                    assert await client.value(f"{id(client)}{letter}{number}") == VALUE
        assert router.faults.failed(SystemCall.POLL) > 0
        router.faults.clear_all()
        client = await router.connect()
        for number in range(REQUESTS):
            client.get(f"after{number}", wait=2000)
            assert await client.value(f"after{number}") == VALUE


@pytest.mark.parametrize(
    ("call", "error"), [(SystemCall.SETSOCKOPT, errno.ENOBUFS), (SystemCall.IOCTL, errno.ENOMEM)]
)
@scenario
async def test_a_client_whose_socket_can_not_be_set_up_at_once_is_served(
    call: SystemCall, error: int, tmp_path: Path
) -> None:
    async with failing_router(tmp_path) as router, router.answering():
        router.faults.fail(call, error)
        client = await router.connect()
        client.get("1", wait=3000)
        await asyncio.sleep(0.25)
        assert router.faults.failed(call) > 0
        router.faults.clear_all()
        assert await client.value("1") == VALUE


@pytest.mark.parametrize(
    ("call", "error"), [(SystemCall.ACCEPT, errno.EMFILE), (SystemCall.SETSOCKOPT, errno.ENOBUFS)]
)
@scenario
async def test_a_request_that_waits_for_accept_is_answered_by_its_deadline(
    call: SystemCall, error: int, tmp_path: Path
) -> None:
    """Guards against a deadline that counts from the accept in place of the request's arrival."""
    async with failing_router(tmp_path) as router:
        router.faults.fail(call, error)
        client = await router.connect()
        sent_at = time.monotonic()
        client.get("late", wait=CLIENT_TIMEOUT_MS)  # the cache never answers
        await asyncio.sleep(0.3)
        router.faults.clear_all()
        assert (await client.line()).startswith(b"SERVER_ERROR ")
        assert time.monotonic() - sent_at < CLIENT_TIMEOUT_MS / 1000 + CLIENT_GRACE_SECONDS


@pytest.mark.parametrize("call", [SystemCall.READ, SystemCall.WRITE])
@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.ENOMEM])
@scenario
async def test_a_read_or_write_without_memory_is_tried_again(
    call: SystemCall, error: int, tmp_path: Path
) -> None:
    """Guards against a client's connection that is closed because this machine lacks memory."""
    async with failing_router(tmp_path) as router, router.answering():
        clients = [await router.connect() for _ in range(4)]
        router.faults.fail(call, error, per_thousand=50)
        for number in range(REQUESTS):
            for client in clients:
                client.get(f"{id(client)}n{number}", wait=2000)
            for client in clients:
                head, *_ = (await client.line()).split()
                if head == b"VA":  # an attempt may fail, if it is its server's connection that is lost
                    await client.reader.readexactly(len(VALUE) + 2)
                else:
                    assert head == b"SERVER_ERROR"
        assert router.faults.failed(call) > 0


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (SystemCall.READ, SHORT),
        (SystemCall.READ, errno.EINTR),
        (SystemCall.READ, errno.EAGAIN),
        (SystemCall.WRITE, SHORT),
        (SystemCall.WRITE, errno.EINTR),
        (SystemCall.WRITE, errno.EAGAIN),
    ],
)
@scenario
async def test_a_short_or_interrupted_read_or_write_tears_no_answer(
    call: SystemCall, error: int, tmp_path: Path
) -> None:
    async with failing_router(tmp_path) as router, router.answering():
        router.faults.fail(call, error, per_thousand=500)
        for number in range(REQUESTS):
            router.client.get(f"n{number}", wait=2000)
            assert await router.client.value(f"n{number}") == VALUE
        assert router.faults.failed(call) > 0
