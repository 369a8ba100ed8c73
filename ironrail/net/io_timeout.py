"""A timeout on I/O that allows for stalls of the process itself.

The event loop runs timers before it polls sockets. After a stall a plain timeout would cancel an
operation whose result has been readable for long.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

STALL_THRESHOLD_SECONDS = 0.01
"""Delay of a timer from which on the process is taken to have stalled."""

STALL_GRACE_SECONDS = 0.05
"""To read what arrived during a stall."""


@asynccontextmanager
async def io_timeout(seconds: float) -> AsyncIterator[None]:
    """Limit the time of the body.

    Raises:
        TimeoutError: The body takes longer, and not because of a stall of the process.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:
        due = loop.time() + seconds
        timer = loop.call_at(due, on_timeout_due, loop, timeout, due)
        try:
            yield
        finally:
            # A timer that is due in this turn must not find the timeout ended.
            timer.cancel()


def on_timeout_due(loop: asyncio.AbstractEventLoop, timeout: asyncio.Timeout, due: float) -> None:
    """Expire a timeout now, or after a grace period if the process has stalled."""
    now = loop.time()
    if timeout.expired():
        return
    has_stalled = now - due > STALL_THRESHOLD_SECONDS
    timeout.reschedule(now + STALL_GRACE_SECONDS if has_stalled else now)
