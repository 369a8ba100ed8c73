"""Every decision of a router, as a state machine without I/O, in the words of `ironrail/policy/interface.py`.

Keys go to the first server clockwise on a weighted ring with less than (1 + epsilon) times the average."""

from __future__ import annotations

import hashlib
import heapq
import math
import random
from bisect import bisect_left
from collections import deque
from dataclasses import dataclass, field
from functools import lru_cache

from ironrail.policy import interface as api
from ironrail.policy.asking import MOST_DOUBLINGS, NO_LIST, Asking

RING_SIZE = 2**16  # positions on the ring, as the paper has it
TOTAL_POINTS = 150  # virtual nodes shared out by weight, as the paper has it, in fleets of up to 10 servers
POINTS_EACH = 15  # and in larger ones this many a server: one point each made a server's share pure chance
EPSILON = 0.25  # a server may stand this far above the average load before the walk passes it
CHANCE = 2.0  # standard deviations that the cap leaves to chance: small counts tripped it and split keys
SPILL = 3  # servers a key may visit: further on they lack it; with 2 many were refused beside idle ones
# routers that share a server where connections are priced: one that rests for seconds is ended by the server,
# and a router that meets a server more seldom pays for a new one, in the server's work, nearly each time
CROWD = 10  # and not fewer: each part fetches for itself what caches that restart together have lost
PART_LEAST = 10  # servers that a router keeps to all the same: a hall, and some lost besides, must not be all
PART_WANING = 0.7  # of them may be left for a while, as in a release: with other parts most keys move
ORIGIN_CROWD = 32  # routers with a fetch each that the origin bears
RECENT = 64  # own latest requests by which a key's popularity is judged; 16 and 32 do nearly as well
WARM_SPEND = 0.5  # of the overload a cold server bears; the rest is left to chance and to other routers
LIMIT_START = 4.0  # first guess of what one router may have out at a server; moves within seconds
FIRST_GROWTH = 1.0  # by each good answer till the first cut: a restart under load can't wait for seconds
CACHE_TARGET = 0.25  # of the aim: answers slower than this on average mean that too many are out
ORIGIN_TARGET = 0.5  # the same for the origin, which is slow by nature
FETCH_ROOM = 2.0  # times the usual latency that must be left: a fetch given up midway is not even stored
SMOOTHING = 0.2  # of the latest sample in a mean; five answers or so are remembered
LIMIT_LEAST = 1 / 4  # at the origin where routers are many; they still learn of its return within seconds
LIMIT_CUT = 0.75  # soon enough to empty a crowded server within a few rounds; a tenth took many seconds
RETRY_SHARE = 0.2  # where no budget is stated: enough for a server lost, too few to feed an overload
RETRIES_SAVED = 10.0  # and these many over a ramp besides, so that those of a lost server can all go at once
OVERDUE = 0.5  # of the aim without an answer: in time for another attempt
CALM = 1 / 4  # of the aim: with a usual latency above, being late means a crowd rather than a loss
CROWDED = 1.5  # sends for each answer in good time; more are shed before they cost anything
MOST_SHED = 0.9  # of new reads: a tenth still shows what the fleet bears
STALE_CUT = 0.25  # of the idle time after which a connection failed: two failures get below any we know of
SIGN = 0.15  # share of failures, or more than elsewhere, that is no chance: two in ten
UNHEARD = (api.Status.TIMEOUT, api.Status.CANCELLED, api.Status.MOOT)
ANSWERED = (api.Status.OK, api.Status.MISS, api.Status.ERROR, api.Status.FULL)
BROKEN = (api.Status.RESET, api.Status.ERROR, api.Status.CANCELLED)  # the server may be well
NEVER_RAN = (api.Status.FULL, api.Status.CONNECT_FAILED, api.Status.MOOT, api.Status.MISS)


@dataclass(slots=True, eq=False)
class Server:  # as this router sees it
    entry: api.ServerEntry
    cache: bool = True  # or the origin
    load: int = 0  # own attempts in flight
    work: float = 0.0  # expected, in them
    lingering: deque[tuple[float, float]] = field(default_factory=deque)  # given up: sent at, counted until
    limit: float = LIMIT_START  # of own attempts in flight
    cut_at: float = -math.inf
    rest_until: float = -math.inf
    latency: float = 0.0  # smoothed
    slowness: float = 0.0  # smoothed share of the target that answers take
    credit: float = 0.0  # of work that it may be sent while warming
    credit_at: float = -math.inf
    losses: int = 0  # in a row, of attempts that no answer came to
    trial_at: float = -math.inf  # passed over until then
    used_at: float = -math.inf  # latest sign of life on a connection to it
    well_at: float = -math.inf  # when the latest attempt was sent that it served or missed
    refused: bool = False  # a connect to it, at once, since it last answered on a new connection


