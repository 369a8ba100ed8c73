"""Handling of each message and timer; `consensus_node.py` has the public interface. Pure."""

from __future__ import annotations

import math

from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.acceptor import Acceptor
from ironrail.peers.consensus.configuration import DEFAULT_DEADLINE_SECONDS
from ironrail.peers.consensus.errors import PolicyError
from ironrail.peers.consensus.node_state import NodeState
from ironrail.peers.consensus.proposal import Proposal, TargetState

DOCUMENT_RETRY_SECONDS = 0.5
# Deadlines after which voters withdraw an abandoned joint state, one voter after the other.
ABANDONED_DEADLINE_FACTOR = 2.5
# After these a voter finishes a state that it accepted but never learned to be decided.
UNSETTLED_TIMEOUT_SECONDS = 4.0


class MessageHandler(NodeState):
    """Connects the parts that exchange messages: acceptor, proposer and document store."""

    # the latest that was not answered in full
    _deferred: tuple[int, m.Prepare | m.Accept] | None = None
    _deferred_until = math.inf  # when it can be answered without a further message

    def _drain(self, now: float) -> None:
        """Process messages between the parts of this router until none is left."""
        while True:
            self._move_to_latest(now)
            for component in (self.acceptor, self.proposer):
                if component:
                    outgoing, component.outgoing = component.outgoing, []
                    for to, message in outgoing:
                        self._send(to, message)
                        if isinstance(message, m.Accept):
                            self._send_new_document(message.state, to)
            decided, self.proposer.newly_decided = self.proposer.newly_decided, []
            for state in decided:
                self._on_decided(now, state)
            if not self._loopback and not self._retry_deferred(now):
                break
            messages, self._loopback = self._loopback, []
            for message in messages:
                self._dispatch(now, self.conf.own_index, self.conf.incarnation, message)
        if self.acceptor:
            accepted = self.acceptor.acceptor_state.accepted
            step = accepted.step if accepted else 0
            if step != self._last_accepted_step:
                self._last_accepted_step, self._unsettled_since = step, now

    def _fetch_documents(self, now: float) -> None:
        """Request missing documents again; the senders of their states were asked before."""
        self._next_fetch_at = now + DOCUMENT_RETRY_SECONDS
        document_sources = self.lease_routing.document_sources(now)
        for digest in self.document_store.missing(self._referenced_states()):
            if document_sources:
                self._send(
                    document_sources[int(self._draw() * len(document_sources))],
                    m.DocumentRequest(digest),
                )

    # requests to the acceptor that could not be answered in full yet

    def _blocked_until(
        self, now: float, acceptor: Acceptor, message: m.Prepare | m.Accept
    ) -> float:
        """Return when the latest obstacle to a full answer ends without a further message.

        -inf if there is none; infinite if a document is missing.
        """
        if isinstance(message, m.Accept):
            if self.document_store.missing([message.state]):
                return math.inf
            scope = message.state.scope
        else:
            accepted = acceptor.acceptor_state.accepted
            if accepted is None or accepted.new is None:
                return -math.inf
            scope = accepted.scope[1:]
        return max(
            acceptor.old_leases_expire_at,
            acceptor.granted_leases.last_conflicting_expiry(now, scope),
        )

    def _defer_if_blocked(self, now: float, sender: int, message: m.Prepare | m.Accept) -> None:
        if self.acceptor:
            blocked_until = self._blocked_until(now, self.acceptor, message)
            self._deferred = (sender, message) if blocked_until > now else None
            self._deferred_until = blocked_until if blocked_until > now else math.inf

    def _retry_deferred(self, now: float) -> bool:
        """Answer the deferred request if nothing blocks it any more; returns whether it did."""
        if not self.acceptor or not self._deferred:
            return False
        sender, message = self._deferred
        self._deferred_until = self._blocked_until(now, self.acceptor, message)
        if self._deferred_until > now:
            return False
        self._deferred, self._deferred_until = None, math.inf
        if message.ballot < self.acceptor.acceptor_state.promised:
            return False  # the proposer has tried again, or another one has a higher ballot
        self._dispatch_to_acceptor(now, self.acceptor, sender, 0, message)
        return True

    # proposals abandoned by others

    def _cleanup_due_at(self) -> float:
        """Return when this voter finishes or withdraws what others abandoned.

        Each voter does so at another time.
        """
        acceptor = self.acceptor
        if not acceptor or not acceptor.is_voting or self.proposer.proposal:
            return math.inf
        accepted, own_index = acceptor.acceptor_state.accepted, self.conf.own_index
        if accepted and self._last_accepted_step > (
            self.latest_decided.step if self.latest_decided else 0
        ):
            delay, voters = UNSETTLED_TIMEOUT_SECONDS, accepted.all_voters
        elif self.latest_decided and self.latest_decided.new:
            delay, voters = (
                ABANDONED_DEADLINE_FACTOR * DEFAULT_DEADLINE_SECONDS,
                self.latest_decided.voters,
            )
        else:
            return math.inf
        return (
            self._unsettled_since + delay + UNSETTLED_TIMEOUT_SECONDS * voters.index(own_index)
            if own_index in voters
            else math.inf
        )

    def _start_cleanup(self, now: float) -> None:
        if self.acceptor:
            self.proposer.epoch = self.acceptor.epoch
            target = (
                TargetState.UNCHANGED
                if self._last_accepted_step
                > (self.latest_decided.step if self.latest_decided else 0)
                else TargetState.OLD
            )
            self.proposer.begin(now, Proposal(target))

    # messages

    def _dispatch(self, now: float, sender: int, incarnation: int, message: m.Message) -> None:
        acceptor, proposer = self.acceptor, self.proposer
        asked_voters = message.asked_voters if isinstance(message, m.Prepare) else ()
        if self.conf.own_index in asked_voters:
            self._become_voter(now)
            acceptor = self.acceptor
        if acceptor:
            acceptor.on_contact(
                sender, incarnation, isinstance(message, (m.RecoveryRequest, m.RecoveryReport))
            )
        match message:
            case m.LeaseReply():
                self._on_lease_reply(now, sender, message)
            case m.Promise():
                proposer.on_promise(now, sender, incarnation, message)
            case m.Accepted():
                proposer.on_accepted(now, sender, incarnation, message)
            case m.BallotRejected():
                proposer.on_ballot_rejected(now, message.promised)
            case m.Decided():
                self._on_decided(now, message.state)
                self._store_unrequested()
            case _ if acceptor and (
                not isinstance(message, m.LeaseRequest) or self._is_lease_voter()
            ):
                self._dispatch_to_acceptor(now, acceptor, sender, incarnation, message)
            case m.LeaseRequest():
                self._on_member_request(now, (sender, incarnation), message)
            case _:
                pass
        self._answer_query(sender, message)

    def _answer_query(self, sender: int, message: m.Message) -> None:
        """Answer what any router may ask."""
        match message:
            case m.DocumentRequest():
                if document := self.document_store.get(message.digest):
                    self._send(sender, m.Document(document))
            case m.Document():
                self._on_document(message.data)
            case m.StateQuery():
                if self.latest_decided and self.latest_decided.step > message.known_step:
                    self._send(sender, m.Decided(self.latest_decided))
            case _:
                pass

    def _is_lease_voter(self) -> bool:
        """Return whether lease requests come to this router as a voter rather than as a head."""
        return not self.latest_decided or self.conf.own_index in self.latest_decided.grantors

    def _dispatch_to_acceptor(
        self, now: float, acceptor: Acceptor, sender: int, incarnation: int, message: m.Message
    ) -> None:
        match message:
            case m.LeaseRequest():
                acceptor.on_lease_request(now, (sender, incarnation), message, self.latest_decided)
            case m.Prepare():
                acceptor.on_prepare(now, sender, message)
                self._defer_if_blocked(now, sender, message)
            case m.Accept():
                self._expect_documents(message.state)
                missing = self.document_store.missing([message.state])
                acceptor.on_accept(now, sender, message.ballot, message.state, not missing)
                self._defer_if_blocked(now, sender, message)
            case m.RecoveryRequest():
                acceptor.on_recovery_request(sender, message)
            case m.RecoveryReport():
                acceptor.on_recovery_report(sender, incarnation, message)
            case m.BootstrapOffer():
                acceptor.on_bootstrap_offer(message.state)
                self._request_documents(sender, self.document_store.missing([message.state]))
            case m.Bootstrapped():
                acceptor.on_bootstrapped(message)
            case _:
                pass

    def _expect_documents(self, state: m.RegisterState) -> None:
        """Expect the documents of a state.

        The proposer sends them right after its `Accept`, and again with each attempt.
        """
        for digest in self.document_store.missing([state]):
            self._awaited_digest = digest
        self._store_unrequested()

    def _request_documents(self, sender: int, digests: list[bytes]) -> None:
        """Request documents from the router that referred to them, as it has them."""
        for digest in digests:
            self._awaited_digest = digest
            if sender != self.conf.own_index:
                self._send(sender, m.DocumentRequest(digest))

    def _on_lease_reply(self, now: float, sender: int, reply: m.LeaseReply) -> None:
        if reply.newer_state:
            self._on_decided(now, reply.newer_state)
            self._request_documents(sender, self.document_store.missing([reply.newer_state]))
        if self.acceptor and sender != self.conf.own_index:
            self.acceptor.on_reported_epoch(now, sender, reply.is_voting, reply.epoch)
        self.lease_routing.on_reply(now, sender, reply.granted)
        if reply.granted:
            has_moved = self.lease_holder.on_granted(
                now, sender, reply.sequence, reply.delegated_seconds
            )
            if self.lease_holder.is_renewed(self._lease_voter_sets()):
                self._on_lease_renewed(now)
            if has_moved and self.lease_holder.current:
                # notifies the voters at once that it decides in the new state
                self._send_lease_request(now)
                self._forward_decision(
                    self.lease_holder.current,
                    (router for router, _ in self.delegated_leases.live_processes(now)),
                )

    def _lease_voter_sets(self) -> list[m.Voters]:
        """Return the sets whose majorities grant a lease in the latest state."""
        return (
            [ref.voters for ref in self.latest_decided.refs()]
            if self.latest_decided
            else [self.lease_routing.voters]
        )

    def _on_document(self, data: bytes) -> None:
        """Store a document that was requested; of all others only the latest is kept."""
        try:
            self._unrequested_document = p.decode(data)
        except PolicyError:
            return
        self._store_unrequested()

    def _store_unrequested(self) -> None:
        if self._unrequested_document and p.digest(self._unrequested_document) in (
            *self.document_store.missing(self._referenced_states()),
            self._awaited_digest,
        ):
            self._store_document(self._unrequested_document)
            self._unrequested_document = None
