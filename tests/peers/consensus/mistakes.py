"""Mistakes to plant: each disables one condition that the proof of correctness relies on."""

from __future__ import annotations

from collections.abc import Callable
from itertools import combinations
from typing import Any

import pytest

from ironrail.peers.consensus import acceptor_recovery, proposer
from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus.acceptor import Acceptor
from ironrail.peers.consensus.configuration import ConsensusConfig
from ironrail.peers.consensus.document_store import DocumentStore
from ironrail.peers.consensus.lease import LeaseHolder
from ironrail.peers.consensus.lease_table import LeaseTable
from ironrail.peers.consensus.proposal import TargetState
from ironrail.peers.consensus.proposer import Proposer
from ironrail.peers.consensus.quorum import majority_size

Patch = pytest.MonkeyPatch


def votes_without_recovery(patch: Patch) -> None:
    """A voter that lost its state takes over the first report that arrives."""
    original = Acceptor.on_recovery_report

    def on_recovery_report(self: Acceptor, sender: int, incarnation: int, message: m.RecoveryReport) -> None:
        if message.is_voting and not self.is_voting and message.nonce == self.nonce:
            self._start_voting(message.acceptor_state)
        original(self, sender, incarnation, message)

    patch.setattr(Acceptor, "on_recovery_report", on_recovery_report)


def accepts_replies_of_replaced_processes(patch: Patch) -> None:
    """Replies of processes that others know to be replaced count for a majority."""

    def find_quorum(replies: Any, sets: Any) -> list[int]:
        parts = [next(combinations(sorted(replies.keys() & set(s)), majority_size(s)), ()) for s in sets]
        return sorted({voter for part in parts for voter in part}) if all(parts) else []

    patch.setattr(acceptor_recovery, "find_quorum", find_quorum)
    patch.setattr(proposer, "find_quorum", find_quorum)


def keeps_lease_over_pause(patch: Patch) -> None:
    """The expiry of the lease is checked at the last renewal, not at each decision."""
    original = LeaseHolder.next_request

    def request(self: LeaseHolder, now: float, *rest: Any) -> m.LeaseRequest:
        self.checked_at = now  # type: ignore[attr-defined]
        return original(self, now, *rest)

    def valid_state(self: LeaseHolder, now: float) -> m.RegisterState | None:
        checked_at = getattr(self, "checked_at", now)
        return self.current if self.current and checked_at < self.expiry(self.current.scope) else None

    patch.setattr(LeaseHolder, "next_request", request)
    patch.setattr(LeaseHolder, "valid_state", valid_state)


def counts_lease_from_reply(patch: Patch) -> None:
    """A lease lasts from when the reply arrived rather than from when it was requested."""
    original = LeaseHolder.on_granted

    def on_granted(
        self: LeaseHolder, now: float, voter: int, sequence: int, delegated_seconds: float = 0.0
    ) -> bool:
        if sequence in self._requests:
            self._requests[sequence] = (now, self._requests[sequence][1])
        return original(self, now, voter, sequence, delegated_seconds)

    patch.setattr(LeaseHolder, "on_granted", on_granted)


def keeps_grants_of_dropped_scopes(patch: Patch) -> None:
    """A grant of a scope that was given up counts when the scope is requested again."""
    patch.setattr(LeaseHolder, "_drop_other_scopes", lambda self, scopes: None)


def moves_without_grant(patch: Patch) -> None:
    """A router moves to the next state as soon as it learns of it."""
    original = LeaseHolder.move_towards

    def move_towards(self: LeaseHolder, state: m.RegisterState, now: float) -> None:
        original(self, state, now)
        if self.current and self.target:
            self.current, self.target = self.target, None
            for sequence, (at, scopes) in self._requests.items():
                self._requests[sequence] = (at, (*scopes, state.scope))

    patch.setattr(LeaseHolder, "move_towards", move_towards)


def uses_new_policy_in_joint_state(patch: Patch) -> None:
    """In the joint state a router obeys only the new policy."""
    patch.setattr(DocumentStore, "effective", lambda self, state: self._documents[state.refs()[-1].digest])


def sends_before_record_is_written(patch: Patch) -> None:
    """An acceptor replies while its record is still being written."""
    patch.setattr(
        Acceptor, "_send_when_persisted", lambda self, to, message: self.outgoing.append((to, message))
    )