@dataclass(slots=True, eq=False)
class Attempt:  # one send of a request
    server: Server
    target: float  # slower than this means too many are out
    aim: float  # of its class
    cost: float  # expected work, 1 where no hint is given
    sent_at: float
    idle: float  # time its connection was unused, infinite if new; losses within an aim are the server's
    open: bool = True
    may_have_run: bool = True  # until an outcome proves the contrary
    broken: bool = False  # soon, by its connection: the same server most likely still has the key
    unheard: bool = False  # no answer came for long


@dataclass(slots=True, eq=False)
class Held:  # a request that is owed its final answer
    request: api.Request
    key: str
    request_class: api.RequestClass
    until: float  # no use in waiting for longer
    to_origin: bool
    skip: int = 0  # servers of its key to pass over, as others take their part of a popular key
    attempts: list[Attempt] = field(default_factory=list)
    paid: int = 1  # sends that need no budget: the first, and one for each miss
    waiting: bool = False  # for a place at the origin, or for any server at all
    streaming: bool = False

    def open_attempts(self) -> int:
        return sum(a.open for a in self.attempts)


def ring_hash(text: str) -> int:
    """Position of a key or a virtual node on the ring."""
    return int.from_bytes(hashlib.md5(text.encode(), usedforsecurity=False).digest()[-2:], "big")


def group_of(group: api.Group, entry: api.ServerEntry) -> str | int:  # of those that know a keyed request
    return entry.zone if group is api.Group.ZONE else entry.cell if group is api.Group.CELL else ""


def share_points(weights: dict[str, float]) -> dict[str, int]:
    """Virtual nodes by weight: the floor of each share, leftovers by largest remainder, ties by id."""
    given = [w for w in weights.values() if w > 0]
    mean = sum(given) / len(given) if given else 1.0
    shares = {i: w if w > 0 else mean for i, w in weights.items()}  # a missing weight counts as the mean
    total = sum(shares.values())
    wanted = max(TOTAL_POINTS, POINTS_EACH * len(weights))
    exact = {i: w / total * wanted for i, w in shares.items()}
    points = {i: math.floor(x) for i, x in exact.items()}
    spare = wanted - sum(points.values())
    for i in sorted(exact, key=lambda i: (points[i] - exact[i], i))[:spare]:
        points[i] += 1
    return points


