"""Simulation of nodes with drifting clocks, message loss, crashes and pauses."""

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
from tests.peers.consensus.invariants import (
    CONTEXT,
    FALLBACK,
    InvariantChecker,
    InvariantViolation,
    Node,
    policy,
)


class World(InvariantChecker):
    """A simulated peer group; its random choices follow from the seed."""

    def __init__(  # noqa: PLR0913
        self,
        seed: int,
        routers: int = 5,
        voters: tuple[int, ...] = (0, 1, 2),
        persists_records: bool = False,
        loss_rate: float = 0.0,
        duplicate_rate: float = 0.0,
        mean_delay: float = 0.02,
        max_drift: float = 0.01,
        max_direct_routers: int = 32,
        make_protocol: Callable[..., Any] = ConsensusNode,
        make_context: Callable[[int], p.ValidationContext] = lambda _: CONTEXT,
    ) -> None:
        super().__init__()
        self.random, self.now = random.Random(seed), 0.0
        self.routers, self.voters, self.persists_records, self.make_protocol, self.make_context = (
            routers,
            voters,
            persists_records,
            make_protocol,
            make_context,
        )
        self.max_direct_routers = max_direct_routers
        self.loss_rate, self.duplicate_rate, self.mean_delay, self.max_drift = (
            loss_rate,
            duplicate_rate,
            mean_delay,
            max_drift,
        )
        self.disconnected: set[frozenset[int]] = set()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.event_counter, self.incarnation_counter = itertools.count(), itertools.count(1)
        self.sent = 0
        self.bytes = 0
        self.write_failure_rate, self.max_write_delay = 0.0, 0.02
        for index in range(routers):
            self.start(index)

    def start(self, index: int, record: bytes | None = None) -> Node:
        """Start a new process, which has only the record of a former one."""
        rate = 1 + self.random.uniform(-self.max_drift, self.max_drift)
        conf = ConsensusConfig(
            index,
            next(self.incarnation_counter),
            self.routers,
            self.voters,
            max_direct_routers=self.max_direct_routers,
            persists_records=self.persists_records,
        )
        node = Node(conf, None, rate, self.random.uniform(0, 1000), self.now, record=record)
        node.protocol = self.make_protocol(
            conf, self.make_context(index), FALLBACK, self.clock(node), seed=conf.incarnation, record=record
        )
        self.nodes[index] = self.processes[index, conf.incarnation] = node
        self.process_outputs(node)
        return node

    def crash(self, index: int, loses_record: bool, restart_delay: float) -> None:
        """Stop a process and start a new one after a while, with or without its record."""
        node = self.nodes.pop(index, None)
        if node:
            node.stopped_at = self.now

            def restart() -> None:
                if index not in self.nodes:
                    self.start(index, None if loses_record else node.record)

            self.schedule(restart_delay, restart)

    def replace_process(self, index: int) -> None:
        """Start another process in place of one that is only paused."""
        if node := self.nodes.pop(index, None):
            self.replaced_nodes.append(node)
            node.stopped_at = self.now  # it receives nothing any more
            self.start(index)

    def schedule(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule an event after a delay in real time."""
        heapq.heappush(self.queue, (self.now + delay, next(self.event_counter), call))

    def process_outputs(self, node: Node) -> None:
        """Carry out what a node requests."""
        protocol = node.protocol
        for pending_record in protocol.take_records():
            self.schedule(
                self.random.uniform(0.0, self.max_write_delay),
                lambda pending=pending_record: self.write_record(node, pending),  # type: ignore[misc]
            )
        for outgoing in protocol.take_outgoing():
            self.send(node, outgoing.to, outgoing.body)
        timer_at = protocol.next_timer_at()
        if timer_at < node.timer_at or node.timer_at <= self.clock(node):
            node.timer_at = timer_at
            self.schedule(
                max(0.0, (timer_at - self.clock(node)) / node.clock_rate) + 1e-9,
                lambda: self.fire_timer(node),
            )

    def write_record(self, node: Node, pending_record: Any) -> None:
        if node.stopped_at < math.inf:
            return
        if self.random.random() < self.write_failure_rate:
            node.protocol.on_record_failed(self.clock(node), pending_record.token)
        else:
            node.record = pending_record.record
            node.protocol.on_record_written(self.clock(node), pending_record.token)
        self.process_outputs(node)

    def send(self, node: Node, to: int, body: bytes) -> None:
        """Send over a network that may do anything but forge messages."""
        index, incarnation = node.conf.own_index, node.conf.incarnation
        self.sent += 1
        self.bytes += len(body)
        self.check_sent(node, body)
        for _ in range(1 + (self.random.random() < self.duplicate_rate)):
            if self.random.random() >= self.loss_rate and frozenset((index, to)) not in self.disconnected:
                delay = self.random.expovariate(1 / self.mean_delay)
                self.schedule(delay, lambda: self.deliver(index, incarnation, to, body))

    def deliver(self, index: int, incarnation: int, to: int, body: bytes) -> None:
        node = self.nodes.get(to)
        if (
            node is None
            or self.processes[index, incarnation].stopped_at < node.started_at
            or incarnation in node.replaced_incarnations
        ):
            return
        if node.paused_until > self.now:
            self.schedule(node.paused_until - self.now, lambda: self.deliver(index, incarnation, to, body))
            return
        if node.seen_incarnations.get(index, incarnation) != incarnation:
            node.replaced_incarnations.add(node.seen_incarnations[index])
        node.seen_incarnations[index] = incarnation
        node.protocol.on_message(self.clock(node), Received(index, incarnation, body))
        self.process_outputs(node)

    def fire_timer(self, node: Node) -> None:
        if node.stopped_at < math.inf:
            return
        if node.paused_until > self.now:
            self.schedule(node.paused_until - self.now, lambda: self.fire_timer(node))
            return
        node.timer_at = math.inf
        node.protocol.on_timer(self.clock(node))
        self.process_outputs(node)

    def run(self, seconds: float) -> None:
        """Run for some real time."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self.queue)
            call()
            self.check_invariants()
        self.now = end
        self.check_invariants()

    # operator's calls

    def propose(
        self, index: int, document: p.Policy, deadline: float = 20.0, voters: tuple[int, ...] = ()
    ) -> ProposalHandle | None:
        """Propose a change; return None if the router rejects it at once."""
        node = self.nodes.get(index)
        if node is None or node.paused_until > self.now:
            return None
        try:
            handle: ProposalHandle = node.protocol.propose(self.clock(node), document, deadline, voters)
        except RejectedError:
            return None
        self.documents[handle.ref.digest] = document
        self.handles.append(handle)
        self.proposers.append((handle, node))
        self.process_outputs(node)
        return handle

    def bootstrap(self, index: int, epoch: int, document: p.Policy) -> None:
        """Bootstrap the register."""
        node = self.nodes[index]
        self.documents[p.digest(document)] = document
        node.protocol.bootstrap(self.clock(node), epoch, document)
        self.process_outputs(node)

    def started(self, version: int = 1) -> World:
        """Bootstrap the register, and run until every router decides."""
        self.bootstrap(0, 1, policy(version))
        self.run(12)
        assert len(self.scopes()) == self.routers, (self.scopes(), self.voters)
        return self


assert ConsensusNode.topic == Topic.CONSENSUS


__all__ = ["CONTEXT", "FALLBACK", "InvariantViolation", "Node", "World", "policy"]
