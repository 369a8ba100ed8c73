"""The stages of a change, old -> joint -> new, and the leases that keep them apart. Pure.

Two scopes (the versions somebody obeys) go together if one holds all of the other. A router decides only
while a majority of voters has granted its scope and those grants last by its own clock. A voter accepts a
state only once no lease that it granted is apart from it: `docs/peers/accord.md` has the proof.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ironrail.peers.accord.messages import Ask, Note, Scope, State

MOST_ASKED = 32  # asks whose answers may still come; at one a second they outlast any lease
MOST_LIVES = 4  # processes of one router that leases are remembered of; more starts within a lease wait


def apart(one: Scope, other: Scope) -> bool:
    """Whether two that obey these could decide without a common version."""
    return not (set(one) <= set(other) or set(other) <= set(one))


def note(state: State) -> Note:
    """The state as lease tables know it."""
    return Note(state.step, state.scope)


class Holder:
    """A router's side: which state it decides in, and until when."""

    def __init__(self, lease: float, majority: int) -> None:
        """`lease`: seconds by the own clock, from when it was asked for."""
        self.lease, self.majority = lease, majority
        self.at: State | None = None  # it decides in this state while the lease lasts
        self.next: State | None = None  # it will, once a majority has granted it
        self.sequence = 0
        self._asked: dict[int, tuple[float, tuple[Scope, ...]]] = {}  # sequence -> when, for what
        self._granted: dict[int, int] = {}  # voter -> sequence of its latest grant

    def end(self, scope: Scope) -> float:
        """Until when a majority of voters keeps others from what is apart from this scope."""
        grants = [self._asked[sequence] for sequence in self._granted.values() if sequence in self._asked]
        times = sorted((at for at, scopes in grants if scope in scopes), reverse=True)
        return times[self.majority - 1] + self.lease if len(times) >= self.majority else -math.inf

    def decides(self, now: float) -> State | None:
        """The state it may decide in at this time: asked anew for each decision, as a process may pause."""
        return self.at if self.at and now < self.end(self.at.scope) else None

    def aim(self, state: State, now: float) -> None:
        """A decided state whose documents are here and can be worked by; older ones change nothing."""
        if state.step <= max((s.step for s in (self.at, self.next) if s), default=-1):
            return
        if self.at and self.at.scope == state.scope:  # a change that was taken back
            self.at, self.next = state, None
            return
        if not self.at or state.step != self.at.step + 1 or self.decides(now) is None:
            self.at = None  # some were missed: what was known before isn't decided by any more
        self.next = state

    def ask(self, now: float, knows: int, refuses: tuple[int, str] | None = None) -> Ask:
        """The wish for the next lease; what isn't in it is given up, for voters forget it."""
        if self.at and self.next and self.decides(now) is None:
            self.at = None
        low, high = self.at or self.next, self.next or self.at
        scopes = tuple({s.scope for s in (low, high) if s})
        self._keep_only(scopes)
        self.sequence += 1
        self._asked[self.sequence] = (now, scopes)
        self._asked.pop(self.sequence - MOST_ASKED, None)
        further = note(high) if high and high is not low else None
        return Ask(self.sequence, note(low) if low else None, further, knows, refuses)

    def _keep_only(self, scopes: tuple[Scope, ...]) -> None:
        """A voter's entry holds only what was last asked: an older grant of the rest is worth nothing."""
        for sequence, (at, held) in self._asked.items():
            self._asked[sequence] = (at, tuple(s for s in held if s in scopes))

    def granted(self, now: float, voter: int, sequence: int) -> bool:
        """A voter granted what was asked for; whether this moves the router to its next state."""
        if sequence not in self._asked or sequence < self._granted.get(voter, 0):
            return False
        self._granted[voter] = sequence
        if not self.next or now >= self.end(self.next.scope):
            return False
        self.at, self.next = self.next, None
        return True


@dataclass(slots=True)
class Entry:
    """What one process may decide by."""

    sequence: int = 0
    scopes: tuple[Scope, ...] = ()
    until: float = -math.inf  # by the voter's clock
    refusal: tuple[int, str] | None = None
    heard: float = -math.inf


@dataclass(slots=True)
class Grants:
    """A voter's side: the leases that it granted. A process replaced by another one keeps its own."""

    wait: float  # seconds by this voter's clock in which any lease has run out by its router's
    entries: dict[tuple[int, int], Entry] = field(default_factory=dict)  # (router, start)

    def ask(self, now: float, life: tuple[int, int], ask: Ask, least: int) -> bool | None:
        """Whether it is granted; nothing if overtaken by a later one. `least`: step; older ones aren't."""
        entry = self.entries.get(life)
        if entry is None:
            self._forget(now)
            if sum(router == life[0] for router, _ in self.entries) >= MOST_LIVES:
                return False
            entry = self.entries[life] = Entry()
        if ask.sequence <= entry.sequence:
            return None
        entry.sequence, entry.refusal, entry.heard = ask.sequence, ask.refuses, now
        notes = [wish for wish in (ask.low, ask.high) if wish]
        if not notes or min(wish.step for wish in notes) < least:
            return False
        entry.scopes, entry.until = tuple(wish.scope for wish in notes), now + self.wait
        return True

    def against(self, now: float, scope: Scope) -> list[int]:
        """Routers that may still decide by what is apart from this scope."""
        return sorted(
            {
                router
                for (router, _), entry in self.entries.items()
                if now < entry.until and any(apart(scope, held) for held in entry.scopes)
            }
        )

    def refusal(self, now: float, version: int) -> tuple[int, str] | None:
        """A router heard within a lease's time that can't work by this version (with its epoch), and why."""
        for (router, _), entry in sorted(self.entries.items()):
            if entry.refusal and entry.refusal[0] == version and now < entry.heard + self.wait:
                return router, entry.refusal[1]
        return None

    def _forget(self, now: float) -> None:
        gone = [life for life, e in self.entries.items() if now >= max(e.until, e.heard + self.wait)]
        for life in gone:
            del self.entries[life]
