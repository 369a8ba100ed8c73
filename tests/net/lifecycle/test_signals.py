"""Signals at unusual moments, to the daemon as the deployment starts it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path

import pytest

from tests.net.lifecycle.test_process import config, free_port, served_by, spawn, start
from tests.peers import LOCAL, Client, Peer, connect, read_http, scenario


def catches(pid: int, number: signal.Signals) -> bool:
    """Whether a process has installed a handler for a signal."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("SigCgt:"):
            return bool(int(line.split()[1], 16) >> (number - 1) & 1)
    return False


async def begin(path: Path, port: int) -> asyncio.subprocess.Process:
    """Start a process, and return at once."""
    path.write_text(json.dumps(config(port)))
    environ = {**os.environ, "NODE_CONFIG": str(path)}
    return await spawn(environ)


@scenario
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_sigterm_before_readiness_exits_cleanly(number: signal.Signals, tmp_path: Path) -> None:
    """During 0.5 s of imports at the start there was no handler, so a signal killed the process."""
    process = await begin(tmp_path / "config.json", free_port())
    while not catches(process.pid, signal.SIGTERM):
        await asyncio.sleep(0.001)
    process.send_signal(signal.SIGHUP)
    process.send_signal(number)
    assert process.stderr is not None
    assert b"listening" not in (told := await process.stderr.read())
    assert told == b"" and await process.wait() == 0


@scenario
async def test_repeated_signals_do_not_change_the_shutdown(tmp_path: Path) -> None:
    """After the event loop had removed its handlers, the next signal killed the process."""
    cache, port = await Peer().start(), free_port()
    process, client = await start(tmp_path / "config.json", port, cache)
    client.get("1")
    held = await cache.next()
    process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    held.reply_value(b"v")
    assert await client.value("1") == b"v"
    client.close()

    async def go_on() -> None:
        while process.returncode is None:
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
                process.send_signal(number)
            await asyncio.sleep(0.0005)

    signals = asyncio.ensure_future(go_on())
    assert process.stderr is not None
    told = await process.stderr.read()
    assert await process.wait() == 0
    assert b"Traceback" not in told and b"discovery_address_changed" not in told
    signals.cancel()


@scenario
async def test_sigterm_during_handover_exits_at_once(tmp_path: Path) -> None:
    cache, port, discovery = await Peer().start(), free_port(), await Peer(read_http).start()
    first, client = await start(tmp_path / "config.json", port, cache)
    path = tmp_path / "second.json"
    path.write_text(json.dumps(config(port, discovery=f"{LOCAL}:{discovery.port}")))
    environ = {**os.environ, "NODE_CONFIG": str(path)}
    second = await spawn(environ)
    await discovery.next()  # which is not answered
    second.send_signal(signal.SIGTERM)
    assert await second.wait() == 0
    await served_by(cache, client, "1")
    first.kill()
    await first.wait()


@scenario
@pytest.mark.parametrize("says", ["answers", "refuses", "hangs", "is down"])
async def test_a_process_answers_soon_whatever_discovery_does(says: str, tmp_path: Path) -> None:
    discovery, cache, port = await Peer(read_http).start(), await Peer().start(), free_port()
    address = f"{LOCAL}:{discovery.port}"
    if says == "is down":
        discovery.server.close()
        await discovery.server.wait_closed()
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(port, cache.row("c"), discovery=address)))
    unknown = tmp_path / "unknown.json"
    other = free_port()
    unknown.write_text(json.dumps(config(other, discovery=address)))
    processes = [await spawn({**os.environ, "NODE_CONFIG": str(file)}) for file in (path, unknown)]

    async def answer() -> None:
        while True:
            call = await discovery.next()
            if says == "refuses":
                call.respond(b"", 503)
            elif says == "answers" and b"wait" not in call.head:
                call.respond_list(1, cache.row("c"))

    answers = asyncio.ensure_future(answer())
    known, new = [await reach(p) for p in (port, other)]
    assert await says_ready(known)  # its configuration names a server
    if says == "answers":
        while not await says_ready(new):
            await asyncio.sleep(0.01)
    else:
        assert not await says_ready(new)  # it has no server, and reports that
    answers.cancel()
    for process in processes:
        process.kill()
        await process.wait()


async def reach(port: int) -> Client:
    while True:
        try:
            return await connect((LOCAL, port))
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)  # only a connect shows whether it listens


async def says_ready(client: Client) -> bool:
    client.send(b"mn\r\n")
    return await client.line() == b"MN\r\n"
