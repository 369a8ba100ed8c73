"""Soak test: a few dozen router processes under random, overlapping faults, judged by rules and invariants.

`python -m ironrail.rehearsal.soak --seeds 1..10` plays one drawn world after another with real processes on
loopback. Beside the faults of the kit, routers are held up at random for up to 0.15 s (SIGSTOP, SIGCONT).
A seed fails where a rule of the kit is broken, a router crashes, or one counts a violation of an invariant.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import urllib.request
from dataclasses import dataclass
from typing import Any

import click

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.faults.plan import ARCHIVE, CACHES, LIST, LOAD, ROUTERS, VICTIMS
from ironrail.rehearsal.result import Result
from ironrail.rehearsal.run import Rehearsal
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import cache_names, router_names
from ironrail.rehearsal.scenario.units import write_time

ROUTER_PROCESSES = 24
CACHE_SERVERS = 10
LENGTH_SECONDS = 14.0
QUIET_END_SECONDS = 4.0  # without a new fault, in which service has to come back
FAULTS = (8, 14)  # at the fewest and at the most
LONGEST_HOLD_UP_SECONDS = 0.15
BETWEEN_HOLD_UPS_SECONDS = 0.25  # on average, over all routers
DOOR_PATIENCE_SECONDS = 2.0
TERM_LASTS = "4700 ms"  # from SIGTERM to the new process: longer than SIGKILL may take
KINDS = (
    FaultKind.VANISH, FaultKind.STALL, FaultKind.RESET, FaultKind.LATE_RESET, FaultKind.LATE_CONNECT,
    FaultKind.SPOILT, FaultKind.SECOND_ANSWER, FaultKind.ENDLESS, FaultKind.ERRORS, FaultKind.HANG,
    FaultKind.DRAIN, FaultKind.RESTART, FaultKind.ARCHIVE_SLOW, FaultKind.ARCHIVE_DOWN, FaultKind.LIST_SILENT,
    FaultKind.LIST_MOVES, FaultKind.WATCH_SILENT, FaultKind.WATCH_RESET, FaultKind.CLIENTS_LEAVE,
    FaultKind.ROUTER_RESTART, FaultKind.ROUTER_KILL,
)  # fmt: skip
SHARES = (FaultKind.RESET, FaultKind.LATE_RESET, FaultKind.SPOILT, FaultKind.ERRORS, FaultKind.SECOND_ANSWER)


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What one seed showed."""

    seed: int
    broken_rules: tuple[str, ...]  # each with an example
    crashes: tuple[str, ...]
    violations: dict[str, int]  # of invariants, by name, over all routers
    hold_ups: int
    served: float  # share of the worth
    no_verdict: str  # why the run tells nothing, if so

    @property
    def passed(self) -> bool:
        """Whether nothing was found."""
        return not (self.broken_rules or self.crashes or self.violations or self.no_verdict)


def draw_world(seed: int, routers: int = ROUTER_PROCESSES) -> Scenario:
    """The world of a seed; a second call gives an equal one."""
    draws = stream(seed, "soak.world")
    table: dict[str, Any] = {
        "summary": f"soak, seed {seed}",
        "length": write_time(LENGTH_SECONDS),
        "warm_up": "1 s",
        "load": {"rate": draws.uniform(60.0, 140.0), "keys": draws.choice([60, 400])},
        "clients": {"stay": draws.choice([0.0, 0.5]), "leave": 0.02, "pipelined": 0.05},
        "routers": {"count": routers, "descriptors": 256},
        "caches": {"count": CACHE_SERVERS, "warm": "3 s"},
        "registry": {"notice": "400 ms", "silent_notice": "2 s", "add": "300 ms", "spread": "100 ms"},
    }
    scenario = Scenario.model_validate(table)
    busy: set[str] = set()  # routers that a fault restarts: two plans for one process would cross
    faults = [_draw_fault(draws, scenario, busy) for _ in range(draws.randint(*FAULTS))]
    table["fault"] = sorted((fault for fault in faults if fault), key=lambda fault: float(fault["at"][:-3]))
    return Scenario.model_validate(table)


