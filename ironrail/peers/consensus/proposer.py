"""Proposer: attempts to write the register until a change is in force or withdrawn. Pure.

Only the process that began a change ever carries it forward; any other one that finds it abandoned
withdraws it. So if a handle ends before the final step was sent, the change certainly does not
take effect.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from ironrail.errors import IronrailError
from ironrail.peers.consensus import errors
from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus.proposal import Proposal, TargetState
from ironrail.peers.consensus.quorum import QuorumReply, find_quorum

# An attempt is repeated after this time and a random delay of up to as long, so that two
# proposers do not keep colliding.
ATTEMPT_TIMEOUT_SECONDS = 0.4
# A handle whose final step was sent waits this many deadlines to learn the outcome.
OUTCOME_WAIT_FACTOR = 2.0


def _is_blocked(reply: QuorumReply) -> bool:
    return isinstance(reply.message, m.Promise) and bool(reply.message.blocking_routers)


class Proposer:
    """Runs one proposal at a time."""

    def __init__(
        self, own_index: int, incarnation: int, voters: tuple[int, ...], draw: Callable[[], float]
    ) -> None:
        """Create an idle proposer.

        Args:
            own_index: Number of this router.
            incarnation: Incarnation of this process.
            voters: The voters in the operator's file.
            draw: Returns a random number from 0 to 1.
        """
        self.own_index, self.incarnation, self.voters, self._draw = (
            own_index,
            incarnation,
            voters,
            draw,
        )
        self.epoch = self._ballot_number = 0
        # the latest that this router knows to be decided
        self.latest_decided: m.RegisterState | None = None
        self.proposal: Proposal | None = None
        self.outgoing: m.OutgoingMessages = []
        # by this proposer; the node takes them from here
        self.newly_decided: list[m.RegisterState] = []

    def begin(self, now: float, proposal: Proposal) -> None:
        """Start a proposal, in place of one that is under way."""
        self.proposal, proposal.began_at = proposal, now
        self._send_prepare(now)

    def _send_prepare(self, now: float) -> None:
        proposal = self.proposal
        if proposal:
            self._ballot_number += 1
            proposal.ballot = m.Ballot(
                self.epoch, self._ballot_number, self.own_index, self.incarnation
            )
            proposal.value, proposal.replies = None, {}
            proposal.retry_at = now + ATTEMPT_TIMEOUT_SECONDS * (1 + self._draw())
            known = self.latest_decided.all_voters if self.latest_decided else self.voters
            proposal.asked_voters = tuple(
                dict.fromkeys((*known, *proposal.new_voters, *proposal.discovered_voters))
            )
            self.outgoing += [
                (voter, m.Prepare(proposal.ballot, proposal.asked_voters))
                for voter in proposal.asked_voters
            ]

    def on_ballot_rejected(self, now: float, promised: m.Ballot) -> None:
        """Handle a higher ballot.

        The first one may be long past, so the attempt is repeated at once. Later ones mean that
        another proposer is faster.
        """
        self.epoch = max(self.epoch, promised.epoch) if self.latest_decided is None else self.epoch
        if promised.epoch == self.epoch:
            self._ballot_number = max(self._ballot_number, promised.number)
        if self.proposal and self.proposal.may_restart_at_once:
            self.proposal.may_restart_at_once = False
            self._send_prepare(now)

    def on_promise(self, now: float, voter: int, incarnation: int, message: m.Promise) -> None:
        """Handle a voter's promise; with a majority of promises a state is chosen and sent."""
        proposal = self.proposal
        if (
            not proposal
            or proposal.value
            or message.ballot != proposal.ballot
            or voter not in proposal.asked_voters
        ):
            return
        proposal.replies[voter] = QuorumReply(incarnation, message.seen_incarnations, message)
        promises = [
            r.message for r in proposal.replies.values() if isinstance(r.message, m.Promise)
        ]
        latest = max((p.acceptor_state for p in promises), key=lambda v: v.accepted_ballot).accepted
        sets = self._required_voter_sets(proposal, latest)
        if more_voters := tuple({v for s in sets for v in s if v not in proposal.asked_voters}):
            proposal.discovered_voters, proposal.retry_at = (
                proposal.discovered_voters + more_voters,
                now,
            )
            return
        # Any majorities without conflicting leases will do: each lease needs one of each set that
        # grants it.
        unblocked = {v: r for v, r in proposal.replies.items() if not _is_blocked(r)}
        quorum = find_quorum(unblocked, sets) or find_quorum(proposal.replies, sets)
        if not quorum:
            return
        proposal.rejection = next(
            (promise.rejection for promise in promises if promise.rejection), None
        )
        decided = max((p.decided_step for p in promises), default=0)
        if self.latest_decided:
            decided = max(decided, self.latest_decided.step)
        if latest is None or latest.step < decided:
            return  # a voter contradicts its own report; cannot happen, and nothing is built on it
        if latest.step > decided:
            self._send_accept(proposal, latest, is_target=False)
            return
        quorum_promises = [
            p for v in quorum if isinstance(p := proposal.replies[v].message, m.Promise)
        ]
        value = self._next_state(proposal, latest, quorum_promises)
        if value and self.proposal is proposal:
            proposal.final_step_sent |= proposal.target is TargetState.NEW
            self._send_accept(proposal, value, is_target=True)

    def _required_voter_sets(
        self, proposal: Proposal, latest: m.RegisterState | None
    ) -> list[m.Voters]:
        """Return the sets that each have to promise by a majority.

        With them no decision goes unseen.
        """
        sets = [self.latest_decided.voters] if self.latest_decided else []
        if latest and not (self.latest_decided and latest.step <= self.latest_decided.step):
            sets += latest.required_voter_sets
        # the new voters have to be reachable, or no step is begun that needs them
        if proposal.target is TargetState.JOINT:
            sets += [proposal.new_voters] if proposal.new_voters else []
        elif proposal.target is TargetState.NEW and latest and latest.new:
            sets.append(latest.new.voters)
        return sets

    def _send_accept(self, proposal: Proposal, value: m.RegisterState, is_target: bool) -> None:
        proposal.value, proposal.value_is_target, proposal.replies = value, is_target, {}
        self.outgoing += [(voter, m.Accept(proposal.ballot, value)) for voter in value.all_voters]

    def _next_state(
        self, proposal: Proposal, state: m.RegisterState, promises: list[m.Promise]
    ) -> m.RegisterState | None:
        """Return the state to follow a decided one, or None.

        Ends the proposal if no further step is its own to take.
        """
        ref = proposal.ref
        is_own = (
            ref is not None
            and ref.is_same_document(state.new)
            and state.proposer == (self.own_index, self.incarnation)
        )
        match proposal.target:
            case TargetState.JOINT if (
                ref and state.new is None and ref.version > state.max_tried_version
            ):
                new = m.PolicyRef(ref.version, ref.digest, proposal.new_voters or state.voters)
                return state.successor(state.old, new, (self.own_index, self.incarnation))
            case TargetState.JOINT | TargetState.NEW if ref and ref.is_same_document(state.old):
                # another router may have finished the final step, and begun a change from there
                self._finish()
            case TargetState.JOINT if is_own:
                proposal.target = TargetState.NEW
                return self._next_state(proposal, state, promises)
            case TargetState.JOINT if state.new:
                self._finish(
                    errors.BusyError(f"version {state.new.version} is under way", "policy")
                )
            case TargetState.JOINT:
                self._finish(
                    errors.VersionError(
                        f"version {state.max_tried_version} was proposed already", "policy"
                    )
                )
            case TargetState.NEW if is_own and ref:
                proposal.unacknowledged = tuple(
                    sorted({router for p in promises for router in p.blocking_routers})
                )
                if proposal.rejection:
                    router, _, reason = proposal.rejection
                    self._withdraw(errors.RefusedByError(reason, f"router {router}"))
                elif not proposal.unacknowledged:
                    return state.successor(state.new or ref)
            case TargetState.NEW if (
                ref and proposal.final_step_sent and state.old.version > ref.version
            ):
                self._finish(
                    errors.OpenError("the last step was sent, its outcome is unknown", "policy")
                )
            case TargetState.NEW:
                self._finish(errors.WithdrawnError("was withdrawn", "policy"))
            case TargetState.OLD if state.new:
                return state.successor(state.old)
            case _:
                self._finish(
                    None if ref and ref.is_same_document(state.old) else proposal.withdrawal_cause
                )
        return None

    def on_accepted(self, now: float, voter: int, incarnation: int, message: m.Accepted) -> None:
        """Handle an accept; with a majority of them the state is decided."""
        proposal = self.proposal
        if not proposal or not proposal.value or message.ballot != proposal.ballot:
            return
        proposal.replies[voter] = QuorumReply(incarnation, message.seen_incarnations, message)
        if not find_quorum(proposal.replies, proposal.value.required_voter_sets):
            return
        state, is_target = proposal.value, proposal.value_is_target
        self.newly_decided.append(state)
        self.outgoing += [(v, m.Decided(state)) for v in proposal.asked_voters]
        proposal.value, proposal.ballot = None, m.Ballot()  # ignores late accepts
        if not is_target:
            proposal.retry_at = now
        elif proposal.target is TargetState.JOINT:
            # voters reply once no lease conflicts any more
            proposal.target, proposal.retry_at = TargetState.NEW, now
        else:
            self._finish(proposal.withdrawal_cause)

    def _finish(self, error: IronrailError | None = None) -> None:
        """End the proposal, and its handle if that has not ended yet."""
        handle = self.proposal.handle if self.proposal else None
        if handle and handle.is_open:
            handle.error, handle.in_force = error, error is None
        self.proposal = None

    def _withdraw(self, error: IronrailError) -> None:
        """Withdraw the change: the register goes back to the old state.

        Ends the handle if the final step was not sent yet.
        """
        proposal = self.proposal
        if proposal:
            if proposal.handle and proposal.handle.is_open and not proposal.final_step_sent:
                proposal.handle.error = error
            proposal.target, proposal.value, proposal.ballot = TargetState.OLD, None, m.Ballot()
            proposal.withdrawal_cause = error

    def on_timer(self, now: float) -> None:
        """Repeat attempts that were not answered, and give up at the deadline."""
        proposal = self.proposal
        if not proposal:
            return
        if now >= proposal.deadline and proposal.handle and proposal.handle.is_open:
            error = self._deadline_error(proposal)
            if not proposal.final_step_sent:
                self._withdraw(error)
                proposal.retry_at = now
            elif now >= proposal.began_at + OUTCOME_WAIT_FACTOR * (
                proposal.deadline - proposal.began_at
            ):
                proposal.handle.error = errors.OpenError(
                    "the last step was sent, its outcome is unknown", "policy"
                )
        if now >= proposal.retry_at:
            self._send_prepare(now)

    def _deadline_error(self, proposal: Proposal) -> errors.NoMajorityError:
        if proposal.unacknowledged:
            return errors.NoMajorityError(
                "didn't acknowledge in time", f"routers {proposal.unacknowledged}"
            )
        return errors.NoMajorityError("no majority answered in time", "voters")

    def next_timer_at(self) -> float:
        """Return when `on_timer` is due."""
        proposal = self.proposal
        if not proposal:
            return math.inf
        is_handle_open = proposal.handle is not None and proposal.handle.is_open
        expires_at = (
            proposal.began_at + OUTCOME_WAIT_FACTOR * (proposal.deadline - proposal.began_at)
            if proposal.final_step_sent
            else proposal.deadline
        )
        return min(proposal.retry_at, expires_at if is_handle_open else math.inf)
