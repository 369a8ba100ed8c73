"""Writes the access log, off the path of requests: a thread of its own has the file."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from io import FileIO
from pathlib import Path

from ironrail.access_log.keep import Keeper, Line, RequestOutcome, Room
from ironrail.net.protocol.meta_codec import Command, read_figure
from ironrail.net.system import REAL, System
from ironrail.operator_file import AccessLog, OperatorError

log = logging.getLogger(__name__)

FLUSH = 0.5  # seconds between writes: what a killed process loses
CHUNK = 500  # lines turned into text at once: longer would hold up the loop, which shares the interpreter
# seconds for what is left at the end: a disk that hangs must not keep a router from ending
LAST_FLUSH = 0.5
OLD = ".1"  # behind the name of the file that was full


class Writer:
    """The file. Used from one thread at a time."""

    def __init__(self, path: Path, most: int) -> None:
        """Open it; OperatorError if that can't be done."""
        self._path = path
        self._room = Room(most)
        self._file: FileIO | None = None
        try:
            self._open()
        except OSError as e:
            raise OperatorError(f"access_log.path: {path}: {e.strerror or e}") from e

    def _open(self) -> None:
        """Guards against having no file at all: where there can be no new one the old one stays."""
        old, self._file = self._file, self._path.open("ab", buffering=0)
        if old is not None:
            old.close()
        self._room.held = os.fstat(self._file.fileno()).st_size

    def write(self, data: bytes) -> None:
        assert self._file is not None
        held = self._room.held
        if not self._room.takes(len(data)):
            try:
                os.replace(self._path, self._path.with_name(self._path.name + OLD))
                self._open()
            except OSError:  # these lines are lost, and shorter ones may still fit
                self._room.held = held
                raise
            self._room.held = len(data)
        self._file.write(data)

    def reopen(self) -> None:
        """Whoever rotates files has moved this one away."""
        self._open()

    def close(self) -> None:
        if self._file is not None:
            self._file.close()


class AccessLogRecorder:
    """Takes note of each request that ends, and has it written down soon."""

    def __init__(self, conf: AccessLog, system: System = REAL) -> None:
        self._keeper = Keeper(conf.sample, conf.secret(), conf.hash_keys)
        self._writer = Writer(Path(conf.path), conf.most_mb * 1024**2)
        self._system = system
        self._thread = ThreadPoolExecutor(1, "access-log")
        self._task: asyncio.Task[None] | None = None
        self._stopping = asyncio.Event()
        self._lost = 0  # lines dropped, of which the log has been told

    def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    def note(self, command: Command, took: float, ended: RequestOutcome, size: int) -> None:
        """A request has ended, so many seconds after it was taken."""
        fields = command.fields
        idempotency = fields.get("k", "")
        if not self._keeper.keeps(idempotency.encode() or command.request_id):
            return
        hint = read_figure(fields, "h")
        self._keeper.add(
            Line(
                self._system.wall() - took,
                took,
                fields["c"],
                fields.get("t", ""),
                command.key,
                size or len(command.value or b""),
                command.is_write,
                ended,
                idempotency,
                0.0 if hint is None else hint / 1e6,
                fields.get("r") == "1",
            )
        )

    def reopen(self) -> None:
        """The file has been moved: begin a new one of the same name."""
        self._thread.submit(self._guarded, self._writer.reopen)

    async def _run(self) -> None:
        while not self._stopping.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FLUSH):
                    await self._stopping.wait()
            await self._flush()

    async def _flush(self) -> None:
        lines = self._keeper.take()
        for begin in range(0, len(lines), CHUNK):
            chunk = lines[begin : begin + CHUNK]
            await asyncio.wrap_future(self._thread.submit(self._guarded, self._write, chunk))
        if self._keeper.dropped > self._lost:
            log.warning("access_lines_dropped", extra={"lines": self._keeper.dropped - self._lost})
            self._lost = self._keeper.dropped

    def _write(self, lines: list[Line]) -> None:
        self._writer.write(self._keeper.write(lines))

    @staticmethod
    def _guarded(act: Callable[..., None], *what: object) -> None:
        """Guards service against a disk that is full or gone: the lines are lost, and the log says so."""
        try:
            act(*what)
        except OSError as e:
            log.warning("access_log_fails", extra={"error": str(e)})

    async def stop(self) -> None:
        """Write what is left, unless the disk holds it up."""
        self._stopping.set()
        if self._task is not None:
            done, _ = await asyncio.wait([self._task], timeout=LAST_FLUSH)
            if not done:
                log.warning("access_log_is_held_up")
                return
        self._thread.shutdown()
        self._writer.close()