def _draw_fault(draws: random.Random, scenario: Scenario, busy: set[str]) -> dict[str, Any] | None:
    kind = draws.choice(KINDS)
    last = LENGTH_SECONDS - QUIET_END_SECONDS
    at = draws.uniform(0.2, last - 1.0)
    fault: dict[str, Any] = {
        "kind": kind.value,
        "at": f"{at * 1000:.0f} ms",
        "lasts": f"{draws.uniform(0.3, last - at) * 1000:.0f} ms",
    }
    if VICTIMS[kind] is CACHES:
        fault["whom"] = draws.choice(cache_names(scenario))
    elif VICTIMS[kind] is ROUTERS:
        fault["whom"] = draws.choice(router_names(scenario))
        if fault["whom"] in busy:
            return None
        busy.add(fault["whom"])
        fault["lasts"] = TERM_LASTS
    if kind in SHARES:
        fault["hard"] = draws.choice([0.05, 0.3])
    if kind is FaultKind.ARCHIVE_DOWN:
        fault["lasts"] = "800 ms"
    assert VICTIMS[kind] in (CACHES, ROUTERS, LIST, LOAD, ARCHIVE)
    return fault


class SoakRehearsal(Rehearsal):
    """A rehearsal whose routers are held up at random, and asked for their counters at the end."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        super().__init__(scenario, seed, at_rest=self._collect)
        self._hold_up_draws = stream(seed, "soak.hold_ups")
        self.hold_ups = 0
        self.violations: dict[str, int] = {}
        self._hold_ups: asyncio.Task[None] | None = None

    async def _load(self) -> None:
        self._hold_ups = self._spawn(self._hold_up_routers())
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
                    await asyncio.sleep(draws.uniform(0.0, LONGEST_HOLD_UP_SECONDS))
                finally:  # also where the run ends meanwhile: it could answer nobody
                    router.signal(signal.SIGCONT, asked=False)

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
    """Counters of a router's admin endpoint that are not 0; OSError where it does not answer."""
    url = f"http://{door[0]}:{door[1]}/-/metrics"
    with urllib.request.urlopen(url, timeout=DOOR_PATIENCE_SECONDS) as answer:
        lines = answer.read().decode().splitlines()
    found = []
    for line in lines:
        name, _, rest = line.partition(":")
        value = int(rest.partition("|")[0])
        if ".violation." in name and value:
            found.append((name.rpartition(".")[2], value))
    return found


async def soak(seed: int, routers: int = ROUTER_PROCESSES) -> SoakResult:
    """Play one seed with real processes."""
    rehearsal = SoakRehearsal(draw_world(seed, routers), seed)
    result: Result = await rehearsal.run()
    rules: dict[str, str] = {}
    for broken in result.broken:
        rules.setdefault(broken.rule, f"{broken.rule}: {broken.what} (request {broken.request})")
    facts = result.record.routers.items()
    crashes = tuple(f"{name}: {fact.crashed}" for name, fact in facts if fact.crashed)
    served = result.service.whole.share
    violations = rehearsal.violations
    return SoakResult(
        seed, tuple(rules.values()), crashes, violations, rehearsal.hold_ups, served, result.no_verdict
    )


def read_seeds(text: str) -> range:
    """`3` or `1..20`, both ends counted; click.BadParameter if it is neither."""
    first, dots, last = text.partition("..")
    try:
        return range(int(first), int(last if dots else first) + 1)
    except ValueError as error:
        raise click.BadParameter(f"a number or A..B, not {text!r}") from error


@click.command(epilog="Exit codes: 0 nothing found, 1 something found, 3 a run without a verdict.")
@click.option("--seeds", default="1..3", show_default=True, help="A number, or A..B.")
@click.option("--routers", type=click.IntRange(1, 64), default=ROUTER_PROCESSES, show_default=True)
def main(seeds: str, routers: int) -> None:
    """Play drawn worlds with real router processes and print what each showed."""
    results = []
    for seed in read_seeds(seeds):
        result = asyncio.run(soak(seed, routers))
        results.append(result)
        verdict = "ok" if result.passed else "NO VERDICT" if result.no_verdict else "FAILED"
        findings = [*result.broken_rules, *result.crashes, *map(str, result.violations.items())]
        print(f"seed {seed}: {verdict}, served {result.served:.3f}, {result.hold_ups} hold-ups", flush=True)
        for finding in findings + [result.no_verdict] * bool(result.no_verdict):
            print(f"  {finding}", flush=True)
    if any(not result.passed and not result.no_verdict for result in results):
        sys.exit(1)
    sys.exit(3 if any(result.no_verdict for result in results) else 0)


if __name__ == "__main__":
    main()
