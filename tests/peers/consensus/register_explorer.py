"""Exhaustive exploration of the register alone, with real nodes.

Any message may arrive at any time, several times, or never, in any order: nothing that was sent is
ever removed from the network. There are no leases and time stands still. A router may retry, or
restart without its state, a bounded number of times.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgspec

from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.configuration import ConsensusConfig
from ironrail.peers.consensus.proposal import Proposal, ProposalHandle, TargetState
from ironrail.peers.messages import Received
from tests.peers.consensus.deterministic_nodes import RegisterOnlyNode, Snapshots
from tests.peers.consensus.invariants import CONTEXT, FALLBACK, InvariantViolation, policy

PAST, NOW = -9.0, 0.0  # at PAST, for leases of before to have expired
VOTERS = (0, 1, 2)
IGNORED_MESSAGES = (m.Decided, m.BallotRejected, m.Document)  # every node has every document


class State(NamedTuple):
    """State of all routers and of the network.

    `ignored_incarnations`: for each router, the incarnations that it ignores from now on.
    """

    nodes: tuple[int, ...]
    ignored_incarnations: tuple[frozenset[int], ...]
    mail: frozenset[tuple[int, int, int, bytes]]
    num_starts: int
    retries_left: int
    crashes_left: int
    decided: frozenset[bytes]


class RegisterExplorer:
    """Explores all states within bounds.

    Args:
        max_retries: How many times a proposer may retry.
        max_crashes: How many times a router may restart.
        proposers: Routers that propose, each another version.
        max_states: Bound on the number of states.
        make_protocol: Makes a node.
        crashing_routers: Routers that may restart.
        persists_records: Whether voters keep their record.
    """

    def __init__(
        self,
        max_retries: int,
        max_crashes: int,
        proposers: tuple[int, ...] = (0, 1),
        max_states: int = 10**7,
        make_protocol: Callable[..., Any] = RegisterOnlyNode,
        crashing_routers: tuple[int, ...] = VOTERS,
        persists_records: bool = False,
    ) -> None:
        self.crashing_routers, self.persists_records = crashing_routers, persists_records
        self.bounds, self.proposers, self.max_states, self.make_protocol = (
            (max_retries, max_crashes),
            proposers,
            max_states,
            make_protocol,
        )
        self.snapshots = Snapshots()
        self.memo: dict[tuple[int, Any], tuple[int, tuple[Any, ...], tuple[bytes, ...]]] = {}
        self.is_obsolete_by_mail: dict[tuple[int, tuple[int, int, int, bytes]], bool] = {}
        self.is_writing_by_snapshot: dict[int, bool] = {}
        self.seen: set[State] = set()

    def start(self, index: int, incarnation: int, record: bytes | None = None) -> Any:
        """Start a process without its state, or with its record."""
        conf = ConsensusConfig(
            index,
            incarnation,
            max(3, *self.proposers) + 1,
            VOTERS,
            1.0,
            0.0,
            persists_records=self.persists_records and index in VOTERS,
        )
        protocol = self.make_protocol(conf, CONTEXT, FALLBACK, PAST, record=record)
        protocol.record, protocol.pending_records = record, ()
        return protocol

    def notify_decided(self, protocol: Any) -> None:
        """Notify a restarted process of the latest state; here there is none."""

    def propose(self, protocol: Any, version: int) -> None:
        """Start the proposal of this router."""
        ref = protocol.document_store.add(policy(version))
        protocol.proposer.epoch = 1
        # a restart is one of the events within the bounds, not automatic as well
        protocol.proposer.begin(
            NOW, Proposal(TargetState.JOINT, ref, ProposalHandle(ref), may_restart_at_once=False)
        )
        protocol._drain(NOW)

    def run_event(self, index: int, node: int, event: Any) -> tuple[int, tuple[Any, ...], tuple[bytes, ...]]:
        """Run an event at one node.

        Returns:
            The node's next snapshot, what it sends, and what it decides.
        """
        key = (node, event)
        if key not in self.memo:
            protocol = self.snapshots.load(node)
            match event:
                case ("hear", sender, incarnation, body):
                    protocol.on_message(NOW, Received(sender, incarnation, body))
                case ("again",):
                    protocol.proposer._send_prepare(NOW)
                    protocol._drain(NOW)
                case ("kept",):
                    pending_record, *protocol.pending_records = protocol.pending_records
                    protocol.record = pending_record.record
                    protocol.on_record_written(NOW, pending_record.token)
                case ("crash", incarnation):
                    protocol = self.start(index, incarnation, protocol.record)
                    self.notify_decided(protocol)
                    protocol.on_timer(PAST)
                    # there are no lease requests here by which others would see the new process
                    if protocol.acceptor and protocol.acceptor.is_voting:
                        protocol._send_to_voters(m.RecoveryRequest(0))
                        protocol._drain(NOW)
                    if index in self.proposers:  # and proposes something else
                        self.propose(protocol, 12 + index)
            protocol.pending_records = (*protocol.pending_records, *protocol.take_records())
            outgoing_mail = tuple(
                (index, protocol.conf.incarnation, outgoing.to, outgoing.body)
                for outgoing in protocol.take_outgoing()
            )
            decided = tuple(mail[3] for mail in outgoing_mail if isinstance(m.decode(mail[3]), m.Decided))
            sent = tuple(
                mail for mail in outgoing_mail if not isinstance(m.decode(mail[3]), IGNORED_MESSAGES)
            )
            self.memo[key] = (self.snapshots.save(protocol), sent, decided)
        return self.memo[key]

    def apply(self, state: State, index: int, event: Any) -> State:
        """Apply an event at one router."""
        node, sent, decided = self.run_event(index, state.nodes[index], event)
        decided_messages = state.decided.union(decided)
        if len(decided_messages) > len(state.decided):
            steps: dict[int, m.RegisterState] = {}
            for body in decided_messages:
                message = m.decode(body)
                assert isinstance(message, m.Decided)
                if steps.setdefault(message.state.step, message.state) != message.state:
                    raise InvariantViolation(
                        f"decided twice: {message.state} and {steps[message.state.step]}"
                    )
        nodes = (*state.nodes[:index], node, *state.nodes[index + 1 :])
        # a router that loses its state may accept again what was obsolete before
        possible_restarts = self.crashing_routers if state.crashes_left else ()
        mail = frozenset(
            m
            for m in state.mail.union(sent)
            if m[2] in possible_restarts
            or not self.is_obsolete(nodes[m[2]], state.ignored_incarnations[m[2]], m)
        )
        return state._replace(nodes=nodes, mail=mail, decided=decided_messages)

    def is_obsolete(
        self, node: int, ignored_incarnations: frozenset[int], mail: tuple[int, int, int, bytes]
    ) -> bool:
        """Return whether a message can have no effect any more: ballots of a node only grow."""
        if mail[1] in ignored_incarnations:
            return True
        key = (node, mail)
        if key not in self.is_obsolete_by_mail:
            protocol, message = self.snapshots.load(node), m.decode(mail[3])
            acceptor, proposal = protocol.acceptor, protocol.proposer.proposal
            match message:
                case m.Promise():
                    is_obsolete = (
                        not proposal or proposal.ballot != message.ballot or proposal.value is not None
                    )
                case m.Accepted():
                    is_obsolete = not proposal or proposal.ballot != message.ballot
                case m.Prepare() | m.Accept():
                    is_obsolete = (
                        acceptor and acceptor.is_voting and message.ballot < acceptor.acceptor_state.promised
                    )
                case m.RecoveryReport():
                    is_seen = acceptor and acceptor.incarnations.get(mail[0]) == mail[1]
                    is_obsolete = is_seen and (acceptor.is_voting or message.nonce != acceptor.nonce)
                case _:
                    is_obsolete = False
            self.is_obsolete_by_mail[key] = bool(is_obsolete)
        return self.is_obsolete_by_mail[key]

    def successors(self, state: State) -> Iterator[State]:
        """Yield all possible next states."""
        for sender, incarnation, to, body in sorted(state.mail):
            if incarnation in state.ignored_incarnations[to]:
                continue
            successor = self.apply(state, to, ("hear", sender, incarnation, body))
            # the new process is seen: messages of older ones are ignored from now on
            replaced = {s for v, s, _, _ in state.mail if v == sender and s < incarnation}
            if replaced - successor.ignored_incarnations[to]:
                ignored_incarnations = successor.ignored_incarnations[to] | replaced
                successor = successor._replace(
                    ignored_incarnations=(
                        *successor.ignored_incarnations[:to],
                        ignored_incarnations,
                        *successor.ignored_incarnations[to + 1 :],
                    )
                )
            yield successor
        for index in VOTERS if self.persists_records else ():
            if self._is_writing(state.nodes[index]):
                yield self.apply(state, index, ("kept",))
        for index in self.proposers if state.retries_left else ():
            yield self.apply(state._replace(retries_left=state.retries_left - 1), index, ("again",))
        for index in self.crashing_routers if state.crashes_left else ():
            incarnation = state.num_starts + 1
            replaced = {
                s
                for v, s, _, _ in state.mail
                if v != index and s < 10 + state.num_starts and self._is_replaced(state, v, s)
            }
            state_after_crash = state._replace(num_starts=incarnation, crashes_left=state.crashes_left - 1)
            state_after_crash = state_after_crash._replace(
                ignored_incarnations=(
                    *state.ignored_incarnations[:index],
                    frozenset(replaced),
                    *state.ignored_incarnations[index + 1 :],
                )
            )
            yield self.apply(state_after_crash, index, ("crash", incarnation))

    def _is_writing(self, node: int) -> bool:
        """Return whether a record is not on the disk yet."""
        if node not in self.is_writing_by_snapshot:
            self.is_writing_by_snapshot[node] = bool(self.snapshots.load(node).pending_records)
        return self.is_writing_by_snapshot[node]

    def _is_replaced(self, state: State, router: int, incarnation: int) -> bool:
        return bool(self.snapshots.load(state.nodes[router]).conf.incarnation != incarnation)

    def initial_state(self) -> State:
        """Return the state in which all voters vote, have seen each other, and proposals start."""
        first = m.RegisterState(
            m.STEPS_PER_EPOCH, m.PolicyRef(1, p.digest(policy(1)), VOTERS), max_tried_version=1
        )
        protocols = []
        for index in range(max(3, *self.proposers) + 1):
            protocol = self.start(index, index + 1)
            if protocol.acceptor:
                protocol.acceptor.acceptor_state = m.AcceptorState(m.Ballot(1), m.Ballot(1), first)
                protocol.acceptor.is_voting = True
                protocol.acceptor.incarnations = {0: 1, 1: 2, 2: 3}
            protocol._on_decided(PAST, first)
            protocol._drain(PAST)
            if protocol.acceptor and self.persists_records:
                protocol.record = msgspec.msgpack.encode(protocol.acceptor.acceptor_state)
            if index in self.proposers:
                self.propose(protocol, 2 + index)
            protocol.pending_records = tuple(protocol.take_records())
            protocols.append(protocol)
        mail = frozenset(
            (r.conf.own_index, r.conf.incarnation, outgoing.to, outgoing.body)
            for r in protocols
            for outgoing in r.take_outgoing()
        )
        nodes = tuple(self.snapshots.save(r) for r in protocols)
        return State(nodes, (frozenset(),) * len(protocols), mail, len(protocols), *self.bounds, frozenset())

    def run(self) -> int:
        """Explore all states.

        Returns:
            The number of states.

        Raises:
            InvariantViolation: An invariant does not hold in some state.
            OverflowError: There are more than `max_states`.
        """
        level = [self.initial_state()]
        while level:
            next_level = []
            for state in level:
                for successor in self.successors(state):
                    if successor not in self.seen:
                        self.seen.add(successor)
                        next_level.append(successor)
                        if len(self.seen) > self.max_states:
                            raise OverflowError("more than max_states")
            level = next_level
        return len(self.seen)

    def follow_schedule(self, schedule: str) -> int:
        """Follow one schedule, message by message, as `3>2 Prepare` or `2 crash`.

        Messages that were never sent are skipped.

        Returns:
            The number of steps taken.
        """
        state, num_steps = self.initial_state(), 0
        for step in schedule.split(", "):
            routers, event = step.split()
            if event == "again":
                state = self.apply(state, int(routers), ("again",))
                num_steps += 1
                continue
            if event == "crash":
                state_after_crash = state._replace(num_starts=state.num_starts + 1)
                state = self.apply(state_after_crash, int(routers), ("crash", state.num_starts + 1))
                num_steps += 1
                continue
            sender, to = (int(part) for part in routers.split(">"))
            # the latest first
            for mail in sorted(state.mail, key=lambda mail: mail[1:], reverse=True):
                if (mail[0], mail[2], type(m.decode(mail[3])).__name__) == (sender, to, event):
                    state = self.apply(state, to, ("hear", *mail[:2], mail[3]))
                    num_steps += 1
                    break
        return num_steps
