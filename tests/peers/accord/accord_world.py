"""Rooms among drifting clocks, lost messages, crashes and pauses, watched at every instant."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ironrail.errors import RefusedError
from ironrail.peers.accord import messages as m
from ironrail.peers.accord import policy as p
from ironrail.peers.accord.conf import Conf
from ironrail.peers.accord.errors import OpenError
from ironrail.peers.accord.proposer import Ticket
from ironrail.peers.accord.room import AccordRoom
from ironrail.peers.accord.stages import apart
from ironrail.peers.faces import Heard, Topic

FACTS = p.Facts(titles=frozenset({"fonts"}), halls=frozenset({"north"}))
FLOOR = p.Policy(version=1, rates={"fonts": 1.0})


def policy(version: int, rate: float = 0.0) -> p.Policy:
    """One that differs by its version."""
    return p.Policy(version=version, rates={"fonts": rate or 100.0 + version})


class Broken(AssertionError):
    """A promise was."""


@dataclass
class Node:
    """A process at a router's place."""

    conf: Conf
    room: Any  # an AccordRoom, or what a test puts in its place
    rate: float
    offset: float
    born: float
    died: float = math.inf
    paused_until: float = 0.0
    disk: bytes | None = None
    proven: dict[int, int] = field(default_factory=dict)
    replaced: set[int] = field(default_factory=set)
    waking: float = math.inf  # its wake is scheduled for


