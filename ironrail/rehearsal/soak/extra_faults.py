"""Draws the faults that a soak adds to a scenario's: further SIGTERMs and idle connections. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import router_names
from ironrail.rehearsal.soak.world import RESTARTS_UNTIL_SECONDS
from ironrail.rehearsal.syscalls.bursts import Burst, draw_bursts

SECOND_TERM_FRACTION = 0.5  # of restarts
MAX_SECOND_TERM_SECONDS = 1.2  # after the first; later only few requests are still open
EARLY_TERM_FRACTION = 0.7  # of restarts before `EARLY_TERM_UNTIL_SECONDS`
EARLY_TERM_UNTIL_SECONDS = 6.0  # latest restart, so that a second shutdown fits into the run
MAX_EARLY_TERM_SECONDS = 0.5  # after the start of the process, before or after it is ready
IDLE_LOAD_FRACTION = 0.5  # of scenarios
IDLE_LOAD_COUNT = (1, 2)  # minimum and maximum number of routers affected in such a scenario
IDLE_LOAD_SECONDS = (3.0, 6.0)
BURSTS_UNTIL_SECONDS = 11.0
ENDING_MOMENTS_SECONDS = (0.0, 0.3, 0.8)  # after SIGTERM: its notice, the end of accepting, the closes


@dataclass(frozen=True, slots=True)
class SecondTerm:
    """A further SIGTERM to a router that is already shutting down."""

    at: float  # seconds from the start of the load
    router: str


@dataclass(frozen=True, slots=True)
class IdleLoad:
    """Idle clients that use up all descriptors of a router."""

    at: float  # seconds from the start of the load
    router: str
    connections: int
    seconds: float


@dataclass(frozen=True, slots=True)
class ExtraFaults:
    """All extra faults of one seed."""

    second_terms: tuple[SecondTerm, ...]
    early_terms: dict[str, float]  # seconds from a router's restart to the next SIGTERM
    idle_loads: tuple[IdleLoad, ...]
    bursts: tuple[Burst, ...]  # of failing system calls


def draw_extra_faults(seed: int, scenario: Scenario) -> ExtraFaults:
    """Draw the extra faults of a seed; equal arguments give equal results."""
    return ExtraFaults(
        _draw_second_terms(seed, scenario),
        _draw_early_terms(seed, scenario),
        _draw_idle_loads(seed, scenario),
        _draw_bursts(seed, scenario),
    )


def _draw_bursts(seed: int, scenario: Scenario) -> tuple[Burst, ...]:
    """Draw bursts of failing calls: anywhere, and around the ends of routers and their reloads."""
    draws = stream(seed, "soak.syscalls")
    names = router_names(scenario)
    ends = [f for f in scenario.faults if f.kind is FaultKind.ROUTER_RESTART]
    near = [(fault.at + draws.choice(ENDING_MOMENTS_SECONDS), fault.whom) for fault in ends]
    moves = [fault.at for fault in scenario.faults if fault.kind is FaultKind.LIST_MOVES]
    near += [(at, draws.choice(names)) for at in moves]
    return draw_bursts(draws, names, BURSTS_UNTIL_SECONDS, near)


def _draw_second_terms(seed: int, scenario: Scenario) -> tuple[SecondTerm, ...]:
    draws = stream(seed, "soak.second_terms")
    found = []
    for fault in scenario.faults:
        if fault.kind is FaultKind.ROUTER_RESTART and draws.random() < SECOND_TERM_FRACTION:
            after = draws.uniform(0.0, MAX_SECOND_TERM_SECONDS)
            found.append(SecondTerm(fault.at + after, fault.whom))
    return tuple(sorted(found, key=lambda term: term.at))


def _draw_early_terms(seed: int, scenario: Scenario) -> dict[str, float]:
    draws = stream(seed, "soak.early_terms")
    return {
        fault.whom: draws.uniform(0.0, MAX_EARLY_TERM_SECONDS)
        for fault in scenario.faults
        if fault.kind is FaultKind.ROUTER_RESTART
        and fault.at < EARLY_TERM_UNTIL_SECONDS
        and draws.random() < EARLY_TERM_FRACTION
    }


def _draw_idle_loads(seed: int, scenario: Scenario) -> tuple[IdleLoad, ...]:
    """Draw idle loads; some may coincide with an outage of discovery among the scenario's faults."""
    draws = stream(seed, "soak.crowds")
    if draws.random() >= IDLE_LOAD_FRACTION:
        return ()
    names = router_names(scenario)
    chosen = draws.sample(names, min(len(names), draws.randint(*IDLE_LOAD_COUNT)))
    return tuple(
        IdleLoad(
            draws.uniform(0.5, RESTARTS_UNTIL_SECONDS),
            router,
            scenario.routers.descriptors,
            draws.uniform(*IDLE_LOAD_SECONDS),
        )
        for router in chosen
    )
