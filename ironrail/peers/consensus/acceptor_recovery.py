"""A voter's state, and its recovery after the state was lost or never existed. Pure.

Replies form a majority only if none of them comes from a process that another voter knows to be
replaced (Michael et al. 2017). The latest state among the reports tells which sets of voters have
to report.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus.lease_table import LeaseTable
from ironrail.peers.consensus.quorum import QuorumReply, find_quorum, majority_size

RECOVERY_RETRY_SECONDS = 0.5


class AcceptorRecovery:
    """State of a voter: its promise, what it accepted, and the processes it has seen."""

    def __init__(
        self,
        own_index: int,
        incarnation: int,
        voters: m.Voters,
        now: float,
        wait: float,
        record: bytes | None,
    ) -> None:
        """Create the state, from the record if there is one.

        Args:
            own_index: Number of this router.
            incarnation: Incarnation of this process.
            voters: Voters to ask first.
            now: Time on this router's clock.
            wait: Seconds after which every lease has expired that was granted before.
            record: The voter's record, or None to recover the state from the other voters.
        """
        self.own_index = own_index
        self.current_voters = voters  # the set whose majority decides, as far as known
        self.known_voters = set(voters)  # voters that may know the latest state
        self.incarnations = dict.fromkeys(voters, 0) | {own_index: incarnation}
        self.acceptor_state = m.AcceptorState()
        self.is_voting = False
        self.granted_leases = LeaseTable(wait)
        # leases granted before the restart are unknown and may last until then
        self.old_leases_expire_at = now + wait
        self.offered_state: m.RegisterState | None = None
        self.reports: dict[int, QuorumReply] = {}  # of other voters, to the current nonce
        self.nonce, self.recovery_retry_at, self.num_state_losses = 0, now, 0
        # the latest state that this router knows to be decided
        self.latest_decided: m.RegisterState | None = None
        self.reported_epochs: dict[int, int] = {}  # of the other voters that are voting
        self.outgoing: m.OutgoingMessages = []
        if record is not None:
            self.acceptor_state = _with_voters(m.read_record(record), voters)
            self.is_voting = True

    @property
    def epoch(self) -> int:
        """The epoch of the bootstrap that this voter's state comes from; 0 without a state."""
        return (
            self.acceptor_state.accepted.step // m.STEPS_PER_EPOCH
            if self.acceptor_state.accepted
            else 0
        )

    def seen_incarnations(self, asked_voters: Iterable[int] = ()) -> m.SeenIncarnations:
        """Return the incarnation of each voter that it was last received from directly.

        Args:
            asked_voters: If not empty, only these voters are included.
        """
        seen = [
            (voter, incarnation)
            for voter, incarnation in sorted(self.incarnations.items())
            if incarnation
        ]
        return tuple(pair for pair in seen if not asked_voters or pair[0] in asked_voters)[
            : m.MAX_SEEN_VOTERS
        ]

    def contact_unseen_voters(self, asked_voters: Iterable[int]) -> None:
        """Contact those voters that were not seen yet.

        Voters that are asked together have to have seen each other.
        """
        self.outgoing += [
            (voter, m.RecoveryRequest(0))
            for voter in asked_voters
            if not self.incarnations.get(voter)
        ]

    def on_contact(self, sender: int, incarnation: int, is_voter_message: bool) -> None:
        """Note the sender's incarnation, if it is a voter.

        Args:
            sender: The router that sent a message.
            incarnation: Incarnation of its process.
            is_voter_message: Whether only voters send this type of message.
        """
        if is_voter_message or sender in self.incarnations:
            self.incarnations[sender] = incarnation

    def on_decided(self, state: m.RegisterState) -> None:
        """Note a decided state and its voters."""
        self.latest_decided, self.current_voters = state, state.voters
        self.known_voters |= set(state.all_voters)

    # recovery of a lost state

    def on_timer(self, now: float) -> None:
        """Request a lost state again."""
        if not self.is_voting and now >= self.recovery_retry_at:
            self.recovery_retry_at = now + RECOVERY_RETRY_SECONDS
            if not self.nonce:
                self._draw_nonce()
            asked_voters = tuple(sorted(self.known_voters | {self.own_index}))
            self.outgoing += [
                (voter, m.RecoveryRequest(self.nonce, asked_voters))
                for voter in asked_voters
                if voter != self.own_index
            ]

    def _draw_nonce(self) -> None:
        """Draw a nonce for this process and this loss of state; incarnations are random."""
        self.reports, self.nonce = (
            {},
            (self.incarnations[self.own_index] * 64 + self.num_state_losses % 64) % 2**62 + 1,
        )

    def on_recovery_request(self, to: int, message: m.RecoveryRequest) -> None:
        """Reply to a voter that lost its state."""
        self.contact_unseen_voters(message.asked_voters)
        if self.is_voting:
            self._send_when_persisted(
                to,
                m.RecoveryReport(
                    message.nonce, True, self.seen_incarnations(), self.acceptor_state
                ),
            )
        else:
            self.outgoing.append(
                (
                    to,
                    m.RecoveryReport(
                        message.nonce,
                        False,
                        self.seen_incarnations(),
                        m.AcceptorState(),
                        self.offered_state,
                    ),
                )
            )

    def on_recovery_report(self, sender: int, incarnation: int, report: m.RecoveryReport) -> None:
        """Handle the state of another voter.

        Recovers the state of this one once a majority has reported.
        """
        if (
            self.is_voting
            or not self.nonce
            or report.nonce != self.nonce
            or sender == self.own_index
        ):
            return
        self.reports[sender] = QuorumReply(incarnation, report.seen_incarnations, report)
        reports = self._reports_from(True)
        epoch = max((_acceptor_state_of(r).promised.epoch for r in reports.values()), default=0)
        reports_of_epoch = {
            v: r for v, r in reports.items() if _acceptor_state_of(r).promised.epoch == epoch
        }
        latest = max(
            (_acceptor_state_of(r) for r in reports_of_epoch.values()),
            key=lambda v: v.accepted_ballot,
            default=m.AcceptorState(),
        )
        if latest.accepted:
            self.known_voters |= set(latest.accepted.all_voters)
            if find_quorum(reports_of_epoch, self._required_voter_sets(latest.accepted)):
                promised = max(_acceptor_state_of(r).promised for r in reports_of_epoch.values())
                self._start_voting(
                    m.AcceptorState(promised, latest.accepted_ballot, latest.accepted)
                )
        if not self.is_voting and self.offered_state:
            self._try_bootstrap(self.offered_state)

    def _required_voter_sets(self, state: m.RegisterState) -> tuple[m.Voters, ...]:
        """Return which sets have to have reported.

        Without them, this may not be the latest state that may be decided.
        """
        if self.latest_decided and state.step <= self.latest_decided.step:
            return (self.latest_decided.voters,)
        return state.required_voter_sets

    def _reports_from(self, is_voting: bool) -> dict[int, QuorumReply]:
        reports = {v: (r, r.message) for v, r in self.reports.items()}
        return {
            v: r
            for v, (r, message) in reports.items()
            if isinstance(message, m.RecoveryReport) and message.is_voting == is_voting
        }

    def _try_bootstrap(self, offered_state: m.RegisterState) -> None:
        without_state = self._reports_from(False).items()
        same_offer = {
            v: r
            for v, r in without_state
            if isinstance(r.message, m.RecoveryReport) and r.message.offered_state == offered_state
        }
        seen = self.seen_incarnations()
        same_offer[self.own_index] = QuorumReply(
            self.incarnations[self.own_index],
            seen,
            m.RecoveryReport(self.nonce, False, seen, m.AcceptorState(), offered_state),
        )
        quorum = find_quorum(same_offer, (offered_state.voters,))
        if self.own_index in quorum:
            message = m.Bootstrapped(
                offered_state, tuple((v, self.incarnations[v]) for v in quorum)
            )
            self.outgoing += [
                (voter, message) for voter in offered_state.voters if voter != self.own_index
            ]
            self.on_bootstrapped(message)

    def on_bootstrap_offer(self, state: m.RegisterState) -> None:
        """Note a state that an operator offers.

        Ignored by an acceptor that is voting, and if it names other voters than those in force.
        """
        known = self.latest_decided
        if known and (known.grantors != known.voters or known.voters != state.voters):
            return
        if not self.is_voting and (
            self.offered_state is None or state.step >= self.offered_state.step
        ):
            self.offered_state = state

    def on_bootstrapped(self, message: m.Bootstrapped) -> None:
        """Start with a bootstrapped state, if this process was counted for it."""
        counted = (self.own_index, self.incarnations[self.own_index]) in message.incarnations
        if not self.is_voting and counted and self.offered_state == message.state:
            first = m.Ballot(message.state.step // m.STEPS_PER_EPOCH)
            self._start_voting(m.AcceptorState(first, first, message.state))

    def _start_voting(self, acceptor_state: m.AcceptorState) -> None:
        self.is_voting, self.reports = True, {}
        self._update_state(acceptor_state)

    def on_reported_epoch(self, now: float, voter: int, is_voting: bool, epoch: int) -> None:
        """Note the epoch of another voter.

        Drops the state of this one once a majority has a later epoch.
        """
        self.reported_epochs[voter] = epoch if is_voting else 0
        accepted = self.acceptor_state.accepted
        if not self.is_voting or accepted is None:
            return
        voters = accepted.voters
        if sum(self.reported_epochs.get(v, 0) > self.epoch for v in voters) >= majority_size(
            voters
        ):
            self.is_voting, self.acceptor_state, self.old_leases_expire_at = (
                False,
                m.AcceptorState(),
                now + self.granted_leases.max_lease_seconds,
            )
            self.num_state_losses += 1
            self.offered_state, self.nonce, self.recovery_retry_at = None, 0, now

    def is_state_lost(self) -> bool:
        """Return whether too many voters lost their state for this one to recover it."""
        without_state = {self.own_index, *self._reports_from(False)} & set(self.current_voters)
        return (
            not self.is_voting
            and self.own_index in without_state
            and len(without_state) > len(self.current_voters) - majority_size(self.current_voters)
        )

    def _send_when_persisted(self, to: int, message: m.Message) -> None:
        raise NotImplementedError

    def _update_state(self, acceptor_state: m.AcceptorState) -> None:
        raise NotImplementedError


def _acceptor_state_of(reply: QuorumReply) -> m.AcceptorState:
    assert isinstance(reply.message, m.RecoveryReport)
    return reply.message.acceptor_state


def _with_voters(acceptor_state: m.AcceptorState, voters: m.Voters) -> m.AcceptorState:
    """Add the voters of the operator's file to a record that names none.

    Records from releases before voters could change name none.
    """
    state = acceptor_state.accepted
    if state is None or state.voters:
        return acceptor_state
    replace = msgspec.structs.replace
    old, new = (replace(ref, voters=voters) if ref else None for ref in (state.old, state.new))
    return replace(acceptor_state, accepted=replace(state, old=old, new=new))
