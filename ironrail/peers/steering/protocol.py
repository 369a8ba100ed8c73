"""The room of regions: what a driver drives. Pure.

Words travel as rumours do: whoever learns one passes it on to a few routers drawn by chance, newest and
largest change first, within a pace; unchanged words are told anew after a renewal.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Mapping, Sequence

from ironrail.errors import InputError
from ironrail.peers.messages import MOST_HALLS, MOST_ROUTERS, Outgoing, Priority, Received, Topic
from ironrail.peers.steering.cost_model import EQUAL, NOWHERE, Expected, Hall, Worth
from ironrail.peers.steering.local_statistics import Own, time_left
from ironrail.peers.steering.proposal import USUAL, Bounds, Past, Proposal, Rows
from ironrail.peers.steering.regions import Regions
from ironrail.peers.steering.reports import (
    MOST_BODY,
    MOST_CLASSES,
    MOST_SEQUENCE,
    Report,
    ReportError,
    decode,
    encode,
    unpack,
)
from ironrail.peers.steering.planner import Steering
from ironrail.peers.steering.report_table import NEW, Cell, Table

PACE = 400.0  # bytes/s that go out, of the 2 kB/s that a router has for its peers
ENVELOPE = 56  # bytes of a datagram beside the body
COPIES = 4  # routers that each who learns a word passes it on to: 98 of 100 learn it, the rest by its renewal
MOST_WAITING = 2048  # words to be passed on; beyond it those of the least change go
LEFT_WAITING = MOST_WAITING * 7 // 8  # so many at once: to look through all for each word took 0.5 ms a word
LOOK = 5  # seconds in which each region is looked at once for what is worth telling
WORTH_TELLING = 2  # buckets of change, a step of 1.3, before the renewal
LEAST_BETWEEN = 15.0  # seconds between two words on one region for the sake of figures


class RoomError(InputError):
    """Halls, routers or classes that can't be used."""

    advice = "Give each router of `peers` one of at most 64 different halls."


