"""Attempts of requests: which ones their class and the budget permit, and what is out."""

from __future__ import annotations

import math
from collections import deque

from ironrail.policy import interface as api
from ironrail.policy.guidance import Guide
from ironrail.policy.health import Health
from ironrail.policy.links import Links
from ironrail.policy.state import Attempt, Held, Server

CACHE_TARGET = 0.25  # of the aim: answers slower than this on average mean that too many are out
ORIGIN_TARGET = 0.5  # the same for the origin, which is slow by nature
RETRY_SHARE = 0.2  # where no budget is stated: enough for a server lost, too few to feed an overload
RETRIES_SAVED = 10.0  # and these many over a ramp besides, so that those of a lost server can all go at once
OVERDUE = 0.5  # of the aim without an answer: in time for another attempt
MOST_LATER = 0.5  # of the aim that a long link puts that off: what is out for an aim is late in any case
UNHEARD = (api.Status.TIMEOUT, api.Status.CANCELLED, api.Status.MOOT)
BROKEN = (api.Status.RESET, api.Status.ERROR, api.Status.CANCELLED)  # the server may be well
NEVER_RAN = (api.Status.FULL, api.Status.CONNECT_FAILED, api.Status.MOOT, api.Status.MISS, api.Status.UNSENT)


def group_of(group: api.Group, entry: api.ServerEntry) -> str | int:  # of those that know a keyed request
    return entry.zone if group is api.Group.ZONE else entry.cell if group is api.Group.CELL else ""


class Attempts:
    """All attempts of this router that are out, and the budget of further ones."""

    def __init__(self, settings: api.Settings, health: Health, guide: Guide, links: Links) -> None:
        self._settings, self._health, self._guide, self._links = settings, health, guide, links
        self.out: dict[tuple[str, int], Attempt] = {}  # by request and number
        self.ring_load = 0  # of them, those at caches
        self.budget = settings.budget or api.Budget(RETRIES_SAVED, RETRY_SHARE, settings.ramp)
        self.taken, self.further = deque[float](), deque[float]()  # times of what the stated budget counts

    def affords(self, now: float, held: Held) -> bool:
        """Guards against feeding an overload: the stated budget of further attempts, or one of our own."""
        since = now - self.budget.span
        for times in (self.taken, self.further):  # at every send, or they would grow as long as all is well
            while times and times[0] <= since:
                times.popleft()
        if held.paid > 0:
            return True
        allowed = self.budget.free + self.budget.ratio * len(self.taken)
        return len(self.further) + 1 <= allowed * self._guide.further(held.request_class.name)

    def spent(self, now: float, held: Held) -> bool:
        """Whether no further attempt of a request may be sent, wherever to."""
        return len(held.attempts) >= self._settings.max_attempts or not self.affords(now, held)

    def permits(self, now: float, held: Held, server: Server | None) -> bool:
        """What the class still permits: another send to this server or, with None, a refusal."""
        kind = held.request_class
        if server is not None:
            second = not self._settings.second_copies and held.open_attempts()
            if self.spent(now, held) or second:
                return False
        ran = [a for a in held.attempts if a.may_have_run]
        if kind.effect is api.Effect.SAFE or not ran:
            return True
        if kind.effect is api.Effect.UNSAFE or server is None:
            return kind.effect is api.Effect.KEYED and kind.group is api.Group.ALL
        if now >= min(a.sent_at for a in ran) + kind.window:
            return False
        return {group_of(kind.group, a.server.entry) for a in ran} == {group_of(kind.group, server.entry)}

    def send(self, now: float, held: Held, server: Server, out: list[api.Action]) -> None:
        """The next attempt of a request goes to this server."""
        name, number, conf = held.request.request, len(held.attempts), self._settings
        target, aim = CACHE_TARGET if server.cache else ORIGIN_TARGET, held.request_class.aim
        idle = 0.0 if server.load else now - server.used_at
        if not self._health.linked(now, server):
            if idle <= conf.connection_idle:
                out.append(api.CloseIdle(server.entry.server))
            idle = math.inf
        kind, ran = held.request_class, [a.sent_at for a in held.attempts if a.may_have_run]
        within = min(ran) + kind.window - now if ran and kind.effect is api.Effect.KEYED else None
        attempt = Attempt(server, target * aim, aim, held.request.hint or 1.0, now, idle, OVERDUE * aim)
        if self._links.known and server.cache:
            attempt.link, attempt.trip = self._links.adds(server), self._links.trip(server)
            attempt.overdue += min(attempt.link, MOST_LATER * aim)
        server.used_at = now
        self.out[name, number] = attempt
        held.attempts.append(attempt)
        if held.paid == 0:
            self.further.append(now)
        held.paid = max(0, held.paid - 1)
        server.load += 1
        server.work += attempt.cost
        self.ring_load += server.cache
        server.credit -= attempt.cost
        out.append(api.Send(name, server.entry.server, attempt=number, within=within))
        if server.cache and held.request_class.effect is not api.Effect.UNSAFE:
            out.append(api.SetTimer(attempt.overdue, f"late:{name}:{number}"))

    def ended(self, event: api.Outcome) -> Attempt | None:
        """The attempt that an outcome is of, no longer counted as out; None if there is no such."""
        attempt = self.out.pop((event.request, event.attempt), None)
        if attempt is None:
            return None
        status, server = event.status, attempt.server
        attempt.open = False
        soon = event.latency < attempt.overdue
        attempt.broken = status in BROKEN and soon
        attempt.unheard = status in UNHEARD and not soon
        attempt.may_have_run = status not in NEVER_RAN
        server.load -= 1
        server.work -= attempt.cost
        self.ring_load -= server.cache
        return attempt
