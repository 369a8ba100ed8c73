"""Every decision of a router, as a state machine without I/O, in the words of `ironrail/policy/interface.py`.

Keys go to the first server clockwise on a weighted ring with less than (1 + epsilon) times the average. Each
part beside this file decides one thing and keeps what it needs for it; here events meet them, in order.
"""

from __future__ import annotations

import random

from ironrail.policy import interface as api
from ironrail.policy.asking import Asking
from ironrail.policy.attempts import Attempts
from ironrail.policy.cold import Cold
from ironrail.policy.guidance import Guide
from ironrail.policy.health import MOST_SHED, Health
from ironrail.policy.limits import LIMIT_CUT, ORIGIN_CROWD, Limits
from ironrail.policy.links import Links
from ironrail.policy.news import News
from ironrail.policy.queue import Queue, in_time
from ironrail.policy.ring import CROWD, PART_LEAST, RECENT, Ring, ring_hash, share_points
from ironrail.policy.state import LIMIT_START, Attempt, Held, Server
from ironrail.policy.walk import Walk

# what others take from here: the module's face
__all__ = [
    "CROWD", "LIMIT_CUT", "LIMIT_START", "MOST_SHED", "ORIGIN_CROWD", "PART_LEAST", "RECENT",
    "Attempt", "Held", "Router", "Server", "ring_hash", "share_points",
]  # fmt: skip


