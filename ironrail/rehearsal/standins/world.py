"""What all stand-ins of one run share: the clock, the record, the seed, and who is where."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from ironrail.rehearsal.account.record import Record, value_digest
from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.standins.listener import Listen, SocketListening


@dataclass
class World:
    """Shared by the stand-ins of one run."""

    scenario: Scenario
    seed: int
    record: Record
    halls: dict[str, str]  # of each router and each cache by name
    listen: Listen = SocketListening
    wall: Callable[[], float] = time.time
    start: float = field(default_factory=lambda: asyncio.get_running_loop().time())  # on the loop's clock
    on_miss_filled: Callable[[str, str, int], None] = lambda request, key, size: None
    on_write: Callable[[str], None] = lambda key: None

    def now(self) -> float:
        """Seconds from the start of the load that counts."""
        return asyncio.get_running_loop().time() - self.start

    def draws(self, name: str) -> random.Random:
        return stream(self.seed, f"standins.{name}")

    def apart(self, router: str, where: str) -> float:
        """Seconds for a message there and back between their halls."""
        same = not where or self.halls.get(router) == where
        return 0.0 if same else 2 * self.scenario.halls.between

    def make_value(self, request: str, key: str, maker: str, number: int, size: int) -> bytes:
        """A value that no other attempt ever has, noted as made for this request."""
        stamp = f"{key}|{request}|{maker}|{number}|".encode()
        value = stamp + b"." * max(0, size - len(stamp))
        self.note_made(request, value)
        return value

    def note_made(self, request: str, value: bytes) -> None:
        one = self.record.tries.get(request)
        if one is not None:
            one.made.add(value_digest(value))
