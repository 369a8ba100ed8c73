"""Exits at once when it is told to end a second time, whatever is in flight."""

from __future__ import annotations

import asyncio
import os
import signal

from ironrail.net.lifecycle.node import Node

FOUND = "one-answer"
SEED = 1


def break_it() -> None:
    handle_signals = Node._handle_signals

    def impatient(self: Node, shutdown_requested: asyncio.Event) -> None:
        handle_signals(self, shutdown_requested)

        def on_term() -> None:
            if shutdown_requested.is_set():
                os._exit(0)
            self._shutdown_requested_at = self._dispatcher.monitor.earliest_event()
            shutdown_requested.set()

        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, on_term)

    Node._handle_signals = impatient  # type: ignore[method-assign]
