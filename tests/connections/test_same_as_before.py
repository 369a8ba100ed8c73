"""The decisions as they were among the I/O, beside those of the module: the same events, the same actions."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironrail.connections import upstream
from ironrail.connections.upstream import Link, Upstream
from ironrail.policy.interface import Status
from tests.connections import pool_before as before

Log = list[tuple[Any, ...]]


class Clock:
    now = 100.0

    def monotonic(self) -> float:
        return self.now


class FakeTransport:
    """Notes what is done to a connection."""

    def __init__(self, log: Log, number: int) -> None:
        self._log, self._number, self.closing = log, number, False

    def write(self, data: bytes) -> None:
        self._log.append(("write", self._number, data))

    def close(self) -> None:
        self.closing = True
        self._log.append(("close", self._number))

    def abort(self) -> None:
        self.closing = True
        self._log.append(("abort", self._number))

    def is_closing(self) -> bool:
        return self.closing


class OldConnection(before.Connection):
    def __init__(self, pool: before.Pool, number: int, log: Log, world: World) -> None:
        super().__init__(pool)
        self.number, self._log, self._world = number, log, world
        self.transport = cast(Any, FakeTransport(log, number))

    def quiet(self) -> bool:
        self._log.append(("look", self.number))
        return not self.transport.is_closing() and self.number not in self._world.noisy

    def encode(self, attempt: before.Attempt) -> bytes:
        return attempt.request.encode()


class OldPool(before.Pool):
    dials: dict[int, tuple[str, int]]

    def _dial(self) -> None:
        number = len(self.dials)
        self.dials[number] = self.address
        self._dialling.add(cast(Any, number))
        self.log.append(("dial", number))

    log: Log

    def warn(self, fault: object) -> None:
        self.log.append(("warn", str(fault)))


class World:
    """What both are told of."""

    def __init__(self, clock: Clock, most: int, streams: int) -> None:
        self.clock = clock
        self.noisy: set[int] = set()
        self.old_log: Log = []
        self.new_log: Log = []
        self.old = OldPool(
            "s", ("a", 1), cast(Any, None), most=most, streams=streams, connect_timeout=1, idle=8
        )
        self.old.log, self.old.dials = self.old_log, {}
        self.new = Upstream(("a", 1), most=most, streams=streams, idle=8)
        self.links: dict[int, Link] = {}
        self.numbers: dict[Link, int] = {}
        self.old_links: dict[int, OldConnection] = {}
        self.closing: set[int] = set()  # by the new
        self.dialling: list[int] = []
        self.attempts: list[tuple[before.Attempt, upstream.Attempt]] = []
        self.over: set[int] = set()  # links whose end was told
        self.ended: dict[int, int] = {}

    # the new one's host

    def do(self, actions: list[upstream.Action]) -> None:
        todo = deque(actions)
        while todo:
            match todo.popleft():
                case upstream.Look(link) as look:
                    number = self.numbers[link]
                    self.new_log.append(("look", number))
                    quiet = number not in self.closing and number not in self.noisy
                    todo.extendleft(reversed(self.new.looked(self.clock.now, look, quiet)))
                case upstream.Write(link, attempt):
                    self.new_log.append(("write", self.numbers[link], attempt.request.encode()))
                case upstream.End(attempt, status, body):
                    self.new_log.append(("end", attempt.request, status, body))
                case upstream.Dial(link):
                    number = len(self.links)
                    self.links[number], self.numbers[link] = link, number
                    self.dialling.append(number)
                    self.new_log.append(("dial", number))
                case upstream.Close(link):
                    self.closing.add(self.numbers[link])
                    self.new_log.append(("close", self.numbers[link]))
                case upstream.Abort(link):
                    self.closing.add(self.numbers[link])
                    self.new_log.append(("abort", self.numbers[link]))
                case upstream.Warn(fault):
                    self.new_log.append(("warn", str(fault)))

    # events, told to both

    def want(self, patience: float) -> None:
        now, name = self.clock.now, f"r{len(self.attempts)}"

        def report(attempt: before.Attempt, status: Status, body: bytes) -> None:
            self.old_log.append(("end", attempt.request, status, body))

        old = before.Attempt(name, 0, cast(Any, None), now, now + patience, report)
        new = upstream.Attempt(name, 0, now, now + patience)
        self.attempts.append((old, new))
        self.old.send(old)
        self.do(self.new.want(now, new))

    def up(self, pick: int, closing: bool) -> None:
        if not self.dialling:
            return
        number = self.dialling.pop(pick % len(self.dialling))
        made = OldConnection(self.old, number, self.old_log, self)
        made.address = self.old.dials[number]
        made.transport.closing = closing  # type: ignore[attr-defined]
        if closing:
            self.closing.add(number)
        pool = self.old
        pool._dialling.discard(cast(Any, number))  # as `_open` did
        if closing or made.address != pool.address:
            made.transport.abort()
            self._old_down()
        else:
            self.old_links[number] = made
            pool._all[made] = None
            pool.freed(made)
        self.do(self.new.up(self.clock.now, self.links[number], closing))

    def down(self, pick: int) -> None:
        if not self.dialling:
            return
        number = self.dialling.pop(pick % len(self.dialling))
        self.old._dialling.discard(cast(Any, number))
        self._old_down()
        self.do(self.new.down(self.clock.now, self.links[number]))

    def _old_down(self) -> None:
        while self.old._waiting:
            self.old._waiting.popleft().end(Status.CONNECT_FAILED)
            if self.old._dialling:
                break

    def _pick(self, pick: int) -> int | None:
        there = [n for n in self.old_links if n not in self.over]
        return there[pick % len(there)] if there else None

    def read(self, pick: int, replies: int, part: bool, fault: bool) -> None:
        number = self._pick(pick)
        if number is None or self.old_links[number].transport.is_closing():
            return
        link, connection = self.links[number], self.old_links[number]
        statuses = [(Status.OK if n % 2 else Status.MISS, b"x") for n in range(min(replies, len(link.out)))]
        told = "nonsense" if fault else None
        ended = [(connection.attempts.popleft(), status, body) for status, body in statuses]
        connection.settle(ended, part, told)
        self.do(self.new.read(self.clock.now, link, statuses, part, told))

    def lose(self, pick: int) -> None:
        number = self._pick(pick)
        if number is None:
            return
        self.over.add(number)
        self.closing.add(number)
        self.old_links[number].transport.closing = True  # type: ignore[attr-defined]
        self.old_links[number].connection_lost(None)
        self.do(self.new.ended(self.clock.now, self.links[number]))

    def hold(self, pick: int, back: bool) -> None:
        number = self._pick(pick)
        if number is not None:
            self.old_links[number].held_back = self.links[number].held_back = back

    def abandon(self, pick: int, status: Status) -> None:
        live = [(old, new) for old, new in self.attempts if new.open]
        if live:
            old, new = live[pick % len(live)]
            self.old.abandon(old, status)
            self.do(self.new.abandon(self.clock.now, new, status))

    def retire(self, pick: int) -> None:
        number = self._pick(pick)
        if number is not None:
            self.old.lost(self.old_links[number])
            self.new.retire(self.clock.now, self.links[number])

    def noise(self, pick: int) -> None:
        number = self._pick(pick)
        if number is not None:
            self.noisy ^= {number}

    def wait(self, seconds: float) -> None:
        """Time passes; the host stops waiting for each attempt when its time is up."""
        until = self.clock.now + seconds
        for old, new in sorted(self.attempts, key=lambda a: a[1].until):
            if new.open and new.until <= until:
                self.clock.now = max(self.clock.now, new.until)
                self.old.abandon(old, Status.TIMEOUT)
                self.do(self.new.abandon(self.clock.now, new, Status.TIMEOUT))
        self.clock.now = until

    def both(self, old: Callable[[], None], new: list[upstream.Action]) -> None:
        old()
        self.do(new)

    def server(self, what: str) -> None:
        now = self.clock.now
        match what:
            case "expire":
                self.both(self.old.expire, self.new.expire(now))
            case "close_idle":
                self.both(self.old.close_idle, self.new.close_idle(now))
            case "stop":
                self.both(self.old.stop, self.new.stop(now))
            case "resume":
                self.old.ready = self.new.ready = True
            case "restart":
                self.both(lambda: self.old.restart(now - 0.5), self.new.restart(now, now - 0.5))
            case "move":
                address = ("a", len(self.old_log))
                self.both(lambda: self.old.move(address), self.new.move(now, address))
            case "fewer":
                self.old.most = self.new.most = max(1, self.new.most - 1)

    def check(self) -> None:
        assert self.new_log == self.old_log
        assert len(self.new) == len(self.old)
        assert self.new.idle_limit == self.old.idle_limit


PICK = st.integers(0, 9)
EVENTS = st.one_of(
    st.tuples(st.just("want"), st.sampled_from([0.2, 1.0, 3.0])),
    st.tuples(st.just("want"), st.sampled_from([0.2, 1.0, 3.0])),
    st.tuples(st.just("up"), PICK, st.sampled_from([False, False, False, True])),
    st.tuples(st.just("down"), PICK),
    st.tuples(st.just("read"), PICK, st.integers(0, 3), st.booleans(), st.sampled_from([False, False, True])),
    st.tuples(st.just("read"), PICK, st.just(1), st.just(False), st.just(False)),
    st.tuples(st.just("lose"), PICK),
    st.tuples(st.just("hold"), PICK, st.booleans()),
    st.tuples(st.just("abandon"), PICK, st.sampled_from([Status.TIMEOUT, Status.CANCELLED])),
    st.tuples(st.just("retire"), PICK),
    st.tuples(st.just("noise"), PICK),
    st.tuples(
        st.just("server"),
        st.sampled_from(["expire", "expire", "close_idle", "stop", "resume", "restart", "move", "fewer"]),
    ),
    st.tuples(st.just("wait"), st.sampled_from([0.01, 0.1, 0.5, 2.0, 7.0])),
)


@settings(max_examples=1500, deadline=None)
@given(st.lists(EVENTS, max_size=60), st.integers(1, 4), st.sampled_from([1, 2, 100]))
def test_the_same_events_give_the_same_actions(
    events: list[tuple[Any, ...]], most: int, streams: int
) -> None:
    clock = Clock()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(before, "time", clock)
        patch.setattr(asyncio, "get_running_loop", lambda: None)
        world = World(clock, most, streams)
        for kind, *rest in events:
            getattr(world, kind)(*rest)
            world.check()


def stream(seed: int) -> list[tuple[Any, ...]]:
    """A long life of one server's connections, mostly usual and seldom not."""
    draws = random.Random(seed)
    kinds = ["want"] * 30 + ["up"] * 14 + ["read"] * 22 + ["wait"] * 16 + ["abandon"] * 5 + ["part"] * 4
    kinds += ["down", "lose", "lose", "lose", "hold", "hold", "retire", "noise", "fault", "server", "server"]
    events: list[tuple[Any, ...]] = []
    for _ in range(250):
        pick = draws.randrange(10)
        match draws.choice(kinds):
            case "want":
                events.append(("want", draws.choice((0.2, 1.0, 3.0, 9.0))))
            case "up":
                events.append(("up", pick, draws.random() < 0.05))
            case "read":
                events.append(("read", pick, draws.choice((1, 1, 1, 2, 3)), False, False))
            case "part":
                events.append(("read", pick, draws.choice((0, 0, 1, 2)), True, False))
            case "fault":
                events.append(("read", pick, draws.choice((0, 1)), False, True))
            case "wait":
                events.append(("wait", draws.choice((0.01, 0.05, 0.15, 0.4, 1.2, 3.0))))
            case "abandon":
                events.append(
                    ("abandon", pick, draws.choice((Status.TIMEOUT, Status.TIMEOUT, Status.CANCELLED)))
                )
            case "hold":
                events.append(("hold", pick, draws.random() < 0.5))
            case "server":
                what = draws.choice(("expire", "expire", "expire", "close_idle", "stop", "restart", "move"))
                events += [("server", what), ("server", "resume")]
            case kind:
                events.append((kind, pick))
    return events


@pytest.mark.parametrize("streams", [1, 2, 100])
def test_long_streams_give_the_same_actions(streams: int, monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    monkeypatch.setattr(before, "time", clock)
    monkeypatch.setattr(asyncio, "get_running_loop", lambda: None)
    done: set[str] = set()
    for seed in range(300):
        world = World(clock, 1 + seed % 4, streams)
        for kind, *rest in stream(seed):
            getattr(world, kind)(*rest)
            world.check()
        done |= {entry[0] for entry in world.new_log}
    assert done == {"dial", "look", "write", "close", "abort", "end", "warn"}
