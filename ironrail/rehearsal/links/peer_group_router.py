"""One router of a tier: its place, clock and disk, and the process that stands there now."""

from __future__ import annotations

import os
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from types import SimpleNamespace
from typing import Any, Protocol

from ironrail.admin.http_call import Response
from ironrail.net.config import config_of_table
from ironrail.net.peers import transport as transport_module
from ironrail.net.peers.policies import Policies
from ironrail.net.peers.runtime import PeerRuntime
from ironrail.net.system import System
from ironrail.operator_file import OperatorSettings
from ironrail.peers.consensus.messages import STEPS_PER_EPOCH, Scope
from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.links.peer_group_monitor import TierWatch
from ironrail.rehearsal.links.switch import Drifting, Slot, Switch
from ironrail.rehearsal.links.virtual_disk import MemoryDisk, VirtualKeeper, faulty
from ironrail.rehearsal.virtual.ground import EPOCH
from ironrail.rehearsal.virtual.loop import START, VirtualLoop
from ironrail.rehearsal.virtual.process import Process

USUAL_DRIFT = 0.0005  # of a clock that is being slewed; more is a fault, up to what is stated
MOST_AHEAD = 1e4  # seconds that a router's clocks are ahead: no two agree


class TierSystem:
    """The seam of `net/system.py`, of which only the clocks are asked for."""

    def __init__(self, loop: VirtualLoop, offset: float) -> None:
        """`offset`: seconds that this router's clocks are ahead."""
        self.now: Callable[[], float] = lambda: loop.time() + offset
        self.wall: Callable[[], float] = lambda: EPOCH + loop.time() - START + offset

    def listen(self, address: Any, backlog: int) -> Any:
        raise NotImplementedError

    def is_served(self, address: Any) -> bool:
        raise NotImplementedError

    def unread_check(self, transport: Any) -> Any:
        raise NotImplementedError

    def has_hung_up(self, transport: Any) -> bool:
        raise NotImplementedError

    def round_trip(self, transport: Any) -> float | None:
        raise NotImplementedError

    def startup_complete(self) -> None:
        """Nothing is to be freed here."""


@contextmanager
def drawing(draws: random.Random) -> Iterator[None]:
    """What the system would draw for a process comes from here, so that a world can be played again."""
    vars(transport_module)["os"] = SimpleNamespace(urandom=draws.randbytes)
    try:
        yield
    finally:
        vars(transport_module)["os"] = os


class World(Protocol):
    """What a router has of the tier that it stands in."""

    seed: int
    names: list[str]
    loop: VirtualLoop
    watch: TierWatch
    operator: OperatorSettings
    disks: bool  # voters keep their record

    def table(self, router: TierRouter) -> dict[str, Any]:
        """What the platform tells a router."""

    def guided(self, guidance: object) -> None:
        """Takes what is decided by."""


class TierRouter:
    """A router's place: its number, clock and disk, and the process that stands there now."""

    def __init__(self, tier: World, number: int) -> None:
        draws = stream(tier.seed, f"tier.router.{number}")
        self.tier, self.number, self.name = tier, number, tier.names[number]
        self.switch = Switch()
        self.rate = self.switch[Slot.CLOCK] = draws.uniform(-USUAL_DRIFT, USUAL_DRIFT)
        self.system: System = Drifting(TierSystem(tier.loop, draws.uniform(0.0, MOST_AHEAD)), self.switch)
        self.disk = MemoryDisk()
        self.draws = draws
        self.starts = 0
        self.process: Process | None = None
        self.together: PeerRuntime | None = None
        self.sent_before = 0  # bytes of processes that are gone

    @property
    def up(self) -> bool:
        return self.process is not None and self.process.alive and not self.process.frozen

    @property
    def sent(self) -> int:
        """Bytes of datagrams since the beginning."""
        now = self.together.transport.counters()["sent_bytes"] if self.together is not None else 0
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
        with drawing(self.draws):
            made = PeerRuntime(config, tier.operator, self.system, tier.guided, store if tier.disks else None)
        policies = made.policies
        assert policies is not None
        if policies._record_writer is not None:
            policies._record_writer = VirtualKeeper(store, self.switch, policies._on_record_written)  # type: ignore[assignment]
        made.transport._after_event = partial(tier.watch.looked, self, made.transport._after_event)
        self.together = made
        await made.open()

    @property
    def policies(self) -> Policies:
        """Of the process that is here now."""
        assert self.together is not None and self.together.policies is not None
        return self.together.policies

    def propose(self, version: int) -> Response:
        """Ask it for a change, as an operator would."""
        return self._called(self.policies.propose, f"version = {version}\nrates = {{ daily = {version} }}\n")

    def found(self, epoch: int = 1, version: int = 1) -> Response:
        """The first policy, by hand."""
        return self._called(self.policies.bootstrap, f"epoch = {epoch}\nversion = {version}\n")

    def _called(self, call: Callable[[bytes], Response], text: str) -> Response:
        assert self.process is not None
        return self.process.context.run(call, text.encode())

    def scope(self) -> Scope:
        """What a decision at this instant would obey: as the driver finds it, not the room alone."""
        process, together = self.process, self.together
        if process is None or not process.alive or together is None or together.policies is None:
            return ()
        policies, now = self.policies, self.system.now()
        if policies._published is not None and now < policies._valid_until:
            return policies._published.scope
        return policies.protocol.effective_policy(now).scope

    def versions(self) -> tuple[int, ...]:
        """The versions of it, nothing where no process goes on."""
        return tuple(version % STEPS_PER_EPOCH for version in self.scope()) if self.up else ()
