"""Records the events of a run: a digest that identifies it, and its latest events as text. Pure."""

from __future__ import annotations

import hashlib
from collections import deque

MAX_SHOWN_BYTES = 80  # per event line


class Trace:
    """Records every network and process event in order.

    Runs with equal digests had the same events, at the same microsecond, with the same bytes.
    """

    def __init__(self, kept: int = 0) -> None:
        self._digest = hashlib.blake2b(digest_size=12)
        self.events = 0
        self.lines: deque[str] = deque(maxlen=kept)
        self._kept = kept

    def add(self, at: float, what: str, where: str, data: bytes = b"") -> None:
        """Record an event: time in seconds, kind, place, and the bytes transferred."""
        self.events += 1
        self._digest.update(b"%.6f %s %s %d:" % (at, what.encode(), where.encode(), len(data)))
        self._digest.update(data)
        if self._kept:
            shown = (
                repr(data[:MAX_SHOWN_BYTES])[2:-1] + ("..." if len(data) > MAX_SHOWN_BYTES else "")
                if data
                else ""
            )
            self.lines.append(f"{at:10.6f} {what:8} {where} {shown}".rstrip())

    def hexdigest(self) -> str:
        return self._digest.hexdigest()
