"""Fuzzes consensus nodes with a member of the peer group that sends any message in any member's name."""

from __future__ import annotations

import random
from typing import Any

from ironrail.errors import IronrailError
from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.configuration import ConsensusConfig
from ironrail.peers.consensus.consensus_node import ConsensusNode
from ironrail.peers.messages import Received
from tests.peers.consensus.invariants import CONTEXT, FALLBACK, policy
from tests.peers.fuzz.harness import FuzzTarget, idle, must, size_of
from tests.peers.fuzz.mutations import mutate, mutate_msgpack

MAX_RECORDED = 120  # bodies that are kept, to be mutated and sent again
MAX_NODE_BYTES = 200_000  # memory of a node of a small peer group
MAX_DOCUMENTS, MAX_HELD = 16, 64


class ConsensusTarget(FuzzTarget):
    """A few nodes whose messages are lost at times, and an attacker that records all of them."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.now = rng.choice((0.0, 1e6))
        routers, self.disk = rng.choice((4, 5, 40)), rng.random() < 0.5
        self.routers, self.voters = routers, tuple(range(rng.choice((3, 3, 5)) if routers > 4 else 3))
        self.incarnations = dict.fromkeys(range(routers), 1)
        self.running = [*self.voters, *range(routers - 3, routers)]
        self.nodes = {router_index: self.make_node(router_index) for router_index in set(self.running)}
        self.recorded: list[bytes] = [m.encode(one) for one in sample_messages()]
        self.waiting: list[tuple[int, int, int, bytes]] = []  # to, sender, incarnation, body
        self.record_writes: list[tuple[int, Any]] = []
        self.version = 1
        for router_index in self.nodes:
            self.take_effects(router_index)
        if rng.random() < 0.8:
            self.bootstrap_group()

    def bootstrap_group(self) -> None:
        """Bootstrap, and let the nodes decide on a policy: mutated messages do more than noise only then."""
        self.nodes[0].bootstrap(self.now, 1, policy(1))
        self.take_effects(0)
        for _ in range(self.rng.choice((60, 150, 300))):
            self.now += 0.05
            while self.waiting:
                self.deliver(*self.waiting.pop(0))
            while self.record_writes:
                at, write = self.record_writes.pop(0)
                self.nodes[at].on_record_written(self.now, write.token)
                self.take_effects(at)
            for router_index, node in self.nodes.items():
                if node.next_timer_at() <= self.now:
                    node.on_timer(self.now)
                    self.take_effects(router_index)
        self.recorded = self.recorded[-MAX_RECORDED:]

    def make_node(self, router_index: int, record: bytes | None = None) -> ConsensusNode:
        disk = self.disk and router_index in self.voters
        conf = ConsensusConfig(
            router_index,
            self.incarnations[router_index],
            self.routers,
            self.voters,
            max_direct_routers=self.rng.choice((32, 4)),
            persists_records=disk,
        )
        return ConsensusNode(conf, CONTEXT, FALLBACK, self.now, conf.incarnation, record)

    def take_effects(self, router_index: int) -> None:
        """Take a node's records and messages; messages to routers without a node are lost."""
        node = self.nodes[router_index]
        self.record_writes += [(router_index, write) for write in node.take_records()]
        for outgoing in node.take_outgoing():
            self.bytes_sent += len(outgoing.body)
            self.recorded[self.rng.randrange(len(self.recorded))] = outgoing.body
            if len(self.recorded) < MAX_RECORDED:
                self.recorded.append(outgoing.body)
            if outgoing.to in self.nodes and self.rng.random() < 0.9:
                self.waiting.append(
                    (outgoing.to, router_index, self.incarnations[router_index], outgoing.body)
                )
        del self.waiting[:-400]

    def deliver(self, to: int, sender: int, incarnation: int, body: bytes) -> None:
        node = self.nodes[to]
        before, known = node.unusable, node.latest_decided
        self.bytes_received += len(body)
        self.timed(node.on_message, self.now, Received(sender, incarnation, body))
        if node.unusable > before:
            must(node.latest_decided is known, "changed state for an unusable message")
        self.take_effects(to)

    def step(self) -> None:
        rng, router_index = self.rng, self.rng.choice(self.running)
        match rng.randrange(20):
            case 0 | 1 | 2 | 3 | 4 | 5 if self.waiting:
                for _ in range(rng.choice((1, 1, len(self.waiting)))):
                    self.deliver(*self.waiting.pop(rng.choice((0, 0, rng.randrange(len(self.waiting))))))
            case 6 | 7 | 8 | 9 | 10:
                self.attack(router_index)
            case 11 | 12 | 13 | 14:
                self.now += rng.choice((0.0, 0.01, 0.3, 1.0))
                self.timed(self.nodes[router_index].on_timer, self.now)
                self.take_effects(router_index)
            case 15 if rng.random() < 0.2:
                self.now += rng.choice((5.0, 60.0, 1e5))
            case 16 if self.record_writes:
                at, write = self.record_writes.pop(rng.choice((0, -1)))
                complete = rng.choice((self.nodes[at].on_record_written, self.nodes[at].on_record_failed))
                complete(self.now, write.token)
                self.take_effects(at)
            case 17:
                self.operate(router_index)
            case 18 if rng.random() < 0.2:
                self.incarnations[router_index] += 1
                record = next(
                    (write.record for at, write in reversed(self.record_writes) if at == router_index), None
                )
                self.record_writes = [write for write in self.record_writes if write[0] != router_index]
                self.nodes[router_index] = self.make_node(router_index, record)
                self.take_effects(router_index)
            case 19 if rng.random() < 0.1:
                idle(self.nodes[router_index], self.now)
                self.take_effects(router_index)

    def attack(self, to: int) -> None:
        rng = self.rng
        old = rng.choice(self.recorded)
        match rng.randrange(6):
            case 0:
                body = mutate(rng, old, self.recorded)
            case 1:
                body = old
            case 2:  # a document that a node may have been made to request
                wanted = policy(rng.randrange(1, 2000), rng.random())
                self.deliver(
                    to, *self.claimed_identity(), m.encode(m.BootstrapOffer(random_state(rng, wanted)))
                )
                body = m.encode(m.Document(p.encode(wanted)))
            case _:
                body = mutate_msgpack(rng, old, self.recorded)
        self.deliver(to, *self.claimed_identity(), body)

    def claimed_identity(self) -> tuple[int, int]:
        """Return the sender and incarnation that the attacker claims; the transport would drop most."""
        sender = self.rng.choice((self.routers - 1, *self.voters))
        return sender, self.rng.choice((self.incarnations[sender], 1, self.rng.randrange(1, 2**48)))

    def operate(self, router_index: int) -> None:
        node, self.version = self.nodes[router_index], self.version + self.rng.choice((0, 1, 1))
        try:
            if self.rng.random() < 0.3:
                node.bootstrap(self.now, self.rng.choice((1, 2, 2**20 - 1)), policy(self.version))
            else:
                node.propose(self.now, policy(self.version), self.rng.choice((0.5, 20.0)))
        except IronrailError:
            pass
        self.take_effects(router_index)

    def end(self) -> None:
        for router_index, node in self.nodes.items():
            node.faults(self.now)
            node.effective_until(self.now)
            decided = node.effective_policy(self.now)
            must(
                decided.policy is None or p.check(decided.policy, CONTEXT) is None,
                "an invalid policy is effective",
            )
            documents = node.document_store._documents
            must(all(p.digest(d) == name for name, d in documents.items()), "a document under a wrong digest")
            must(len(documents) <= MAX_DOCUMENTS, f"documents without end = {len(documents)}")
            must(len(node.delegated_leases.entries) <= 4 * self.routers, "incarnations without end")
            if node.acceptor:
                must(
                    len(node.acceptor.granted_leases.entries) <= 4 * self.routers, "incarnations without end"
                )
                must(
                    len(node.acceptor._deferred_messages) <= MAX_HELD,
                    f"held without end = {len(node.acceptor._deferred_messages)}",
                )
            node.take_records()
            must((size := size_of(node)) < MAX_NODE_BYTES, f"bytes without end = {size} at {router_index}")
            self.now = max(self.now, idle(node, self.now))


