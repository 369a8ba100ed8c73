"""A timeout on I/O that allows for stalls of the process itself.

The event loop runs due timers before it polls sockets. After a stall, a plain timeout would cancel
an operation whose result has long been readable.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

STALL_THRESHOLD_SECONDS = 0.01
"""If a timer fires later than this, the process is assumed to have stalled."""

STALL_GRACE_SECONDS = 0.05
"""Extra time to read the data that arrived during a stall."""


@asynccontextmanager
async def io_timeout(seconds: float) -> AsyncIterator[None]:
    """Limit the time of the `async with` body.

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
            # A timer that is due in this iteration must not reschedule a timeout that has ended.
            timer.cancel()


def on_timeout_due(loop: asyncio.AbstractEventLoop, timeout: asyncio.Timeout, due: float) -> None:
    """Expire a timeout now, or after a grace period if the process has stalled."""
    now = loop.time()
    if timeout.expired():
        return
    has_stalled = now - due > STALL_THRESHOLD_SECONDS
    timeout.reschedule(now + STALL_GRACE_SECONDS if has_stalled else now)