class Router:
    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings = settings
        self.shortest_aim = min(c.aim for c in settings.classes.values())
        self.now, self.random = now, random.Random(seed)
        self.began = now
        self.out: list[api.Action] = []
        self.servers: dict[str, Server] = {}
        self.ring: list[tuple[int, str]] = []
        # of the fleet, each router keeping to one: guards connections, which few requests would share
        self.most_parts = math.ceil(settings.routers / CROWD) if settings.connections_priced else 1
        self.parts = 0  # 0: not known before the first list
        self.grown = 0  # as many as the fleet was ever large enough for, if for any
        # where few routers share a server each has enough out there to learn by; with many it has one or two
        self.crowd = settings.routers >= CROWD
        self.ring_load, self.stale, self.queued = 0, False, 0
        self.least = max(LIMIT_LEAST, min(1.0, ORIGIN_CROWD / settings.routers))  # at the origin: limit, step
        self.points: dict[str, int] = {}  # virtual nodes of each server on the ring
        self.asking = Asking(settings)
        self.hash = lru_cache(2**12)(ring_hash)  # 2**16 of them took 16 MB, and a miss costs a microsecond
        self.recent: deque[str] = deque(maxlen=RECENT)  # keys
        self.held: dict[str, Held] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.served, self.heard, self.good = (0.0, 0.0, 0.0)  # work, answers, those in time, fading
        self.queue: list[tuple[float, int, Held]] = []  # for a place at the origin: worth first, then age
        self.budget = settings.budget or api.Budget(RETRIES_SAVED, RETRY_SHARE, settings.ramp)
        self.heard_at, self.latency = now, 0.0  # usual, of caches
        self.keep, self.keep_at = math.inf, now  # idle time that connections survive, as last learned
        self.signs = dict.fromkeys(("idle", "other", "shut", "vain"), 0.0)  # shares lost, connects failed
        self.taken, self.further = deque[float](), deque[float]()  # times of what the stated budget counts

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
            case api.ClientGone(name) if name in self.held:
                self._forget(self.held[name])
            case api.TimeUp(name) if name in self.held:  # its own timer may be due an instant later
                self._end(self.held[name])
            case api.Streaming(name, number) if name in self.held:
                self._on_streaming(self.held[name], number)
        return self.out

    def listed(self, now: float) -> tuple[int, int]:
        """Servers in the list, and those that nothing is sent to now: drained, or lost not long ago."""
        ready = api.State.READY
        avoided = sum(s.entry.state is not ready or now < s.trial_at for s in self.servers.values())
        return len(self.servers), avoided

    def _on_list(self, event: api.ServerList) -> None:
        if event.kind is api.ListKind.MOVED:  # guards whoever tells it: all routers hear of that at once
            self._ask_first()
            return
        if event.kind in NO_LIST:
            if self.settings.subscribe:
                pause = self.asking.failed(self.now, event.kind, self.random)
                self.out.append(api.SetTimer(pause, "list") if pause else api.Subscribe())
                self.out.append(api.Log(f"list out of reach, {self.asking.failures} in a row"))
            return
        if event.kind is not api.ListKind.DELTA:
            names = {e.server for e in event.entries}
            self.servers = {i: s for i, s in self.servers.items() if i in names}
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if entry.state is api.State.GONE:
                self.servers.pop(entry.server, None)
            elif known is None or entry.since > known.entry.since:  # a new process: nothing learned holds
                origin = self.settings.aside and entry.kind == self.settings.origin_kind
                self.servers[entry.server] = Server(entry, not origin)
            else:
                known.entry = entry
        self.stale = True
        if event.kind is not api.ListKind.SAVED:
            self.asking.told()
        elif self.settings.subscribe:
            self._ask_first()
        self.queue = []
        for held in [h for h in self.held.values() if h.waiting]:
            held.waiting = False
            self._advance(held)

    def _ask_first(self) -> None:
        pause = self.asking.first(self.random)
        self.out.append(api.SetTimer(pause, "list") if pause else api.Subscribe())

    def _build_ring(self) -> None:
        """Guards against all CPU going into rings in a large deploy: on use, and only what has changed."""
        self.stale = False
        caches = {i: s for i, s in self.servers.items() if s.cache and s.entry.state is api.State.READY}
        self._divide(len(caches), sum(self._warm_share(s) >= 1.0 for s in caches.values()))
        part, order = self.settings.index % self.parts, sorted(caches, key=lambda i: (self.hash(i), i))
        # by hash, so that a change moves only the borders of parts
        order = order[len(order) * part // self.parts : len(order) * (part + 1) // self.parts]
        before, self.points = self.points, share_points({i: caches[i].entry.weight for i in order})
        for i, count in before.items():
            for j in range(self.points.get(i, 0), count):
                del self.ring[bisect_left(self.ring, (self.hash(f"{i}-vnode-{j}"), i))]
        for i, count in self.points.items():
            self.ring += [(self.hash(f"{i}-vnode-{j}"), i) for j in range(before.get(i, 0), count)]
        self.ring.sort()
        self.out += [api.CloseIdle(i) for i in caches if i not in self.points]

    def _divide(self, servers: int, warm: int) -> None:
        """Parts of a fleet of this size, each of servers enough; a few that come and go change nothing.

        Nor do new ones that are there before those they replace have left, as in a release: keys would move
        when there are fewest caches to hold them.
        """
        first, waning = not self.grown, servers < PART_WANING * PART_LEAST * self.parts
        wanted = servers // PART_LEAST
        self.grown = max(self.grown, wanted if first else warm // PART_LEAST)
        if not (first or waning):  # caches that are lost for a while are counted once they are back
            wanted = max(self.parts, min(wanted, self.grown))
        self.parts = min(max(1, wanted), self.most_parts)

    def _spread(self, key: str) -> int:
        """Guards against hot keys that no router has enough of in flight: servers that are to share a key."""
        share = self.recent.count(key) / RECENT
        self.recent.append(key)
        return max(1, math.ceil(share * len(self.points) / (1 + EPSILON)))

    def _choose(self, held: Held) -> Server | None:
        """The bounded walk: first eligible server clockwise under the cap or met twice, or the last."""
        start = bisect_left(self.ring, (self.hash(held.key), ""))
        mean = (self.ring_load + 1) / len(self.points)  # with this one, as a cap of 0 would pass over all
        cap = math.ceil((1 + EPSILON) * mean + CHANCE * math.sqrt(mean))
        # guards open connections while connects are in vain: servers with one first, for part of the ring
        linked_first = len(self.points) // 4 if self.signs["vain"] > SIGN else 0
        passed, visited, barred, spare = set[str](), set[str](), set[str](), dict[str, Server]()
        last = None
        for step in range(len(self.ring)):
            name = self.ring[(start + step) % len(self.ring)][1]
            if len(passed) < held.skip:
                passed.add(name)
                continue
            if name in barred or name in spare:  # a server is looked at once, not at each of its points
                continue
            server = self.servers[name]
            if not self._eligible(held, server):
                barred.add(name)
                if not self._full(server):
                    continue  # not counted: a cold server within its budget, or one that was tried
            elif self.now < server.trial_at or len(spare) < linked_first and not self._linked(server):
                spare[name] = server  # for want of others
                continue
            else:
                last = server
                if server.load < cap or name in visited:
                    return server
            visited.add(name)
            if len(visited) >= SPILL:
                break
        return last or (None if visited else next(iter(spare.values()), None))

    def _eligible(self, held: Held, server: Server) -> bool:
        """Whether a server may take the request now."""
        if self._full(server) or any(a.server is server and not a.broken for a in held.attempts):
            return False
        # guards drained servers whose news came in an answer that was spoilt: they turn away what is new
        if server.well_at < self.asking.proof_from(self.now):
            return False
        return self._within_budget(server, held) and self._permits(held, server)

    def _full(self, server: Server) -> bool:
        """Whether it has all that may be out, with what was given up: it is worked on all the same."""
        while server.lingering and server.lingering[0][1] <= self.now:
            server.lingering.popleft()
        return server.load + len(server.lingering) >= server.limit

    def _warm_share(self, server: Server) -> float:
        """Share of its capacity that a server surely has, from the cold share to all over the ramp."""
        age = self.now - server.entry.since
        if server.entry.since <= 0 or age >= self.settings.ramp:
            return 1.0
        return 1.0 - (1.0 - self.settings.cold_share) * (1.0 - max(0.0, age) / self.settings.ramp)

    def _within_budget(self, server: Server, held: Held) -> bool:
        """Guards against pushing over a cold server: a budget by what others carry (retries swell demand)."""
        share = self._warm_share(server)
        if share >= 1.0:
            return True
        cost = held.request.hint or 1.0
        if server.credit_at == -math.inf:  # by chance, as hundreds of routers with one send each are a flood
            server.credit, server.credit_at = self.random.random() * cost, self.now
        # a router that has not run for long has served as much in less time
        span = self.settings.ramp * (1.0 - math.exp((self.began - self.now) / self.settings.ramp))
        span = max(span, self.settings.fall_window)
        fair = share * self.points[server.entry.server] / len(self.ring) * self.served / span
        refill = WARM_SPEND * self.settings.fall_multiple * fair
        most = max(cost, refill * self.settings.fall_window)
        server.credit = min(most, server.credit + refill * (self.now - server.credit_at))
        server.credit_at = self.now
        # guards a cold server that is slow besides: what all routers have out at it may have come in one
        # window, beside what it gets done in it, and the budget alone goes on however little it answers
        if server.load and server.work + cost > WARM_SPEND * fair * self.settings.fall_window:
            return False
        # with nothing served yet there is no guide: one at a time, whose answer is the first
        return server.credit >= cost or not self.served and not server.load

    def _on_request(self, request: api.Request) -> None:
        known = self.settings.classes.get(request.request_class)
        kind = known or api.RequestClass(request.request_class, 0.0, api.Effect.UNSAFE)
        due = self.now + min(request.time_left - self.settings.tick, kind.aim)
        held = Held(request, request.key or request.request, kind, due, self.settings.aside and request.write)
        self.held[request.request] = held
        held.skip = self.random.randrange(self._spread(held.key))
        self.taken.append(self.now)
        # guards against a crowd at every server: the more a fleet is asked, the fewer it answers in time
        excess = min(MOST_SHED, max(0.0, self.heard - CROWDED * self.good - 1.0) / (self.heard + 1.0))
        shed = not held.to_origin and self.random.random() < excess
        self.heard += shed  # counts as asked, or the fleet would have to stay slow for shedding to go on
        self._end(held) if shed else self._advance(held)

    def _affords(self, held: Held) -> bool:
        """Guards against feeding an overload: the stated budget of further attempts, or one of our own."""
        for times in (self.taken, self.further):  # at every send, or they would grow as long as all is well
            while times and times[0] <= self.now - self.budget.span:
                times.popleft()
        if held.paid > 0:
            return True
        return len(self.further) + 1 <= self.budget.free + self.budget.ratio * len(self.taken)

    def _on_streaming(self, held: Held, number: int) -> None:
        """The client is given the answer of one attempt: no other one is waited for, nor sent."""
        held.streaming, held.waiting = True, False
        for other, attempt in enumerate(held.attempts):
            if other != number and attempt.open and self.settings.may_cancel:
                self.out.append(api.Cancel(held.request.request, other))

    def _permits(self, held: Held, server: Server | None) -> bool:
        """What the class still permits: another send to this server or, with None, a refusal."""
        kind = held.request_class
        ran = [a for a in held.attempts if a.may_have_run]
        second = not self.settings.second_copies and held.open_attempts()
        spent = len(held.attempts) >= self.settings.max_attempts or not self._affords(held)
        if server is not None and (second or spent):
            return False
        if kind.effect is api.Effect.SAFE or not ran:
            return True
        if kind.effect is api.Effect.UNSAFE or server is None:
            return kind.effect is api.Effect.KEYED and kind.group is api.Group.ALL
        if self.now >= min(a.sent_at for a in ran) + kind.window:
            return False
        return {group_of(kind.group, a.server.entry) for a in ran} == {group_of(kind.group, server.entry)}

    def _advance(self, held: Held) -> None:
        """Send the next attempt, hold the request for one, or end it."""
        if self.stale:
            self._build_ring()
        if self.now >= held.until:
            self._end(held)
        elif self.ring and not held.to_origin:
            server = self._choose(held)
            self._end(held) if server is None else self._send(held, server)
        else:
            self._wait(held)

    def _send(self, held: Held, server: Server) -> None:
        name = held.request.request
        target, aim = CACHE_TARGET if server.cache else ORIGIN_TARGET, held.request_class.aim
        idle = 0.0 if server.load else self.now - server.used_at
        if not self._linked(server):
            if idle <= self.settings.connection_idle:
                self.out.append(api.CloseIdle(server.entry.server))
            idle = math.inf
        attempt = Attempt(server, target * aim, aim, held.request.hint or 1.0, self.now, idle)
        server.used_at = self.now
        self.attempts[name, len(held.attempts)] = attempt
        held.attempts.append(attempt)
        if held.paid == 0:
            self.further.append(self.now)
        held.paid = max(0, held.paid - 1)
        server.load += 1
        server.work += attempt.cost
        self.ring_load += server.cache
        server.credit -= attempt.cost
        self.out.append(api.Send(name, server.entry.server, attempt=len(held.attempts) - 1))
        if server.cache and held.request_class.effect is not api.Effect.UNSAFE:
            self.out.append(api.SetTimer(OVERDUE * aim, f"late:{name}:{len(held.attempts) - 1}"))

    def _linked(self, server: Server) -> bool:  # over a connection that should still work
        survives = self.keep * 2.0 ** min((self.now - self.keep_at) / self.settings.ramp, MOST_DOUBLINGS)
        return server.load > 0 or self.now - server.used_at <= min(self.settings.connection_idle, survives)

    def _wait(self, held: Held) -> None:
        """Hold a request for a place at the origin, worth first, or writes wait behind misses; then age."""
        held.waiting = True  # with a timer so that it is answered in time whatever comes
        self.out.append(api.SetTimer(held.until - self.now, "wait:" + held.request.request))
        self.queued += 1
        heapq.heappush(self.queue, (-held.request_class.worth, self.queued, held))
        # guards against requests long ended piling up behind those of more worth
        if len(self.queue) > 2 * len(self.held):
            self.queue = [q for q in self.queue if q[2].waiting]
            heapq.heapify(self.queue)
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
        held, attempt = self.held.get(name), self.attempts.get((name, int(number)))
        if held is None or attempt is None or held.waiting or held.streaming or held.to_origin:
            return
        spent = len(held.attempts) >= self.settings.max_attempts or not self._affords(held)
        if spent or self.latency > CALM * attempt.aim or held.open_attempts() > 1:
            return
        if self.settings.second_copies:
            server = self._choose(held) if self.ring and not self.stale else None
            self._send(held, server) if server is not None else None
        elif self.settings.may_cancel:
            self.out.append(api.Cancel(name, int(number)))

    def _end(self, held: Held) -> None:
        """The final answer: a refusal where the class permits one, else a failure."""
        if held.streaming or held.open_attempts():
            held.waiting = False
            return
        name, pause = held.request.request, max(self.settings.tick, self.latency)  # till there is room
        self.out.append(api.Refuse(name, pause) if self._permits(held, None) else api.Fail(name))
        self._forget(held)

    def _forget(self, held: Held) -> None:
        held.waiting = False
        del self.held[held.request.request]
        for number, attempt in enumerate(held.attempts):
            if attempt.open and self.settings.may_cancel:
                self.out.append(api.Cancel(held.request.request, number))

    def _on_outcome(self, event: api.Outcome) -> None:
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        attempt.open = False
        soon = event.latency < OVERDUE * attempt.aim
        attempt.broken = event.status in BROKEN and soon
        attempt.unheard = event.status in UNHEARD and not soon
        attempt.may_have_run = event.status not in NEVER_RAN
        attempt.server.load -= 1
        attempt.server.work -= attempt.cost
        self.ring_load -= attempt.server.cache
        if self.crowd and attempt.server.cache:
            self._learn_lingering(attempt, event.status)
        self._learn_health(attempt, event)
        self._learn_limit(attempt, event)
        held = self.held.get(event.request)
        missed = event.status is api.Status.MISS and self.settings.second_copies
        if held is not None:
            if event.closed or event.status is api.Status.OK:
                self._forget(held)
            elif (
                not held.waiting
                and not held.streaming
                and (not held.open_attempts() or missed and not held.to_origin)
            ):
                self._after_failure(held, event)
        if not attempt.server.cache:
            self._serve_queue()

    def _learn_lingering(self, attempt: Attempt, status: api.Status) -> None:
        """Guards servers that go on with what was given up: hundreds of routers kept queues of it full."""
        server = attempt.server
        if status in (api.Status.TIMEOUT, api.Status.CANCELLED):
            server.lingering.append((attempt.sent_at, self.now + attempt.aim))
        # it takes them in turn, so what was sent before is done; one that is full answers out of turn
        elif status in ANSWERED and status is not api.Status.FULL and server.lingering:
            server.lingering = deque(x for x in server.lingering if x[0] > attempt.sent_at)

    def _learn_health(self, attempt: Attempt, event: api.Outcome) -> None:
        """What the fleet answers in time, and which servers and connections lose what is sent."""
        server, answered = attempt.server, event.status in ANSWERED
        if answered and server.cache:
            full = event.status is api.Status.FULL
            fade = math.exp((self.heard_at - self.now) / self.settings.ramp)
            self.heard, self.heard_at = self.heard * fade + 1, self.now
            self.good = self.good * fade + (not full and event.latency <= attempt.aim)
            # misses too: where most of the fleet is new, hits alone tell a small part of what it carries
            carried = event.status in (api.Status.OK, api.Status.MISS)
            if carried:
                server.well_at = max(server.well_at, attempt.sent_at)
            self.served = self.served * fade + (attempt.cost if carried else 0.0)
            self.latency += 0.0 if full else SMOOTHING / 4 * (event.latency - self.latency)
        # what a cold server does not answer still weighs on it, however crowded the others are
        cold = self._warm_share(server) < 1.0
        unheard = attempt.unheard and (cold or self.latency <= CALM * attempt.aim)
        lost, failed = event.status is api.Status.RESET or unheard, event.status is api.Status.CONNECT_FAILED
        if answered:
            server.used_at, server.losses = self.now, 0
        elif unheard or failed:  # guards against dead servers, which reset nothing twice: a growing pause
            server.losses = min(server.losses + server.cache, MOST_DOUBLINGS)
            # a cold one has to get it done before the window in which it is counted has passed
            least = self.settings.fall_window if cold else self.shortest_aim / 2
            pause = min(self.settings.ramp, least * 2.0 ** (server.losses - 1))
            server.trial_at = self.now + pause * self.random.uniform(0.5, 1.0)
        if not server.load and server.used_at > -math.inf and (lost or failed or self.signs["shut"] > SIGN):
            self.out.append(api.CloseIdle(server.entry.server))
            server.used_at = -math.inf
        slow, idle = event.latency > self.settings.connect_timeout / 2, attempt.aim < attempt.idle < math.inf
        if attempt.idle == math.inf:
            # a table that was full only if it answers afterwards: a process that is gone refuses as quickly
            server.refused |= failed and not slow
            if answered:
                self._note("shut", server.refused)
                server.refused = False
            self._note("vain", failed and slow)
        self._note("idle" if idle else "other", lost)
        if lost and idle and self.signs["idle"] > self.signs["other"] + SIGN:
            self.keep, self.keep_at = min(self.keep, STALE_CUT * attempt.idle), self.now

    def _note(self, sign: str, seen: bool) -> None:
        self.signs[sign] += SMOOTHING / 2 * (seen - self.signs[sign])

    def _after_failure(self, held: Held, event: api.Outcome) -> None:
        """The origin is next, where it is ours to ask; else a retry at a cache, while the budget lasts."""
        held.paid += event.status is api.Status.MISS
        held.to_origin |= self.settings.aside and not held.attempts[event.attempt].broken  # others lack it
        self._advance(held) if self._affords(held) else self._end(held)

    def _serve_queue(self) -> None:
        while self.queue:  # for the least loaded origin that may be sent to
            origins = [s for s in self.servers.values() if not s.cache and s.entry.state is api.State.READY]
            origin = min(origins, key=lambda s: s.load, default=None)
            if origin is None or origin.load >= origin.limit or self.now < origin.rest_until:
                return
            held = heapq.heappop(self.queue)[2]
            if not held.waiting:
                continue
            held.waiting = False
            # no fetch that can't be back in time, but for one to learn by; writes store nothing
            room = 1.0 if held.request.write else FETCH_ROOM
            in_time = origin.load == 0 or self.now + room * origin.latency < held.until
            if self._permits(held, origin) and in_time and self.now < held.until:
                self._send(held, origin)
            else:
                self._end(held)

    def _learn_limit(self, attempt: Attempt, event: api.Outcome) -> None:
        """Adapt what this router has out at a server: less when it is slow or full, else a little more."""
        server = attempt.server
        # an origin that stopped refuses at once; behind a cut a connect takes longer to fail
        shut = event.status is api.Status.CONNECT_FAILED and event.latency <= 2 * self.settings.tick
        refused = event.status is api.Status.FULL or shut and not server.cache
        server.latency += 0.0 if refused else SMOOTHING * (event.latency - server.latency)
        # on average, as one heavy request says nothing of a server
        server.slowness += SMOOTHING * (event.latency / attempt.target - server.slowness)
        if refused or server.slowness > 1.0:
            if self.now - server.cut_at > attempt.target:
                least = min(1.0, server.limit) if server.cache or not refused else self.least
                # of a crowd none has many out: a limit far above that bounds nothing, for many cuts
                used = min(server.limit, server.load + 1) if self.crowd and not refused else server.limit
                server.limit = max(least, used * LIMIT_CUT)
                server.cut_at = self.now
            if refused or self.crowd and server.cache and attempt.unheard:  # what is out now is what it bears
                server.limit = min(server.limit, max(1.0, server.load))
        elif event.status in (api.Status.OK, api.Status.MISS) and server.load + 1 >= server.limit / 2:
            # of the origin there is one for all routers
            first = FIRST_GROWTH if server.cache else FIRST_GROWTH * self.least
            server.limit += min(server.limit, 1 / server.limit if server.cut_at > -math.inf else first)
        if server.limit < 1.0:  # hundreds of routers with one fetch each are too many: kept by pauses
            server.rest_until = self.now + attempt.target * (1 / server.limit - 1)
            self.out.append(api.SetTimer(server.rest_until - self.now, "origin"))
