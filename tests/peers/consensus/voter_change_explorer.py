"""Exploration of the register while its voters change, from the joint state on."""

from __future__ import annotations

from typing import Any

from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.configuration import ConsensusConfig
from ironrail.peers.consensus.proposal import Proposal, ProposalHandle, TargetState
from tests.peers.consensus.invariants import CONTEXT, FALLBACK, policy
from tests.peers.consensus.register_explorer import NOW, PAST, VOTERS, RegisterExplorer, State

INITIAL_STATE = m.RegisterState(
    m.STEPS_PER_EPOCH, m.PolicyRef(1, p.digest(policy(1)), VOTERS), max_tried_version=1
)


class VoterChangeExplorer(RegisterExplorer):
    """Explores a change to `new_voters`.

    Args:
        new_voters: The voters that the change names.
        targets: What each of these routers proposes. The first one has begun the change.
        lagging_routers: Routers that know only the state before the latest one.
        is_complete: Whether the new voters are in force already.
        **kwargs: Arguments of `RegisterExplorer`.
    """

    def __init__(
        self,
        new_voters: tuple[int, ...],
        targets: dict[int, TargetState],
        lagging_routers: tuple[int, ...] = (),
        is_complete: bool = False,
        **kwargs: Any,
    ) -> None:
        super().__init__(kwargs.pop("max_retries", 0), kwargs.pop("max_crashes", 0), tuple(targets), **kwargs)
        self.new_voters, self.targets, self.lagging_routers = new_voters, targets, lagging_routers
        self.num_routers = max(*targets, *VOTERS, *new_voters) + 1
        proposer = next(iter(targets))
        new = m.PolicyRef(2, p.digest(policy(2)), new_voters)
        joint = INITIAL_STATE.successor(INITIAL_STATE.old, new, (proposer, proposer + 1))
        self.state_before, self.latest_state = (
            (joint, joint.successor(new)) if is_complete else (INITIAL_STATE, joint)
        )

    def start(self, index: int, incarnation: int, record: bytes | None = None) -> Any:
        """Start a process; all operator's files still name the old voters."""
        conf = ConsensusConfig(index, incarnation, self.num_routers, VOTERS, 1.0, 0.0)
        protocol = self.make_protocol(conf, CONTEXT, FALLBACK, PAST, record=record)
        protocol.record, protocol.pending_records = record, ()
        return protocol

    def notify_decided(self, protocol: Any) -> None:
        """Notify a restarted process of the latest state."""
        protocol._on_decided(PAST, self.latest_state)

    def propose(self, protocol: Any, version: int) -> None:
        """Start the proposal of this router."""
        target, ref = self.targets[protocol.conf.own_index], m.PolicyRef(2, p.digest(policy(2)))
        if target is TargetState.JOINT:
            ref = protocol.document_store.add(policy(version + 10))
        protocol.proposer.epoch = 1
        protocol.proposer.begin(NOW, Proposal(target, ref, ProposalHandle(ref), may_restart_at_once=False))
        protocol._drain(NOW)

    def initial_state(self) -> State:
        """Return the state after all voters, old and new, have accepted the latest state."""
        protocols = []
        for index in range(self.num_routers):
            protocol = self.start(index, index + 1)
            protocol._on_decided(
                PAST, self.state_before if index in self.lagging_routers else self.latest_state
            )
            if protocol.acceptor:
                ballot = m.Ballot(1, 1)
                protocol.acceptor.acceptor_state = m.AcceptorState(ballot, ballot, self.latest_state)
                protocol.acceptor.is_voting = True
                protocol.acceptor.incarnations = {v: v + 1 for v in (*VOTERS, *self.new_voters)}
            protocol._drain(PAST)
            if index in self.proposers:
                self.propose(protocol, 2 + index)
            protocols.append(protocol)
        mail = frozenset(
            (r.conf.own_index, r.conf.incarnation, outgoing.to, outgoing.body)
            for r in protocols
            for outgoing in r.take_outgoing()
        )
        nodes = tuple(self.snapshots.save(r) for r in protocols)
        return State(nodes, (frozenset(),) * len(protocols), mail, len(protocols), *self.bounds, frozenset())
