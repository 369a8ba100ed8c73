"""Checks from outside that no two routers of a peer group decide by incompatible policies.

The invariant: of any two routers that decide, one obeys every policy that the other obeys. A router can adopt
a scope only in an event of its own, so each adoption is compared then with all other routers, stopped and
cut-off ones included, at that instant by their own clocks.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ironrail.net.peers.policies import Policies
from ironrail.net.system import System
from ironrail.peers.consensus.lease import are_incompatible
from ironrail.peers.consensus.messages import STEPS_PER_EPOCH, RegisterState, Scope

MAX_VIOLATIONS_KEPT = 100


class MonitoredRouter(Protocol):
    """What the monitor reads of a router."""

    number: int
    name: str
    system: System

    @property
    def policies(self) -> Policies:
        """The policies of the current process."""

    def scope(self) -> Scope:
        """Returns the policy steps that a decision now would obey."""


class PeerGroupMonitor:
    """Counts checks and violations.

    `mixed` counts pairs of routers that decide by incompatible scopes, `conflicts` steps or versions that
    were decided in two ways.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Creates the monitor; `clock` is the loop's clock, which no router has."""
        self._clock = clock
        self.adopted_at: dict[tuple[int, Scope], float] = {}  # when a router last adopted a scope
        self.num_checks = self.mixed = self.conflicts = 0
        self.violations: list[str] = []
        # Routers by their scope at the last check of each.
        self._routers_by_scope: dict[Scope, dict[int, MonitoredRouter]] = {}
        self._last: dict[int, tuple[Scope, float]] = {}  # scope and end of its validity by the router's clock
        self._steps: dict[int, RegisterState] = {}  # by step, each of which may be decided only once
        self._documents: dict[int, bytes] = {}  # digest by epoch and version, which must name one document

    def check_after(self, router: MonitoredRouter, after_event: Callable[[], None]) -> None:
        """Runs `after_event`, the daemon's own hook, and checks the router after it."""
        after_event()
        self.num_checks += 1
        now, policies = router.system.now(), router.policies
        scope = router.scope()
        before, until = self._last.get(router.number, ((), 0.0))
        self._last[router.number] = scope, policies._valid_until
        if scope != before or now >= until:
            if scope != before:
                self._routers_by_scope.get(before, {}).pop(router.number, None)
            if scope:
                self._routers_by_scope.setdefault(scope, {})[router.number] = router
                self.adopted_at[router.number, scope] = self._clock()
                self._compare(router, scope)
        if policies.protocol.latest_decided is not None:
            self._register(router, policies.protocol.latest_decided)

    def _compare(self, router: MonitoredRouter, scope: Scope) -> None:
        for other, them in self._routers_by_scope.items():
            if not are_incompatible(scope, other):
                continue
            for one in list(them.values()):
                if are_incompatible(scope, one.scope()):
                    self._note(f"{router.name} decides by {scope}, {one.name} by {other}")
                    self.mixed += 1

    def _register(self, router: MonitoredRouter, known: RegisterState) -> None:
        if (held := self._steps.get(known.step)) is known:
            return
        if self._steps.setdefault(known.step, known) != known:
            self.conflicts += 1
            self._note(f"{router.name}: step {known.step} is {known}, and {held}")
        for ref in known.refs():
            version = known.step // STEPS_PER_EPOCH * STEPS_PER_EPOCH + ref.version
            if self._documents.setdefault(version, ref.digest) != ref.digest:
                self.conflicts += 1
                self._note(f"{router.name}: version {ref.version} has two documents")

    def _note(self, text: str) -> None:
        if len(self.violations) < MAX_VIOLATIONS_KEPT:
            self.violations.append(text)
