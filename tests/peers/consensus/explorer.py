"""All that can happen to the real rooms, within stated bounds, breadth first. Time goes in ticks.

A transition of one room is run once for each state and event of its own and remembered, for the same one
comes up among many states of the others. Within a tick messages are delivered in the order of sending, except
where a fault is spent; between ticks a router may be cut off, stopped, or crash, with its disk or without.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from ironrail.errors import RejectedError
from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus.configuration import ConsensusConfig
from ironrail.peers.consensus.errors import OpenError
from ironrail.peers.consensus.lease import are_disjoint
from ironrail.peers.messages import Received
from tests.peers.consensus.still import DRIFT, LEASE, Saved, Still
from tests.peers.consensus.watching import FACTS, FLOOR, Broken, policy

Mail = tuple[int, int, int, bytes]  # from, its start, to, body
Done = tuple[int, tuple[Mail, ...], tuple[bytes, ...], tuple[int, ...]]


class State(NamedTuple):
    """Of the whole world."""

    tick: int
    nodes: tuple[int, ...]  # a room's state by number; 0: down
    mail: tuple[Mail, ...]  # to be delivered now, in this order
    later: tuple[Mail, ...]  # to be delivered after the next tick
    away: tuple[int, ...]  # for each router: 0 there, n > 0 cut off for n ticks, n < 0 stopped for n
    starts: int
    faults: int  # to be spent yet on routers
    slips: int  # and on messages
    calls: int  # proposals made
    decided: tuple[bytes, ...]  # states, each step once
    refused: tuple[int, ...]  # versions whose ticket says that they don't come


@dataclass
class Bounds:
    """What is looked through."""

    ticks: int = 8
    faults: int = 1
    slips: int = 0
    # tick at the earliest, router, version, and the voters that it names
    proposals: tuple[tuple[Any, ...], ...] = ((1, 3, 2), (2, 0, 3))
    deadline: float = 4.0  # ticks
    routers: int = 4
    disk: bool = False
    direct: int = 32  # 0: a router answers for those that are no voters
    most: int = 10**7  # states
    kinds: str = "cut stop crash forget"
    up: int = 9  # ticks without faults before it begins


class Explorer:
    """`room`: what is looked at."""

    def __init__(self, bounds: Bounds, room: Callable[..., Any] = Still) -> None:
        self.bounds, self.room = bounds, room
        self.voters = (0, 1, 2)
        self.fast = {v for _, _, _, *named in bounds.proposals for v in (*self.voters, *sum(named, ()))}
        self.rooms = Saved()
        self.memo: dict[tuple[int, int, Any], Done] = {}
        self.scope: dict[tuple[int, int], m.Scope] = {}
        self.seen: set[State] = set()
        self.ended: dict[str, int] = {}

    def clock(self, me: int, tick: int) -> float:
        """Voters' clocks are as fast as may be, others' as slow: a lease lasts longest."""
        return tick * (1 + DRIFT if me in self.fast else 1 - DRIFT)

    def local(self, me: int, node: int, tick: int, event: Any) -> Done:
        """What a room does: its next state, what it sends, decides, and which tickets ended in vain."""
        key = (node, tick, event)
        if key in self.memo:
            return self.memo[key]
        now = self.clock(me, tick)
        if event[0] == "start":
            disk = self.bounds.disk and me in self.fast
            direct = self.bounds.direct
            conf = ConsensusConfig(
                me,
                event[1],
                self.bounds.routers,
                self.voters,
                LEASE,
                DRIFT,
                max_direct_routers=direct,
                persists_records=disk,
            )
            room = self.room(conf, FACTS, FLOOR, now, record=event[2])
            room.tickets = ()
        else:
            room = self.rooms.load(node)
        match event:
            case ("hear", sender, start, body):
                room.on_message(now, Received(sender, start, body))
            case ("wake",) if room.next_timer_at() <= now:
                room.on_timer(now)
            case ("propose", version, *voters):
                try:
                    room.tickets += (room.propose(now, policy(version), self.bounds.deadline, *voters),)
                except RejectedError:
                    self.ended["at once"] = self.ended.get("at once", 0) + 1
            case ("found",):
                room.bootstrap(now, 1, policy(1))
        while keeps := room.take_records():
            for keep in keeps:
                room.record = keep.record
                room.on_record_written(now, keep.token)
        out = tuple((me, room.conf.start, say.to, say.body) for say in room.take_outgoing())
        decided = tuple(body for _, _, _, body in out if isinstance(m.decode(body), m.Decided))
        refused = tuple(t.ref.version for t in room.tickets if t.error and not isinstance(t.error, OpenError))
        done = tuple(t for t in room.tickets if t.is_open)
        for t in room.tickets:
            if not t.is_open:
                name = type(t.error).__name__ if t.error else "in force"
                self.ended[name] = self.ended.get(name, 0) + 1
        room.tickets = done
        self.memo[key] = (self.rooms.save(room), out, decided, refused)
        return self.memo[key]

    def apply(self, state: State, me: int, event: Any) -> State:
        """One event at one router."""
        node, out, decided, refused = self.local(me, state.nodes[me], state.tick, event)
        nodes = (*state.nodes[:me], node, *state.nodes[me + 1 :])
        known = dict.fromkeys((*state.decided, *decided))
        if len(known) > len(state.decided):
            by_step: dict[int, m.RegisterState] = {}
            for body in known:
                message = m.decode(body)
                assert isinstance(message, m.Decided)
                if by_step.setdefault(message.state.step, message.state) != message.state:
                    raise Broken(f"decided twice: {message.state} and {by_step[message.state.step]}")
        return state._replace(
            nodes=nodes,
            mail=state.mail + out,
            decided=tuple(sorted(known)),
            refused=tuple(sorted({*state.refused, *refused})),
        )

    def watch(self, state: State) -> None:
        """The promise, at this instant."""
        scopes = set()
        for me, node in enumerate(state.nodes):
            if node:
                key = (node, state.tick)
                if key not in self.scope:
                    room = self.rooms.load(node)
                    self.scope[key] = room.effective_policy(self.clock(me, state.tick)).scope
                scopes.add(self.scope[key])
        scopes.discard(())
        for one in scopes:
            if any(are_disjoint(one, other) for other in scopes):
                raise Broken(f"tick {state.tick}: decided by {scopes}")
            if len(one) == 1 and one[0] % m.EPOCH in state.refused:
                raise Broken(f"tick {state.tick}: by {one}, which was refused")

    def deliver(self, state: State) -> State:
        """The first message."""
        (sender, start, to, body), rest = state.mail[0], state.mail[1:]
        state = state._replace(mail=rest)
        if not state.nodes[to] or state.away[to] > 0 or state.away[sender] > 0:
            return state
        if state.away[to] < 0:  # it waits in the stopped process's socket
            return state._replace(later=(*state.later, (sender, start, to, body)))
        state = self.apply(state, to, ("hear", sender, start, body))
        self.watch(state)
        return state

    def tick(self, state: State) -> State:
        """Time goes on; what was held comes first, then all wake."""
        away = tuple(a - 1 if a > 0 else a + 1 if a < 0 else 0 for a in state.away)
        state = state._replace(tick=state.tick + 1, mail=state.later, later=(), away=away)
        self.watch(state)  # before anyone had a chance to look at the clock
        for me, node in enumerate(state.nodes):
            if node and state.away[me] >= 0:
                state = self.apply(state, me, ("wake",))
        return state

    def faults(self, state: State) -> Iterator[State]:
        """What may befall a router between two ticks."""
        spent = state._replace(faults=state.faults - 1)
        for me in range(self.bounds.routers):
            for kind, away in (("cut", 2), ("cut", 4), ("stop", -2), ("stop", -4)):
                if kind in self.bounds.kinds and not state.away[me]:
                    yield spent._replace(away=(*state.away[:me], away, *state.away[me + 1 :]))
            for kind in ("crash", "forget"):
                if kind in self.bounds.kinds and (kind == "forget" or self.bounds.disk and me in self.fast):
                    yield self.restart(spent, me, kind == "forget")

    def restart(self, state: State, me: int, forget: bool) -> State:
        """At once, as another process."""
        record = None if forget else getattr(self.rooms.load(state.nodes[me]), "record", None)
        state = state._replace(starts=state.starts + 1)
        return self.apply(state, me, ("start", state.starts, record))

    def slipped(self, state: State) -> Iterator[State]:
        """What may befall the first message."""
        spent = state._replace(slips=state.slips - 1)
        yield spent._replace(mail=state.mail[1:])  # lost
        yield spent._replace(mail=state.mail[1:], later=(*state.later, state.mail[0]))  # late
        yield spent._replace(mail=(*state.mail[1:], state.mail[0]))  # overtaken
        yield self.deliver(spent._replace(later=(*state.later, state.mail[0])))  # twice

    def after(self, state: State) -> Iterator[State]:
        """All that may come next."""
        if state.mail:
            yield self.deliver(state)
            if state.slips:
                yield from self.slipped(state)
            return
        if state.tick < self.bounds.ticks + self.bounds.up:
            ticked = self.tick(state)
            calls = self.bounds.proposals[state.calls :]
            if calls and state.tick - self.bounds.up >= calls[0][0] and not state.away[calls[0][1]]:
                yield self.apply(
                    ticked._replace(calls=state.calls + 1), calls[0][1], ("propose", *calls[0][2:])
                )
            else:
                yield ticked
            if state.faults:
                yield from self.faults(state)

    def begin(self) -> State:
        """All routers decide by the first policy."""
        n = self.bounds.routers
        state = State(0, (0,) * n, (), (), (0,) * n, n, 0, 0, 9, (), ())
        for me in range(n):
            state = self.apply(state, me, ("start", me + 1, None))
        state = self.apply(state, 0, ("found",))
        while state.tick < self.bounds.up or state.mail:
            state = self.deliver(state) if state.mail else self.tick(state)
        return state._replace(faults=self.bounds.faults, slips=self.bounds.slips, calls=0)

    def run(self) -> int:
        """Look through all; the number of states. Raises Broken where a promise is."""
        level = [self.begin()]
        while level:
            following: list[State] = []
            for state in level:
                for after in self.after(state):
                    if after not in self.seen:
                        self.seen.add(after)
                        following.append(after)
                        if len(self.seen) > self.bounds.most:
                            raise OverflowError("more states than stated")
            level = following
        return len(self.seen)
