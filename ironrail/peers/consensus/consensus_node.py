"""The room in which routers come to an accord: puts voters, leases and proposals together. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from ironrail.errors import InputError, IronrailError
from ironrail.peers.consensus import errors
from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.acceptor import PersistRecord
from ironrail.peers.consensus.configuration import DEADLINE, check_voters
from ironrail.peers.consensus.message_handler import MessageHandler
from ironrail.peers.consensus.proposal import Proposal, ProposalHandle, TargetState
from ironrail.peers.messages import Outgoing, Received, Topic


@dataclass(frozen=True, slots=True)
class DecidedBy:
    """What a router acts by at one instant."""

    versions: tuple[int, ...]  # that it decides under; empty: under none
    policy: p.Policy | None  # the effective one, or the floor; None: not ready
    scope: m.Scope = ()


class ConsensusNode(MessageHandler):
    """See `faces.Room`; besides, `propose`, `decides_by`, `found`, and the voter's record."""

    topic = Topic.CONSENSUS

    # what an operator or the router asks

    def propose(
        self, now: float, policy: p.Policy, deadline: float = DEADLINE, voters: m.Voters = ()
    ) -> ProposalHandle:
        """Have this policy take the old one's place everywhere; `deadline`: seconds.

        `voters`: that keep the register once it is in force; none: those that do now.

        Raises:
            RejectedError: a change is under way here, or this router doesn't know where the register stands.
            VotersError: these can't be voters.
            PolicyError: it is no policy, or this router itself can't work by it.
        """
        if voters:
            check_voters(voters, self.conf.routers)
        if self.proposer.change:
            raise errors.BusyError("a change is under way here", "policy")
        if self.known is None or self.holder.valid_state(now) is None:
            raise errors.UnreadyError("holds no lease", f"router {self.conf.router}")
        ref = self._taken(policy)
        ticket = ProposalHandle(ref)
        self.proposer.begin(
            now, Proposal(TargetState.JOINT, ref, ticket, deadline=now + deadline, new_voters=voters)
        )
        self._settle(now)
        return ticket

    def bootstrap(self, now: float, epoch: int, policy: p.Policy) -> None:
        """By the operator's hand, the first time and where more voters lost their memory than can be.

        `epoch`: never used before. Tell it to one router; voters with a memory take no notice.
        """
        if not 0 < epoch < 2**20:
            raise InputError("must be from 1 to 2**20", "epoch")
        ref = self._taken(policy)
        voters = self.known.voters if self.known else self.conf.voters
        named = m.PolicyRef(ref.version, ref.digest, voters)
        self._to_voters(m.BootstrapOffer(m.RegisterState(epoch * m.EPOCH, named, tried=ref.version)))
        self._to_voters(m.Document(self.library.get(ref.digest) or b""))
        self._settle(now)

    def policy_in_force(self, now: float) -> p.Policy:
        """The one policy in force.

        Raises:
            RejectedError: a change is under way, or this router doesn't know where the register stands.
        """
        state = self.holder.valid_state(now)
        if state is None or state is not self.known:
            raise errors.UnreadyError("holds no lease for the latest state", f"router {self.conf.router}")
        if state.new:
            raise errors.BusyError(f"version {state.new.version} is on its way", "policy")
        return self.library.effective(state)

    def voters_now(self) -> list[m.Voters]:
        """Of the latest state that is known: the set in force, and in a change the one that is to be."""
        known = self.known
        if known is None:
            return []
        return [
            known.voters,
            *((known.new.voters,) if known.new and known.new.voters != known.voters else ()),
        ]

    def _taken(self, policy: p.Policy) -> m.PolicyRef:
        policy = p.normal(policy)
        if error := p.check(policy, self.library.facts):
            raise error
        return self._have(policy)

    def effective_policy(self, now: float) -> DecidedBy:
        """What to act by at this very time; ask anew for each decision, with a clock that counts pauses."""
        state = self.holder.valid_state(now)
        if state:
            return DecidedBy(
                tuple(r.version for r in state.refs()), self.library.effective(state), state.scope
            )
        known = [self.known, self.holder.current, self.holder.target]
        if not any(known) and not self.conf.starts_on_fallback:
            return DecidedBy((), None)
        return DecidedBy((), self.library.merged_with_fallback(known))

    def effective_until(self, now: float) -> float:
        """When `decides_by` may tell something else though nothing was heard: the lease ends."""
        state = self.holder.valid_state(now)
        return self.holder.expiry(state.scope) if state else math.inf

    def faults(self, now: float) -> list[IronrailError]:
        """What an operator should know."""
        found: list[IronrailError] = []
        if self.voter and self.voter.is_lost():
            found.append(errors.LostError("a majority of the voters has no memory", "voters"))
        if self.voter and self.voter.write_is_failing:
            found.append(errors.KeepingError("can't keep its record", f"voter {self.conf.router}"))
        if self.holder.valid_state(now) is None:
            found.append(errors.LeaseError("holds no lease", f"router {self.conf.router}"))
        if self.known and (refused := self.library.rejection_of(self.known)):
            found.append(refused[1])
        return found

    # the voter's record

    def take_records(self) -> list[PersistRecord]:
        """Records to be kept; asked after each event, and empty once taken."""
        if not self.voter:
            return []
        taken, self.voter.records = self.voter.records, []
        return taken

    def on_record_written(self, now: float, token: int) -> None:
        """It is on the disk."""
        if self.voter:
            self.voter.on_record_written(token)
            self._settle(now)

    def on_record_failed(self, now: float, token: int) -> None:
        """It couldn't be kept."""
        if self.voter:
            self.voter.on_record_failed(now, token)

    # the driver's calls

    def on_message(self, now: float, received: Received) -> None:
        """A message; what can't be used is counted and dropped."""
        try:
            message = m.decode(received.body)
        except (msgspec.MsgspecError, RecursionError):  # the latter of a thousand arrays in one another
            self.unusable += 1
            return
        self._take(now, received.sender, received.incarnation, message)
        self._settle(now)

    def on_timer(self, now: float) -> None:
        """Time has passed."""
        if self.voter:
            self.voter.wake(now)
        if now >= self._renew_at:
            self._renew(now)
        if now >= self._fetch_at:
            self._fetch(now)
        if now >= self._tend_at():
            self._tend(now)
        self.proposer.wake(now)
        self._settle(now)

    def take_outgoing(self) -> list[Outgoing]:
        """What is to be sent."""
        taken, self._out = self._out, []
        return taken

    def next_timer_at(self) -> float:
        """When it wants to be woken."""
        times = [self._renew_at, self.proposer.wake_at(), self._tend_at(), self._pending_at]
        if self.library.missing(self._states()):
            times.append(self._fetch_at)
        if self.voter:
            times.append(self.voter.retry_write_at if self.voter.standing else self.voter.recover_at)
        return min(times)
