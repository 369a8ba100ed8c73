"""All routers of a fleet, and what they send together to a server that has just started."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from tests.driver import Driver, endpoint, settings

WARM_UP_SECONDS = 15.0  # seconds that the fleet has run before the start
COUNTED_SECONDS = 8.0  # seconds of the slow start of 10 that are counted
WEIGHT_ERROR_FACTOR = 1.3  # by which the weight of the server is too high
OVERLOAD_FACTOR, FIRST_CAPACITY_FRACTION = 2.5, 0.3


@dataclass(frozen=True, slots=True)
class ServerStart:
    """One start: nine warm servers get `request_rate` requests a second, and the tenth is warming up."""

    routers: int
    request_rate: float
    surge_factor: float = 3.0  # times as many requests, all of which the warm servers can serve
    surge_after: float = 0.0  # seconds from the start to the surge
    hints: bool = True  # clients know the work, which is drawn
    informed_fraction: float = 1.0  # fraction of the routers that know of the start
    was_listed: bool = False  # the server was listed before
    live_weight: float = 0.0  # weight of the warming server where weights are live; the others have 1
    removed_servers: int = 0  # warm servers that are removed at the start


@dataclass(frozen=True, slots=True)
class LoadAtWarmingServer:
    """The result, relative to N + 2 roots of N + 2 requests of mean work in a window."""

    max_load: float = 0.0
    # sent by routers that knew of the start, at the first overload
    informed_fraction: float = 0.0
    count: int = 0


def play(p: ServerStart, seed: int) -> LoadAtWarmingServer:
    """Play one start; the standard deviation of the work is its mean, 1."""
    conf = settings(
        slow_start_duration=10.0,
        slow_start_share=FIRST_CAPACITY_FRACTION,
        overload_multiple=OVERLOAD_FACTOR,
        overload_window=1.0,
        max_attempts=1,
        live_weights=p.live_weight > 0.0,
    )
    draws = random.Random(seed)
    fleet = [Driver(conf, seed * p.routers + n) for n in range(p.routers)]
    knows = [draws.random() < p.informed_fraction for _ in fleet]
    warm = [endpoint(f"s{n}") for n in range(9)]
    before = [*warm, endpoint("cold")] if p.was_listed or p.informed_fraction < 1.0 else warm
    for d in fleet:
        d.update_endpoints(*before)
    now = fleet[0].now
    start, count, sent = now + WARM_UP_SECONDS, 0, list[tuple[float, float, bool]]()
    while now < start + COUNTED_SECONDS:
        then = now
        now += draws.expovariate(
            9 * p.request_rate * (1.0 if now < start + p.surge_after else p.surge_factor)
        )
        if then < start <= now:
            for d in (d for d, k in zip(fleet, knows, strict=True) if k):
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
            sent.append((now - start, work, knows[n]))
    return _most(sent, p.request_rate / WEIGHT_ERROR_FACTOR)


def _most(sent: list[tuple[float, float, bool]], can: float) -> LoadAtWarmingServer:
    """Return the largest load in a window; `can` is the rate of the server when warm."""
    most = informed = in_all = known = 0.0
    oldest = 0
    for at, work, knows in sent:
        in_all, known = in_all + work, known + work * knows
        while sent[oldest][0] <= at - 1.0:
            _, old, knew = sent[oldest]
            in_all, known, oldest = in_all - old, known - old * knew, oldest + 1
        allowed = (
            OVERLOAD_FACTOR * (FIRST_CAPACITY_FRACTION + (1.0 - FIRST_CAPACITY_FRACTION) * at / 10.0) * can
        )
        of_it = in_all / (allowed + 2 * math.sqrt(allowed) + 2)
        if of_it > 1.0 >= most:
            informed = known / in_all
        most = max(most, of_it)
    return LoadAtWarmingServer(most, informed, len(sent))
