"""Mistakes to be planted: each turns one line of the argument off."""

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


def votes_after_amnesia(patch: Patch) -> None:
    """It takes the first word about where things stand."""
    before = Acceptor.report

    def report(self: Acceptor, sender: int, start: int, message: m.RecoveryReport) -> None:
        if message.standing and not self.standing and message.nonce == self.nonce:
            self._stand(message.vouched)
        before(self, sender, start, message)

    patch.setattr(Acceptor, "report", report)


def believes_replaced(patch: Patch) -> None:
    """Replies of processes that others know to be replaced make a majority."""

    def sound(replies: Any, sets: Any) -> list[int]:
        parts = [next(combinations(sorted(replies.keys() & set(s)), majority_size(s)), ()) for s in sets]
        return sorted({voter for part in parts for voter in part}) if all(parts) else []

    patch.setattr(acceptor_recovery, "find_quorum", sound)
    patch.setattr(proposer, "find_quorum", sound)


def lease_kept_over_pause(patch: Patch) -> None:
    """The end of the lease is looked at when woken, not when deciding."""
    before = LeaseHolder.next_request

    def ask(self: LeaseHolder, now: float, *rest: Any) -> m.LeaseRequest:
        self.looked = now  # type: ignore[attr-defined]
        return before(self, now, *rest)

    def decides(self: LeaseHolder, now: float) -> m.RegisterState | None:
        looked = getattr(self, "looked", now)
        return self.current if self.current and looked < self.expiry(self.current.scope) else None

    patch.setattr(LeaseHolder, "next_request", ask)
    patch.setattr(LeaseHolder, "valid_state", decides)


def lease_from_answer(patch: Patch) -> None:
    """A lease lasts from when the answer came."""
    before = LeaseHolder.on_granted

    def granted(self: LeaseHolder, now: float, voter: int, sequence: int, lasts: float = 0.0) -> bool:
        if sequence in self._asked:
            self._asked[sequence] = (now, self._asked[sequence][1])
        return before(self, now, voter, sequence, lasts)

    patch.setattr(LeaseHolder, "on_granted", granted)


def old_grants_kept(patch: Patch) -> None:
    """A grant of what was given up meanwhile counts when it is asked for again."""
    patch.setattr(LeaseHolder, "_keep_only", lambda self, scopes: None)


def moves_without_grant(patch: Patch) -> None:
    """A router goes on to the next state as soon as it hears of it."""
    before = LeaseHolder.move_towards

    def aim(self: LeaseHolder, state: m.RegisterState, now: float) -> None:
        before(self, state, now)
        if self.current and self.target:
            self.current, self.target = self.target, None
            for sequence, (at, scopes) in self._asked.items():
                self._asked[sequence] = (at, (*scopes, state.scope))

    patch.setattr(LeaseHolder, "move_towards", aim)


def no_meet(patch: Patch) -> None:
    """In the joint state it goes by the new policy alone."""
    patch.setattr(DocumentStore, "effective", lambda self, state: self._documents[state.refs()[-1].digest])


def told_before_kept(patch: Patch) -> None:
    """A vote is told while its record is still being written."""
    patch.setattr(Acceptor, "_tell", lambda self, to, message: self.out.append((to, message)))


def old_life_replaced(patch: Patch) -> None:
    """A new process's word stands for the old one's, which was only stopped."""
    before = LeaseTable.request

    def ask(self: LeaseTable, now: float, life: tuple[int, int], *rest: Any) -> bool | None:
        for router, start in [other for other in self.entries if other[0] == life[0] and other != life]:
            del self.entries[router, start]
        return before(self, now, life, *rest)

    patch.setattr(LeaseTable, "request", ask)


def no_acknowledgements(patch: Patch) -> None:
    """The next state begins without waiting for acknowledgements and leases."""
    patch.setattr(LeaseTable, "holders_against", lambda self, now, scope: [])


def forgets_leases(patch: Patch) -> None:
    """A voter that started anew doesn't wait for leases that it granted before."""
    before = Acceptor.__init__

    def begin(self: Acceptor, *given: Any) -> None:
        before(self, *given)
        self.quiet_until = -1e9

    patch.setattr(Acceptor, "__init__", begin)


def skips_joint(patch: Patch) -> None:
    """A proposal goes from the old policy to the new one at once."""
    before = Proposer._next

    def following(self: Proposer, change: Any, state: m.RegisterState, told: Any) -> m.RegisterState | None:
        value = before(self, change, state, told)
        if value and change.target is TargetState.JOINT and value.new:
            return m.RegisterState(value.step, value.new, None, value.tried, value.by)
        return value

    patch.setattr(Proposer, "_next", following)


def ballot_again(patch: Patch) -> None:
    """A process that starts anew uses the ballots of the one before."""
    before = Proposer.__init__

    def begin(self: Proposer, me: int, start: int, *rest: Any) -> None:
        before(self, me, 0, *rest)

    patch.setattr(Proposer, "__init__", begin)


def others_go_forward(patch: Patch) -> None:
    """Whoever finds a joint state left behind completes it."""
    before = Proposer._next

    def following(self: Proposer, change: Any, state: m.RegisterState, told: Any) -> m.RegisterState | None:
        value = before(self, change, state, told)
        if value and change.target is TargetState.OLD and state.new and state.by != (self.me, self.start):
            return state.next(state.new) if not any(promise.held for promise in told) else None
        return value

    patch.setattr(Proposer, "_next", following)


def head_forgets_members(patch: Patch) -> None:
    """A router that answers for others asks for what it decides by itself."""
    patch.setattr(LeaseTable, "live_scoped_steps", lambda self, now: [])


def head_lends_whole_lease(patch: Patch) -> None:
    """It grants them a lease of full length, whatever is left of its own."""
    before = LeaseHolder.on_granted

    def granted(self: LeaseHolder, now: float, voter: int, sequence: int, lasts: float = 0.0) -> bool:
        return before(self, now, voter, sequence, self.lease if lasts else 0.0)

    patch.setattr(LeaseHolder, "on_granted", granted)


def wait_without_drift(patch: Patch) -> None:
    """A voter waits for a lease's length by its own clock."""
    patch.setattr(ConsensusConfig, "max_lease_seconds", property(lambda self: self.lease_seconds))


def lower_ballot(patch: Patch) -> None:
    """A voter forgets its promise when it accepts."""
    before = Acceptor._change

    def change(self: Acceptor, vouched: m.AcceptorState) -> None:
        if vouched.ballot == self.vouched.ballot:  # a promise only
            vouched = m.AcceptorState(self.vouched.promised, vouched.ballot, vouched.accepted)
        before(self, vouched)

    patch.setattr(Acceptor, "_change", change)


ALL: list[Callable[[Patch], None]] = [
    votes_after_amnesia, believes_replaced, lease_kept_over_pause, lease_from_answer, old_grants_kept,
    moves_without_grant, no_meet, told_before_kept, old_life_replaced, no_acknowledgements, forgets_leases,
    skips_joint, ballot_again, others_go_forward, wait_without_drift, lower_ballot,
    head_forgets_members, head_lends_whole_lease,
]  # fmt: skip
