"""A rehearsal with the soak's own troubles, whose routers are asked for their counters at the end."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import urllib.request

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.ground import RealGround, Router
from ironrail.rehearsal.routers import OWN_ROUTER, Exit
from ironrail.rehearsal.run import Rehearsal
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import router_names
from ironrail.rehearsal.soak.crowd import IdleCrowd
from ironrail.rehearsal.soak.troubles import Crowd, SecondTerm, draw_troubles
from ironrail.rehearsal.soak.world import kill_after

MAX_HOLD_UP_SECONDS = 0.15
BETWEEN_HOLD_UPS_SECONDS = 0.25  # on average, over all routers
ADMIN_TIMEOUT_SECONDS = 2.0
STAYING_SHARE = 0.5  # of all tries go on on open connections to routers that were told to end


class SoakRehearsal(Rehearsal):
    """A rehearsal whose routers are held up, signalled in series and crowded."""

    def __init__(self, scenario: Scenario, seed: int, command: tuple[str, ...] = OWN_ROUTER) -> None:
        super().__init__(scenario, seed, ground=RealGround(command), at_rest=self._collect)
        self._hold_up_draws = stream(seed, "soak.hold_ups")
        self._troubles = draw_troubles(seed, scenario)
        self._early_terms = dict(self._troubles.early_terms)
        self._started_again: set[str] = set()
        self._hold_ups: asyncio.Task[None] | None = None
        self.hold_ups = 0
        self.violations: dict[str, int] = {}

    async def _load(self) -> None:
        self._clients.staying_share = STAYING_SHARE
        self._hold_ups = self._spawn(self._hold_up_routers())
        for term in self._troubles.second_terms:
            self._spawn(self._send_second_term(term))
        for crowd in self._troubles.crowds:
            self._spawn(self._crowd(crowd))
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
                finally:  # also where the run ends meanwhile: it could answer nobody
                    router.signal(signal.SIGCONT, asked=False)

    async def _send_second_term(self, term: SecondTerm) -> None:
        await asyncio.sleep(max(0.0, term.at - self._world.now()))
        if term.router not in self._started_again:
            self._routers[term.router].signal(signal.SIGTERM)

    async def _crowd(self, crowd: Crowd) -> None:
        await asyncio.sleep(max(0.0, crowd.at - self._world.now()))
        await IdleCrowd(self._routers[crowd.router].address, crowd.connections).stay(crowd.seconds)

    async def _start_again(self, router: Router) -> None:
        """Start a router; some are told to end once more before they are ready, and start again."""
        self._started_again.add(router.name)
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
            self._record_initial_list(
                router.name
            )  # what counts as told does so from this process's first moment
        await super()._start_again(router)

    def _on_exit(self, router: Router, end: Exit) -> None:
        ended_early = router.name in self._early_terms and end.code == -signal.SIGTERM
        if not (end.asked and ended_early):  # a process that has no handlers yet ends by the signal
            super()._on_exit(router, end)

    async def _collect(self) -> None:
        """Read the counters of all routers, none of which is held up any more."""
        if self._hold_ups is not None:
            self._hold_ups.cancel()
            await asyncio.wait([self._hold_ups])
        for router in self._routers.values():
            if router.running:
                for name, value in await asyncio.to_thread(read_violations, router.door):
                    self.violations[name] = self.violations.get(name, 0) + value


def read_violations(door: tuple[str, int]) -> list[tuple[str, int]]:
    """Return the counters of violations at a router's admin endpoint that are not 0.

    Raises:
        OSError: The endpoint does not answer.
    """
    url = f"http://{door[0]}:{door[1]}/-/metrics"
    with urllib.request.urlopen(url, timeout=ADMIN_TIMEOUT_SECONDS) as answer:
        lines = answer.read().decode().splitlines()
    found = []
    for line in lines:
        name, _, rest = line.partition(":")
        value = int(rest.partition("|")[0])
        if ".violation." in name and value:
            found.append((name.rpartition(".")[2], value))
    return found
