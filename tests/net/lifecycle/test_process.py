"""The daemon as the deployment starts it: configuration, start, reload and shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import pytest

from ironrail.__main__ import main
from ironrail.rehearsal.routers import end_with_parent
from tests.peers import LOCAL, Client, Peer, connect, read_http, scenario
from tests.test_simhost import CONF

ROOT = Path(__file__).parents[3]


# below the ports that the system deals out itself: one of those may be some other test's before a router that
# has just been started listens there
FIRST_PORT, PORTS, PORTS_EACH = 10_000, 20_000, 131
_taken = itertools.count()


def free_port() -> int:
    """A port that no other process of this test run takes."""
    while True:
        port = FIRST_PORT + (os.getpid() * PORTS_EACH + next(_taken)) % PORTS
        with contextlib.suppress(OSError), socket.socket() as s:
            s.bind((LOCAL, port))
            return port


def config(port: int, *rows: dict[str, Any], **changes: Any) -> dict[str, Any]:
    base = {"name": "n0", "listen": f"{LOCAL}:{port}", "discovery": f"{LOCAL}:9", "seed": "8c1f30d27a5be964"}
    known = {"version": 1, "full": True, "servers": rows}
    settings = {**CONF, "membershipMode": "automatic"}
    settings["classes"] = [{**row, "giveUp": 9.0} for row in settings["classes"]]
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    return {**base, "limits": limits, "known": known, "settings": settings, **changes}


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"listen": 7}, "listen"),
        ({"listen": "127.0.0.1:x"}, "listen"),
        ({"discovery": "nowhere"}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"limits": 3}, "limits"),
        ({"known": {"version": 1}}, "known"),
        ({"known": 3}, "known"),
        ({"settings": None}, "classes"),
        ({"settings": {"classes": [{"name": "x", "aim": "soon"}]}}, "classes[x].aim"),
    ],
)
def test_a_bad_configuration_is_one_line_that_names_the_field(
    changes: dict[str, Any],
    field: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(free_port(), **changes)))
    monkeypatch.setenv("NODE_CONFIG", str(path))
    assert main() == 2
    err = capfd.readouterr().err
    assert err.count("\n") == 1 and field in err
    assert field == "known" or str(path) in err  # which is looked at later


@pytest.mark.parametrize("text", [None, "not json", "[]"])
def test_a_missing_or_unreadable_configuration(
    text: str | None, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    monkeypatch.setenv("NODE_CONFIG", str(path))
    assert main() == 2
    err = capfd.readouterr().err
    assert err.count("\n") == 1 and "NODE_CONFIG" in err


async def spawn(environ: dict[str, str]) -> asyncio.subprocess.Process:
    """A router as a process, which a test that fails leaves no longer than its own process is there."""
    command = (sys.executable, "-B", "-m", "ironrail")
    return await asyncio.create_subprocess_exec(
        *command, cwd=ROOT, env=environ, stderr=asyncio.subprocess.PIPE, preexec_fn=end_with_parent
    )


async def start(
    path: Path, port: int, cache: Peer, **changes: Any
) -> tuple[asyncio.subprocess.Process, Client]:
    path.write_text(json.dumps(config(port, cache.row("c"), **changes)))
    environ = {**os.environ, "NODE_CONFIG": str(path)}
    process = await spawn(environ)
    while True:
        try:
            client = await connect((LOCAL, port))
        except ConnectionRefusedError:
            await asyncio.sleep(0.02)  # nothing tells of a listener but a connection
        else:
            break
    client.send(b"mn\r\n")
    assert await client.line() == b"MN\r\n"
    return process, client


@scenario
async def test_after_sigterm_pending_requests_are_answered_and_new_ones_accepted(tmp_path: Path) -> None:
    cache, port = await Peer().start(), free_port()
    process, client = await start(tmp_path / "config.json", port, cache)
    idle = await connect((LOCAL, port))
    client.get("1")
    held = await cache.next()
    process.send_signal(signal.SIGTERM)
    client.get("2")  # on a connection that stays open
    (await cache.next()).reply_value(b"two")
    late = await connect((LOCAL, port))
    late.get("3")
    (await cache.next()).reply_value(b"three")
    assert await late.value("3") == b"three"
    assert await idle.ended()
    assert await late.ended()
    with pytest.raises(ConnectionRefusedError):
        await connect((LOCAL, port))
    held.reply_value(b"one")
    assert [await client.value(n) for n in "12"] == [b"one", b"two"]
    assert await client.ended()
    assert await process.wait() == 0


@scenario
async def test_a_router_can_be_restarted_at_its_address(tmp_path: Path) -> None:
    cache, port = await Peer().start(), free_port()
    for name in "12":
        process, client = await start(tmp_path / "config.json", port, cache)
        client.get(name)
        (await cache.next()).reply_value(b"v")
        assert await client.value(name) == b"v"
        process.kill()
        await process.wait()


async def served_by(cache: Peer, client: Client, name: str) -> None:
    client.get(name)
    (await cache.next()).reply_value(b"v")
    assert await client.value(name) == b"v"


@scenario
@pytest.mark.parametrize("silent", ["watch", "list"])
async def test_sighup_relocates_from_a_hung_discovery(silent: str, tmp_path: Path) -> None:
    cache, other, path, port = (
        await Peer().start(),
        await Peer().start(),
        tmp_path / "config.json",
        free_port(),
    )
    old, new = await Peer(read_http).start(), await Peer(read_http).start()
    process, client = await start(path, port, cache, discovery=f"{LOCAL}:{old.port}")
    call = await old.next()
    if silent == "watch":
        call.respond_list(7, cache.row("c"))
        await old.next()
    path.write_text(json.dumps(config(port, cache.row("c"), discovery=f"{LOCAL}:{new.port}")))
    process.send_signal(signal.SIGHUP)
    call = await new.next()
    assert call.head == b"GET /api/targets"  # whole, whatever the version of the old one was
    await old.ended.acquire()
    await served_by(cache, client, "1")  # the old list stands meanwhile
    call.respond_list(2, other.row("d"))
    assert (await new.next()).head.startswith(b"GET /api/targets?index=2&")
    await served_by(other, client, "2")
    assert old.messages.empty() and old.opened == 1
    process.kill()
    await process.wait()


@scenario
@pytest.mark.parametrize(
    ("text", "mistake"),
    [
        ("", "empty"),
        ("[]", "must hold an object"),
        ('{"settings":{"classes":[{"name":"x"}]},"listen":"h:1","discovery":"nowhere"}', "discovery must be"),
        ('{"settings":{"classes":[{"name":"x","aim":"soon"}]}}', "classes[x].aim must be"),
        (None, "No such file"),
    ],
)
async def test_sighup_with_an_unusable_file_is_rejected(
    text: str | None, mistake: str, tmp_path: Path
) -> None:
    cache, other, path, port = (
        await Peer().start(),
        await Peer().start(),
        tmp_path / "config.json",
        free_port(),
    )
    discovery = await Peer(read_http).start()
    process, client = await start(path, port, cache, discovery=f"{LOCAL}:{discovery.port}")
    (await discovery.next()).respond_list(1, cache.row("c"))
    watch = await discovery.next()
    path.unlink() if text is None else path.write_text(text)
    process.send_signal(signal.SIGHUP)
    assert process.stderr is not None
    while b'"reload_rejected"' not in (line := await process.stderr.readline()):
        assert b"discovery" not in line
    error = json.loads(line)["error"]  # one line: file, field and mistake
    assert str(path) in error and mistake in error
    await served_by(cache, client, "1")
    watch.respond_list(2, other.row("d"))  # the watch goes on
    await discovery.next()
    await served_by(other, client, "2")
    assert discovery.opened == 1
    process.kill()
    await process.wait()
