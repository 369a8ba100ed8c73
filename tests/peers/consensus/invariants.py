"""The invariants, checked after each event of a simulation."""

from __future__ import annotations

import itertools
import math
from dataclasses import dataclass, field
from typing import Any

from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.configuration import ConsensusConfig
from ironrail.peers.consensus.errors import OpenError
from ironrail.peers.consensus.lease import are_incompatible
from ironrail.peers.consensus.proposal import ProposalHandle

CONTEXT = p.ValidationContext(titles=frozenset({"fonts"}), zones=frozenset({"north"}))
FALLBACK = p.Policy(version=1, rates={"fonts": 1.0})


def policy(version: int, rate: float = 0.0) -> p.Policy:
    """Return a policy for tests, which differs by its version."""
    return p.Policy(version=version, rates={"fonts": rate or 100.0 + version})


class InvariantViolation(AssertionError):
    """An invariant does not hold."""


@dataclass
class Node:
    """A router's process."""

    conf: ConsensusConfig
    # a ConsensusNode, or what a test uses in its place
    protocol: Any
    clock_rate: float
    clock_offset: float
    started_at: float
    stopped_at: float = math.inf
    paused_until: float = 0.0
    record: bytes | None = None
    seen_incarnations: dict[int, int] = field(default_factory=dict)
    replaced_incarnations: set[int] = field(default_factory=set)
    timer_at: float = math.inf  # when its timer event is scheduled


class InvariantChecker:
    """Checks the invariants of a simulation."""

    now: float

    def __init__(self) -> None:
        self.nodes: dict[int, Node] = {}
        self.processes: dict[tuple[int, int], Node] = {}
        self.replaced_nodes: list[Node] = []  # paused, and replaced by another process
        self.documents: dict[bytes, p.Policy] = {}
        self.decided: dict[int, m.RegisterState] = {}
        self.digests: dict[tuple[int, int], bytes] = {}
        # by epoch and version: who grants leases
        self.voters_by_version: dict[tuple[int, int], m.Voters] = {}
        self.handles: list[ProposalHandle] = []
        self.proposers: list[tuple[ProposalHandle, Node]] = []

    def clock(self, node: Node) -> float:
        """Return the time on a process's clock."""
        return node.clock_offset + node.clock_rate * self.now

    def check_sent(self, node: Node, body: bytes) -> None:
        """Check that each step is decided once, and that each version means one document."""
        message = m.decode(body)
        if isinstance(message, m.Decided):
            state = message.state
            if self.decided.setdefault(state.step, state) != state:
                raise InvariantViolation(
                    f"step {state.step} decided twice: {self.decided[state.step]} and {state}"
                )
            for ref in state.refs():
                key = (state.step // m.STEPS_PER_EPOCH, ref.version)
                if self.digests.setdefault(key, ref.digest) != ref.digest:
                    raise InvariantViolation(f"version {key} has two documents")
                if self.voters_by_version.setdefault(key, ref.voters) != ref.voters:
                    raise InvariantViolation(f"version {key} has two sets of voters")

    def scopes(self) -> dict[int, m.Scope]:
        """Return the scope of each router that decides, after checking its effective policy."""
        processes = [
            *self.nodes.items(),
            *((-1 - i, replaced_node) for i, replaced_node in enumerate(self.replaced_nodes)),
        ]
        scopes = {}
        for index, node in processes:
            effective_policy = node.protocol.effective_policy(self.clock(node))
            if effective_policy.scope:
                scopes[index] = effective_policy.scope
                for version in effective_policy.scope:
                    document = self.documents[self.digests[divmod(version, m.STEPS_PER_EPOCH)]]
                    if effective_policy.policy.rates["fonts"] > document.rates["fonts"]:
                        raise InvariantViolation(
                            f"router {index} in {effective_policy.scope} allows more than {document}"
                        )
        return scopes

    def has_lease_majority(self, node: Node, scope: m.Scope) -> bool:
        """Return whether a majority of each version's voters grants this process the scope."""
        delegated_grants = node.protocol.lease_holder.delegated_grants
        processes = [process for process in self.processes if process[0] in delegated_grants]
        sets = {self.voters_by_version[divmod(version, m.STEPS_PER_EPOCH)] for version in scope}
        processes = [(node.conf.own_index, node.conf.incarnation), *processes]
        return any(
            all(self.is_granted_by(process, scope, voters) for voters in sets) for process in processes
        )

    def is_granted_by(self, process: tuple[int, int], scope: m.Scope, voters: m.Voters) -> bool:
        """Return whether a majority of these voters grants a process the scope.

        Voters that have yet to wait for the expiry of older leases count too.
        """
        num_granting = 0
        for voter in voters:
            if (other := self.nodes.get(voter)) is None:
                num_granting += 1  # after its restart it waits until this lease has expired
                continue
            acceptor, now = other.protocol.acceptor, self.clock(other)
            if acceptor is None:
                # it lost its state; once named as a voter it waits for a lease's time
                num_granting += 1
                continue
            entry = acceptor.granted_leases.entries.get(process)
            holds = (
                entry is not None
                and scope in {n.scope for n in entry.scoped_steps}
                and now < entry.expires_at
            )
            num_granting += holds or now < acceptor.old_leases_expire_at
        return num_granting > len(voters) // 2

    def check_invariants(self) -> None:
        """Check that no two routers decide by incompatible scopes, or one by a rejected policy."""
        scopes = self.scopes()
        for index, scope in scopes.items():
            if not self.has_lease_majority(
                self.replaced_nodes[-1 - index] if index < 0 else self.nodes[index], scope
            ):
                raise InvariantViolation(
                    f"at {self.now}: router {index} decides by {scope} without a majority's lease"
                )
        if len(set(scopes.values())) > 1:
            for (a, one), (b, other) in itertools.combinations(scopes.items(), 2):
                if are_incompatible(one, other):
                    raise InvariantViolation(f"at {self.now}: router {a} decides by {one}, {b} by {other}")
        open_or_in_force = {t.ref for t in self.handles if t.error is None or isinstance(t.error, OpenError)}
        rejected_digests = {t.ref.digest for t in self.handles if t.ref not in open_or_in_force}
        for index, scope in scopes.items():
            if len(scope) == 1 and self.digests.get(divmod(scope[0], m.STEPS_PER_EPOCH)) in rejected_digests:
                raise InvariantViolation(f"router {index} decides by {scope} whose proposal was refused")
