"""Clients' connections as they were decided among the I/O, beside those of the module.

The same streams of bytes, answers, pauses and time bring about the same writes, closes and pauses.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, cast

import pytest

from ironrail.connections.downstream import Downstream
from ironrail.net import clients as after
from tests.connections import clients_before as before

P = b"Pc=read,t=x,d=5000"
PIECES = [
    b"mg k v O%d " + P + b"\r\n",
    b"mg k v O%d " + P + b"\r\n",
    b"mg k v O%d " + P + b"\r\nmg k v O%d " + P + b"\r\n",
    b"mn\r\n",
    b"what\r\n",
    b"mg k",
    b"ms k 5 O%d " + P + b"\r\nhal",
    b"ms k 5 O%d " + P + b"\r\nvalue\r\n",
    b"ms k 99999999 O%d x\r\n",
    b"what\r\n" * 9,
    b"mn\r\n" * 70,
]
Log = list[tuple[Any, ...]]


class Clock:
    now = 100.0

    def monotonic(self) -> float:
        return self.now


class Loop:
    """Runs what is to be done soon when told to, and what is to be done later never."""

    def __init__(self) -> None:
        self.soon: list[Callable[[], None]] = []

    def call_soon(self, call: Callable[[], None]) -> None:
        self.soon.append(call)

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        pass

    def turn(self) -> None:
        soon, self.soon = self.soon, []
        for call in soon:
            call()


class Transport:
    """Notes what is done to a connection."""

    def __init__(self, log: Log, number: int) -> None:
        self._log, self._number, self.closing = log, number, False

    def is_closing(self) -> bool:
        return self.closing

    def __getattr__(self, name: str) -> Callable[..., None]:
        def note(*data: Any) -> None:
            self.closing = self.closing or name in ("close", "abort")
            self._log.append((name, self._number, *data))

        return note


class Host:
    """Takes requests, and answers them when told to."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self.held: dict[str, Callable[[bytes], None]] = {}
        self.taken = 0

    def take(self, command: Any, answer: Callable[[bytes], None]) -> str | None:
        self.taken += 1
        name = str(command.request_id.decode())
        self._log.append(("take", name))
        if self.taken % 7 == 0 or name in self.held:
            answer(b"CLIENT_ERROR no\r\n")
            return None
        if self.taken % 5 == 0:
            answer(b"SERVER_ERROR busy\r\n")
            return name
        self.held[name] = answer
        return name

    def gone(self, name: str) -> None:
        self.held.pop(name, None)
        self._log.append(("gone", name))

    def answer(self, pick: int) -> None:
        if self.held:
            name = list(self.held)[pick % len(self.held)]
            self.held.pop(name)(b"VA 1 O" + name.encode() + b"\r\nv\r\n")


class OldConnection(before.ClientConnection):
    side: Side
    number: int

    def settled(self) -> bool:
        return self.side.clear(self)


class NewConnection(after.ClientConnection):
    side: Side
    number: int

    def clear(self) -> bool:
        return self.side.clear(self)


class Side:
    """One of the two, with its own host, loop and connections."""

    def __init__(self, old: bool, most: int, kept: int, loop: Loop) -> None:
        self.log: Log = []
        self.old, self.loop, self.host = old, loop, Host(self.log)
        self.connections: dict[int, Any] = {}
        self.unclear: set[int] = set()
        make: Any = before.Clients if old else after.Clients
        self.clients = make(self.host, lambda: True, *((most, kept) if old else (Downstream(most, kept),)))

    def arrive(self, number: int) -> None:
        if self.old:
            admitted = self.clients._make_room()
            self.clients._coming += admitted
        else:
            admission = self.clients.places.arrived()
            admitted = admission.admitted
            if admission.evicted is not None:
                evicted = self.clients._connections[admission.evicted]
                self.clients.remove(admission.evicted)
                evicted.transport.abort()
        self.log.append(("admitted", number, admitted))
        if admitted:
            made = (OldConnection if self.old else NewConnection)(self.clients)
            made.side, made.number = self, number
            made.connection_made(cast(Any, Transport(self.log, number)))
            self.connections[number] = made

    def clear(self, connection: Any) -> bool:
        return connection.transport.is_closing() or connection.number not in self.unclear

    def lose(self, number: int) -> None:
        self.connections.pop(number).connection_lost(None)

    def sweep(self, now: float) -> None:
        if self.old:
            for connection in [*self.clients._new, *self.clients._used]:
                connection.check(now)
        else:
            for place in self.clients.places:
                if (connection := self.clients._connections.get(place)) is not None:
                    connection.check(now)


def play(seed: int, clock: Clock, monkeypatch: pytest.MonkeyPatch) -> set[str]:
    draws = random.Random(seed)
    loops = Loop(), Loop()
    current = [loops[0]]
    monkeypatch.setattr(asyncio, "get_running_loop", lambda: current[0])
    most, kept = draws.choice(((4, 2), (6, 3), (12, 4)))
    sides: list[Side] = []
    for old, loop in zip((True, False), loops, strict=True):
        current[0] = loop
        sides.append(Side(old, most, kept, loop))

    def both(do: Callable[[Side], None]) -> None:
        for side in sides:
            current[0] = side.loop
            do(side)

    arrived = 0
    for step in range(200):
        there = list(sides[0].connections)
        assert there == list(sides[1].connections)
        pick = draws.choice(there) if there else -1
        kind = draws.choice(
            [
                "arrive",
                "data",
                "data",
                "data",
                "data",
                "answer",
                "answer",
                "answer",
                "turn",
                "wait",
                "hold",
                "lose",
                "unclear",
            ]
        )
        match kind:
            case "arrive":
                arrived += 1
                both(lambda s, n=arrived: s.arrive(n))  # type: ignore[misc]
            case "data" if there:
                data = draws.choice(PIECES)
                data = data.replace(b"%d", b"%d" % step)
                if not sides[0].connections[pick].transport.is_closing():
                    both(lambda s, n=pick, d=data: s.connections[n].data_received(d))  # type: ignore[misc]
            case "answer":
                number = draws.randrange(50)
                both(lambda s, n=number: s.host.answer(n))  # type: ignore[misc]
            case "turn":
                both(lambda s: s.loop.turn())
            case "wait":
                clock.now += draws.choice((0.05, 0.3, 1.0, 2.5, 9.0, 31.0))
                both(lambda s: s.sweep(clock.now))
            case "hold" if there:
                way = draws.choice(("pause_writing", "resume_writing"))
                both(lambda s, n=pick, w=way: getattr(s.connections[n], w)())  # type: ignore[misc]
            case "lose" if there:
                both(lambda s, n=pick: s.lose(n))  # type: ignore[misc]
            case "unclear" if there:
                both(lambda s, n=pick: s.unclear.symmetric_difference_update({n}))  # type: ignore[misc]
        assert sides[1].log == sides[0].log, (seed, step, kind)
    return {entry[0] for entry in sides[0].log}


def test_the_same_streams_bring_about_the_same(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    monkeypatch.setattr(before, "time", clock)
    monkeypatch.setattr(after, "time", clock)
    seen = set[str]()
    for seed in range(300):
        seen |= play(seed, clock, monkeypatch)
    done = {
        "admitted",
        "take",
        "gone",
        "write",
        "write_eof",
        "close",
        "abort",
        "pause_reading",
        "resume_reading",
    }
    assert seen >= done
