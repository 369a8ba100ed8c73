"""The promises, watched at every instant of a world."""

from __future__ import annotations

import itertools
import math
from dataclasses import dataclass, field
from typing import Any

from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.configuration import ConsensusConfig
from ironrail.peers.consensus.errors import OpenError
from ironrail.peers.consensus.lease import are_disjoint
from ironrail.peers.consensus.proposal import ProposalHandle

FACTS = p.Facts(titles=frozenset({"fonts"}), halls=frozenset({"north"}))
FLOOR = p.Policy(version=1, rates={"fonts": 1.0})


def policy(version: int, rate: float = 0.0) -> p.Policy:
    """One that differs by its version."""
    return p.Policy(version=version, rates={"fonts": rate or 100.0 + version})


class Broken(AssertionError):
    """A promise was."""


@dataclass
class Node:
    """A process at a router's place."""

    conf: ConsensusConfig
    room: Any  # an AccordRoom, or what a test puts in its place
    rate: float
    offset: float
    born: float
    died: float = math.inf
    paused_until: float = 0.0
    disk: bytes | None = None
    proven: dict[int, int] = field(default_factory=dict)
    replaced: set[int] = field(default_factory=set)
    waking: float = math.inf  # its wake is scheduled for


class Watch:
    """What a world is watched by."""

    now: float

    def __init__(self) -> None:
        self.nodes: dict[int, Node] = {}
        self.lives: dict[tuple[int, int], Node] = {}
        self.ghosts: list[Node] = []  # stopped, and another process has their place
        self.documents: dict[bytes, p.Policy] = {}
        self.decided: dict[int, m.RegisterState] = {}
        self.digests: dict[tuple[int, int], bytes] = {}
        self.named: dict[tuple[int, int], m.Voters] = {}  # who grants leases for a version
        self.tickets: list[ProposalHandle] = []
        self.askers: list[tuple[ProposalHandle, Node]] = []

    def clock(self, node: Node) -> float:
        """Its own."""
        return node.offset + node.rate * self.now

    def watch_sent(self, node: Node, body: bytes) -> None:
        """Each step is decided once, and each version means one document."""
        message = m.decode(body)
        if isinstance(message, m.Decided):
            state = message.state
            if self.decided.setdefault(state.step, state) != state:
                raise Broken(f"step {state.step} decided twice: {self.decided[state.step]} and {state}")
            for ref in state.refs():
                key = (state.step // m.EPOCH, ref.version)
                if self.digests.setdefault(key, ref.digest) != ref.digest:
                    raise Broken(f"version {key} has two documents")
                if self.named.setdefault(key, ref.voters) != ref.voters:
                    raise Broken(f"version {key} has two sets of voters")

    def scopes(self) -> dict[int, m.Scope]:
        """Who decides by what."""
        processes = [*self.nodes.items(), *((-1 - i, ghost) for i, ghost in enumerate(self.ghosts))]
        found = {}
        for me, node in processes:
            by = node.room.effective_policy(self.clock(node))
            if by.scope:
                found[me] = by.scope
                for version in by.scope:
                    document = self.documents[self.digests[divmod(version, m.EPOCH)]]
                    if by.policy.rates["fonts"] > document.rates["fonts"]:
                        raise Broken(f"router {me} in {by.scope} allows more than {document}")
        return found

    def backed(self, node: Node, scope: m.Scope) -> bool:
        """Whether a majority of each version's voters keeps others from what is apart from this scope."""
        lent = node.room.holder.delegated
        lives = [life for life in self.lives if life[0] in lent]
        sets = {self.named[divmod(version, m.EPOCH)] for version in scope}
        lives = [(node.conf.router, node.conf.start), *lives]
        return any(all(self.granted(life, scope, voters) for voters in sets) for life in lives)

    def granted(self, life: tuple[int, int], scope: m.Scope, voters: m.Voters) -> bool:
        """Whether these voters do so for this process."""
        backing = 0
        for voter in voters:
            if (other := self.nodes.get(voter)) is None:
                backing += 1  # when it is back it waits until this lease has run out
                continue
            part, now = other.room.voter, self.clock(other)
            if part is None:
                backing += 1  # it forgot that it was one, and will be quiet once it is told
                continue
            entry = part.grants.entries.get(life)
            holds = (
                entry is not None
                and scope in {n.scope for n in entry.scoped_steps}
                and now < entry.expires_at
            )
            backing += holds or now < part.quiet_until
        return backing > len(voters) // 2

    def watch(self) -> None:
        """No two routers decide by what is apart, nor by what was told not to come."""
        scopes = self.scopes()
        for me, scope in scopes.items():
            if not self.backed(self.ghosts[-1 - me] if me < 0 else self.nodes[me], scope):
                raise Broken(f"at {self.now}: router {me} decides by {scope} without a majority's lease")
        if len(set(scopes.values())) > 1:
            for (a, one), (b, other) in itertools.combinations(scopes.items(), 2):
                if are_disjoint(one, other):
                    raise Broken(f"at {self.now}: router {a} decides by {one}, {b} by {other}")
        alive = {t.ref for t in self.tickets if t.error is None or isinstance(t.error, OpenError)}
        dead = {t.ref.digest for t in self.tickets if t.ref not in alive}
        for me, scope in scopes.items():
            if len(scope) == 1 and self.digests.get(divmod(scope[0], m.EPOCH)) in dead:
                raise Broken(f"router {me} decides by {scope} whose ticket was refused")
