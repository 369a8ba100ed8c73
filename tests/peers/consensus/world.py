"""Rooms among drifting clocks, lost messages, crashes and pauses, watched at every instant."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import Any

from ironrail.errors import RejectedError
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.configuration import ConsensusConfig
from ironrail.peers.consensus.consensus_node import ConsensusNode
from ironrail.peers.consensus.proposal import ProposalHandle
from ironrail.peers.messages import Received, Topic
from tests.peers.consensus.watching import FACTS, FLOOR, Broken, Node, Watch, policy


class World(Watch):
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
        direct: int = 32,
        rooms: Callable[..., Any] = ConsensusNode,
        facts: Callable[[int], p.Facts] = lambda _: FACTS,
    ) -> None:
        super().__init__()
        self.random, self.now = random.Random(seed), 0.0
        self.routers, self.voters, self.disk, self.rooms, self.facts = routers, voters, disk, rooms, facts
        self.direct = direct
        self.loss, self.twice, self.slow, self.drift = loss, twice, slow, drift
        self.cut: set[frozenset[int]] = set()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order, self.starts = itertools.count(), itertools.count(1)
        self.sent = 0
        self.bytes = 0
        self.keep_fails, self.keep_slow = 0.0, 0.02
        for me in range(routers):
            self.start(me)

    def start(self, me: int, record: bytes | None = None) -> Node:
        """A new process, which remembers nothing but its disk."""
        rate = 1 + self.random.uniform(-self.drift, self.drift)
        conf = ConsensusConfig(
            me,
            next(self.starts),
            self.routers,
            self.voters,
            max_direct_routers=self.direct,
            persists_records=self.disk,
        )
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

            def back() -> None:
                if me not in self.nodes:
                    self.start(me, None if forget else node.disk)

            self.at(back_in, back)

    def twin(self, me: int) -> None:
        """Another process is started in the place of one that was only stopped."""
        if node := self.nodes.pop(me, None):
            self.ghosts.append(node)
            node.died = self.now  # nothing reaches it any more
            self.start(me)

    def at(self, delay: float, call: Callable[[], None]) -> None:
        """Later, in true time."""
        heapq.heappush(self.queue, (self.now + delay, next(self.order), call))

    def settle(self, node: Node) -> None:
        """Carry out what a room wants."""
        room = node.room
        for keep in room.take_records():
            self.at(self.random.uniform(0.0, self.keep_slow), lambda k=keep: self.keep(node, k))  # type: ignore[misc]
        for say in room.take_outgoing():
            self.send(node, say.to, say.body)
        wake = room.next_timer_at()
        if wake < node.waking or node.waking <= self.clock(node):
            node.waking = wake
            self.at(max(0.0, (wake - self.clock(node)) / node.rate) + 1e-9, lambda: self.wake(node))

    def keep(self, node: Node, keep: Any) -> None:
        if node.died < math.inf:
            return
        if self.random.random() < self.keep_fails:
            node.room.on_record_failed(self.clock(node), keep.token)
        else:
            node.disk = keep.record
            node.room.on_record_written(self.clock(node), keep.token)
        self.settle(node)

    def send(self, node: Node, to: int, body: bytes) -> None:
        """Over a network that may do anything but forge."""
        me, start = node.conf.router, node.conf.start
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
        node.room.on_message(self.clock(node), Received(me, start, body))
        self.settle(node)

    def wake(self, node: Node) -> None:
        if node.died < math.inf:
            return
        if node.paused_until > self.now:
            self.at(node.paused_until - self.now, lambda: self.wake(node))
            return
        node.waking = math.inf
        node.room.on_timer(self.clock(node))
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

    # what is done to it

    def propose(
        self, me: int, wanted: p.Policy, deadline: float = 20.0, voters: tuple[int, ...] = ()
    ) -> ProposalHandle | None:
        """Ask a router for a change; nothing if it refuses at once."""
        node = self.nodes.get(me)
        if node is None or node.paused_until > self.now:
            return None
        try:
            ticket: ProposalHandle = node.room.propose(self.clock(node), wanted, deadline, voters)
        except RejectedError:
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
        node.room.bootstrap(self.clock(node), epoch, wanted)
        self.settle(node)

    def up(self, version: int = 1) -> World:
        """Founded, and every router decides."""
        self.found(0, 1, policy(version))
        self.run(12)
        assert len(self.scopes()) == self.routers, (self.scopes(), self.voters)
        return self


assert ConsensusNode.topic == Topic.CONSENSUS


__all__ = ["FACTS", "FLOOR", "Broken", "Node", "World", "policy"]
