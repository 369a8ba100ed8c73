"""Takes no notice of being told to end until its event loop runs."""

from __future__ import annotations

import signal

FOUND = "it did not end on a SIGTERM right after its start"
SEED = 1


def break_it() -> None:
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
