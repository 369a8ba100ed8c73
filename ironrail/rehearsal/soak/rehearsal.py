"""A rehearsal with the soak's extra faults, which reads the routers' violation counters at its end."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import urllib.request
from pathlib import Path

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.ground import RealGround, Router, ready
from ironrail.rehearsal.routers import OWN_ROUTER, Exit
from ironrail.rehearsal.run import Rehearsal
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import router_names
from ironrail.rehearsal.soak.extra_faults import IdleLoad, SecondTerm, draw_extra_faults
from ironrail.rehearsal.soak.idle_connections import IdleConnectionPool
from ironrail.rehearsal.soak.world import kill_after
from ironrail.rehearsal.syscalls.bursts import Burst
from ironrail.rehearsal.syscalls.control import SyscallFaults

MAX_HOLD_UP_SECONDS = 0.15
BETWEEN_HOLD_UPS_SECONDS = 0.25  # mean, over all routers
ADMIN_TIMEOUT_SECONDS = 2.0
STAYING_FRACTION = 0.5  # of all tries that keep using open connections to routers after their SIGTERM


class SoakRehearsal(Rehearsal):
    """A rehearsal whose routers are suspended, signalled several times and filled with idle connections."""

    def __init__(self, scenario: Scenario, seed: int, command: tuple[str, ...] = OWN_ROUTER) -> None:
        ground = RealGround(command, self._environment_of)
        super().__init__(scenario, seed, ground=ground, at_rest=self._collect)
        self._syscalls: dict[str, SyscallFaults] = {}
        self.failed_calls = 0
        self._hold_up_draws = stream(seed, "soak.hold_ups")
        self._extra_faults = draw_extra_faults(seed, scenario)
        self._early_terms = dict(self._extra_faults.early_terms)
        self._started_again: set[str] = set()
        self._starting: set[str] = set()  # routers whose new process is not ready yet
        self._hold_ups: asyncio.Task[None] | None = None
        self.hold_ups = 0
        self.violations: dict[str, int] = {}

    def _environment_of(self, name: str, folder: Path) -> dict[str, str]:
        """Return the variables with which all processes of a router are started."""
        if name not in self._syscalls:
            self._syscalls[name] = SyscallFaults(folder / f"{name}.syscalls")
        return self._syscalls[name].environment()

    async def _load(self) -> None:
        self._clients.staying_share = STAYING_FRACTION
        self._hold_ups = self._spawn(self._hold_up_routers())
        for term in self._extra_faults.second_terms:
            self._spawn(self._send_second_term(term))
        for idle_load in self._extra_faults.idle_loads:
            self._spawn(self._hold_idle_connections(idle_load))
        for burst in self._extra_faults.bursts:
            self._spawn(self._fail_calls(burst))
        await super()._load()

    async def _hold_up_routers(self) -> None:
        draws = self._hold_up_draws
        while self._world.now() < self._scenario.length:
            await asyncio.sleep(draws.expovariate(1 / BETWEEN_HOLD_UPS_SECONDS))
            router = self._routers[draws.choice(router_names(self._scenario))]
            if router.running:
                self.hold_ups += 1
                router.signal(signal.SIGSTOP, asked=False)
                try:
                    await asyncio.sleep(draws.uniform(0.0, MAX_HOLD_UP_SECONDS))
                finally:  # also if the run ends meanwhile: a suspended router can't answer
                    router.signal(signal.SIGCONT, asked=False)

    async def _send_second_term(self, term: SecondTerm) -> None:
        await asyncio.sleep(max(0.0, term.at - self._world.now()))
        if term.router not in self._started_again:
            self._routers[term.router].signal(signal.SIGTERM)

    async def _hold_idle_connections(self, idle_load: IdleLoad) -> None:
        await asyncio.sleep(max(0.0, idle_load.at - self._world.now()))
        await IdleConnectionPool(self._routers[idle_load.router].address, idle_load.connections).stay(
            idle_load.seconds
        )

    def burst_labels(self) -> tuple[str, ...]:
        """Return the drawn bursts of failing system calls, one line each."""
        return tuple(burst.label() for burst in self._extra_faults.bursts)

    async def _fail_calls(self, burst: Burst) -> None:
        await asyncio.sleep(max(0.0, burst.at - self._world.now()))
        router, faults = self._routers[burst.router], self._syscalls[burst.router]
        if not router.running or burst.router in self._starting:
            return  # the interpreter's own start is not under test
        call = burst.failing.call
        faults.fail(call, burst.failing.error, per_thousand=burst.per_thousand)
        await asyncio.sleep(burst.seconds)
        self.failed_calls += faults.failed(call)
        faults.clear(call)

    async def _start_again(self, router: Router) -> None:
        """Start a router; some get another SIGTERM before they are ready, and are started once more."""
        self._started_again.add(router.name)
        self._starting.add(router.name)
        self._syscalls[router.name].clear_all()
        after = self._early_terms.get(router.name)
        if after is not None:
            await router.start()
            await asyncio.sleep(after)
            router.signal(signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(kill_after(self._scenario)):
                    await router.ended()
            if router.running:
                router.facts.crashed = "it did not end on a SIGTERM right after its start"
            await router.kill()
            del self._early_terms[router.name]
            self._record_initial_list(router.name)  # notices count from the start of this process
        await super()._start_again(router)
        self._spawn(self._note_ready(router))

    async def _note_ready(self, router: Router) -> None:
        if await ready(router):
            self._starting.discard(router.name)

    def _on_exit(self, router: Router, end: Exit) -> None:
        ended_early = router.name in self._early_terms and end.code == -signal.SIGTERM
        if not (end.asked and ended_early):  # a process without signal handlers yet is ended by the signal
            super()._on_exit(router, end)

    async def _collect(self) -> None:
        """Stop the suspensions and read the counters of all routers."""
        for faults in self._syscalls.values():
            faults.clear_all()
        if self._hold_ups is not None:
            self._hold_ups.cancel()
            await asyncio.wait([self._hold_ups])
        for router in self._routers.values():
            if router.running:
                for name, value in await asyncio.to_thread(read_violations, router.admin_endpoint):
                    self.violations[name] = self.violations.get(name, 0) + value


def read_violations(admin_endpoint: tuple[str, int]) -> list[tuple[str, int]]:
    """Return the non-zero counters of violations and internal errors from a router's admin endpoint.

    Raises:
        OSError: The endpoint does not answer.
    """
    url = f"http://{admin_endpoint[0]}:{admin_endpoint[1]}/-/metrics"
    with urllib.request.urlopen(url, timeout=ADMIN_TIMEOUT_SECONDS) as answer:
        lines = answer.read().decode().splitlines()
    found = []
    for line in lines:
        name, _, rest = line.partition(":")
        value = int(rest.partition("|")[0])
        if name.split(".")[1] in ("violation", "internal_error") and value:
            found.append((name.rpartition(".")[2], value))
    return found
