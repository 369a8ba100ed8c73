"""The daemon's log: one JSON object a line, with the event's name and its fields.

`at` is local time, `level` a level of `logging`, `event` a name that is stable across releases.
"""

from __future__ import annotations

import logging
import os
import select
import sys
import time
from collections import deque

from pythonjsonlogger.orjson import OrjsonFormatter

FIELD_NAMES = {"asctime": "at", "levelname": "level", "message": "event"}
MAX_PENDING_BYTES = 256 * 1024
FINAL_FLUSH_SECONDS = 0.3
FINAL_FLUSH_INTERVAL_SECONDS = 0.005


def json_formatter() -> logging.Formatter:
    """Return a formatter that writes a log record as one line of JSON."""
    return OrjsonFormatter("{asctime}{levelname}{message}", style="{", rename_fields=FIELD_NAMES)


class DescriptorHandler(logging.Handler):
    """Writes lines to a descriptor; one that can't be written now is tried again with the next.

    A reader that has stopped, or a full disk, must not hold up the process or fail a request.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to `descriptor`, which other processes may share."""
        super().__init__()
        self._descriptor = descriptor
        self._writable = select.poll()
        self._writable.register(descriptor, select.POLLOUT)
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, behind those that are pending."""
        try:
            line = self.format(record).encode(errors="replace") + b"\n"
        except Exception:  # a field that can't be formatted
            self.handleError(record)
            return
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self._dropped += 1
        else:
            self._append(line)
        self.flush()

    def flush(self) -> None:
        """Write pending lines as far as that is possible without waiting."""
        while self._pending and self._write_some():
            pass
        if self._dropped and not self._pending:
            record = logging.makeLogRecord({"msg": "log_lines_dropped", "lines": self._dropped})
            self._dropped = 0
            record.levelno = logging.WARNING
            record.levelname = "WARNING"
            self._append(self.format(record).encode() + b"\n")
            self._write_some()

    def close(self) -> None:
        """Write what is pending, and wait for its reader for `FINAL_FLUSH_SECONDS` at most."""
        give_up_at = time.monotonic() + FINAL_FLUSH_SECONDS
        while self._pending and time.monotonic() < give_up_at:
            self.flush()
            time.sleep(FINAL_FLUSH_INTERVAL_SECONDS)
        super().close()

    def _append(self, line: bytes) -> None:
        self._pending.append(line)
        self._pending_bytes += len(line)

    def _write_some(self) -> bool:
        """Write the first pending line or a part of it; return whether that worked."""
        try:
            if not self._writable.poll(0):
                return False
            # A pipe that is writable takes this much without blocking.
            written = os.write(self._descriptor, self._pending[0][: select.PIPE_BUF])
        except OSError:
            return False
        self._pending_bytes -= written
        rest = self._pending[0][written:]
        if rest:
            self._pending[0] = rest
        else:
            self._pending.popleft()
        return True


def log_to_stderr() -> None:
    """Write this process's log to standard error from now on."""
    handler = DescriptorHandler(sys.stderr.fileno())
    handler.setFormatter(json_formatter())
    logging.basicConfig(level=logging.INFO, handlers=[handler])