class World:
    """`rooms`: makes a room; the rest as drawn from the seed."""

    def __init__(  # noqa: PLR0913
        self,
        seed: int,
        routers: int = 5,
        voters: tuple[int, ...] = (0, 1, 2),
        disk: bool = False,
        loss: float = 0.0,
        twice: float = 0.0,
        slow: float = 0.02,
        drift: float = 0.01,
        rooms: Callable[..., Any] = AccordRoom,
        facts: Callable[[int], p.Facts] = lambda _: FACTS,
    ) -> None:
        self.random, self.now = random.Random(seed), 0.0
        self.routers, self.voters, self.disk, self.rooms, self.facts = routers, voters, disk, rooms, facts
        self.loss, self.twice, self.slow, self.drift = loss, twice, slow, drift
        self.cut: set[frozenset[int]] = set()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order, self.starts = itertools.count(), itertools.count(1)
        self.lives: dict[tuple[int, int], Node] = {}
        self.decided: dict[int, m.State] = {}
        self.digests: dict[tuple[int, int], bytes] = {}
        self.tickets: list[Ticket] = []
        self.askers: list[tuple[Ticket, Node]] = []
        self.sent = 0
        self.bytes = 0
        self.keep_fails, self.keep_slow = 0.0, 0.02
        self.ghosts: list[Node] = []  # stopped, and another process has their place
        self.documents: dict[bytes, p.Policy] = {}
        self.nodes: dict[int, Node] = {}
        for me in range(routers):
            self.start(me)

    def start(self, me: int, record: bytes | None = None) -> Node:
        """A new process, which remembers nothing but its disk."""
        rate = 1 + self.random.uniform(-self.drift, self.drift)
        conf = Conf(me, next(self.starts), self.routers, self.voters, disk=self.disk and me in self.voters)
        node = Node(conf, None, rate, self.random.uniform(0, 1000), self.now, disk=record)
        node.room = self.rooms(conf, self.facts(me), FLOOR, self.clock(node), seed=conf.start, record=record)
        self.nodes[me] = self.lives[me, conf.start] = node
        self.settle(node)
        return node

    def crash(self, me: int, forget: bool, back_in: float) -> None:
        """It starts anew after a while, with its disk or without."""
        node = self.nodes.pop(me, None)
        if node:
            node.died = self.now
            self.at(back_in, lambda: None if me in self.nodes else self.start(me, None if forget else node.disk) and None)

    def twin(self, me: int) -> None:
        """Another process is started in the place of one that was only stopped."""
        if node := self.nodes.pop(me, None):
            self.ghosts.append(node)
            node.died = self.now  # nothing reaches it any more
            self.start(me)

    def clock(self, node: Node) -> float:
        """Its own."""
        return node.offset + node.rate * self.now

    def at(self, delay: float, call: Callable[[], None]) -> None:
        """Later, in true time."""
        heapq.heappush(self.queue, (self.now + delay, next(self.order), call))

    def settle(self, node: Node) -> None:
        """Carry out what a room wants."""
        room = node.room
        for keep in room.keeps():
            self.at(self.random.uniform(0.0, self.keep_slow), lambda k=keep: self.keep(node, k))  # type: ignore[misc]
        for say in room.say():
            self.send(node, say.to, say.body)
        wake = room.wake_at()
        if wake < node.waking or node.waking <= self.clock(node):
            node.waking = wake
            self.at(max(0.0, (wake - self.clock(node)) / node.rate) + 1e-9, lambda: self.wake(node))

    def keep(self, node: Node, keep: Any) -> None:
        if node.died < math.inf:
            return
        if self.random.random() < self.keep_fails:
            node.room.keep_failed(self.clock(node), keep.token)
        else:
            node.disk = keep.record
            node.room.kept(self.clock(node), keep.token)
        self.settle(node)

    def send(self, node: Node, to: int, body: bytes) -> None:
        """Over a network that may do anything but forge."""
        me, start = node.conf.me, node.conf.start
        self.sent += 1
        self.bytes += len(body)
        self.watch_sent(node, body)
        for _ in range(1 + (self.random.random() < self.twice)):
            if self.random.random() >= self.loss and frozenset((me, to)) not in self.cut:
                delay = self.random.expovariate(1 / self.slow)
                self.at(delay, lambda: self.deliver(me, start, to, body))

    def deliver(self, me: int, start: int, to: int, body: bytes) -> None:
        node = self.nodes.get(to)
        if node is None or self.lives[me, start].died < node.born or start in node.replaced:
            return
        if node.paused_until > self.now:
            self.at(node.paused_until - self.now, lambda: self.deliver(me, start, to, body))
            return
        if node.proven.get(me, start) != start:
            node.replaced.add(node.proven[me])
        node.proven[me] = start
        node.room.hear(self.clock(node), Heard(me, start, body))
        self.settle(node)

    def wake(self, node: Node) -> None:
        if node.died < math.inf:
            return
        if node.paused_until > self.now:
            self.at(node.paused_until - self.now, lambda: self.wake(node))
            return
        node.waking = math.inf
        node.room.wake(self.clock(node))
        self.settle(node)

    def run(self, seconds: float) -> None:
        """So long in true time."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self.queue)
            call()
            self.watch()
        self.now = end
        self.watch()

    # what is watched

    def watch_sent(self, node: Node, body: bytes) -> None:
        """Each step is decided once, and each version means one document."""
        message = m.decode(body)
        if isinstance(message, m.Decided):
            state = message.state
            if self.decided.setdefault(state.step, state) != state:
                raise Broken(f"step {state.step} decided twice: {self.decided[state.step]} and {state}")
            for ref in state.refs():
                key = (state.step // m.EPOCH, ref.version)
                if self.digests.setdefault(key, ref.digest) != ref.digest:
                    raise Broken(f"version {key} has two documents")

    def scopes(self) -> dict[int, m.Scope]:
        """Who decides by what."""
        processes = [*self.nodes.items(), *((-1 - i, ghost) for i, ghost in enumerate(self.ghosts))]
        found = {}
        for me, node in processes:
            by = node.room.decides_by(self.clock(node))
            if by.scope:
                found[me] = by.scope
                for version in by.scope:
                    document = self.documents[self.digests[divmod(version, m.EPOCH)]]
                    if by.policy.rates["fonts"] > document.rates["fonts"]:
                        raise Broken(f"router {me} in {by.scope} allows more than {document}")
        return found

    def backed(self, node: Node, scope: m.Scope) -> bool:
        """Whether a majority of voters keeps others from what is apart from this process's scope."""
        backing = 0
        for voter in self.voters:
            if (other := self.nodes.get(voter)) is None:
                backing += 1  # when it is back it waits until this lease has run out
                continue
            part, now = other.room.voter, self.clock(other)
            entry = part.grants.entries.get((node.conf.me, node.conf.start))
            holds = entry is not None and scope in entry.scopes and now < entry.until
            backing += holds or now < part.quiet_until
        return backing > len(self.voters) // 2

    def watch(self) -> None:
        """No two routers decide by what is apart, nor by what was told not to come."""
        scopes = self.scopes()
        for me, scope in scopes.items():
            if not self.backed(self.ghosts[-1 - me] if me < 0 else self.nodes[me], scope):
                raise Broken(f"at {self.now}: router {me} decides by {scope} without a majority's lease")
        if len(set(scopes.values())) > 1:
            for (a, one), (b, other) in itertools.combinations(scopes.items(), 2):
                if apart(one, other):
                    raise Broken(f"at {self.now}: router {a} decides by {one}, {b} by {other}")
        alive = {t.ref for t in self.tickets if t.error is None or isinstance(t.error, OpenError)}
        dead = {t.ref.digest for t in self.tickets if t.ref not in alive}
        for me, scope in scopes.items():
            if len(scope) == 1 and self.digests.get(divmod(scope[0], m.EPOCH)) in dead:
                raise Broken(f"router {me} decides by {scope} whose ticket was refused")

    # what is done to it

    def propose(self, me: int, wanted: p.Policy, deadline: float = 20.0) -> Ticket | None:
        """Ask a router for a change; nothing if it refuses at once."""
        node = self.nodes.get(me)
        if node is None or node.paused_until > self.now:
            return None
        try:
            ticket: Ticket = node.room.propose(self.clock(node), wanted, deadline)
        except RefusedError:
            return None
        self.documents[ticket.ref.digest] = wanted
        self.tickets.append(ticket)
        self.askers.append((ticket, node))
        self.settle(node)
        return ticket

    def found(self, me: int, epoch: int, wanted: p.Policy) -> None:
        """The operator's hand."""
        node = self.nodes[me]
        self.documents[p.digest(wanted)] = wanted
        node.room.found(self.clock(node), epoch, wanted)
        self.settle(node)

    def up(self, version: int = 1) -> World:
        """Founded, and every router decides."""
        self.found(0, 1, policy(version))
        self.run(12)
        assert len(self.scopes()) == self.routers, (self.scopes(), self.voters)
        return self


assert Topic.ACCORD == AccordRoom.topic