def random_state(rng: random.Random, wanted: p.Policy) -> m.RegisterState:
    ref = m.PolicyRef(wanted.version, p.digest(wanted))
    return m.RegisterState(
        rng.choice((1, 2, 3)) * m.STEPS_PER_EPOCH + rng.randrange(4), ref, max_tried_version=ref.version
    )


def sample_messages() -> list[m.Message]:
    """Return a message of each type, so that none has to occur by chance."""
    ref, ballot = m.PolicyRef(2, bytes(16)), m.Ballot(1, 1, 3, 1)
    state = m.RegisterState(m.STEPS_PER_EPOCH + 1, ref, m.PolicyRef(3, b"x" * 16), 3, (3, 1))
    seen = ((0, 1), (1, 1), (2, 1))
    accepted, note = m.AcceptorState(ballot, ballot, state), m.ScopedStep(state.step, state.scope)
    return [
        m.Prepare(ballot, (0, 1, 2)),
        m.Promise(ballot, accepted, 1, seen, (3,), (3, 2, "no")),
        m.BallotRejected(ballot, ballot),
        m.Accept(ballot, state),
        m.Accepted(ballot, seen),
        m.AcceptBlocked(ballot),
        m.Decided(state),
        m.RecoveryRequest(7, (0, 1, 2)),
        m.RecoveryReport(7, True, seen, accepted, state),
        m.BootstrapOffer(state),
        m.Bootstrapped(state, seen),
        m.LeaseRequest(9, note, note, 1, (3, 2, "no"), 3),
        m.LeaseReply(9, True, True, 1, state, 2.0),
        m.DocumentRequest(bytes(16)),
        m.Document(p.encode(policy(3))),
        m.StateQuery(3),
    ]
