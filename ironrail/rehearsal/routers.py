"""Router processes under test: started, watched, signalled and ended from outside."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import psutil

from ironrail.net.discovery.endpoint_list import read_address
from ironrail.rehearsal.account.record import RouterFacts

KILL_TIMEOUT_SECONDS = 5.0
LOG_TAIL_BYTES = 64 * 1024  # the end of a log that is kept
MAX_LOG_BYTES = 64 * 1024**2  # a router that logs more is killed before it fills the machine
LIBC = ctypes.CDLL(None, use_errno=True)
PR_SET_PDEATHSIG = 1  # prctl(2)
OWN_ROUTER = (sys.executable, "-B", "-m", "ironrail")


def end_with_parent() -> None:
    """Make Linux kill this child process when its parent dies, so that no router outlives the kit."""
    if sys.platform == "linux":
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(frozen=True, slots=True)
class Exit:
    """How a process ended."""

    code: int
    asked: bool  # its end had been requested

    def __str__(self) -> str:
        return f"signal {-self.code}" if self.code < 0 else f"exit code {self.code}"


class RouterProcess:
    """One router process, which may be started again under its name and address."""

    def __init__(
        self,
        name: str,
        command: tuple[str, ...],
        config: dict[str, Any],
        folder: Path,
        facts: RouterFacts,
        on_exit: Callable[[RouterProcess, Exit], None],
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name, self._command, self._config = name, command, config
        self._folder, self.facts, self._on_exit = folder, facts, on_exit
        self._environment = environment or {}
        self.address = read_address(config["listen"])
        self.admin_endpoint = read_address(config["operator"])
        self._process: asyncio.subprocess.Process | None = None
        self._usage: psutil.Process | None = None
        self._watcher: asyncio.Task[None] | None = None
        self._asked = False
        self.log = b""

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    def configure(self, **fields: str) -> None:
        """Change fields of the configuration file; a running process reads them on SIGHUP."""
        self._config = self._config | fields
        self._write_config()

    def _write_config(self) -> Path:
        path = self._folder / f"{self.name}.json"
        partial = path.with_suffix(".half")
        partial.write_text(json.dumps(self._config))
        partial.replace(path)  # atomic: a concurrent reader gets the complete old file
        return path

    async def start(self) -> None:
        """Start the process; `ground.ready` waits until it serves."""
        path = self._write_config()
        environ = {
            **os.environ,
            **self._environment,
            "NODE_NAME": self.name,
            "NODE_LISTEN": self._config["listen"],
            "NODE_DISCOVERY": self._config["discovery"],
            "NODE_CONFIG": str(path),
        }
        self._asked = False
        self._process = await asyncio.create_subprocess_exec(
            *self._command,
            env=environ,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            start_new_session=True,  # Ctrl-C must reach only the kit
            preexec_fn=end_with_parent,
        )
        with contextlib.suppress(psutil.Error):
            self._usage = psutil.Process(self._process.pid)
        self._watcher = asyncio.create_task(self._watch(self._process))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while data := await process.stdout.read(LOG_TAIL_BYTES):
            self.facts.log_bytes += len(data)
            self.log = (self.log + data)[-LOG_TAIL_BYTES:]
            if self.facts.log_bytes > MAX_LOG_BYTES:
                self.signal(signal.SIGKILL, asked=False)
                break
        code = await process.wait()
        self._on_exit(self, Exit(code, self._asked))

    def signal(self, number: signal.Signals, asked: bool = True) -> None:
        """Send a signal; `asked` is whether it requests the end of the process."""
        if self._process is not None and self._process.returncode is None:
            self._asked = self._asked or asked
            # `Process.send_signal` would reap an ended process, and `_watch` would miss its exit code
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    async def ended(self) -> None:
        """Wait until the process has ended and its log is read."""
        if self._watcher is not None:
            await asyncio.shield(self._watcher)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(KILL_TIMEOUT_SECONDS):
                await self.ended()

    def sample(self) -> tuple[int, int] | None:
        """Return memory in bytes and open descriptors, and record their maxima; None if not running."""
        if self._usage is None or not self.running:
            return None
        try:
            memory, descriptors = self._usage.memory_info().rss, self._usage.num_fds()
        except psutil.Error:
            return None
        self.facts.memory = max(self.facts.memory, memory)
        self.facts.descriptors = max(self.facts.descriptors, descriptors)
        return memory, descriptors
