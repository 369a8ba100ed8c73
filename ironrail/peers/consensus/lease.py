"""The stages of a change (old -> joint -> new) and the lease that a router decides under. Pure.

A scope is the set of versions that a router obeys. Two scopes are compatible if one contains the
other. A router decides only while a majority of the voters has granted its scope, to itself or to
the head that asks on its behalf; grants expire by the router's own clock. `lease_table.py` is the
granting side; `docs/peers/accord.md` has the proof.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from ironrail.peers.consensus.messages import (
    STEPS_PER_EPOCH,
    LeaseRequest,
    RegisterState,
    Scope,
    ScopedStep,
    Voters,
)
from ironrail.peers.consensus.quorum import majority_size

# requests whose replies may still arrive; at one a second they outlast any lease
MAX_PENDING_REQUESTS = 32
# versions whose voters are remembered: two states have up to four, other routers may lag behind
MAX_REMEMBERED_VERSIONS = 8
MAX_SCOPES_PER_REQUEST = 2  # requested at once: two consecutive states


def are_incompatible(one: Scope, other: Scope) -> bool:
    """Return whether routers that obey these scopes could decide by conflicting versions."""
    return not (set(one) <= set(other) or set(other) <= set(one))


def scoped_step_of(state: RegisterState) -> ScopedStep:
    """Return the state as lease tables store it."""
    return ScopedStep(state.step, state.scope)


class LeaseHolder:
    """Which state this router decides in, and until when."""

    def __init__(self, lease_seconds: float) -> None:
        """Create a holder without a lease.

        Args:
            lease_seconds: Duration of a lease on this router's clock, from when it was requested.
        """
        self.lease_seconds = lease_seconds
        # version with its epoch -> voters that grant leases for it
        self.voters_by_version: dict[int, Voters] = {}
        # this router decides in it while the lease lasts
        self.current: RegisterState | None = None
        # becomes `current` once a majority has granted it
        self.target: RegisterState | None = None
        self.sequence = 0
        # sequence -> time and scopes of the request
        self._requests: dict[int, tuple[float, tuple[Scope, ...]]] = {}
        self._granted_sequences: dict[int, int] = {}  # voter -> sequence of its latest grant
        # head -> sequence of its latest grant, and how many seconds that lasts
        self.delegated_grants: dict[int, tuple[int, float]] = {}

    def own_expiry(self, scope: Scope) -> float:
        """Return until when a majority of each version's voters grants nothing incompatible."""
        return min(
            (
                self._majority_expiry(self.voters_by_version.get(version, ()), scope)
                for version in scope
            ),
            default=-math.inf,
        )

    def _majority_expiry(self, voters: Voters, scope: Scope) -> float:
        granted_requests = [
            self._requests.get(self._granted_sequences.get(voter, 0), (0.0, ())) for voter in voters
        ]
        request_times = sorted(
            (requested_at for requested_at, scopes in granted_requests if scope in scopes),
            reverse=True,
        )
        quorum_size = majority_size(voters)
        return (
            request_times[quorum_size - 1] + self.lease_seconds
            if len(request_times) >= quorum_size
            else -math.inf
        )

    def on_decided(self, state: RegisterState) -> None:
        """Note which voters grant leases in a decided state."""
        for ref in state.refs():
            version = state.step // STEPS_PER_EPOCH * STEPS_PER_EPOCH + ref.version
            self.voters_by_version.pop(version, None)
            self.voters_by_version[version] = ref.voters
        for version in list(self.voters_by_version)[:-MAX_REMEMBERED_VERSIONS]:
            del self.voters_by_version[version]

    def expiry(self, scope: Scope) -> float:
        """Return `own_expiry`, or the end of the lease granted by a head if that is later."""
        latest_expiry = self.own_expiry(scope)
        for sequence, delegated_seconds in self.delegated_grants.values():
            requested_at, scopes = self._requests.get(sequence, (0.0, ()))
            if scope in scopes:
                latest_expiry = max(latest_expiry, requested_at + delegated_seconds)
        return latest_expiry

    def valid_state(self, now: float) -> RegisterState | None:
        """Return the state to decide in at this time, or None without a lease.

        Has to be called for each decision, as the process may have been paused.
        """
        return self.current if self.current and now < self.expiry(self.current.scope) else None

    def move_towards(self, state: RegisterState, now: float) -> None:
        """Make a decided state the target, once its documents are stored and valid.

        States older than the present ones are ignored.
        """
        if state.step <= max((s.step for s in (self.current, self.target) if s), default=-1):
            return
        if self.current and self.current.scope == state.scope:  # the change was withdrawn
            self.current, self.target = state, None
            return
        if not self.current or state.step != self.current.step + 1 or self.valid_state(now) is None:
            self.current = None  # states were skipped: the former one is not decided in any more
        self.target = state

    def next_request(
        self, now: float, latest_decided: RegisterState | None, others: Iterable[ScopedStep] = ()
    ) -> LeaseRequest:
        """Return the request for the next lease.

        Scopes that it does not include are given up, as voters forget them.

        Args:
            now: Time on this router's clock.
            latest_decided: The latest state known to be decided.
            others: Scopes of the members that this router asks for; they come first.
        """
        if self.current and self.target and self.valid_state(now) is None:
            self.current = None
        step_by_scope: dict[Scope, int] = {}
        for scoped_step in (
            *others,
            *(scoped_step_of(state) for state in (self.current, self.target) if state),
        ):
            if scoped_step.scope in step_by_scope or len(step_by_scope) < MAX_SCOPES_PER_REQUEST:
                step_by_scope[scoped_step.scope] = max(
                    scoped_step.step, step_by_scope.get(scoped_step.scope, 0)
                )
        if latest_decided and latest_decided.scope in step_by_scope:
            # the same scope is in force again, by a change that was withdrawn
            step_by_scope[latest_decided.scope] = latest_decided.step
        self._drop_other_scopes(tuple(step_by_scope))
        self.sequence += 1
        self._requests[self.sequence] = (now, tuple(step_by_scope))
        self._requests.pop(self.sequence - MAX_PENDING_REQUESTS, None)
        scoped_steps = sorted(
            (ScopedStep(step, scope) for scope, step in step_by_scope.items()),
            key=lambda scoped_step: scoped_step.step,
        )
        low, high = (*scoped_steps, None, None)[:2]
        return LeaseRequest(self.sequence, low, high, latest_decided.step if latest_decided else 0)

    def is_renewed(self, sets: Iterable[Voters]) -> bool:
        """Return whether a majority of each set, or a head, granted the latest request."""
        if any(sequence == self.sequence for sequence, _ in self.delegated_grants.values()):
            return True
        grantors = {
            voter
            for voter, sequence in self._granted_sequences.items()
            if sequence == self.sequence
        }
        return all(len(grantors & set(voters)) >= majority_size(voters) for voters in sets)

    def _drop_other_scopes(self, scopes: tuple[Scope, ...]) -> None:
        """Drop all other scopes from earlier requests.

        A voter's entry holds only the latest request, so earlier grants of other scopes are void.
        """
        for sequence, (requested_at, held_scopes) in self._requests.items():
            self._requests[sequence] = (requested_at, tuple(s for s in held_scopes if s in scopes))

    def on_granted(
        self, now: float, grantor: int, sequence: int, delegated_seconds: float = 0.0
    ) -> bool:
        """Note a grant.

        Args:
            now: Time on this router's clock.
            grantor: The voter or head that granted the request.
            sequence: Sequence of the request.
            delegated_seconds: How long the grant of a head lasts; 0 for a voter, whose lease is of
                full length.

        Returns:
            Whether this router moves to its target state.
        """
        previous_sequence = (
            self.delegated_grants.get(grantor, (0, 0.0))[0]
            if delegated_seconds
            else self._granted_sequences.get(grantor, 0)
        )
        if sequence not in self._requests or sequence < previous_sequence:
            return False
        if delegated_seconds:
            self.delegated_grants[grantor] = (sequence, delegated_seconds)
        else:
            self._granted_sequences[grantor] = sequence
        if not self.target or now >= self.expiry(self.target.scope):
            return False
        self.current, self.target = self.target, None
        return True
