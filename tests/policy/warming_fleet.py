"""Simulates the work that all routers of a fleet send to a server that has just started."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from tests.driver import Driver, endpoint, settings

WARM_UP_SECONDS = 15.0  # time that the fleet runs before the server starts
COUNTED_SECONDS = 8.0  # part of the slow start of 10 s in which the load is counted
WEIGHT_ERROR_FACTOR = 1.3  # factor by which the weight of the server is too high
OVERLOAD_FACTOR, INITIAL_CAPACITY_FRACTION = 2.5, 0.3


@dataclass(frozen=True, slots=True)
class ServerStart:
    """One start of a server: nine warm ones get `request_rate` requests/s each, the tenth warms up."""

    routers: int
    request_rate: float
    surge_factor: float = 3.0  # increase of the request rate, which the warm servers can serve
    surge_after: float = 0.0  # seconds from the start to the surge
    hints: bool = True  # clients send the work of each request as a hint
    informed_fraction: float = 1.0  # fraction of the routers whose list has the start
    was_listed: bool = False  # the server was listed before
    live_weight: float = 0.0  # weight of the warming server if weights are live; the others have 1
    removed_servers: int = 0  # warm servers that are removed at the start


@dataclass(frozen=True, slots=True)
class LoadAtWarmingServer:
    """The highest load in a window, relative to N + 2 sqrt(N) + 2, N being the server's capacity."""

    max_load: float = 0.0
    # part of the work sent by informed routers, at the first overload
    informed_fraction: float = 0.0
    count: int = 0  # requests sent to the server


def simulate_start(p: ServerStart, seed: int) -> LoadAtWarmingServer:
    """Simulate one start; the work of a request has mean 1 and standard deviation 1."""
    conf = settings(
        slow_start_duration=10.0,
        slow_start_share=INITIAL_CAPACITY_FRACTION,
        overload_multiple=OVERLOAD_FACTOR,
        overload_window=1.0,
        max_attempts=1,
        live_weights=p.live_weight > 0.0,
    )
    draws = random.Random(seed)
    fleet = [Driver(conf, seed * p.routers + n) for n in range(p.routers)]
    is_informed = [draws.random() < p.informed_fraction for _ in fleet]
    warm = [endpoint(f"s{n}") for n in range(9)]
    before = [*warm, endpoint("cold")] if p.was_listed or p.informed_fraction < 1.0 else warm
    for d in fleet:
        d.update_endpoints(*before)
    now = fleet[0].now
    start, count, sent = now + WARM_UP_SECONDS, 0, list[tuple[float, float, bool]]()
    while now < start + COUNTED_SECONDS:
        previous = now
        now += draws.expovariate(
            9 * p.request_rate * (1.0 if now < start + p.surge_after else p.surge_factor)
        )
        if previous < start <= now:
            for d in (d for d, k in zip(fleet, is_informed, strict=True) if k):
                d.update_endpoints(
                    *warm[p.removed_servers :],
                    endpoint("cold", started_at=start, weight=p.live_weight or 1.0),
                )
        n, count = draws.randrange(p.routers), count + 1
        fleet[n].now, work = now, draws.lognormvariate(-0.35, 0.83)
        hint = work if p.hints else None
        if (
            fleet[n].receive(f"r{count}", key=f"k{count}", work_hint=hint, finish=True) == "cold"
            and now >= start
        ):
            sent.append((now - start, work, is_informed[n]))
    return _find_max_load(sent, p.request_rate / WEIGHT_ERROR_FACTOR)


def _find_max_load(sent: list[tuple[float, float, bool]], warm_rate: float) -> LoadAtWarmingServer:
    """Return the highest load in a window of 1 s; `warm_rate` is the server's rate when warm."""
    max_load = informed_fraction = window_work = informed_work = 0.0
    first_index = 0
    for at, work, is_informed in sent:
        window_work, informed_work = window_work + work, informed_work + work * is_informed
        while sent[first_index][0] <= at - 1.0:
            _, old, was_informed = sent[first_index]
            window_work, informed_work, first_index = (
                window_work - old,
                informed_work - old * was_informed,
                first_index + 1,
            )
        allowed = (
            OVERLOAD_FACTOR
            * (INITIAL_CAPACITY_FRACTION + (1.0 - INITIAL_CAPACITY_FRACTION) * at / 10.0)
            * warm_rate
        )
        load_ratio = window_work / (allowed + 2 * math.sqrt(allowed) + 2)
        if load_ratio > 1.0 >= max_load:
            informed_fraction = informed_work / window_work
        max_load = max(max_load, load_ratio)
    return LoadAtWarmingServer(max_load, informed_fraction, len(sent))
