"""Streams of events drawn from a seed, as a host might tell a router, and a digest of all it answers.

A change of decisions that is meant takes new digests: `python -m tests.policy.streams` writes them anew.
"""

from __future__ import annotations

import hashlib
import heapq
import random
import re
from collections.abc import Callable, Iterator
from dataclasses import fields
from pathlib import Path

from ironrail.policy import interface as api
from ironrail.policy.balance import Router

FILE = Path(__file__).with_name("decisions.txt")  # a seed and its digest a line
VALUES_FILE = Path(__file__).with_name("decision_values.txt")  # the same of values alone, without names
SEEDS = range(24)
LENGTH, QUIET = 14.0, 6.0  # seconds of requests, and those after which all is answered
PLACES = (1, 10, 40, 200)  # routers
KINDS = (  # named, so that one that comes later changes no stream
    api.ListKind.DELTA, api.ListKind.FULL, api.ListKind.SAVED,
    api.ListKind.FAILED, api.ListKind.SPOILT, api.ListKind.MOVED,
)  # fmt: skip
WAYS = (  # of a server: chances of each status, and the seconds that it takes
    ({api.Status.OK: 0.8, api.Status.MISS: 0.2}, 0.05),
    ({api.Status.OK: 0.8, api.Status.MISS: 0.2}, 0.05),
    ({api.Status.OK: 0.4, api.Status.MISS: 0.5, api.Status.FULL: 0.1}, 0.8),  # crowded
    ({api.Status.RESET: 0.4, api.Status.ERROR: 0.3, api.Status.OK: 0.3}, 0.1),
    ({api.Status.CONNECT_FAILED: 1.0}, 0.002),  # gone
    ({api.Status.CONNECT_FAILED: 0.9, api.Status.OK: 0.1}, 0.25),  # cut off
    ({api.Status.TIMEOUT: 0.8, api.Status.MOOT: 0.1, api.Status.OK: 0.1}, 1.2),  # silent
    ({api.Status.FULL: 0.7, api.Status.OK: 0.3}, 0.003),
)
CLASSES = (
    api.RequestClass("read", 0.8, give_up=1.5),
    api.RequestClass("hurried", 0.3, worth=2.0),
    api.RequestClass("keyed", 1.2, api.Effect.KEYED, api.Group.ZONE, window=0.9, worth=5.0),
    api.RequestClass("everywhere", 1.0, api.Effect.KEYED, window=0.9, worth=3.0),
    api.RequestClass("cell", 1.2, api.Effect.KEYED, api.Group.CELL, window=0.9),
    api.RequestClass("once", 1.5, api.Effect.UNSAFE, worth=8.0),
)


def drawn_settings(draws: random.Random, parted: bool, many: bool) -> api.Settings:
    routers = 40 if parted else 200 if many else draws.choice(PLACES)
    return api.Settings(
        {kind.name: kind for kind in CLASSES}, aside=many or draws.random() < 0.7, origin_kind="origin",
        subscribe=draws.random() < 0.7, must_ask=draws.choice([3.0, 9.0]), second_copies=draws.random() < 0.6,
        may_cancel=draws.random() < 0.8, max_attempts=draws.choice([1, 3, 4]), ramp=draws.choice([3.0, 10.0]),
        index=draws.randrange(routers), routers=routers, connections_priced=parted or draws.random() < 0.6,
        connection_idle=draws.choice([2.0, 15.0]), budget=draws.choice([None, api.Budget(3, 0.1, 2.0)]),
    )  # fmt: skip


