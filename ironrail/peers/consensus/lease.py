"""The stages of a change, old -> joint -> new, and the lease that a router decides by. Pure.

Two scopes (the versions somebody obeys) go together if one holds all of the other. A router decides only
while a majority of voters has granted its scope, to itself or to a router that answers for it, and those
grants last by its own clock. `grants.py` has the other side, `docs/peers/accord.md` the proof.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from ironrail.peers.consensus.messages import EPOCH, LeaseRequest, RegisterState, Scope, ScopedStep, Voters
from ironrail.peers.consensus.quorum import majority_size

MOST_ASKED = 32  # asks whose answers may still come; at one a second they outlast any lease
MOST_VERSIONS = 8  # whose voters are remembered: two states have four at most, others may lag behind
MOST_SCOPES = 2  # that may be asked for at once: two states that follow each other


def are_disjoint(one: Scope, other: Scope) -> bool:
    """Whether two that obey these could decide without a common version."""
    return not (set(one) <= set(other) or set(other) <= set(one))


def scoped_step_of(state: RegisterState) -> ScopedStep:
    """The state as lease tables know it."""
    return ScopedStep(state.step, state.scope)


class LeaseHolder:
    """Which state a router decides in, and until when."""

    def __init__(self, lease: float) -> None:
        """`lease`: seconds by the own clock, from when it was asked for."""
        self.lease = lease
        self.voters: dict[int, Voters] = {}  # version with the epoch -> who grants leases for it
        self.current: RegisterState | None = None  # it decides in this state while the lease lasts
        self.target: RegisterState | None = None  # it will, once a majority has granted it
        self.sequence = 0
        self._asked: dict[int, tuple[float, tuple[Scope, ...]]] = {}  # sequence -> when, for what
        self._granted: dict[int, int] = {}  # voter -> sequence of its latest grant
        self.delegated: dict[int, tuple[int, float]] = {}  # head -> the same, and for how long it grants

    def own_expiry(self, scope: Scope) -> float:
        """Until when a majority of each version's voters keeps others from what is apart from this scope."""
        return min(
            (self._end_by(self.voters.get(version, ()), scope) for version in scope), default=-math.inf
        )

    def _end_by(self, voters: Voters, scope: Scope) -> float:
        grants = [self._asked.get(self._granted.get(voter, 0), (0.0, ())) for voter in voters]
        times = sorted((at for at, scopes in grants if scope in scopes), reverse=True)
        need = majority_size(voters)
        return times[need - 1] + self.lease if len(times) >= need else -math.inf

    def on_decided(self, state: RegisterState) -> None:
        """A state that is decided: who grants leases in it."""
        for ref in state.refs():
            version = state.step // EPOCH * EPOCH + ref.version
            self.voters.pop(version, None)
            self.voters[version] = ref.voters
        for version in list(self.voters)[:-MOST_VERSIONS]:
            del self.voters[version]

    def expiry(self, scope: Scope) -> float:
        """The same, or until when another router's lease, which answers for this one, does."""
        last = self.own_expiry(scope)
        for sequence, lasts in self.delegated.values():
            at, scopes = self._asked.get(sequence, (0.0, ()))
            if scope in scopes:
                last = max(last, at + lasts)
        return last

    def valid_state(self, now: float) -> RegisterState | None:
        """The state it may decide in at this time: asked anew for each decision, as a process may pause."""
        return self.current if self.current and now < self.expiry(self.current.scope) else None

    def move_towards(self, state: RegisterState, now: float) -> None:
        """A decided state whose documents are here and can be worked by; older ones change nothing."""
        if state.step <= max((s.step for s in (self.current, self.target) if s), default=-1):
            return
        if self.current and self.current.scope == state.scope:  # a change that was taken back
            self.current, self.target = state, None
            return
        if not self.current or state.step != self.current.step + 1 or self.valid_state(now) is None:
            self.current = None  # some were missed: what was known before isn't decided by any more
        self.target = state

    def next_request(
        self, now: float, known: RegisterState | None, others: Iterable[ScopedStep] = ()
    ) -> LeaseRequest:
        """The wish for the next lease; what isn't in it is given up, for voters forget it.

        `others`: what those decide by whom this router answers for: they go first.
        """
        if self.current and self.target and self.valid_state(now) is None:
            self.current = None
        wishes: dict[Scope, int] = {}
        for wish in (*others, *(scoped_step_of(state) for state in (self.current, self.target) if state)):
            if wish.scope in wishes or len(wishes) < MOST_SCOPES:
                wishes[wish.scope] = max(wish.step, wishes.get(wish.scope, 0))
        if known and known.scope in wishes:
            wishes[known.scope] = known.step  # a state that came again by a change taken back
        self._keep_only(tuple(wishes))
        self.sequence += 1
        self._asked[self.sequence] = (now, tuple(wishes))
        self._asked.pop(self.sequence - MOST_ASKED, None)
        notes = sorted(
            (ScopedStep(step, scope) for scope, step in wishes.items()), key=lambda wish: wish.step
        )
        low, high = (*notes, None, None)[:2]
        return LeaseRequest(self.sequence, low, high, known.step if known else 0)

    def is_renewed(self, sets: Iterable[Voters]) -> bool:
        """What was asked for last is granted, by a majority of each set or by one who answers for it."""
        if any(sequence == self.sequence for sequence, _ in self.delegated.values()):
            return True
        by = {voter for voter, sequence in self._granted.items() if sequence == self.sequence}
        return all(len(by & set(voters)) >= majority_size(voters) for voters in sets)

    def _keep_only(self, scopes: tuple[Scope, ...]) -> None:
        """A voter's entry holds only what was last asked: an older grant of the rest is worth nothing."""
        for sequence, (at, held) in self._asked.items():
            self._asked[sequence] = (at, tuple(s for s in held if s in scopes))

    def on_granted(self, now: float, by: int, sequence: int, lasts: float = 0.0) -> bool:
        """What was asked for is granted; whether this moves the router to its next state.

        `lasts`: seconds, where a router grants it that answers for this one; a voter's lasts a lease.
        """
        before = self.delegated.get(by, (0, 0.0))[0] if lasts else self._granted.get(by, 0)
        if sequence not in self._asked or sequence < before:
            return False
        if lasts:
            self.delegated[by] = (sequence, lasts)
        else:
            self._granted[by] = sequence
        if not self.target or now >= self.expiry(self.target.scope):
            return False
        self.current, self.target = self.target, None
        return True
