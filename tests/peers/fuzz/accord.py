"""Rooms of an accord among honest ones, with a member that lies: whatever it says, in whoever's name."""

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
from tests.peers.fuzz.base import Attack, idle, must, size_of
from tests.peers.fuzz.bodies import spoil, spoil_packed

KEPT = 120  # bodies that are remembered, to be spoilt and said again
BYTES = 200_000  # of all that a room of a small tier keeps
DOCUMENTS, HELD = 16, 64


class Accord(Attack):
    """A few rooms; some of what they say is lost, all of it is remembered by the liar."""

    def __init__(self, draws: random.Random) -> None:
        super().__init__(draws)
        self.now = draws.choice((0.0, 1e6))
        routers, self.disk = draws.choice((4, 5, 40)), draws.random() < 0.5
        self.routers, self.voters = routers, tuple(range(draws.choice((3, 3, 5)) if routers > 4 else 3))
        self.starts = dict.fromkeys(range(routers), 1)
        self.live = [*self.voters, *range(routers - 3, routers)]
        self.rooms = {me: self.room(me) for me in set(self.live)}
        self.recorded: list[bytes] = [m.encode(one) for one in _samples()]
        self.waiting: list[tuple[int, int, int, bytes]] = []  # to, sender, start, body
        self.keeps: list[tuple[int, Any]] = []
        self.version = 1
        for me in self.rooms:
            self.settle(me)
        if draws.random() < 0.8:
            self.come_up()

    def come_up(self) -> None:
        """Found it, and let them talk until they decide: lies are more than noise only then."""
        self.rooms[0].bootstrap(self.now, 1, policy(1))
        self.settle(0)
        for _ in range(self.draws.choice((60, 150, 300))):
            self.now += 0.05
            while self.waiting:
                self.tell(*self.waiting.pop(0))
            while self.keeps:
                at, keep = self.keeps.pop(0)
                self.rooms[at].on_record_written(self.now, keep.token)
                self.settle(at)
            for me, room in self.rooms.items():
                if room.next_timer_at() <= self.now:
                    room.on_timer(self.now)
                    self.settle(me)
        self.recorded = self.recorded[-KEPT:]

    def room(self, me: int, record: bytes | None = None) -> ConsensusNode:
        disk = self.disk and me in self.voters
        conf = ConsensusConfig(
            me,
            self.starts[me],
            self.routers,
            self.voters,
            max_direct_routers=self.draws.choice((32, 4)),
            persists_records=disk,
        )
        return ConsensusNode(conf, CONTEXT, FALLBACK, self.now, conf.incarnation, record)

    def settle(self, me: int) -> None:
        """Take what a room says; to whom nobody is it is lost."""
        room = self.rooms[me]
        self.keeps += [(me, keep) for keep in room.take_records()]
        for say in room.take_outgoing():
            self.said += len(say.body)
            self.recorded[self.draws.randrange(len(self.recorded))] = say.body
            if len(self.recorded) < KEPT:
                self.recorded.append(say.body)
            if say.to in self.rooms and self.draws.random() < 0.9:
                self.waiting.append((say.to, me, self.starts[me], say.body))
        del self.waiting[:-400]

    def tell(self, to: int, sender: int, start: int, body: bytes) -> None:
        room = self.rooms[to]
        before, known = room.unusable, room.latest_decided
        self.heard += len(body)
        self.timed(room.on_message, self.now, Received(sender, start, body))
        if room.unusable > before:
            must(room.latest_decided is known, "believed what makes no sense")
        self.settle(to)

    def step(self) -> None:
        draws, me = self.draws, self.draws.choice(self.live)
        match draws.randrange(20):
            case 0 | 1 | 2 | 3 | 4 | 5 if self.waiting:
                for _ in range(draws.choice((1, 1, len(self.waiting)))):
                    self.tell(*self.waiting.pop(draws.choice((0, 0, draws.randrange(len(self.waiting))))))
            case 6 | 7 | 8 | 9 | 10:
                self.lie(me)
            case 11 | 12 | 13 | 14:
                self.now += draws.choice((0.0, 0.01, 0.3, 1.0))
                self.timed(self.rooms[me].on_timer, self.now)
                self.settle(me)
            case 15 if draws.random() < 0.2:
                self.now += draws.choice((5.0, 60.0, 1e5))
            case 16 if self.keeps:
                at, keep = self.keeps.pop(draws.choice((0, -1)))
                told = draws.choice((self.rooms[at].on_record_written, self.rooms[at].on_record_failed))
                told(self.now, keep.token)
                self.settle(at)
            case 17:
                self.operate(me)
            case 18 if draws.random() < 0.2:
                self.starts[me] += 1
                record = next((keep.record for at, keep in reversed(self.keeps) if at == me), None)
                self.keeps = [keep for keep in self.keeps if keep[0] != me]
                self.rooms[me] = self.room(me, record)
                self.settle(me)
            case 19 if draws.random() < 0.1:
                idle(self.rooms[me], self.now)
                self.settle(me)

    def lie(self, to: int) -> None:
        draws = self.draws
        old = draws.choice(self.recorded)
        match draws.randrange(6):
            case 0:
                body = spoil(draws, old, self.recorded)
            case 1:
                body = old
            case 2:  # a document that somebody may have been made to want
                wanted = policy(draws.randrange(1, 2000), draws.random())
                self.tell(to, *self.liar(), m.encode(m.BootstrapOffer(_state(draws, wanted))))
                body = m.encode(m.Document(p.encode(wanted)))
            case _:
                body = spoil_packed(draws, old, self.recorded)
        self.tell(to, *self.liar(), body)

    def liar(self) -> tuple[int, int]:
        """Who it says it is, and of which life: the wire would stop most of it."""
        sender = self.draws.choice((self.routers - 1, *self.voters))
        return sender, self.draws.choice((self.starts[sender], 1, self.draws.randrange(1, 2**48)))

    def operate(self, me: int) -> None:
        room, self.version = self.rooms[me], self.version + self.draws.choice((0, 1, 1))
        try:
            if self.draws.random() < 0.3:
                room.bootstrap(self.now, self.draws.choice((1, 2, 2**20 - 1)), policy(self.version))
            else:
                room.propose(self.now, policy(self.version), self.draws.choice((0.5, 20.0)))
        except IronrailError:
            pass
        self.settle(me)

    def end(self) -> None:
        for me, room in self.rooms.items():
            room.faults(self.now)
            room.effective_until(self.now)
            decided = room.effective_policy(self.now)
            must(
                decided.policy is None or p.check(decided.policy, CONTEXT) is None, "decides by what it can't"
            )
            documents = room.document_store._documents
            must(all(p.digest(d) == name for name, d in documents.items()), "a document under another's name")
            must(len(documents) <= DOCUMENTS, f"documents without end = {len(documents)}")
            must(len(room.delegated_leases.entries) <= 4 * self.routers, "lives without end")
            if room.acceptor:
                must(len(room.acceptor.granted_leases.entries) <= 4 * self.routers, "lives without end")
                must(
                    len(room.acceptor._deferred_messages) <= HELD,
                    f"held without end = {len(room.acceptor._deferred_messages)}",
                )
            room.take_records()
            must((size := size_of(room)) < BYTES, f"bytes without end = {size} at {me}")
            self.now = max(self.now, idle(room, self.now))