def drops_lease_of_replaced_process(patch: Patch) -> None:
    """The lease of a new process replaces that of the former one, which was only paused."""
    original = LeaseTable.request

    def request(self: LeaseTable, now: float, process: tuple[int, int], *rest: Any) -> bool | None:
        for router, incarnation in [
            other for other in self.entries if other[0] == process[0] and other != process
        ]:
            del self.entries[router, incarnation]
        return original(self, now, process, *rest)

    patch.setattr(LeaseTable, "request", request)


def ignores_conflicting_leases(patch: Patch) -> None:
    """The next state begins without waiting for leases that conflict with it."""
    patch.setattr(LeaseTable, "conflicting_holders", lambda self, now, scope: [])


def forgets_leases_on_restart(patch: Patch) -> None:
    """A restarted voter does not wait for the expiry of leases that it granted before."""
    original = Acceptor.__init__

    def init(self: Acceptor, *args: Any) -> None:
        original(self, *args)
        self.old_leases_expire_at = -1e9

    patch.setattr(Acceptor, "__init__", init)


def skips_joint_state(patch: Patch) -> None:
    """A proposal goes from the old policy to the new one without the joint state."""
    original = Proposer._next_state

    def next_state(
        self: Proposer, proposal: Any, state: m.RegisterState, promises: Any
    ) -> m.RegisterState | None:
        value = original(self, proposal, state, promises)
        if value and proposal.target is TargetState.JOINT and value.new:
            return m.RegisterState(value.step, value.new, None, value.max_tried_version, value.proposer)
        return value

    patch.setattr(Proposer, "_next_state", next_state)


def reuses_ballots(patch: Patch) -> None:
    """A restarted process uses the ballots of the former one."""
    original = Proposer.__init__

    def init(self: Proposer, own_index: int, incarnation: int, *rest: Any) -> None:
        original(self, own_index, 0, *rest)

    patch.setattr(Proposer, "__init__", init)


def completes_abandoned_change(patch: Patch) -> None:
    """A router that finds an abandoned joint state completes it."""
    original = Proposer._next_state

    def next_state(
        self: Proposer, proposal: Any, state: m.RegisterState, promises: Any
    ) -> m.RegisterState | None:
        value = original(self, proposal, state, promises)
        if (
            value
            and proposal.target is TargetState.OLD
            and state.new
            and state.proposer != (self.own_index, self.incarnation)
        ):
            return (
                state.successor(state.new)
                if not any(promise.blocking_routers for promise in promises)
                else None
            )
        return value

    patch.setattr(Proposer, "_next_state", next_state)


def head_forgets_members(patch: Patch) -> None:
    """A head requests only the scopes that it decides by itself."""
    patch.setattr(LeaseTable, "live_scoped_steps", lambda self, now: [])


def head_grants_full_lease(patch: Patch) -> None:
    """A head grants its members a lease of full length, whatever is left of its own."""
    original = LeaseHolder.on_granted

    def on_granted(
        self: LeaseHolder, now: float, voter: int, sequence: int, delegated_seconds: float = 0.0
    ) -> bool:
        return original(self, now, voter, sequence, self.lease_seconds if delegated_seconds else 0.0)

    patch.setattr(LeaseHolder, "on_granted", on_granted)


def ignores_clock_drift(patch: Patch) -> None:
    """A voter waits for the nominal duration of a lease by its own clock."""
    patch.setattr(ConsensusConfig, "max_lease_seconds", property(lambda self: self.lease_seconds))


def forgets_promise_on_accept(patch: Patch) -> None:
    """A voter forgets its promise when it accepts."""
    original = Acceptor._update_state

    def update_state(self: Acceptor, acceptor_state: m.AcceptorState) -> None:
        if acceptor_state.accepted_ballot == self.acceptor_state.accepted_ballot:  # only a promise
            acceptor_state = m.AcceptorState(
                self.acceptor_state.promised, acceptor_state.accepted_ballot, acceptor_state.accepted
            )
        original(self, acceptor_state)

    patch.setattr(Acceptor, "_update_state", update_state)


ALL: list[Callable[[Patch], None]] = [
    votes_without_recovery,
    accepts_replies_of_replaced_processes,
    keeps_lease_over_pause,
    counts_lease_from_reply,
    keeps_grants_of_dropped_scopes,
    moves_without_grant,
    uses_new_policy_in_joint_state,
    sends_before_record_is_written,
    drops_lease_of_replaced_process,
    ignores_conflicting_leases,
    forgets_leases_on_restart,
    skips_joint_state,
    reuses_ballots,
    completes_abandoned_change,
    ignores_clock_drift,
    forgets_promise_on_accept,
    head_forgets_members,
    head_grants_full_lease,
]
