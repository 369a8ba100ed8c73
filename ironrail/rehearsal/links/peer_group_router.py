"""One router of a virtual peer group: its index, clock and disk, and its current process."""

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
from ironrail.rehearsal.links.peer_group_monitor import PeerGroupMonitor
from ironrail.rehearsal.links.switch import DriftingSystem, Slot, Switch
from ironrail.rehearsal.links.virtual_disk import MemoryDisk, VirtualRecordWriter, make_faulty_store
from ironrail.rehearsal.virtual.loop import LOOP_START_SECONDS, VirtualLoop
from ironrail.rehearsal.virtual.process import Process
from ironrail.rehearsal.virtual.system import SIMULATION_START_UNIX_SECONDS

MAX_NORMAL_DRIFT_RATIO = 0.0005  # drift of a clock that is being slewed; a larger one is injected as a fault
MAX_CLOCK_OFFSET_SECONDS = 1e4  # so that the clocks of no two routers agree


class VirtualClockSystem:
    """Implements `net.system.System` with virtual clocks; peers use nothing else of it."""

    def __init__(self, loop: VirtualLoop, offset: float) -> None:
        """Creates the clocks, `offset` seconds ahead of the loop's."""
        self.now: Callable[[], float] = lambda: loop.time() + offset
        self.wall: Callable[[], float] = lambda: (
            SIMULATION_START_UNIX_SECONDS + loop.time() - LOOP_START_SECONDS + offset
        )

    def listen(self, address: Any, backlog: int) -> Any:
        raise NotImplementedError

    def is_served(self, address: Any) -> bool:
        raise NotImplementedError

    def unread_check(self, transport: Any) -> Any:
        raise NotImplementedError

    def unsent_bytes(self, transport: Any) -> int:
        raise NotImplementedError

    def has_hung_up(self, transport: Any) -> bool:
        raise NotImplementedError

    def on_signal(self, number: Any, callback: Any) -> Any:
        raise NotImplementedError

    def run_pending_signals(self) -> None:
        raise NotImplementedError

    def round_trip(self, transport: Any) -> float | None:
        raise NotImplementedError

    def startup_complete(self) -> None:
        """Does nothing: a virtual process has no startup memory to free."""


@contextmanager
def seeded_urandom(draws: random.Random) -> Iterator[None]:
    """Replaces `os.urandom` of the peer transport by a seeded stream, so that a run can be repeated."""
    vars(transport_module)["os"] = SimpleNamespace(urandom=draws.randbytes)
    try:
        yield
    finally:
        vars(transport_module)["os"] = os


class PeerGroup(Protocol):
    """What a router uses of its peer group."""

    seed: int
    names: list[str]
    loop: VirtualLoop
    monitor: PeerGroupMonitor
    operator: OperatorSettings
    disks: bool  # whether voters store their record

    def router_config(self, router: PeerGroupRouter) -> dict[str, Any]:
        """Returns the configuration that the platform gives to a router."""

    def on_guidance(self, guidance: object) -> None:
        """Receives the guidance that requests would be routed by."""


class PeerGroupRouter:
    """A router: its index, clock and disk, which outlive a process, and the current process."""

    def __init__(self, group: PeerGroup, number: int) -> None:
        draws = stream(group.seed, f"tier.router.{number}")
        self.group, self.number, self.name = group, number, group.names[number]
        self.switch = Switch()
        self.rate = self.switch[Slot.CLOCK] = draws.uniform(-MAX_NORMAL_DRIFT_RATIO, MAX_NORMAL_DRIFT_RATIO)
        self.system: System = DriftingSystem(
            VirtualClockSystem(group.loop, draws.uniform(0.0, MAX_CLOCK_OFFSET_SECONDS)), self.switch
        )
        self.disk = MemoryDisk()
        self.draws = draws
        self.incarnation = 0
        self.process: Process | None = None
        self.peer_runtime: PeerRuntime | None = None
        self.past_incarnations_sent_bytes = 0

    @property
    def is_up(self) -> bool:
        return self.process is not None and self.process.alive and not self.process.frozen

    @property
    def sent_bytes(self) -> int:
        """Bytes of datagrams sent by all processes of this router."""
        now = self.peer_runtime.transport.counters()["sent_bytes"] if self.peer_runtime is not None else 0
        return self.past_incarnations_sent_bytes + now

    def start(self) -> None:
        """Starts a new process, which knows only what the disk holds."""
        assert self.process is None or not self.process.alive
        if self.peer_runtime is not None:
            self.past_incarnations_sent_bytes, self.peer_runtime = self.sent_bytes, None
        self.incarnation += 1
        self.process = Process(self.name, self.group.loop, lambda code: None)
        self.group.loop.start(self._run(self.process), self.process)

    async def _run(self, process: Process) -> None:
        group, store = self.group, make_faulty_store(self.disk, self.switch, self.draws)
        config = config_of_table(group.router_config(self), {})
        with seeded_urandom(self.draws):
            runtime = PeerRuntime(
                config, group.operator, self.system, group.on_guidance, store if group.disks else None
            )
        policies = runtime.policies
        assert policies is not None
        if policies._record_writer is not None:
            policies._record_writer = VirtualRecordWriter(store, self.switch, policies._on_record_written)  # type: ignore[assignment]
        runtime.transport._after_event = partial(
            group.monitor.check_after, self, runtime.transport._after_event
        )
        self.peer_runtime = runtime
        await runtime.open()

    @property
    def policies(self) -> Policies:
        """The policies of the current process."""
        assert self.peer_runtime is not None and self.peer_runtime.policies is not None
        return self.peer_runtime.policies

    def propose(self, version: int) -> Response:
        """Proposes a policy change, as an operator would."""
        return self._called(self.policies.propose, f"version = {version}\nrates = {{ daily = {version} }}\n")

    def bootstrap(self, epoch: int = 1, version: int = 1) -> Response:
        """Submits the first policy, as an operator would."""
        return self._called(self.policies.bootstrap, f"epoch = {epoch}\nversion = {version}\n")

    def _called(self, call: Callable[[bytes], Response], text: str) -> Response:
        assert self.process is not None
        return self.process.context.run(call, text.encode())

    def scope(self) -> Scope:
        """Returns the policy steps that a decision now would obey.

        Goes by what `Policies` has published, and asks the protocol only once that is no longer valid.
        """
        process, peer_runtime = self.process, self.peer_runtime
        if process is None or not process.alive or peer_runtime is None or peer_runtime.policies is None:
            return ()
        policies, now = self.policies, self.system.now()
        if policies._published is not None and now < policies._valid_until:
            return policies._published.scope
        return policies.protocol.effective_policy(now).scope

    def versions(self) -> tuple[int, ...]:
        """Returns the policy versions of `scope()`, empty while no process runs."""
        return tuple(version % STEPS_PER_EPOCH for version in self.scope()) if self.is_up else ()
