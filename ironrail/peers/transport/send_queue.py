"""One pace for everything that a router sends its peers, however many they are.

Two accounts: what fits the burst is paid from the one, in order of priority; what costs more than the burst
(a message to ALL of a large tier) saves up in the other, from half of the pace, while the rest goes on. A
message is sealed as it goes, whole: one that waited would be too old for its receivers' windows.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from ironrail.peers.messages import ALL_PEERS, Outgoing, Priority
from ironrail.peers.transport.errors import PaceError, UnsendableError
from ironrail.peers.transport.datagram_format import MOST_BODY, sealed_size

PACE = 2000.0  # bytes a second of datagrams, without IP and UDP (28 bytes each)
BURST = 4096.0  # bytes at once: two seconds' worth, and the longest body
LEAST_PACE = 100.0  # below it, a question and its answer take a second
MOST_WAITING = 64 * 1024  # bytes of bodies: what has waited longer than half a minute helps nobody
MOST_SAYS = 2048  # a word to each router of the largest tier, twice
KEPT = {Priority.VOTE: 0.0, Priority.LEASE: 256.0, Priority.STATE: 512.0, Priority.GOSSIP: 1024.0}
SLACK = 1e-6  # bytes that rounding may lack
# KEPT: bytes of the burst that this priority leaves to those before it

Send = tuple[int, bytes]
Key = tuple[int, int, bytes] | int


@dataclass(frozen=True, slots=True)
class _Waiting:
    say: Outgoing
    price: float  # bytes


Line = dict[Key, _Waiting]


class Outbox:
    """What waits to be sent. `dropped`, `replaced`: messages, by priority."""

    def __init__(
        self,
        seal: Callable[[Outgoing], list[Send]],
        others: int,
        pace: float = PACE,
        burst: float = BURST,
        now: float = 0.0,
    ) -> None:
        """`seal`: of the wire; `others`: routers that ALL is paid for. Raises PaceError."""
        if pace < LEAST_PACE or burst < sealed_size(MOST_BODY):
            raise PaceError(f"{pace:g} bytes a second and {burst:g} at once are too few", "peers")
        self._seal, self._others, self._pace, self._burst = seal, others, pace, burst
        self._tokens, self._saved, self._at = burst, 0.0, now
        self._lines: dict[Priority, Line] = {priority: {} for priority in Priority}
        self._dear: dict[Priority, Line] = {priority: {} for priority in Priority}
        self._bytes = self._says = self._number = 0
        self.dropped = dict.fromkeys(Priority, 0)
        self.replaced = dict.fromkeys(Priority, 0)
        self.sent = 0  # bytes, as paid

    def put(self, now: float, say: Outgoing) -> None:
        """To be sent when it can be paid. Of gossip the newest of one (to, topic, first byte) stays."""
        self._earn(now)
        price = sealed_size(len(say.body)) * (self._others if say.to == ALL_PEERS else 1)
        if len(say.body) > MOST_BODY:
            self.dropped[say.priority] += 1
            return
        self._number += 1
        key: Key = self._number
        line = (self._dear if price > self._burst else self._lines)[say.priority]
        if say.priority is Priority.GOSSIP:
            key = (say.to, say.topic, say.body[:1])
            for other in (self._dear, self._lines):
                if (old := other[say.priority].get(key)) is not None:
                    self.replaced[say.priority] += 1
                    self._forget(old)
                    if other[say.priority] is not line:
                        del other[say.priority][key]
        line[key] = _Waiting(say, price)
        self._bytes += len(say.body)
        self._says += 1
        while self._bytes > MOST_WAITING or self._says > MOST_SAYS:
            self._drop_one()

    def take(self, now: float) -> list[Send]:
        """What goes now, to whom (a number or ALL)."""
        self._earn(now)
        sends: list[Send] = []
        while (first := self._first(self._lines)) is not None:
            line, key, waiting = first
            if self._lacks(waiting) > SLACK:
                break
            self._tokens -= waiting.price
            sends += self._send(line, key, waiting)
        while (first := self._first(self._dear)) is not None and first[2].price <= self._saved + SLACK:
            self._saved -= first[2].price
            sends += self._send(*first)
        if first is None:  # nothing is left to save for
            self._tokens, self._saved = min(self._burst, self._tokens + max(0.0, self._saved)), 0.0
        return sends

    def wake_at(self) -> float:
        """When the next can go, infinite while nothing waits."""
        at = math.inf
        dear, first = self._first(self._dear), self._first(self._lines)
        share = self._pace / 2 if dear else self._pace
        if first is not None:
            at = self._at + max(0.0, self._lacks(first[2])) / share
        if dear is not None:
            full_in = (self._burst - self._tokens) / share
            lacks = max(0.0, dear[2].price - self._saved)
            early = min(lacks, full_in * share)
            at = min(at, self._at + early / share + (lacks - early) / self._pace)
        return at

    def _earn(self, now: float) -> None:
        gained, self._at = max(0.0, now - self._at) * self._pace, max(now, self._at)
        if (dear := self._first(self._dear)) is None:
            self._tokens = min(self._burst, self._tokens + gained)
            return
        kept = min(gained / 2, self._burst - self._tokens)
        self._tokens += kept
        self._saved = min(self._saved + gained - kept, dear[2].price)

    def _lacks(self, waiting: _Waiting) -> float:
        kept = min(KEPT[waiting.say.priority], self._burst - waiting.price)
        return waiting.price + kept - self._tokens

    def _send(self, line: Line, key: Key, waiting: _Waiting) -> list[Send]:
        del line[key]
        self._forget(waiting)
        try:
            sends = self._seal(waiting.say)
        except UnsendableError:  # a room's defect costs that room its message, not the others theirs
            self.dropped[waiting.say.priority] += 1
            return []
        self.sent += int(waiting.price)
        return sends

    def _forget(self, waiting: _Waiting) -> None:
        self._bytes -= len(waiting.say.body)
        self._says -= 1

    def _drop_one(self) -> None:
        """The oldest of the last priority: what is said anew is worth more than what was."""
        for priority in reversed(Priority):
            for line in (self._dear[priority], self._lines[priority]):
                if line:
                    self._forget(line.pop(next(iter(line))))
                    self.dropped[priority] += 1
                    return

    @staticmethod
    def _first(lines: dict[Priority, Line]) -> tuple[Line, Key, _Waiting] | None:
        for line in lines.values():
            for key, waiting in line.items():
                return line, key, waiting
        return None