class RegionsRoom:
    """What router `me` sees, hears and says of regions, and what rows it would propose."""

    topic = Topic.STEERING

    def __init__(
        self,
        now: float,
        me: int,
        start: int,
        regions: Regions,
        halls: Sequence[str],
        hall_of: Sequence[int],
        classes: Sequence[str],
        draws: random.Random,
    ) -> None:
        """`start`: above those before it. `hall_of`: each router's hall by number. `classes`: in an
        order that all routers share; only the first six are told of."""
        if len(set(halls)) < len(halls) or not 0 < len(halls) <= MOST_HALLS or len(hall_of) > MOST_ROUTERS:
            raise RoomError(f"{len(halls)} halls, {len(hall_of)} routers", "peers")
        if not 0 <= me < len(hall_of) or not all(0 <= hall < len(halls) for hall in hall_of):
            raise RoomError("a router without a hall", "peers")
        self._me, self._start, self._draws = me, start, draws
        self._halls, self._hall_of, self._classes = tuple(halls), hall_of, tuple(classes[:MOST_CLASSES])
        self._regions, self._numbers = regions, {name: n for n, name in enumerate(self._classes)}
        self.table = Table(hall_of, len(halls), len(regions.names))
        self.own, self.past = Own(now), Past()
        self._sequence = 0
        self._waiting: dict[
            tuple[int, int], tuple[int, int, float]
        ] = {}  # witness, region: change, copies, at
        self._told_at: dict[int, float] = {}
        self._out: list[Outgoing] = []
        self._tokens, self._tokens_at, self._tick, self._tick_at = 0.0, now, 0, now
        self.unusable = 0  # messages that were no reports of these regions

    def client_rtt(self, now: float, region: str, seconds: float) -> None:
        """A client's round trip, as its socket tells it."""
        self.own.client_rtt(now, self._regions.numbers.get(region, 0), seconds)

    def served(
        self, now: float, region: str, cls: str, seconds: float, wanted_ok: bool, gone_early: bool
    ) -> None:
        """A request's end. Classes that aren't told of go unseen."""
        number = self._numbers.get(cls)
        if number is not None:
            region_number = self._regions.numbers.get(region, 0)
            self.own.served(now, region_number, number, seconds, wanted_ok, gone_early)

    def time_left(self, now: float, region: str, left: float) -> float:
        """Of a request that has `left` seconds until its reader needs the answer."""
        return time_left(left, self.own.way_back(now, self._regions.numbers.get(region, 0)))

    def on_message(self, now: float, heard: Received) -> None:
        try:
            reports = decode(heard.body, self._regions.digest, len(self._hall_of), len(self._regions.names))
        except ReportError:
            self.unusable += 1
            return
        for report in reports:
            if report.witness != self._me:  # nobody tells a router what it saw
                self._pass_on(now, report)

    def on_timer(self, now: float) -> None:
        if now >= self._tick_at:
            self._tick_at = now + 1.0
            self._tick += 1
            for region in list(self.own.regions()):
                if (region + self._tick) % LOOK == 0:
                    self._consider(now, region)
        self._tokens = min(MOST_BODY + ENVELOPE, self._tokens + PACE * max(0.0, now - self._tokens_at))
        self._tokens_at = now
        if self._waiting and self._tokens > MOST_BODY + ENVELOPE - 1e-6:  # sums round
            self._compose(now)

    def take_outgoing(self) -> list[Outgoing]:
        out, self._out = self._out, []
        return out

    def next_timer_at(self) -> float:
        if not self._waiting:
            return self._tick_at
        return min(self._tick_at, self._tokens_at + (MOST_BODY + ENVELOPE - self._tokens) / PACE)

    def cells(self, now: float) -> dict[tuple[str, str], Cell]:
        """All that is known, by region and hall. What isn't there is unknown."""
        names = self._regions.names
        return {(names[r], self._halls[h]): cell for r, h, cell in self.table.cells(now)}

    def in_force(self, now: float, rows: Rows) -> None:
        """The policy's rows from now on: they start the dwell of what they change."""
        self.past.note(now, rows, lambda region: self._seen(now, region))

    def propose(
        self,
        now: float,
        rows: Rows,
        halls: Mapping[str, Hall],
        links: Mapping[str, float],
        worth: Worth = EQUAL,
        bounds: Bounds = USUAL,
    ) -> Proposal:
        """Rows in place of those in force. Halls not named are closed; `links`: see `Expected`."""
        cells = self.cells(now)
        known = {name: halls.get(name, NOWHERE) for name in self._halls}
        expected = Expected(cells, links, known, self._classes, worth)
        rates = {key: cell.rate for key, cell in cells.items()}
        worths = {name: worth.of(name) for name in self._regions.names}
        return Steering(rows, expected, rates, known, worths, self.past.lately(now), bounds).propose()

    def _seen(self, now: float, region: str) -> dict[str, float]:
        number = self._regions.numbers.get(region, 0)
        found = {hall: self.table.estimate(now, n, number) for n, hall in enumerate(self._halls)}
        total = sum(cell.rate for cell in found.values() if cell is not None)
        return {hall: cell.rate / total for hall, cell in found.items() if cell is not None}

    def _consider(self, now: float, region: int) -> None:
        """Is there something worth telling of the own hall?"""
        summary = self.own.summary(now, region)
        if summary is None or not self.table.may_speak(now, self._me, region):
            return
        held = self.table.held(self._me, region)
        if held is not None and held.start == self._start:
            since = now - self._told_at.get(region, -math.inf)
            change = summary.differs(unpack(held.values))
            if since < LEAST_BETWEEN or (change < WORTH_TELLING and since < self.table.renewal):
                return
        self._sequence = min(MOST_SEQUENCE - 1, self._sequence + 1)
        self._told_at[region] = now
        self._pass_on(now, Report(self._me, self._start, region, self._sequence, summary.pack(), 0.0))

    def _pass_on(self, now: float, report: Report) -> None:
        change = self.table.merge(now, report)
        if change < 0 or len(self._hall_of) == 1:
            return
        key = report.witness, report.region
        before = self._waiting.get(key, (0, 0, 0.0))[0]
        self._waiting[key] = max(before, min(change, NEW)), COPIES, now
        if len(self._waiting) > MOST_WAITING:
            kept = heapq.nlargest(
                LEFT_WAITING, self._waiting.items(), key=lambda item: (item[1][0], item[1][2])
            )
            self._waiting = dict(kept)

    def _compose(self, now: float) -> None:
        most = MOST_BODY // 7  # no word takes less
        first = heapq.nlargest(
            most, self._waiting.items(), key=lambda item: (item[1][0], item[1][2], item[0])
        )
        words = []
        for (witness, region), _ in first:
            report = self.table.report(now, witness, region)
            if report is None:
                del self._waiting[witness, region]
            else:
                words.append(report)
        body, taken = encode(self._regions.digest, words)
        for word in words[:taken]:
            change, copies, at = self._waiting.pop((word.witness, word.region))
            if copies > 1:
                self._waiting[word.witness, word.region] = change, copies - 1, at
        if taken:
            self._tokens -= len(body) + ENVELOPE
            peer = self._draws.randrange(len(self._hall_of) - 1)
            self._out.append(Outgoing(peer + (peer >= self._me), self.topic, body, Priority.GOSSIP))
