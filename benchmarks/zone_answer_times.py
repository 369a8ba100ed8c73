"""What times of caches' answers would tell of the way to their hall: `python benchmarks/zone_answer_times.py`.

One router, three halls (its own, 20 ms and 100 ms there and back), 20 answers a second of each, work as in
the kit (110 ms, spread 0.8; a hint of it that is off by 0.3). Ten minutes of calm in which one far hall is
crowded for 10 s (its work takes four times as long), then its link ten times slower for 10 s. Pure, seeded.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from ironrail.peers.zone_latency.link_monitor import Evidence
from ironrail.peers.zone_latency.link_tracker import Link

TRIPS = (0.0006, 0.02, 0.1)
EACH, WORK, SPREAD, HINT = 20.0, 0.11, 0.8, 0.3
CROWDED, SLOWER, END = (300.0, 310.0), (600.0, 610.0), 610.0
Made = Callable[[float, float, float], float]  # from way, work and hint


def lognormal(draws: random.Random, mean: float, spread: float) -> float:
    sigma = math.sqrt(math.log(1 + spread * spread))
    return mean * math.exp(draws.gauss(-sigma * sigma / 2, sigma))


def play(made: Made, hit: int, seed: int = 1) -> tuple[list[str], float, float]:
    """Typical times told in calm, seconds that it was called ill then, and from the fault to slow."""
    draws, evidence = random.Random(seed), Evidence(0)
    now, ill, found, told = 0.0, 0.0, math.inf, ["", "", ""]
    while now < END:
        step = draws.expovariate(EACH * len(TRIPS))
        now += step
        hall = draws.randrange(len(TRIPS))
        crowd = 4.0 if hall == hit and CROWDED[0] <= now < CROWDED[1] else 1.0
        way = TRIPS[hall] * (10.0 if hall == hit and now >= SLOWER[0] else 1.0)
        work = lognormal(draws, WORK, SPREAD)
        evidence.observe(
            now, hall, max(50e-6, made(way, work * crowd, work * draws.lognormvariate(0.0, HINT)))
        )
        evidence.close_due(now)
        state = evidence.state(hit)
        if now < SLOWER[0]:
            ill += step * (state is not Link.WELL and now > 5.0)
            if now > 250.0 and not told[0]:
                told = [f"{evidence.sights[h].usual:.4f}" for h in range(len(TRIPS))]
        elif state is not Link.WELL:
            found = min(found, now - SLOWER[0])
    return told, ill, found


def main() -> None:
    ways: dict[str, Made] = {
        "the way alone": lambda way, work, hint: way,
        "the answer as it came": lambda way, work, hint: way + work,
        "less the hint of its work": lambda way, work, hint: way + work - hint,
    }
    for name, made in ways.items():
        for hit in (1, 2):
            told, ill, found = play(made, hit)
            print(
                f"{name:26s} true {TRIPS} told {told};",
                f"hall {hit}: ill {ill:5.1f} s in calm, slow after {found:.2f} s",
            )


if __name__ == "__main__":
    main()
