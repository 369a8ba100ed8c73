"""How a router ends once it is told to: until when it takes what, and by when all it holds is answered."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ironrail.policy.settings import Settings

if TYPE_CHECKING:
    from ironrail.net.downstream.client_listener import ClientListener

# The protocol's: SIGKILL comes no sooner after SIGTERM than the longest deadline, but at most so many seconds
LONGEST_WAIT = 3.0
GRACE = 0.7  # and so many more
# seconds before that by which all has its answer: the signal may be noticed late, and answers take their time
MARGIN = 0.15
LAST_BYTES = 0.1  # seconds of that for clients to take what is written, and to close first
# seconds in which clients still connect: 0.4 by the protocol, and some to spare
LAST_CONNECTIONS = 0.45
LAST_REST = 0.55  # seconds after that in which a connection that rests may still be used
# seconds after SIGTERM in which a command may end, where nobody else serves meanwhile
LAST_HALVES = 1.5
LOOK = 0.1  # seconds between looks at those that are still there
LAST_LOOK = 0.01  # the same once all that is held is being answered

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The steps of an end, in seconds after SIGTERM, each no sooner than the one before."""

    connections: float  # until then clients still connect
    rest: float  # until then a connection that rests may still be used
    halves: float  # until then a command may end, where nobody else serves meanwhile
    answers: float  # then all that is held has its answer
    end: float  # then the process ends, whoever is still there


def shutdown_schedule(settings: Settings) -> ShutdownSchedule:
    """As long as deadlines are: where all are short, SIGKILL comes sooner, and the steps shrink."""
    longest = max(known.client_timeout for known in settings.classes.values())
    answers = min(LONGEST_WAIT, longest) + GRACE - MARGIN
    rest = LAST_CONNECTIONS + min(LAST_REST, (answers - LAST_CONNECTIONS) / 2)
    halves = min(LAST_HALVES, (rest + answers) / 2)
    return ShutdownSchedule(LAST_CONNECTIONS, rest, halves, answers, answers + LAST_BYTES)


async def shut_down_gracefully(
    clients: ClientListener,
    settings: Settings,
    now: Callable[[], float],
    served: Callable[[], bool],
    told_at: float | None = None,
) -> None:
    """Take what still comes, answer all that is held, and return once the last has gone or time is up.

    What is closed unread has never run, as its client may ask for it again elsewhere.

    `served`: whether another process listens at the address, asked once ours no longer does. `told_at`: when
    SIGTERM may have come at the earliest, where the process was held up and noticed it later.
    """
    began, steps = now() if told_at is None else told_at, shutdown_schedule(settings)
    await asyncio.sleep(began + steps.connections - now())
    clients.stop_listening()
    alone = not served()
    await asyncio.sleep(began + steps.rest - now())
    drained = asyncio.create_task(clients.wait_closed())
    while not drained.done() and (left := began + steps.answers - now()) > 0:
        clients.close_idle(alone and now() - began >= steps.halves)
        await asyncio.wait([drained], timeout=max(LAST_LOOK, min(LOOK, left)))
    if not drained.done():
        log.warning("clients_stay_to_the_last")
        clients.reject_all()
    while not drained.done() and now() - began < steps.end:
        clients.close_idle(close_partial=True)
        await asyncio.wait([drained], timeout=LAST_LOOK)
    drained.cancel()
