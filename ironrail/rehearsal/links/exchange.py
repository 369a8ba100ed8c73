"""Decides which copies of a datagram between two routers arrive, and after which delay. Does no I/O.

The relays of real sockets and the virtual network use the same class, so a plan acts alike in both. Each draw
depends only on the fault, the path and the datagram's number on it since the fault began.
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
    """Counts the datagrams of one sender."""

    sent: int = 0  # as the sender counts: a broadcast is one
    price: int = 0  # as the platform charges: a broadcast is one per other router
    arrived: int = 0  # copies delivered to receivers
    lost: int = 0  # dropped by a fault
    too_long: int = 0  # longer than the protocol allows; not delivered


@dataclass(slots=True)
class ActiveFault:
    """A fault that acts on a path now."""

    number: int
    fault: LinkFault
    path: Path
    passed: dict[tuple[str, str], int] = field(default_factory=dict)  # datagrams since it began

    def draw(self, seed: int, source: str, target: str) -> tuple[float, float]:
        """Returns two numbers from [0, 1).

        They come from a hash, as a random stream for each of a million paths would take too much memory.
        """
        count = self.passed[source, target] = self.passed.get((source, target), 0) + 1
        text = f"{seed}:{self.number}:{source}>{target}:{count}".encode()
        digest = hashlib.blake2b(text, digest_size=16).digest()
        return int.from_bytes(digest[:8], "big") / 2**64, int.from_bytes(digest[8:], "big") / 2**64


class Exchange:
    """The datagram network of a run."""

    def __init__(self, seed: int, names: list[str]) -> None:
        self._seed, self.names = seed, names
        self._active_faults: dict[int, ActiveFault] = {}
        self.counts = {name: Counts() for name in names}

    def begin(self, number: int, fault: LinkFault, path: Path) -> None:
        self._active_faults[number] = ActiveFault(number, fault, path)

    def end(self, number: int) -> None:
        self._active_faults.pop(number, None)

    def sent(self, source: str, target: str | None, size: int) -> Iterator[tuple[str, float]]:
        """Yields receiver and delay in seconds of each copy; `target` None means all other routers."""
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
        for active in self._active_faults.values():
            if not active.path.covers(source, target):
                continue
            fault = active.fault
            if fault.kind is Kind.CUT:
                return []
            hit, much = active.draw(self._seed, source, target)
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