class Router:
    """One router's decisions. The same settings, seed and events give the same actions."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings = settings
        self.now, self.random = now, random.Random(seed)
        self.out: list[api.Action] = []  # answers to the event in hand
        self.held: dict[str, Held] = {}
        self.asking = Asking(settings)
        self.news = News(settings, self.random, self.asking)
        self.servers = self.news.servers
        self.cold = Cold(settings, self.random, now)
        self.guide = Guide(settings)
        self.health = Health(settings, self.random, now, self.cold, self.guide)
        self.limits = Limits(settings)
        self.links = Links()
        self.attempts = Attempts(settings, self.health, self.guide, self.links)
        self.ring = Ring(settings, self.cold, self.guide)
        parts = self.attempts, self.limits, self.cold, self.health, self.asking, self.links
        self.walk = Walk(self.servers, self.ring, *parts)
        self.queue = Queue()  # for a place at the origin

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take one event and answer with actions, to be carried out in order."""
        self.now, self.out = now, []
        match event:
            case api.Outcome():
                self._on_outcome(event)
            case api.Request():
                self._on_request(event)
            case api.TimerFired(token) if token.startswith("late:"):
                self._on_overdue(*token[5:].rsplit(":", 1))
            case api.TimerFired():
                self._on_timer(event)
            case api.ServerList():
                self._on_list(event)
            case api.Guidance():
                self.guide.follow(event)
                self.ring.stale = True
            case api.Halls():
                self.links.follow(event)
            case api.ClientGone(name) if name in self.held:
                self._forget(self.held[name])
            case api.TimeUp(name) if name in self.held:  # its own timer may be due an instant later
                self._end(self.held[name])
            case api.Streaming(name, number) if name in self.held:
                self._on_streaming(self.held[name], number)
        return self.out

    def listed(self, now: float) -> tuple[int, int]:
        """Servers in the list, and those that nothing is sent to now: drained, or lost not long ago."""
        return self.news.listed(now)

    def _on_list(self, event: api.ServerList) -> None:
        if not self.news.take(self.now, event, self.out):
            return
        self.ring.stale = True
        self.queue.clear()
        for held in [h for h in self.held.values() if h.waiting]:
            held.waiting = False
            self._advance(held)

    def _build_ring(self) -> None:
        self.out += self.ring.build(self.now, self.servers)

    def _on_request(self, request: api.Request) -> None:
        conf = self.settings
        known = conf.classes.get(request.request_class)
        kind = known or api.RequestClass(request.request_class, 0.0, api.Effect.UNSAFE)
        due = self.now + min(request.time_left - conf.tick, kind.aim)
        held = Held(request, request.key or request.request, kind, due, conf.aside and request.write)
        self.held[request.request] = held
        held.skip = self.random.randrange(self.ring.spread(held.key))
        self.attempts.taken.append(self.now)
        shed = not held.to_origin and self.health.sheds(kind.name)
        if shed or self.guide.exceeds(self.now, request.title):
            self._end(held)
        else:
            self._advance(held)

    def _on_streaming(self, held: Held, number: int) -> None:
        """The client is given the answer of one attempt: no other one is waited for, nor sent."""
        held.streaming, held.waiting = True, False
        for other, attempt in enumerate(held.attempts):
            if other != number and attempt.open and self.settings.may_cancel:
                self.out.append(api.Cancel(held.request.request, other))

    def _advance(self, held: Held) -> None:
        """Send the next attempt, hold the request for one, or end it."""
        if self.ring.stale:
            self._build_ring()
        if self.now >= held.until:
            self._end(held)
        elif self.ring.places and not held.to_origin:
            server = self.walk.choose(self.now, held)
            if server is None:
                self._end(held)
            else:
                self.attempts.send(self.now, held, server, self.out)
        else:
            self._wait(held)

    def _wait(self, held: Held) -> None:
        """Hold a request for a place at the origin, with a timer: it is answered in time whatever comes."""
        self.out.append(api.SetTimer(held.until - self.now, "wait:" + held.request.request))
        self.queue.add(held, len(self.held))
        self._serve_queue()

    def _on_timer(self, event: api.TimerFired) -> None:
        if event.token == "list":
            self.out.append(api.Subscribe())
        self._serve_queue()
        held = self.held.get(event.token.partition(":")[2])
        # half a tick of grace: rounding may wake us a hair before `until`, and no other timer would come
        if held is not None and held.waiting and self.now >= held.until - self.settings.tick / 2:
            self._end(held)

    def _on_overdue(self, name: str, number: str) -> None:
        """Guards against servers that answer nothing: a second copy, or one in its place, while calm."""
        held, attempt = self.held.get(name), self.attempts.out.get((name, int(number)))
        if held is None or attempt is None or held.waiting or held.streaming or held.to_origin:
            return
        crowded = not self.health.calm(attempt.aim) or held.open_attempts() > 1
        if crowded or self.attempts.spent(self.now, held):
            return
        if self.settings.second_copies:
            usable = self.ring.places and not self.ring.stale
            server = self.walk.choose(self.now, held) if usable else None
            if server is not None:
                self.attempts.send(self.now, held, server, self.out)
        elif self.settings.may_cancel:
            attempt.overdue = 0.0  # its timer may fire a fraction of a tick early
            self.out.append(api.Cancel(name, int(number)))

    def _end(self, held: Held) -> None:
        """The final answer: a refusal where the class permits one, else a failure."""
        if held.streaming or held.open_attempts():
            held.waiting = False
            return
        name, pause = held.request.request, max(self.settings.tick, self.health.latency)  # till there is room
        refusable = self.attempts.permits(self.now, held, None)
        self.out.append(api.Refuse(name, pause) if refusable else api.Fail(name))
        self._forget(held)

    def _forget(self, held: Held) -> None:
        held.waiting = False
        del self.held[held.request.request]
        for number, attempt in enumerate(held.attempts):
            if attempt.open and self.settings.may_cancel:
                self.out.append(api.Cancel(held.request.request, number))

    def _on_outcome(self, event: api.Outcome) -> None:
        attempt = self.attempts.ended(event)
        if attempt is None:
            return
        now, out, cache = self.now, self.out, attempt.server.cache
        if event.status is not api.Status.UNSENT:
            if self.limits.crowd and cache:
                self.limits.linger(now, attempt, event.status)
            self.health.learn(now, attempt, event, out)
            self.limits.learn(now, attempt, event, out)
            self.links.learn(attempt, event)
        held = self.held.get(event.request)
        missed = event.status is api.Status.MISS and self.settings.second_copies
        if held is not None:
            if event.closed or event.status is api.Status.OK:
                self._forget(held)
            elif not (held.waiting or held.streaming) and (
                not held.open_attempts() or missed and not held.to_origin
            ):
                self._after_failure(held, event)
        if not cache:
            self._serve_queue()

    def _after_failure(self, held: Held, event: api.Outcome) -> None:
        """The origin is next, where it is ours to ask; else a retry at a cache, while the budget lasts."""
        held.paid += event.status is api.Status.MISS
        held.to_origin |= self.settings.aside and not held.attempts[event.attempt].broken  # others lack it
        self._advance(held) if self.attempts.affords(self.now, held) else self._end(held)

    def _serve_queue(self) -> None:
        while (found := self.queue.take(self.now, self.servers)) is not None:
            held, origin = found
            if self.attempts.permits(self.now, held, origin) and in_time(self.now, held, origin):
                self.attempts.send(self.now, held, origin, self.out)
            else:
                self._end(held)
