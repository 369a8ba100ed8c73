"""Looks from outside at what every router of a tier decides by, at every change of it.

The promise: of any two routers that decide, one obeys all that the other does. A router may begin to decide
by something only in an event of its own; so that is where all others are looked at, those that stand still or
are cut off too: at that instant, by their own clocks.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ironrail.net.peers.policies import Policies
from ironrail.net.system import System
from ironrail.peers.consensus.lease import are_incompatible
from ironrail.peers.consensus.messages import STEPS_PER_EPOCH, RegisterState, Scope

MOST_KEPT = 100  # mixed instants of which the words are kept


class Watched(Protocol):
    """A router's place."""

    number: int
    name: str
    system: System

    @property
    def policies(self) -> Policies:
        """Of the process that is here now."""

    def scope(self) -> Scope:
        """What a decision at this instant would obey."""


class TierWatch:
    """Counts what must not be, and what was looked at."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock`: of the world; no router has it."""
        self._clock = clock
        self.began: dict[tuple[int, Scope], float] = {}  # when a router last began to decide by this
        self.looks = self.mixed = self.conflicts = 0
        self.words: list[str] = []
        self._by: dict[Scope, dict[int, Watched]] = {}  # who decided by this when last looked at
        self._last: dict[int, tuple[Scope, float]] = {}  # and until when by its own clock
        self._steps: dict[int, RegisterState] = {}  # each is decided once
        self._documents: dict[int, bytes] = {}  # each version, with its epoch, means one document

    def looked(self, router: Watched, settled: Callable[[], None]) -> None:
        """After each event of a router; `settled`: what the daemon does then."""
        settled()
        self.looks += 1
        now, policies = router.system.now(), router.policies
        scope = router.scope()
        before, until = self._last.get(router.number, ((), 0.0))
        self._last[router.number] = scope, policies._valid_until
        if scope != before or now >= until:
            if scope != before:
                self._by.get(before, {}).pop(router.number, None)
            if scope:
                self._by.setdefault(scope, {})[router.number] = router
                self.began[router.number, scope] = self._clock()
                self._compare(router, scope)
        if policies.protocol.latest_decided is not None:
            self._register(router, policies.protocol.latest_decided)

    def _compare(self, router: Watched, scope: Scope) -> None:
        for other, them in self._by.items():
            if not are_incompatible(scope, other):
                continue
            for one in list(them.values()):
                if are_incompatible(scope, one.scope()):
                    self._note(f"{router.name} decides by {scope}, {one.name} by {other}")
                    self.mixed += 1

    def _register(self, router: Watched, known: RegisterState) -> None:
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

    def _note(self, words: str) -> None:
        if len(self.words) < MOST_KEPT:
            self.words.append(words)