class World:
    """Servers, clients and a clock before one router. The seed tells all; events follow its actions."""

    def __init__(self, seed: int, make: type[Router] = Router) -> None:
        self.draws = random.Random(seed)
        # a fleet that routers divide among them, one that is crowded, and many routers before one origin
        parted, crowded, many = seed % 4 == 0, seed % 4 == 1, seed % 4 == 2
        self.settings = drawn_settings(self.draws, parted, many)
        self.now = 1000.0
        self.router = make(self.settings, seed, self.now)
        self.due: list[tuple[float, int, api.Event]] = []
        self.count = 0
        self.open: dict[str, float] = {}  # until when its client waits
        self.size = 45 if parted else self.draws.choice([3, 12, 45])
        self.names = [f"s{n}" for n in range(self.size)] + ["o", "o2"]
        self.ways = dict.fromkeys(self.names, WAYS[2 if crowded else 0])
        self.rate = 80.0 if crowded else self.draws.choice([20.0, 80.0])
        self.wild = self.draws.random()  # how often something happens

    def later(self, seconds: float, event: api.Event) -> None:
        self.count += 1
        heapq.heappush(self.due, (self.now + seconds, self.count, event))

    def entry(self, name: str) -> api.ServerEntry:
        number, draws = self.names.index(name), self.draws
        state = draws.choices(list(api.State), [0.94, 0.04, 0.02])[0]
        since = self.now - draws.random() * 2.0 if draws.random() < 0.05 + 0.2 * self.wild else 0.0
        kind, weight = "origin" if name in ("o", "o2") else "std", draws.choice([0.0, 1.0, 2.0])
        return api.ServerEntry(name, state, kind, "xy"[number % 2], number % 3, weight, since)

    def news(self) -> api.ServerList:
        kind = self.draws.choice(KINDS)
        if kind in (api.ListKind.FULL, api.ListKind.SAVED):
            first = self.size // 2 if self.draws.random() < 0.3 else 0  # as where a half is lost
            return api.ServerList(kind, tuple(map(self.entry, self.names[first:])))
        if kind is api.ListKind.DELTA:
            return api.ServerList(kind, tuple(map(self.entry, self.draws.sample(self.names, 2))))
        return api.ServerList(kind)

    def request(self) -> api.Request:
        draws, name = self.draws, f"r{self.count}"
        kind = draws.choices(CLASSES, [6, 2, 1, 1, 1, 1])[0]
        wait = draws.choice([0.0, 0.3, 1.5, 2.5])
        key = f"k{int(300 * draws.random() ** 3)}" if draws.random() < 0.95 else None
        self.open[name] = self.now + wait
        self.later(wait, api.ClientGone(name) if draws.random() < 0.5 else api.TimeUp(name))
        hint = draws.choice([None, 0.3, 1.0])
        return api.Request(name, kind.name, wait, key, hint, kind.effect is not api.Effect.SAFE)

    def carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send(name, server, _, number):
                chances, takes = self.ways[server]
                status = self.draws.choices(list(chances), list(chances.values()))[0]
                seconds = takes * (0.5 + self.draws.random())
                self.later(seconds, api.Outcome(name, number, status, False, seconds))
                if status is api.Status.OK and self.draws.random() < 0.1:
                    self.later(seconds / 2, api.Streaming(name, number))
            case api.Cancel(name, number):
                self.later(0.001, api.Outcome(name, number, api.Status.CANCELLED, False, 0.4))
            case api.SetTimer(delay, token):
                self.later(delay, api.TimerFired(token))
            case api.Refuse(name) | api.Fail(name):
                self.open.pop(name, None)
            case api.Subscribe():
                self.later(0.2, self.news())

    def told(self, event: api.Event) -> api.Event:
        """The event as a host would tell it now: an outcome closes what is served, or ended before."""
        if not isinstance(event, api.Outcome):
            return event
        closed = event.request not in self.open or event.status is api.Status.OK
        if closed:
            self.open.pop(event.request, None)
        return api.Outcome(event.request, event.attempt, event.status, closed, event.latency)

    def steps(self) -> Iterator[tuple[float, api.Event, list[api.Action]]]:
        """All events with what was answered to each."""
        self.later(0.0, api.ServerList(api.ListKind.SAVED, tuple(map(self.entry, self.names))))
        arrives, changes, ends = self.now, self.now + 2.0, self.now + LENGTH
        while arrives < ends or self.due and self.due[0][0] < ends + QUIET:
            if arrives < ends and (not self.due or arrives <= self.due[0][0]):
                self.now = arrives
                arrives += self.draws.random() * 2.0 / self.rate
                event: api.Event = self.request()
            else:
                self.now, _, event = heapq.heappop(self.due)
                event = self.told(event)
            if self.now >= changes:
                changes += 0.2 + 2.0 * (1.0 - self.wild) * self.draws.random()
                self.ways[self.draws.choice(self.names)] = self.draws.choice(WAYS)
                if self.draws.random() < 0.4:
                    self.later(0.0, self.news())
            actions = self.router.handle(self.now, event)
            yield self.now, event, actions
            for action in actions:
                self.carry_out(action)


def written(action: api.Action) -> str:
    """With nine digits of numbers: the last ones are the machine's."""
    values = [getattr(action, field.name) for field in fields(action)]
    return " ".join(
        [type(action).__name__, *(f"{v:.9g}" if isinstance(v, float) else str(v) for v in values)]
    )


# what each action is called in `value_digest`, whatever the class that stands for it is called
ACTION_CODES: dict[type, int] = {
    api.Send: 1,
    api.Refuse: 2,
    api.Fail: 3,
    api.Cancel: 4,
    api.CloseIdle: 5,
    api.SetTimer: 6,
    api.Subscribe: 7,
    api.Log: 8,
}


def value_of(value: object) -> str:
    """A field's value, without the names of types; of a text for staff only its numbers."""
    return f"{value:.9g}" if isinstance(value, float) else str(value)


def values(action: api.Action) -> str:
    """The code of an action and the values of its fields, in order."""
    if isinstance(action, api.Log):
        return f"{ACTION_CODES[api.Log]} {re.findall('[0-9]+', action.text)}"
    given = [value_of(getattr(action, field.name)) for field in fields(action)]
    return " ".join([str(ACTION_CODES[type(action)]), *given])


def digest(seed: int, make: type[Router] = Router, form: Callable[[api.Action], str] = written) -> str:
    """Of all that a router answers in the world of a seed, in order."""
    text = hashlib.sha256()
    for _, _, actions in World(seed, make).steps():
        text.update("".join(f"{form(action)}\n" for action in actions).encode() + b".\n")
    return text.hexdigest()[:32]


def value_digest(seed: int, make: type[Router] = Router) -> str:
    """A digest that a renaming of types and fields leaves as it is."""
    return digest(seed, make, values)


if __name__ == "__main__":
    FILE.write_text("".join(f"{seed} {digest(seed)}\n" for seed in SEEDS))
    VALUES_FILE.write_text("".join(f"{seed} {value_digest(seed)}\n" for seed in SEEDS))
