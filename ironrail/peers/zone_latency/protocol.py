"""The room of the map of latency: what a driver drives. Pure."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

from ironrail.errors import InputError
from ironrail.peers.messages import MOST_HALLS, Outgoing, Priority, Received, Topic
from ironrail.peers.zone_latency.link_monitor import Evidence
from ironrail.peers.zone_latency.snapshot import Facts, HallsSeen
from ironrail.peers.zone_latency.reports import Report, ReportError, decode, differ, pack
from ironrail.peers.zone_latency.link_tracker import Link
from ironrail.peers.zone_latency.gossip_scheduler import Spread
from ironrail.peers.zone_latency.report_table import Estimate, Table

RETOLD = 0.25  # of a renewal at least between two reports of a link for the sake of figures alone
LOOK = 0.25  # seconds between two looks at the map for the facts
SWEEP = 5.0  # seconds between two looks for what is to be renewed or let go
EARLIER = 0.25  # of a renewal by which it may come early, drawn: routers that start together don't renew so


class HallsError(InputError):
    """Halls that no map can be kept of."""

    advice = "Give each router of `peers` one of at most 64 different halls."


class LatencyRoom:
    """What router `me` sees, hears and says of the links between halls."""

    topic = Topic.ZONE_LATENCY

    def __init__(
        self,
        now: float,
        me: int,
        start: int,
        halls: Sequence[str],
        hall_of: Sequence[int],
        draws: random.Random,
    ) -> None:
        """`start`: of this process, above those before it. `hall_of`: each router's hall by number."""
        if len(set(halls)) < len(halls) or not 0 < len(halls) <= MOST_HALLS:
            raise HallsError(f"{len(halls)} halls, where 1 to {MOST_HALLS} different ones may be", "halls")
        if not 0 <= me < len(hall_of) or not all(0 <= hall < len(halls) for hall in hall_of):
            raise HallsError("a router without a hall", "peers")
        self._me, self._start, self._draws = me, start, draws
        self._hall, self._routers, self._halls = hall_of[me], len(hall_of), len(halls)
        self.table = Table(hall_of, len(halls))
        self.evidence = Evidence(self._hall, self._suspected)
        self._spread = Spread(self.table)
        self._facts = Facts(halls[self._hall], halls)
        self._sequences: dict[int, int] = {}
        self._told_at: dict[int, float] = {}
        self._renew_at: dict[int, float] = {}
        self._out: list[Outgoing] = []
        self._fresh: HallsSeen | None = None
        self._look_at, self._sweep_at = now, now + SWEEP
        self.unusable = 0  # messages that were no reports
        self.prefer: Callable[[float], int | None] = lambda now: None  # who is to be told next, if it matters

    def observe(self, now: float, to_hall: int, seconds: float) -> None:
        """A round trip of so many seconds, others' work taken off as far as it is known."""
        closed = self.evidence.observe(now, to_hall, seconds)
        if closed is not None:
            self._consider(now, closed)

    def lost(self, now: float, to_hall: int) -> None:
        """A round trip that was given up."""
        closed = self.evidence.lost(now, to_hall)
        if closed is not None:
            self._consider(now, closed)

    def heard(self, now: float, to_hall: int) -> None:
        """Something came back, after a time that tells nothing of the way."""
        closed = self.evidence.heard(now, to_hall)
        if closed is not None:
            self._consider(now, closed)

    def silent(self, now: float, to_hall: int, seconds: float) -> None:
        """Somebody waited so long for a word, and none came."""
        closed = self.evidence.silent(now, to_hall, seconds)
        if closed is not None:
            self._consider(now, closed)

    def on_message(self, now: float, heard: Received) -> None:
        try:
            reports = decode(heard.body, self._routers, self._halls)
        except ReportError:
            self.unusable += 1
            return
        for report in reports:
            if report.witness != self._me:  # nobody tells a router what it saw
                self._spread.note(report.witness, report.to, self.table.merge(now, report))

    def on_timer(self, now: float) -> None:
        for hall in self.evidence.close_due(now):
            self._consider(now, hall)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP
            self.table.sweep(now)
            for hall, sight in self.evidence.sights.items():
                held = self.table.held(self._me, hall)
                if now >= self._renew_at.get(hall, math.inf) and (held is None or sight.at > held.born):
                    self._report(now, hall)
        if now >= self._look_at:
            self._look_at = now + LOOK
            links = [self.table.estimate(now, self._hall, to) for to in range(self._halls)]
            self._fresh = self._facts.update(now, links) or self._fresh
        if self._routers > 1 and now >= self._spread.due():
            body = self._spread.compose(now)
            if body:
                self._out.append(Outgoing(self._peer(now), self.topic, body, Priority.GOSSIP))

    def _peer(self, now: float) -> int:
        """A drawn one for changes of state, which are to spread; else whoever is preferred."""
        preferred = None if self._spread.hurried else self.prefer(now)
        if preferred is not None:
            return preferred
        peer = self._draws.randrange(self._routers - 1)
        return peer + (peer >= self._me)

    def take_outgoing(self) -> list[Outgoing]:
        out, self._out = self._out, []
        return out

    def next_timer_at(self) -> float:
        due = self._spread.due() if self._routers > 1 else math.inf  # alone it has nobody to tell
        return min(self._look_at, self._sweep_at, self.evidence.due(), due)

    def facts(self) -> HallsSeen | None:
        """The latest table for whoever decides, once, if there is one since the last call."""
        fresh, self._fresh = self._fresh, None
        return fresh

    def estimate(self, now: float, hall: int, to: int) -> Estimate:
        """What the map says of a link between any two halls."""
        return self.table.estimate(now, hall, to)

    def _suspected(self, now: float, hall: int) -> bool:
        return self.table.suspected(now, self._hall, hall, self._me)

    def _consider(self, now: float, hall: int) -> None:
        """New evidence: is it worth telling before its renewal?"""
        sight = self.evidence.sights[hall]
        if sight.state is Link.UNKNOWN:
            return
        held = self.table.held(self._me, hall)
        if hall in self._told_at:
            values = pack(sight.state, *sight.told())
            if held is None or held.start != self._start:
                due = now >= self._renew_at[hall]
            elif held.values >> 16 != sight.state:
                due = True
            else:
                due = now - self._told_at[hall] >= RETOLD * self.table.renewal and differ(held.values, values)
            if not due:
                return
        self._report(now, hall)

    def _report(self, now: float, hall: int) -> None:
        sight = self.evidence.sights[hall]
        self._sequences[hall] = sequence = self._sequences.get(hall, 0) + 1
        self._told_at[hall] = now
        self._renew_at[hall] = now + self.table.renewal * (1.0 - EARLIER * self._draws.random())
        age = max(0.0, now - sight.at)
        report = Report(self._me, self._start, hall, sequence, pack(sight.state, *sight.told()), age)
        self._spread.note(self._me, hall, self.table.merge(now, report))
