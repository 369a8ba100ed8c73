"""The process of a router while its system calls fail: its start, signals, configuration and log.

Incident of 2026-12-04. Real processes on loopback; the shim of the kit makes the calls fail.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import json
import os
import signal
import sys
from pathlib import Path

import pytest

from ironrail.rehearsal.routers import end_with_parent
from ironrail.rehearsal.syscalls.control import SHORT, SyscallFaults, SystemCall
from tests.incidents.failing_calls import VALUE, failing_router
from tests.net.lifecycle.test_process import ROOT, config, free_port, spawn
from tests.peers import LOCAL, Peer, connect, read_http, scenario, until

pytestmark = pytest.mark.sockets

RELOAD_SECONDS = 4.0  # after SIGHUP, when the new discovery counts
REQUESTS = 40


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.EAGAIN, SHORT])
@scenario
async def test_a_log_that_can_not_be_written_changes_no_answer(error: int, tmp_path: Path) -> None:
    async with failing_router(tmp_path) as router, router.answering():
        router.faults.fail(SystemCall.LOG_WRITE, error)
        for number in range(REQUESTS):
            router.process.send_signal(signal.SIGHUP)  # logs a line or two
            router.client.get(f"n{number}", wait=500)
            assert await router.client.value(f"n{number}") == VALUE
        assert router.faults.failed(SystemCall.LOG_WRITE) > 0
        router.faults.clear_all()
        router.process.send_signal(signal.SIGTERM)
        assert await router.process.wait() == 0
        assert any('"stopping"' in line for line in await router.log())


@scenario
async def test_a_configuration_that_can_not_be_read_at_sighup_is_read_again(tmp_path: Path) -> None:
    """Guards against a new address of discovery that is never used."""
    old, new = await Peer(read_http).start(), await Peer(read_http).start()
    async with failing_router(tmp_path, discovery=f"{LOCAL}:{old.port}") as router:
        table = config(router.port, router.cache.row("c"), discovery=f"{LOCAL}:{new.port}")
        (tmp_path / "config.json").write_text(json.dumps(table))
        router.faults.fail(SystemCall.OPEN, errno.EMFILE)
        router.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        assert router.faults.failed(SystemCall.OPEN) > 0
        router.faults.clear_all()
        async with asyncio.timeout(RELOAD_SECONDS - 1.0 - 0.5):
            await new.next()


@scenario
async def test_a_signal_whose_wake_up_can_not_be_written_is_handled(tmp_path: Path) -> None:
    async with failing_router(tmp_path) as router:
        router.faults.fail(SystemCall.WAKE_UP, errno.EAGAIN)
        router.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        assert router.faults.failed(SystemCall.WAKE_UP) > 0
        router.faults.clear_all()
        async with asyncio.timeout(3.0):
            assert await router.process.wait() == 0


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (SystemCall.SOCKET, errno.EMFILE),
        (SystemCall.SETSOCKOPT, errno.ENOBUFS),
        (SystemCall.BIND, errno.ENOMEM),
    ],
)
@scenario
async def test_a_router_that_can_not_listen_at_once_starts_all_the_same(
    call: SystemCall, error: int, tmp_path: Path
) -> None:
    """Guards against a start that fails because this machine lacks descriptors or memory for a moment."""
    faults = SyscallFaults(tmp_path / "faults")
    faults.fail(call, error)
    port = free_port()
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(port)))
    process = await spawn({**os.environ, **faults.environment(), "NODE_CONFIG": str(path)})
    await until(faults.failed, call)
    await asyncio.sleep(0.2)
    faults.clear_all()
    while True:
        assert process.returncode is None
        try:
            client = await connect((LOCAL, port))
        except ConnectionRefusedError:
            await asyncio.sleep(0.02)
        else:
            break
    client.close()
    process.kill()
    await process.wait()


@scenario
async def test_a_log_whose_reader_has_stopped_delays_no_answer(tmp_path: Path) -> None:
    """Guards against a process that waits for its log, and against lines that are lost or torn by it."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 16384)
    cache, port = await Peer().start(), free_port()
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(port, cache.row("c"))))
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-B", "-m", "ironrail"),
        cwd=ROOT,
        env={**os.environ, "NODE_CONFIG": str(path)},
        stderr=writer,
        preexec_fn=end_with_parent,
    )
    os.close(writer)
    while True:
        try:
            client = await connect((LOCAL, port))
        except ConnectionRefusedError:
            await asyncio.sleep(0.02)
        else:
            break
    for number in range(250):  # over 16384 bytes of log
        process.send_signal(signal.SIGHUP)
        client.get(f"n{number}", wait=500)
        (await cache.next()).reply_value(VALUE)
        assert await client.value(f"n{number}") == VALUE
    text = await asyncio.to_thread(os.read, reader, 65536)
    process.send_signal(signal.SIGTERM)
    while data := await asyncio.to_thread(os.read, reader, 65536):
        text += data
    os.close(reader)
    assert await process.wait() == 0
    events = [json.loads(line)["event"] for line in text.decode().splitlines()]
    assert 200 <= events.count("discovery_address_changed") <= 250 and "stopping" in events
