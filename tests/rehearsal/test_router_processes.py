"""Router processes of a rehearsal, as the kit starts, signals and watches them."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from ironrail.rehearsal.account.record import RouterFacts
from ironrail.rehearsal.routers import Exit, RouterProcess

CONFIG = {"listen": "127.0.0.1:11211", "discovery": "127.0.0.1:9", "operator": "127.0.0.1:19000"}
WATCHER_DELAY_SECONDS = 0.2


def has_ended(pid: int) -> bool:
    """Return whether a child is a zombie: it has ended and its exit code was not read yet."""
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "Z"


def test_a_signal_to_a_process_that_has_just_ended_does_not_change_its_exit_code(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a clean end that is recorded as a crash with exit code 255."""
    waitpid = os.waitpid

    def wait_late(pid: int, options: int) -> Any:
        time.sleep(WATCHER_DELAY_SECONDS)  # as on a busy machine, where the loop's watcher is late
        return waitpid(pid, options)

    monkeypatch.setattr(os, "waitpid", wait_late)
    ends: list[Exit] = []

    async def play() -> None:
        command = (sys.executable, "-S", "-c", "pass")
        router = RouterProcess("r", command, CONFIG, tmp_path, RouterFacts(), lambda _, end: ends.append(end))
        await router.start()
        assert router._process is not None
        while not has_ended(router._process.pid):
            pass
        router.signal(signal.SIGTERM)
        await router.ended()

    asyncio.run(play())
    assert ends == [Exit(0, True)]
