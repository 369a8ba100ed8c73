"""Writes the access log in a thread of its own, so that a slow disk delays no request."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from io import FileIO
from pathlib import Path

from ironrail.access_log.record import AccessRecord, RecordBuffer, RequestOutcome, RotationLimit
from ironrail.net.protocol.meta_codec import Command, read_numeric_field
from ironrail.net.system import REAL, System
from ironrail.operator_file import AccessLogSettings, OperatorError

log = logging.getLogger(__name__)

FLUSH_INTERVAL_SECONDS = 0.5
# Records encoded in one step. Larger batches would hold up the event loop, as the encoding thread
# holds the interpreter lock.
MAX_BATCH_RECORDS = 500
# Bounded, as a hanging disk must not keep a router from exiting.
FINAL_FLUSH_TIMEOUT_SECONDS = 0.5
ROTATED_SUFFIX = ".1"
MEGABYTE_BYTES = 1024**2
MICROSECONDS_PER_SECOND = 1e6


class AccessLogFile:
    """The rotating log file. Used from one thread at a time."""

    def __init__(self, path: Path, max_bytes: int) -> None:
        """Open the file.

        Raises:
            OperatorError: The file can't be opened.
        """
        self._path = path
        self._limit = RotationLimit(max_bytes)
        self._file: FileIO | None = None
        try:
            self.reopen()
        except OSError as error:
            reason = error.strerror or error
            raise OperatorError(f"access_log.path: {path}: {reason}") from error

    def reopen(self) -> None:
        """Open the path again after the file was moved away; keep the old file if that fails."""
        previous = self._file
        self._file = self._path.open("ab", buffering=0)
        if previous is not None:
            previous.close()
        self._limit.file_bytes = os.fstat(self._file.fileno()).st_size

    def write(self, data: bytes) -> None:
        """Append complete lines; rotate the file first if they exceed its size limit.

        Raises:
            OSError: The lines can't be written, and are lost.
        """
        assert self._file is not None
        if self._limit.must_rotate(len(data)):
            os.replace(self._path, self._path.with_name(self._path.name + ROTATED_SUFFIX))
            self.reopen()
        self._limit.add(len(data))
        self._file.write(data)

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()


class AccessLogRecorder:
    """Records completed requests and writes them in the background."""

    def __init__(self, settings: AccessLogSettings, system: System = REAL) -> None:
        self._buffer = RecordBuffer(
            settings.sample_ratio, settings.load_secret(), settings.hash_keys
        )
        max_bytes = settings.max_megabytes * MEGABYTE_BYTES
        self._file = AccessLogFile(Path(settings.path), max_bytes)
        self._system = system
        self._thread = ThreadPoolExecutor(1, "access-log")
        self._task: asyncio.Task[None] | None = None
        self._stopping = asyncio.Event()
        self._dropped_logged = 0  # how many of the buffer's dropped records were logged

    def start(self) -> None:
        """Write buffered records from now on."""
        self._task = asyncio.create_task(self._run())

    def record(
        self, command: Command, duration: float, outcome: RequestOutcome, value_bytes: int
    ) -> None:
        """Record a completed request if it is sampled.

        Args:
            command: The request.
            duration: Seconds since it was received.
            outcome: How it ended.
            value_bytes: Size of the value in its response; 0 if there is none.
        """
        idempotency_key = command.fields.get("k", "")
        if self._buffer.samples(idempotency_key.encode() or command.request_id):
            self._buffer.add(self._make_record(command, duration, outcome, value_bytes))

    def _make_record(
        self, command: Command, duration: float, outcome: RequestOutcome, value_bytes: int
    ) -> AccessRecord:
        fields = command.fields
        hint = read_numeric_field(fields, "h")
        return AccessRecord(
            started_at=self._system.wall() - duration,
            duration=duration,
            request_class=fields["c"],
            tenant=fields.get("t", ""),
            key=command.key,
            value_bytes=value_bytes or len(command.value or b""),
            is_write=command.is_write,
            outcome=outcome,
            idempotency_key=fields.get("k", ""),
            expected_seconds=0.0 if hint is None else hint / MICROSECONDS_PER_SECOND,
            is_retry=fields.get("r") == "1",
        )

    def reopen(self) -> None:
        """Open the file again after it was moved away."""
        self._thread.submit(_log_errors, self._file.reopen)

    async def _run(self) -> None:
        while not self._stopping.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FLUSH_INTERVAL_SECONDS):
                    await self._stopping.wait()
            await self._flush()

    async def _flush(self) -> None:
        records = self._buffer.take()
        for start in range(0, len(records), MAX_BATCH_RECORDS):
            batch = records[start : start + MAX_BATCH_RECORDS]
            await asyncio.wrap_future(self._thread.submit(_log_errors, self._write, batch))
        dropped = self._buffer.dropped - self._dropped_logged
        if dropped > 0:
            log.warning("access_log_lines_dropped", extra={"lines": dropped})
            self._dropped_logged = self._buffer.dropped

    def _write(self, records: list[AccessRecord]) -> None:
        self._file.write(self._buffer.encode(records))

    async def stop(self) -> None:
        """Write what is buffered, for `FINAL_FLUSH_TIMEOUT_SECONDS` at most."""
        self._stopping.set()
        if self._task is not None:
            done, _ = await asyncio.wait([self._task], timeout=FINAL_FLUSH_TIMEOUT_SECONDS)
            if not done:
                log.warning("access_log_flush_timed_out")
                return
        self._thread.shutdown()
        self._file.close()


def _log_errors(action: Callable[..., None], *arguments: object) -> None:
    """Run `action` in the writer's thread; log an I/O error, at which only log lines are lost."""
    try:
        action(*arguments)
    except OSError as error:
        log.warning("access_log_write_failed", extra={"error": str(error)})
