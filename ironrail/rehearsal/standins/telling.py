"""When what an agent has counts as told to its router: the terms by which drains are judged.

What a router was really told counts from then on. Beside that, where lists are pushed, what the agent has
counts as it has it, and from the first moment of a new process, watch or no watch. Where they are asked for
it counts once the router has not asked for too long. A call that can't be answered any more delays both, for
a while: one that fell silent, and one whose answer was spoilt.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable, Iterator

from ironrail.rehearsal.standins.rows import Row
from ironrail.rehearsal.standins.world import World

BROKEN = 6.0  # seconds after a call fell silent, or its answer was spoilt, until what it misses counts
AFTER_WAIT = 2.0  # the same after the wait of a silent watch was over, if that is later
AFTER_MOVE = 4.0  # after a router was told that the list is told elsewhere, where it is pushed
# the same, whatever else is allowed, from when a router whose call failed could have been told
AT_LATEST = 6.0
AFTER_FAILURE = 4.0  # times as long until news counts as told to a router whose call failed
LOOK_AGAIN = 1.0  # seconds until it is looked at again whether news counts as told
GONE = "terminated"

News = tuple[str, str]  # a server, and a state that it is in


class Telling:
    """What counts as told to one router. All times are seconds on the loop's clock."""

    def __init__(
        self, world: World, router: str, rows: dict[str, Row], asked: bool, asks: Callable[[], bool]
    ) -> None:
        """`rows`: what the agent has, as it changes; `asks`: whether a call of the router is open."""
        self._world, self._router, self._rows = world, router, rows
        self._asked, self._asks = asked, asks
        self._ever = dict.fromkeys(rows)  # servers that the agent ever had
        self._broken: dict[object, float] = {}  # calls that tell nothing more: when what they miss counts
        self._silent: set[object] = set()  # those that never began to
        self._moved_at = -math.inf
        self.lost = False  # the agent has another list than the true one: whatever it tells breaks no drain
        self._loop = asyncio.get_running_loop()
        self._asked_at, self._failed = self._loop.time(), False  # the latest call

    # What the router does

    def started(self) -> None:
        """A new process: what the one before it had asked for, or missed, is nothing to it."""
        self._asked_at, self._failed = self._loop.time(), False
        self._broken.clear()
        self._silent.clear()
        self._moved_at = -math.inf
        self.found()

    def called(self, answered: bool) -> None:
        """A call has had its turn, or waited in vain."""
        self._asked_at, self._failed = self._loop.time(), not answered

    def moved(self) -> None:
        """The router is told to ask elsewhere: until now it asked."""
        self._moved_at = self._asked_at = self._loop.time()

    def silenced(self, call: object, waits_until: float) -> None:
        """A call that may wait until then fell silent, for good."""
        self._silent.add(call)
        at = self._broken[call] = max(self._loop.time() + BROKEN, waits_until + AFTER_WAIT)
        if self._asked:  # what it was to be told first
            self._loop.call_at(at, self._count_all, list(self._untold()))

    def reached(self) -> None:
        """Discovery is back: a router that has to ask could not be answered until now."""
        if self._asked:
            self.called(False)

    def closed(self, call: object, watched: bool) -> None:
        """A call's connection is closed. If that was an open watch, or silent, it failed only now."""
        self._broken.pop(call, None)
        if watched or call in self._silent:
            self._silent.discard(call)
            self.called(False)

    # What it is told

    def told(self, call: object, rows: list[Row], full: bool) -> None:
        """It was told so much, really."""
        self.called(True)
        self._broken.pop(call, None)
        if self.lost:
            return
        now, told = self._world.now(), self._world.record.add_state_notice
        for row in rows:
            told(self._router, row.id, row.state, now, row.started_ms)
        if full:
            self._count_all(self._missing({row.id for row in rows}))

    def spoilt(self, call: object, rows: list[Row], full: bool, stops_short: bool) -> None:
        """It was to be told so much, and the answer was spoilt: that counts all the same, some time later."""
        self.called(True)
        if stops_short:  # and says nothing more
            self._broken[call] = self._loop.time() + BROKEN
        if self.lost:
            return
        news = [(row.id, row.state) for row in rows]
        if full:
            news += self._missing({row.id for row in rows})
        self._loop.call_later(BROKEN, self._count_all, news)

    # What the agent has

    def learned(self, row: Row, spoilt: bool) -> None:
        """The agent has news, which its open calls were told already; `spoilt`: and an answer was spoilt."""
        self._ever[row.id] = None
        self._weigh((row.id, row.state), BROKEN if spoilt else 0.0)

    def found(self) -> None:
        """The agent has the true list, and a router that may not know of it."""
        for news in list(self._untold()):
            self._weigh(news, 0.0)

    def _weigh(self, news: News, after: float) -> None:
        now = self._loop.time()
        if self._asked:
            if self._broken:
                self._loop.call_at(max(now, *self._broken.values()), self._count, news)
            self._look(news, now + AT_LATEST)
            return
        due = max(now + after, self._moved_at + AFTER_MOVE, *self._broken.values())
        if due > now:
            self._loop.call_at(due, self._count, news)
        else:
            self._count(news)

    def _look(self, news: News, at_latest: float) -> None:
        """Whether news counts as told to a router that has to ask: once it has not asked for too long.

        After a call that failed it counts some seconds after it could be had, whatever else is allowed.
        """
        if not self._is_news(news):
            return
        allowed = self._world.scenario.registry.must_ask * (AFTER_FAILURE if self._failed else 1.0)
        left = self._asked_at + allowed - self._loop.time()
        if self._broken or self._asks():
            left = max(left, LOOK_AGAIN)
        if self._failed and not self._broken:
            left = min(left, at_latest - self._loop.time())
        if left > 0:
            self._loop.call_later(min(left, LOOK_AGAIN), self._look, news, at_latest)
        else:
            self._count(news)

    def _count_all(self, news: Iterable[News]) -> None:
        for one in news:
            self._count(one)

    def _count(self, news: News) -> None:
        """A router is taken to know it, unless there is later news or the agent has lost its list."""
        if not self.lost and self._is_news(news):
            row = self._rows.get(news[0])
            started = row.started_ms if row is not None else 0
            self._world.record.add_state_notice(self._router, *news, self._world.now(), started)

    def _is_news(self, news: News) -> bool:
        """Whether it is what the agent has, and not what the router knows."""
        server, state = news
        row, known = self._rows.get(server), self._world.record.state_notices.get((self._router, server))
        if state != (row.state if row is not None else GONE):
            return False
        if not known or known[-1].state != state:
            return True
        return (
            row is not None and self._world.record.known_starts.get((self._router, server)) != row.started_ms
        )

    def _untold(self) -> Iterator[News]:
        """What the agent has and the router does not know."""
        rows = self._rows
        there = [(row.id, row.state) for row in rows.values()]
        return filter(self._is_news, [*there, *self._missing(rows.keys())])

    def _missing(self, there: Iterable[str]) -> list[News]:
        """Servers that the router was told of, and a whole list has no longer."""
        told = self._world.record.state_notices
        return [
            (server, GONE) for server in self._ever if server not in there and (self._router, server) in told
        ]
