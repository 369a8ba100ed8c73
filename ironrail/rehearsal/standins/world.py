"""State that all stand-ins of one run share: the clock, the record, the seed and the zones."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from ironrail.rehearsal.account.record import Record, value_digest
from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.standins.listening_port import OpenPort, SocketListeningPort


@dataclass
class World:
    """Shared by the stand-ins of one run."""

    scenario: Scenario
    seed: int
    record: Record
    zones: dict[str, str]  # of each router and each cache, by name
    listen: OpenPort = SocketListeningPort
    wall: Callable[[], float] = time.time
    # of the measured load, on the event loop's clock
    start: float = field(default_factory=lambda: asyncio.get_running_loop().time())
    on_miss_filled: Callable[[str, str, int], None] = lambda request, key, size: None
    on_write: Callable[[str], None] = lambda key: None

    def now(self) -> float:
        """Seconds from the start of the measured load; negative in the warm-up."""
        return asyncio.get_running_loop().time() - self.start

    def draws(self, name: str) -> random.Random:
        """Returns the random generator of this name, which depends on the run's seed."""
        return stream(self.seed, f"standins.{name}")

    def round_trip_seconds(self, router: str, zone: str) -> float:
        """Seconds of a round trip between a router and a zone; 0 within one or for no zone."""
        same = not zone or self.zones.get(router) == zone
        return 0.0 if same else 2 * self.scenario.halls.between

    def make_value(self, request: str, key: str, maker: str, number: int, size: int) -> bytes:
        """Returns a value that is unique to one attempt, and records it for this request."""
        stamp = f"{key}|{request}|{maker}|{number}|".encode()
        value = stamp + b"." * max(0, size - len(stamp))
        self.record_value(request, value)
        return value

    def record_value(self, request: str, value: bytes) -> None:
        """Records that a stand-in made this value for a request."""
        one = self.record.tries.get(request)
        if one is not None:
            one.made.add(value_digest(value))
