"""The register alone while its voters change: as `votes.py`, from the joint state on."""

from __future__ import annotations

from typing import Any

from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.configuration import ConsensusConfig
from ironrail.peers.consensus.proposal import Proposal, ProposalHandle, TargetState
from tests.peers.consensus.votes import BEFORE, NOW, VOTERS, State, Votes
from tests.peers.consensus.watching import FACTS, FLOOR, policy

PLAIN = m.RegisterState(m.EPOCH, m.PolicyRef(1, p.digest(policy(1)), VOTERS), tried=1)


class Moves(Votes):
    """`named`: the new voters; `goals`: what a router, by its number, asks of the register.

    A proposal to go forward comes from the process that began the change. `moved`: the new voters have taken
    over already; `late`: routers that know only of the state before that one.
    """

    def __init__(
        self,
        named: tuple[int, ...],
        goals: dict[int, TargetState],
        late: tuple[int, ...] = (),
        moved: bool = False,
        **how: Any,
    ) -> None:
        super().__init__(how.pop("again", 0), how.pop("crashes", 0), tuple(goals), **how)
        self.named, self.goals, self.late = named, goals, late
        self.size = max(*goals, *VOTERS, *named) + 1
        first = next(iter(goals))
        new = m.PolicyRef(2, p.digest(policy(2)), named)
        joint = PLAIN.next(PLAIN.old, new, (first, first + 1))
        self.before, self.latest = (joint, joint.next(new)) if moved else (PLAIN, joint)

    def start(self, me: int, start: int, record: bytes | None = None) -> Any:
        """All files still name the old voters."""
        conf = ConsensusConfig(me, start, self.size, VOTERS, 1.0, 0.0)
        room = self.room(conf, FACTS, FLOOR, BEFORE, record=record)
        room.record, room.writing = record, ()
        return room

    def told(self, room: Any) -> None:
        """The state in which all this begins."""
        room._learn(BEFORE, self.latest)

    def propose(self, room: Any, version: int) -> None:
        """What this one asks for."""
        goal, ref = self.goals[room.conf.router], m.PolicyRef(2, p.digest(policy(2)))
        if goal is TargetState.JOINT:
            ref = room.library.add(policy(version + 10))
        room.proposer.epoch = 1
        room.proposer.begin(NOW, Proposal(goal, ref, ProposalHandle(ref), may_restart_at_once=False))
        room._settle(NOW)

    def begin(self) -> State:
        """All voters, the old and the new, have accepted the state that it begins with."""
        rooms = []
        for me in range(self.size):
            room = self.start(me, me + 1)
            room._learn(BEFORE, self.before if me in self.late else self.latest)
            if room.voter:
                ballot = m.Ballot(1, 1)
                room.voter.vouched = m.AcceptorState(ballot, ballot, self.latest)
                room.voter.standing = True
                room.voter.seen = {v: v + 1 for v in (*VOTERS, *self.named)}
            room._settle(BEFORE)
            if me in self.askers:
                self.propose(room, 2 + me)
            rooms.append(room)
        mail = frozenset(
            (r.conf.router, r.conf.start, say.to, say.body) for r in rooms for say in r.take_outgoing()
        )
        nodes = tuple(self.rooms.save(r) for r in rooms)
        return State(nodes, (frozenset(),) * len(rooms), mail, len(rooms), *self.bounds, frozenset())
