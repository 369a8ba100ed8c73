"""What becomes of a datagram between two routers: which copies arrive, and after how long. Pure.

Real relays and the virtual world ask the same exchange, so that one plan does the same in both. Each draw is
of the fault, the path and the datagram's number on it since the fault began: nothing elsewhere moves it.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field

from ironrail.peers.messages import MAX_DATAGRAM_BYTES
from ironrail.rehearsal.links.paths import Path
from ironrail.rehearsal.links.plan import Kind, LinkFault


@dataclass(slots=True)
class Counts:
    """Datagrams of one sender."""

    sent: int = 0  # as it counts them: one to all is one
    price: int = 0  # as the platform does: one to all is one for each other router
    arrived: int = 0  # copies that were handed over to their receivers
    lost: int = 0  # by a fault
    too_long: int = 0  # beyond what the protocol has: none of those is carried


@dataclass(slots=True)
class Trouble:
    """A fault on a path that lasts."""

    number: int
    fault: LinkFault
    path: Path
    passed: dict[tuple[str, str], int] = field(default_factory=dict)  # datagrams since it began

    def draw(self, seed: int, source: str, target: str) -> tuple[float, float]:
        """Two numbers from [0, 1). A hash, as a stream for each of a million paths would fill the memory."""
        count = self.passed[source, target] = self.passed.get((source, target), 0) + 1
        text = f"{seed}:{self.number}:{source}>{target}:{count}".encode()
        digest = hashlib.blake2b(text, digest_size=16).digest()
        return int.from_bytes(digest[:8], "big") / 2**64, int.from_bytes(digest[8:], "big") / 2**64


class Exchange:
    """All datagrams of a run."""

    def __init__(self, seed: int, names: list[str]) -> None:
        self._seed, self.names = seed, names
        self._troubles: dict[int, Trouble] = {}
        self.counts = {name: Counts() for name in names}

    def begin(self, number: int, fault: LinkFault, path: Path) -> None:
        self._troubles[number] = Trouble(number, fault, path)

    def end(self, number: int) -> None:
        self._troubles.pop(number, None)

    def sent(self, source: str, target: str | None, size: int) -> Iterator[tuple[str, float]]:
        """Who gets a copy, in so many seconds. `target` None: it is for all others, at the price of them."""
        counts = self.counts[source]
        targets = [name for name in self.names if name != source] if target is None else [target]
        counts.sent += 1
        counts.price += len(targets)
        if size > MAX_DATAGRAM_BYTES:
            counts.too_long += 1
            return
        for name in targets:
            copies = self._copies(source, name)
            counts.lost += not copies
            for delay in copies:
                yield name, delay

    def _copies(self, source: str, target: str) -> list[float]:
        delay, copies = 0.0, 1
        for trouble in self._troubles.values():
            if not trouble.path.covers(source, target):
                continue
            fault = trouble.fault
            if fault.kind is Kind.CUT:
                return []
            hit, much = trouble.draw(self._seed, source, target)
            if fault.kind is Kind.DELAY:
                delay += fault.hardness + much * fault.spread
            elif hit >= fault.hardness:
                continue
            elif fault.kind is Kind.LOSS:
                return []
            elif fault.kind is Kind.DUPLICATE:
                copies += 1
            elif fault.kind is Kind.REORDER:
                delay += fault.spread
        return [delay] * copies
