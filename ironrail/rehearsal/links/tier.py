"""A tier of routers in virtual time without servers and clients: what they say to one another, and nothing else.

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
from types import SimpleNamespace
from typing import Any, Self
from unittest import mock

from ironrail.net import peering
from ironrail.net.config import config_of_table
from ironrail.net.lists import read_address
from ironrail.net.together import Together
from ironrail.operator_file import Operator, Peers
from ironrail.peers.accord.messages import EPOCH as EPOCH_STEPS
from ironrail.peers.accord.messages import Scope
from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.links.exchange import Exchange
from ironrail.rehearsal.links.paths import Path, Places, path_of
from ironrail.rehearsal.links.plan import LINKS, Kind, LinkFault, steps
from ironrail.rehearsal.links.rig import SLOTS
from ironrail.rehearsal.links.switch import Drifting, Slot, Switch
from ironrail.rehearsal.links.tierdisk import MemoryDisk, VirtualKeeper, faulty
from ironrail.rehearsal.links.tierwatch import TierWatch
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.settings import config_of
from ironrail.rehearsal.virtual.datagrams import Datagrams
from ironrail.rehearsal.virtual.ground import EPOCH
from ironrail.rehearsal.virtual.loop import START, VirtualLoop
from ironrail.rehearsal.virtual.process import Process

PORT = 11311
TO_ALL = f"127.63.0.1:{PORT}"
SECRET = b"a key of all routers"
USUAL_DRIFT = 0.0005  # of a clock that is being slewed; more is a fault, up to what is stated
HALLS = ("hall-a", "hall-b", "hall-c")


@dataclass(frozen=True, slots=True)
class Known(Peers):
    """Peers whose key lies in no file."""

    def secrets(self) -> dict[int, bytes]:
        return {1: SECRET}


class TierSystem:
    """The seam of `net/system.py`, of which only the clocks are asked for."""

    def __init__(self, loop: VirtualLoop, offset: float) -> None:
        """`offset`: seconds that this router's clocks are ahead: no two agree."""
        self.now: Callable[[], float] = lambda: loop.time() + offset
        self.wall: Callable[[], float] = lambda: EPOCH + loop.time() - START + offset

    def listen(self, address: Any, backlog: int) -> Any:
        raise NotImplementedError

    def served(self, address: Any) -> bool:
        raise NotImplementedError

    def unread(self, transport: Any) -> Any:
        raise NotImplementedError

    def settled(self) -> None:
        """Nothing is to be freed here."""


class TierRouter:
    """A router's place: its number, clock and disk, and the process that stands there now."""

    def __init__(self, tier: Tier, number: int) -> None:
        draws = stream(tier.seed, f"tier.router.{number}")
        self.tier, self.number, self.name = tier, number, tier.names[number]
        self.switch = Switch()
        self.rate = self.switch[Slot.CLOCK] = draws.uniform(-USUAL_DRIFT, USUAL_DRIFT)
        self.system = Drifting(TierSystem(tier.loop, draws.uniform(0.0, 1e4)), self.switch)
        self.disk = MemoryDisk()
        self.draws = draws
        self.starts = 0
        self.process: Process | None = None
        self.together: Together | None = None
        self.sent_before = 0  # bytes of processes that are gone

    @property
    def up(self) -> bool:
        return self.process is not None and self.process.alive and not self.process.frozen

    @property
    def sent(self) -> int:
        """Bytes of datagrams since the beginning."""
        now = self.together.peering.figures()["sent_bytes"] if self.together is not None else 0
        return self.sent_before + now

    def start(self) -> None:
        """Have a process here, which remembers what its disk does."""
        assert self.process is None or not self.process.alive
        if self.together is not None:
            self.sent_before, self.together = self.sent, None
        self.starts += 1
        self.process = Process(self.name, self.tier.loop, lambda code: None)
        self.tier.loop.start(self._run(self.process), self.process)

    async def _run(self, process: Process) -> None:
        tier, store = self.tier, faulty(self.disk, self.switch, self.draws)
        config = config_of_table(tier.table(self), {})
        # what the system draws for it is drawn here, so that a world can be played again
        drawn = SimpleNamespace(urandom=self.draws.randbytes)
        with mock.patch.object(peering, "os", drawn):
            made = Together(config, tier.operator, self.system, tier.guided, store if tier.disks else None)
        policies = made.policies
        assert policies is not None
        if policies._keeper is not None:
            policies._keeper = VirtualKeeper(store, self.switch, policies._done)  # type: ignore[assignment]
        made.peering._settled = partial(tier.watch.looked, self, made.peering._settled)
        self.together = made
        await made.open()

    def ask(self, call: Callable[[Together], Any]) -> Any:
        """Call something of this router as its own process would."""
        assert self.process is not None and self.together is not None
        return self.process.context.run(call, self.together)

    def scope(self) -> Scope:
        """What a decision at this instant would obey: as the driver finds it, not the room alone."""
        process, together = self.process, self.together
        if process is None or not process.alive or together is None or together.policies is None:
            return ()
        policies, now = together.policies, self.system.now()
        if policies._followed is not None and now < policies._until:
            return policies._followed.scope
        return policies.room.decides_by(now).scope

    def versions(self) -> tuple[int, ...]:
        """The versions of it, nothing where no process goes on."""
        return tuple(version % EPOCH_STEPS for version in self.scope()) if self.up else ()


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
        self.names = [f"router-{n + 1}" for n in range(routers)]
        halls = tuple(HALLS[n % len(HALLS)] for n in range(routers))
        self.operator = Operator(
            peers=Known(keys={1: ""}, sending=1, halls=halls, voters=tuple(voters), start="floor", **peers)
        )
        self.voters = tuple(voters)
        self._world = Scenario.model_validate({"summary": "a tier", "length": "1 s", "routers": {"count": routers}})
        self.addresses = [f"127.{64 + n % 128}.{n // 128}.1:{PORT}" for n in range(routers)]
        groups = {name: frozenset({name}) for name in self.names} | {"routers": frozenset(self.names)}
        for hall in HALLS:
            groups[hall] = frozenset(n for n, h in zip(self.names, halls, strict=True) if h == hall)
        self.places = Places(groups["routers"], groups)
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
        table = config_of(self._world, seed, number, router.name, "127.0.0.1:1", "127.0.0.1:2", [], "127.0.0.1:3")
        address = self.addresses[number]
        return table | {"peer_listen": address, "peers": self.addresses, "peers_all": TO_ALL}

    @staticmethod
    def guided(guidance: object) -> None:
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

    # What goes wrong

    def path(self, text: str) -> Path:
        return path_of(text, self.places)

    def begin(self, fault: LinkFault, path: Path | None = None) -> int:
        """Begin it; its number, to end it by. `path`: in place of the named one, for groups without a name."""
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
