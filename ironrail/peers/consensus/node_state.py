"""State of one router's part in the consensus, and the lease that it decides under. Pure."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable

import msgspec

from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.acceptor import Acceptor
from ironrail.peers.consensus.configuration import ConsensusConfig
from ironrail.peers.consensus.document_store import DocumentStore
from ironrail.peers.consensus.lease import LeaseHolder
from ironrail.peers.consensus.lease_routing import LeaseRouting
from ironrail.peers.consensus.lease_table import LeaseTable
from ironrail.peers.consensus.proposer import Proposer
from ironrail.peers.messages import Outgoing, Topic

# After these the voters may be gone: a lease's time after one expired, 2 s after a start.
MAX_RENEWALS_WITHOUT_LEASE = 3
RENEWALS_PER_LEASE = 3  # two in a row may be lost
# Doubled with each request that is not granted. Round trips of 0.2 s are shorter.
INITIAL_RETRY_SECONDS = 0.3
MAX_BACKOFF_DOUBLINGS = 8
# A renewal is early by a random fraction up to this one, so that routers that learn of a state
# at the same time do not renew in step.
RENEWAL_JITTER_FRACTION = 0.2


class NodeState:
    """The parts of one router: lease holder, proposer, document store, and a voter's acceptor."""

    def __init__(
        self,
        conf: ConsensusConfig,
        context: p.ValidationContext,
        fallback: p.Policy,
        now: float,
        seed: int = 0,
        record: bytes | None = None,
    ) -> None:
        """Create the state.

        Args:
            conf: Configuration of this router.
            context: What policies are validated against.
            fallback: Policy to act on without a lease.
            now: Time on this router's clock.
            seed: Seed of all random choices.
            record: The voter's record of an earlier process, if there is one.

        Raises:
            PolicyError: This router cannot act on the fallback policy.
        """
        if error := p.check(fallback, context):
            raise error
        self.conf, self.document_store = conf, DocumentStore(context, fallback)
        self._seed, self._draws = seed, 0
        self.lease_holder = LeaseHolder(conf.lease_seconds)
        self.lease_routing = LeaseRouting(conf, self._draw)
        # to the members that this router is a head of
        self.delegated_leases = LeaseTable(conf.max_lease_seconds)
        own_index, incarnation = conf.own_index, conf.incarnation
        self.acceptor: Acceptor | None = None
        if own_index in conf.voters or record is not None:
            self.acceptor = Acceptor(
                own_index,
                incarnation,
                conf.voters,
                now,
                conf.max_lease_seconds,
                record,
                conf.persists_records,
            )
        self.renewals_without_lease = 0  # in a row
        self.proposer = Proposer(own_index, incarnation, conf.voters, self._draw)
        # the latest that this router knows to be decided
        self.latest_decided: m.RegisterState | None = None
        self._last_accepted_step = 0  # step that this acceptor accepted last
        self._unsettled_since = now  # since when a state has been unsettled or joint
        # routers that start together do not ask at the same time
        self._next_renewal_at = now + self._draw() * conf.lease_seconds / RENEWALS_PER_LEASE
        self._next_fetch_at = now
        self._ungranted_requests = 0  # in a row
        self.unusable = 0  # messages that could not be decoded
        # digest of a document that was requested before its state was accepted
        self._awaited_digest = b""
        # the latest that arrived without a request: its state may follow at once
        self._unrequested_document: p.Policy | None = None
        self._outgoing: list[Outgoing] = []
        self._loopback: list[m.Message] = []

    def _draw(self) -> float:
        """Return a random number from 0 to 1, determined by seed, router and incarnation."""
        self._draws += 1
        text = f"{self._seed} {self.conf.own_index} {self.conf.incarnation} {self._draws}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=6).digest()) / 2**48

    def _referenced_states(self) -> list[m.RegisterState | None]:
        """Return all states whose documents are needed."""
        states = [self.latest_decided, self.lease_holder.current, self.lease_holder.target]
        return (
            [*states, self.acceptor.acceptor_state.accepted, self.acceptor.offered_state]
            if self.acceptor
            else states
        )

    # sending, also to this router itself

    def _send(self, to: int, message: m.Message) -> None:
        if to == self.conf.own_index:
            self._loopback.append(message)
        else:
            self._outgoing.append(
                Outgoing(to, Topic.CONSENSUS, m.encode(message), m.priority(message))
            )

    def _send_to_voters(self, message: m.Message) -> None:
        for voter in self.lease_routing.voters:
            self._send(voter, message)

    def _become_voter(self, now: float) -> None:
        """Create the acceptor of a router that was named as a voter.

        It has no state and grants no leases for a lease's time, like a voter that lost its state.
        """
        if not self.acceptor:
            conf = self.conf
            self.acceptor = Acceptor(
                conf.own_index,
                conf.incarnation,
                self.lease_routing.voters,
                now,
                conf.max_lease_seconds,
                None,
                conf.persists_records,
            )
            if self.latest_decided:
                self.acceptor.on_decided(self.latest_decided)

    # learning of states and documents

    def _on_decided(self, now: float, state: m.RegisterState) -> None:
        """Handle a decided state.

        Its documents usually follow at once; otherwise they are requested.
        """
        if self.latest_decided and state.step <= self.latest_decided.step:
            return
        routers_to_notify = (
            self._routers_to_notify(self.acceptor.granted_leases.live_processes(now))
            if self.acceptor
            else []
        )
        self.latest_decided, self._unsettled_since = state, now
        self.proposer.latest_decided, self.proposer.epoch = state, state.step // m.STEPS_PER_EPOCH
        self.lease_holder.on_decided(state)
        self.lease_routing.set_voters(state.grantors)
        if self.conf.own_index in state.grantors:
            self._become_voter(now)
        if self.acceptor:
            self.acceptor.on_decided(state)
        self.document_store.keep_only(self._needed_digests())
        self._next_fetch_at = now + INITIAL_RETRY_SECONDS
        self._forward_decision(state, routers_to_notify)

    def _needed_digests(self) -> set[bytes]:
        """Return the digests of the documents that must not be evicted."""
        proposal = self.proposer.proposal
        needed = {ref.digest for s in self._referenced_states() if s for ref in s.refs()}
        return needed | {proposal.ref.digest} if proposal and proposal.ref else needed

    def _store_document(self, policy: p.Policy) -> m.PolicyRef:
        """Store a document.

        The number of documents stays bounded, however many are named to a voter or proposed
        without success.
        """
        ref = self.document_store.add(policy)
        self.document_store.evict_beyond_limit(self._needed_digests() | {ref.digest})
        return ref

    def _routers_to_notify(self, processes: Iterable[tuple[int, int]]) -> list[int]:
        """Return which of these routers this voter notifies, as they ask all voters.

        Each is notified by one voter only. The voters before the change are used: nobody has asked
        a new voter for a lease yet.
        """
        voters = self.lease_routing.voters
        return [
            router for router, _ in processes if voters[router % len(voters)] == self.conf.own_index
        ]

    def _forward_decision(self, state: m.RegisterState, routers: Iterable[int]) -> None:
        """Send a state and its new document at once, before the routers' next renewal."""
        for router in {*routers} - {self.conf.own_index}:
            self._send(router, m.Decided(state))
            self._send_new_document(state, router)

    def _send_new_document(self, state: m.RegisterState, to: int) -> None:
        """Send the document that is new in a state."""
        document = self.document_store.get(state.new.digest) if state.new else None
        if document and to != self.conf.own_index:
            self._send(to, m.Document(document))

    def _move_to_latest(self, now: float) -> None:
        """Move to the latest decided state, once its documents are stored and valid."""
        before = (self.lease_holder.current, self.lease_holder.target)
        if self.latest_decided is self.lease_holder.current:
            return
        if (
            self.latest_decided
            and not self.document_store.missing([self.latest_decided])
            and not self.document_store.rejection_of(self.latest_decided)
        ):
            self.lease_holder.move_towards(self.latest_decided, now)
        if before != (self.lease_holder.current, self.lease_holder.target):
            self._send_lease_request(now)

    def _send_lease_request(self, now: float) -> None:
        period = self.conf.lease_seconds / RENEWALS_PER_LEASE
        before, request_targets = (
            self.lease_routing.head_index,
            self.lease_routing.request_targets(now),
        )
        if self.lease_routing.head_index != before:
            # another head may be unresponsive as well, and is then found out as soon
            self._ungranted_requests = 0
        self._next_renewal_at = now + min(
            period, INITIAL_RETRY_SECONDS * 2**self._ungranted_requests
        )
        self._ungranted_requests = min(self._ungranted_requests + 1, MAX_BACKOFF_DOUBLINGS)
        others = self.delegated_leases.live_scoped_steps(now)
        lease_request = self.lease_holder.next_request(now, self.latest_decided, others)
        if known := self.latest_decided:
            epoch = known.step // m.STEPS_PER_EPOCH * m.STEPS_PER_EPOCH
            rejection = self.delegated_leases.rejection_of(now, known.scope[-1])
            if own_rejection := self.document_store.rejection_of(known):
                rejection = (
                    self.conf.own_index,
                    epoch + own_rejection[0].version,
                    str(own_rejection[1])[:80],
                )
            lagging_routers = (
                self.delegated_leases.conflicting_holders(now, known.scope[-1:]) if others else []
            )
            lease_request = msgspec.structs.replace(
                lease_request,
                rejection=rejection,
                lagging_router=lagging_routers[0] if lagging_routers else None,
            )
        for to in request_targets:
            self._send(to, lease_request)
        self.renewals_without_lease = (
            0 if self.lease_holder.valid_state(now) else self.renewals_without_lease + 1
        )
        # the known voters may be gone: any router can tell the current ones
        if self.renewals_without_lease > MAX_RENEWALS_WITHOUT_LEASE:
            # one router at a time, drawn anew: if a whole fleet loses its voters, no router is
            # asked by all
            self._send(
                int(self._draw() * self.conf.routers), m.StateQuery(known.step if known else 0)
            )

    def _on_lease_renewed(self, now: float) -> None:
        """Schedule the next renewal, after the latest request was granted."""
        self._ungranted_requests = 0
        self._next_renewal_at = now + self.conf.lease_seconds / RENEWALS_PER_LEASE * (
            1 - RENEWAL_JITTER_FRACTION * self._draw()
        )

    def _on_member_request(
        self, now: float, process: tuple[int, int], lease_request: m.LeaseRequest
    ) -> None:
        """Handle a member's request for a part of this router's lease.

        The part ends with this router's lease, also if the member's clock is slow.
        """
        is_new_head = self.lease_routing.on_member_request(now)
        expires_at = min(
            (
                self.lease_holder.own_expiry(step.scope)
                for step in (lease_request.low, lease_request.high)
                if step
            ),
            default=-math.inf,
        )
        had_lagging_member = self._has_lagging_member(now)
        granted = self.delegated_leases.request(now, process, lease_request, 0, expires_at)
        if granted is not None:
            delegated_seconds = (
                (expires_at - now) * self.conf.lease_seconds / self.conf.max_lease_seconds
                if granted
                else 0.0
            )
            newer_state = (
                self.latest_decided
                if self.latest_decided and self.latest_decided.step > lease_request.known_step
                else None
            )
            self._send(
                process[0],
                m.LeaseReply(
                    lease_request.sequence, granted, False, 0, newer_state, delegated_seconds
                ),
            )
        if is_new_head or (had_lagging_member and not self._has_lagging_member(now)):
            # notifies the voters at once that no member lags behind any more
            self._send_lease_request(now)

    def _has_lagging_member(self, now: float) -> bool:
        """Return whether a member may still decide in conflict with the latest policy."""
        return self.latest_decided is not None and bool(
            self.delegated_leases.conflicting_holders(now, self.latest_decided.scope[-1:])
        )
