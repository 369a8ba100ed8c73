"""A group of peer routers in virtual time, without servers and clients: only their peer protocols run.

Each router is a virtual process that runs the daemon's own `PeerRuntime` with its own clock; one loop carries
a thousand of them. A fault plan can hit datagrams, processes, clocks and voters' disks.
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
from ironrail.rehearsal.links.paths import Path, PathEnds, path_of
from ironrail.rehearsal.links.peer_group_monitor import PeerGroupMonitor
from ironrail.rehearsal.links.peer_group_router import PeerGroupRouter
from ironrail.rehearsal.links.plan import LINKS, Kind, LinkFault, steps
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import router_names, zone_of
from ironrail.rehearsal.settings import config_of
from ironrail.rehearsal.virtual.datagrams import Datagrams
from ironrail.rehearsal.virtual.loop import LOOP_START_SECONDS, VirtualLoop

PEER_PORT = 11311
BROADCAST_ADDRESS = f"127.63.0.1:{PEER_PORT}"
SECRET = b"a key of all routers"
MAX_PLAN_SECONDS = 600.0


@dataclass(frozen=True, slots=True)
class InlineKeyPeerSettings(PeerSettings):
    """Peer settings whose shared key is given in code, not read from a file."""

    def load_secrets(self) -> dict[int, bytes]:
        return {1: SECRET}


class VirtualPeerGroup:
    """Routers that are peers of each other, with their loop, datagram network and monitor."""

    def __init__(
        self,
        routers: int,
        seed: int,
        voters: Sequence[int] = (0, 1, 2),
        *,
        disks: bool = True,
        loop_factory: Callable[[int], VirtualLoop] = VirtualLoop,
        datagrams_class: type[Datagrams] = Datagrams,
        **peers: Any,
    ) -> None:
        """Creates the routers; none is started yet.

        Args:
            routers: Number of routers.
            seed: Seed of all random streams of the group.
            voters: Indexes of the voters.
            disks: Whether voters store their record on a virtual disk.
            loop_factory: Creates the event loop from the seed.
            datagrams_class: Class of the virtual datagram network.
            peers: Other fields of the operator's `[peers]` table.
        """
        self.seed, self.disks = seed, disks
        self.loop = loop_factory(seed)
        self.draws: random.Random = stream(seed, "tier.draws")
        table = {"summary": "a tier", "length": f"{MAX_PLAN_SECONDS} s", "routers": {"count": routers}}
        self.scenario = Scenario.model_validate(table)
        self.places = PathEnds.of(self.scenario)
        self.names = router_names(self.scenario)
        zones = tuple(zone_of(self.scenario, n) for n in range(routers))
        self.operator = OperatorSettings(
            peers=InlineKeyPeerSettings(
                key_files={1: ""},
                sending_key_id=1,
                zones=zones,
                voters=tuple(voters),
                start_mode="floor",
                **peers,
            )
        )
        self.voters = tuple(voters)
        self.addresses = [f"127.{64 + n % 128}.{n // 128}.1:{PEER_PORT}" for n in range(routers)]
        self.exchange = Exchange(seed, self.names)
        known = {n: read_address(a) for n, a in zip(self.names, self.addresses, strict=True)}
        self.loop.datagrams = datagrams_class(
            self.loop, self.exchange, known, read_address(BROADCAST_ADDRESS)
        )
        self.monitor = PeerGroupMonitor(self.loop.time)
        self.routers = [PeerGroupRouter(self, n) for n in range(routers)]
        self._faults = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        """Ends all processes and drops pending callbacks, so that none runs in a later group."""
        for router in self.routers:
            if router.process is not None:
                router.process.end(0)
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop._ready.clear()  # type: ignore[attr-defined]
        self.loop._scheduled.clear()  # type: ignore[attr-defined]
        self.loop.close()

    def router_config(self, router: PeerGroupRouter) -> dict[str, Any]:
        """Returns the configuration that the platform gives to a router."""
        number = router.number
        seed = self.seed * 1000 + router.incarnation
        table = config_of(
            self.scenario, seed, number, router.name, "127.0.0.1:1", "127.0.0.1:2", [], "127.0.0.1:3"
        )
        address = self.addresses[number]
        return table | {"peer_listen": address, "peers": self.addresses, "peers_all": BROADCAST_ADDRESS}

    def on_guidance(self, guidance: object) -> None:
        """Ignores the guidance: no requests are routed here."""

    # Time

    def now(self) -> float:
        """Returns the virtual seconds since the loop was created."""
        return self.loop.time() - LOOP_START_SECONDS

    def run(self, seconds: float) -> None:
        """Advances virtual time; fails if a router raised an exception meanwhile."""
        self.loop.run_until_complete(asyncio.sleep(seconds))
        assert not self.loop.errors, self.loop.errors[:3]

    def wait_until(self, done: Callable[[], bool], within: float, step: float = 0.05) -> float | None:
        """Advances virtual time until `done()` is true.

        Returns the seconds that this took, accurate to `step`, or None if it took longer than `within`.
        """
        began = self.now()
        while not done():
            if self.now() >= began + within:
                return None
            self.run(step)
        return self.now() - began

    def bootstrap_all(self, within: float = 300.0) -> float | None:
        """Starts all routers and bootstraps the first policy at the first voter.

        Its datagrams may be lost, so the bootstrap is repeated each second until all voters have a policy.

        Returns the seconds until all routers decide by version 1, or None if that took longer than `within`.
        """
        for router in self.routers:
            router.start()
        self.run(1.0)
        began = self.now()
        first = self.routers[self.voters[0]]
        while self.now() < began + within and not all(self.routers[v].versions() for v in self.voters):
            first.bootstrap()
            self.run(1.0)
        decide = self.wait_until(lambda: all(r.versions() == (1,) for r in self.routers), within, 0.25)
        return None if decide is None else self.now() - began

    # Faults

    def path(self, text: str) -> Path:
        return path_of(text, self.places)

    def begin(self, fault: LinkFault, path: Path | None = None) -> int:
        """Begins a fault and returns the number to end it with; `path` replaces the one that it names."""
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
        """Ends a fault; a process that was killed is started again."""
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
        """Schedules the steps of the plan; its times count from now."""
        numbers: dict[int, int] = {}
        for step in steps(plan):
            call = partial(self._step, step.number, step.begins, step.fault, numbers)
            self.loop.call_at(self.loop.time() + step.at, call, context=self.loop.outside)

    def _step(self, number: int, begins: bool, fault: LinkFault, numbers: dict[int, int]) -> None:
        if begins:
            numbers[number] = self.begin(fault)
        else:
            self.end(numbers[number], fault)
