"""The consensus protocol of one router: voting, leases and proposals. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from ironrail.errors import InputError, IronrailError
from ironrail.peers.consensus import errors
from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.acceptor import PersistRecord
from ironrail.peers.consensus.configuration import DEFAULT_DEADLINE_SECONDS, check_voters
from ironrail.peers.consensus.message_handler import MessageHandler
from ironrail.peers.consensus.proposal import Proposal, ProposalHandle, TargetState
from ironrail.peers.messages import Outgoing, Received, Topic


@dataclass(frozen=True, slots=True)
class EffectivePolicy:
    """The policy that a router acts on at one instant."""

    versions: tuple[int, ...]  # that it decides under; empty without a lease
    # merged in a joint state; the fallback policy without a lease; None: not ready
    policy: p.Policy | None
    scope: m.Scope = ()


class ConsensusNode(MessageHandler):
    """The consensus as a `PeerProtocol`, with proposals, bootstrap, and the voter's record."""

    topic = Topic.CONSENSUS

    # calls of an operator or of the router

    def propose(
        self,
        now: float,
        policy: p.Policy,
        deadline: float = DEFAULT_DEADLINE_SECONDS,
        voters: m.Voters = (),
    ) -> ProposalHandle:
        """Propose a policy to replace the one in force at all routers.

        Args:
            now: Time on this router's clock.
            policy: The new policy.
            deadline: Seconds until the change is given up.
            voters: Replace the present voters once the change is in force; empty: these stay.

        Raises:
            RejectedError: A change is under way here, or this router does not know the register's
                state.
            VotersError: These routers cannot be voters.
            PolicyError: The policy is invalid, or this router cannot act on it.
        """
        if voters:
            check_voters(voters, self.conf.routers)
        if self.proposer.proposal:
            raise errors.BusyError("a change is under way here", "policy")
        if self.latest_decided is None or self.lease_holder.valid_state(now) is None:
            raise errors.UnreadyError("holds no lease", f"router {self.conf.own_index}")
        ref = self._store_valid(policy)
        handle = ProposalHandle(ref)
        self.proposer.begin(
            now,
            Proposal(TargetState.JOINT, ref, handle, deadline=now + deadline, new_voters=voters),
        )
        self._drain(now)
        return handle

    def bootstrap(self, now: float, epoch: int, policy: p.Policy) -> None:
        """Offer the voters a state to start with.

        Needed initially, and after more voters lost their state than the register tolerates. Has
        to be called at one router only; voters that have a state ignore it.

        Args:
            now: Time on this router's clock.
            epoch: A number that was never used before.
            policy: The policy to start with.

        Raises:
            InputError: The epoch is out of range.
            PolicyError: The policy is invalid, or this router cannot act on it.
        """
        if not 0 < epoch < 2**20:
            raise InputError("must be from 1 to 2**20", "epoch")
        ref = self._store_valid(policy)
        voters = self.latest_decided.voters if self.latest_decided else self.conf.voters
        named = m.PolicyRef(ref.version, ref.digest, voters)
        self._send_to_voters(
            m.BootstrapOffer(
                m.RegisterState(epoch * m.STEPS_PER_EPOCH, named, max_tried_version=ref.version)
            )
        )
        self._send_to_voters(m.Document(self.document_store.get(ref.digest) or b""))
        self._drain(now)

    def policy_in_force(self, now: float) -> p.Policy:
        """Return the single policy in force.

        Raises:
            RejectedError: A change is under way, or this router does not know the register's
                state.
        """
        state = self.lease_holder.valid_state(now)
        if state is None or state is not self.latest_decided:
            raise errors.UnreadyError(
                "holds no lease for the latest state", f"router {self.conf.own_index}"
            )
        if state.new:
            raise errors.BusyError(f"version {state.new.version} is under way", "policy")
        return self.document_store.effective(state)

    def current_voter_sets(self) -> list[m.Voters]:
        """Return the voters of the latest state, and in a change also their successors."""
        known = self.latest_decided
        if known is None:
            return []
        return [
            known.voters,
            *((known.new.voters,) if known.new and known.new.voters != known.voters else ()),
        ]

    def _store_valid(self, policy: p.Policy) -> m.PolicyRef:
        policy = p.normalize(policy)
        if error := p.check(policy, self.document_store.context):
            raise error
        return self._store_document(policy)

    def effective_policy(self, now: float) -> EffectivePolicy:
        """Return the policy to act on at this instant.

        Has to be called for each decision, with a clock that also advances while the process is
        paused.
        """
        state = self.lease_holder.valid_state(now)
        if state:
            return EffectivePolicy(
                tuple(r.version for r in state.refs()),
                self.document_store.effective(state),
                state.scope,
            )
        known = [self.latest_decided, self.lease_holder.current, self.lease_holder.target]
        if not any(known) and not self.conf.starts_on_fallback:
            return EffectivePolicy((), None)
        return EffectivePolicy((), self.document_store.merged_with_fallback(known))

    def effective_until(self, now: float) -> float:
        """Return when the lease ends, and with it the policy returned by `effective_policy`."""
        state = self.lease_holder.valid_state(now)
        return self.lease_holder.expiry(state.scope) if state else math.inf

    def faults(self, now: float) -> list[IronrailError]:
        """Return the errors that an operator should know of."""
        found: list[IronrailError] = []
        if self.acceptor and self.acceptor.is_state_lost():
            found.append(errors.LostError("a majority of the voters lost its state", "voters"))
        if self.acceptor and self.acceptor.is_write_failing:
            found.append(
                errors.KeepingError("can't write its record", f"voter {self.conf.own_index}")
            )
        if self.lease_holder.valid_state(now) is None:
            found.append(errors.LeaseError("holds no lease", f"router {self.conf.own_index}"))
        if self.latest_decided and (
            rejection := self.document_store.rejection_of(self.latest_decided)
        ):
            found.append(rejection[1])
        return found

    # the voter's record

    def take_records(self) -> list[PersistRecord]:
        """Return the records to write, once; called after each event."""
        if not self.acceptor:
            return []
        taken, self.acceptor.records = self.acceptor.records, []
        return taken

    def on_record_written(self, now: float, token: int) -> None:
        """Handle that a record, and all before it, was written and synced to disk."""
        if self.acceptor:
            self.acceptor.on_record_written(token)
            self._drain(now)

    def on_record_failed(self, now: float, token: int) -> None:
        """Handle that a record could not be written."""
        if self.acceptor:
            self.acceptor.on_record_failed(now, token)

    # `PeerProtocol`

    def on_message(self, now: float, received: Received) -> None:
        """Handle a message; one that cannot be decoded is counted and dropped."""
        try:
            message = m.decode(received.body)
        except (msgspec.MsgspecError, RecursionError):  # the latter for deeply nested arrays
            self.unusable += 1
            return
        self._dispatch(now, received.sender, received.incarnation, message)
        self._drain(now)

    def on_timer(self, now: float) -> None:
        """Handle the timer."""
        if self.acceptor:
            self.acceptor.on_timer(now)
        if now >= self._next_renewal_at:
            self._send_lease_request(now)
        if now >= self._next_fetch_at:
            self._fetch_documents(now)
        if now >= self._cleanup_due_at():
            self._start_cleanup(now)
        self.proposer.on_timer(now)
        self._drain(now)

    def take_outgoing(self) -> list[Outgoing]:
        """Return the messages to send, once."""
        taken, self._outgoing = self._outgoing, []
        return taken

    def next_timer_at(self) -> float:
        """Return when `on_timer` is due."""
        times = [
            self._next_renewal_at,
            self.proposer.next_timer_at(),
            self._cleanup_due_at(),
            self._deferred_until,
        ]
        if self.document_store.missing(self._referenced_states()):
            times.append(self._next_fetch_at)
        if self.acceptor:
            times.append(
                self.acceptor.retry_write_at
                if self.acceptor.is_voting
                else self.acceptor.recovery_retry_at
            )
        return min(times)