def _state(draws: random.Random, wanted: p.Policy) -> m.RegisterState:
    ref = m.PolicyRef(wanted.version, p.digest(wanted))
    return m.RegisterState(
        draws.choice((1, 2, 3)) * m.STEPS_PER_EPOCH + draws.randrange(4), ref, max_tried_version=ref.version
    )


def _samples() -> list[m.Message]:
    """One of each, so that none has to come up by itself."""
    ref, ballot = m.PolicyRef(2, bytes(16)), m.Ballot(1, 1, 3, 1)
    state = m.RegisterState(m.STEPS_PER_EPOCH + 1, ref, m.PolicyRef(3, b"x" * 16), 3, (3, 1))
    seen = ((0, 1), (1, 1), (2, 1))
    acceptor_state, note = m.AcceptorState(ballot, ballot, state), m.ScopedStep(state.step, state.scope)
    return [
        m.Prepare(ballot, (0, 1, 2)),
        m.Promise(ballot, acceptor_state, 1, seen, (3,), (3, 2, "no")),
        m.BallotRejected(ballot, ballot),
        m.Accept(ballot, state),
        m.Accepted(ballot, seen),
        m.AcceptBlocked(ballot),
        m.Decided(state),
        m.RecoveryRequest(7, (0, 1, 2)),
        m.RecoveryReport(7, True, seen, acceptor_state, state),
        m.BootstrapOffer(state),
        m.Bootstrapped(state, seen),
        m.LeaseRequest(9, note, note, 1, (3, 2, "no"), 3),
        m.LeaseReply(9, True, True, 1, state, 2.0),
        m.DocumentRequest(bytes(16)),
        m.Document(p.encode(policy(3))),
        m.StateQuery(3),
    ]
