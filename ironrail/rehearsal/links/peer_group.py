"""A tier of routers in virtual time, without servers and clients: what they say to one another.

Each router is a process of the virtual world that runs the daemon's own `Together` with a clock of its own; a
thousand of them fit one loop. Faults are those of a plan: on datagrams, processes, clocks and voters' disks.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any, Self

from ironrail.net.discovery.endpoint_list import read_address
from ironrail.operator_file import OperatorSettings, PeerSettings
from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.links.exchange import Exchange
from ironrail.rehearsal.links.linked_rehearsal import SLOTS
from ironrail.rehearsal.links.paths import Path, Places, path_of
from ironrail.rehearsal.links.peer_group_monitor import TierWatch
from ironrail.rehearsal.links.peer_group_router import TierRouter
from ironrail.rehearsal.links.plan import LINKS, Kind, LinkFault, steps
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import hall_of, router_names
from ironrail.rehearsal.settings import config_of
from ironrail.rehearsal.virtual.datagrams import Datagrams
from ironrail.rehearsal.virtual.loop import START, VirtualLoop

PORT = 11311
TO_ALL = f"127.63.0.1:{PORT}"
SECRET = b"a key of all routers"
LENGTH = 600.0  # seconds that a plan may last


@dataclass(frozen=True, slots=True)
class Known(PeerSettings):
    """Peers whose key lies in no file."""

    def load_secrets(self) -> dict[int, bytes]:
        return {1: SECRET}


class Tier:
    """The world."""

    def __init__(
        self,
        routers: int,
        seed: int,
        voters: Sequence[int] = (0, 1, 2),
        *,
        disks: bool = True,
        loop: Callable[[int], VirtualLoop] = VirtualLoop,
        posts: type[Datagrams] = Datagrams,
        **peers: Any,
    ) -> None:
        """`disks`: voters keep their record; `peers`: other fields of the operator's `[peers]`."""
        self.seed, self.disks = seed, disks
        self.loop = loop(seed)
        self.draws: random.Random = stream(seed, "tier.draws")
        table = {"summary": "a tier", "length": f"{LENGTH} s", "routers": {"count": routers}}
        self.scenario = Scenario.model_validate(table)
        self.places = Places.of(self.scenario)
        self.names = router_names(self.scenario)
        halls = tuple(hall_of(self.scenario, n) for n in range(routers))
        self.operator = OperatorSettings(
            peers=Known(
                key_files={1: ""},
                sending_key_id=1,
                zones=halls,
                voters=tuple(voters),
                start_mode="floor",
                **peers,
            )
        )
        self.voters = tuple(voters)
        self.addresses = [f"127.{64 + n % 128}.{n // 128}.1:{PORT}" for n in range(routers)]
        self.exchange = Exchange(seed, self.names)
        known = {n: read_address(a) for n, a in zip(self.names, self.addresses, strict=True)}
        self.loop.datagrams = posts(self.loop, self.exchange, known, read_address(TO_ALL))
        self.watch = TierWatch(self.loop.time)
        self.routers = [TierRouter(self, n) for n in range(routers)]
        self._faults = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        """Nothing of this world may reach the next."""
        for router in self.routers:
            if router.process is not None:
                router.process.end(0)
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop._ready.clear()  # type: ignore[attr-defined]
        self.loop._scheduled.clear()  # type: ignore[attr-defined]
        self.loop.close()

    def table(self, router: TierRouter) -> dict[str, Any]:
        """What the platform tells a router."""
        number = router.number
        seed = self.seed * 1000 + router.starts
        table = config_of(
            self.scenario, seed, number, router.name, "127.0.0.1:1", "127.0.0.1:2", [], "127.0.0.1:3"
        )
        address = self.addresses[number]
        return table | {"peer_listen": address, "peers": self.addresses, "peers_all": TO_ALL}

    def guided(self, guidance: object) -> None:
        """Nobody decides anything here."""

    # Time

    def now(self) -> float:
        """Seconds since the world began."""
        return self.loop.time() - START

    def run(self, seconds: float) -> None:
        """Let time pass; whatever a router raised ends it."""
        self.loop.run_until_complete(asyncio.sleep(seconds))
        assert not self.loop.errors, self.loop.errors[:3]

    def until(self, done: Callable[[], bool], within: float, step: float = 0.05) -> float | None:
        """Let time pass until so; the seconds it took, to a step, None if it was not so in time."""
        began = self.now()
        while not done():
            if self.now() >= began + within:
                return None
            self.run(step)
        return self.now() - began

    def founded(self, within: float = 300.0) -> float | None:
        """Start all and found the register; seconds until all decide, None if they did not in time.

        An offer may be lost as any datagram: it is made again each second until the voters decide.
        """
        for router in self.routers:
            router.start()
        self.run(1.0)
        began = self.now()
        first = self.routers[self.voters[0]]
        while self.now() < began + within and not all(self.routers[v].versions() for v in self.voters):
            first.found()
            self.run(1.0)
        decide = self.until(lambda: all(r.versions() == (1,) for r in self.routers), within, 0.25)
        return None if decide is None else self.now() - began

    # What goes wrong

    def path(self, text: str) -> Path:
        return path_of(text, self.places)

    def begin(self, fault: LinkFault, path: Path | None = None) -> int:
        """Begin it; the number to end it by. `path`: in place of the one named."""
        self._faults += 1
        if fault.kind in LINKS:
            self.exchange.begin(self._faults, fault, path or self.path(fault.on))
            return self._faults
        router = self.routers[self.names.index(fault.on)]
        if fault.kind in SLOTS:
            router.switch[SLOTS[fault.kind]] = fault.hardness
        elif router.process is not None:
            kill = fault.kind is not Kind.STOP
            router.process.deliver(signal.SIGKILL if kill else signal.SIGSTOP)
        return self._faults

    def end(self, number: int, fault: LinkFault) -> None:
        """It is over; a process that was killed is started again."""
        if fault.kind in LINKS:
            self.exchange.end(number)
            return
        router = self.routers[self.names.index(fault.on)]
        if fault.kind in SLOTS:
            router.switch[SLOTS[fault.kind]] = router.rate if fault.kind is Kind.CLOCK else 0.0
        elif fault.kind is Kind.STOP and router.process is not None:
            router.process.deliver(signal.SIGCONT)
        else:
            router.start()

    def play(self, plan: Sequence[LinkFault]) -> None:
        """Have this plan carried out, from now on."""
        numbers: dict[int, int] = {}
        for step in steps(plan):
            call = partial(self._step, step.number, step.begins, step.fault, numbers)
            self.loop.call_at(self.loop.time() + step.at, call, context=self.loop.outside)

    def _step(self, number: int, begins: bool, fault: LinkFault, numbers: dict[int, int]) -> None:
        if begins:
            numbers[number] = self.begin(fault)
        else:
            self.end(numbers[number], fault)
