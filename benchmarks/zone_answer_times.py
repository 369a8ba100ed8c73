"""What the response times of caches show of the link to their zone.

Run with `python benchmarks/zone_answer_times.py`.

One router and three zones (its own, and two with round trips of 20 ms and 100 ms), 20 answers a
second from each. The caches' work is as in the rehearsal kit (110 ms, spread 0.8), and answers
carry a hint of it with an error of 0.3. In ten minutes without a fault, the caches of one zone are
overloaded for 10 s (their work takes four times as long); then the link to that zone is ten times
slower for 10 s. Seeded, without I/O.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from ironrail.peers.zone_latency.link_monitor import LinkMonitor
from ironrail.peers.zone_latency.link_tracker import MeasuredLinkState

ROUND_TRIPS_SECONDS = (0.0006, 0.02, 0.1)  # by zone
ANSWERS_PER_SECOND, WORK_SECONDS, WORK_SPREAD, HINT_ERROR = 20.0, 0.11, 0.8, 0.3
OVERLOADED, SLOW_SINCE, END_SECONDS = (300.0, 310.0), (600.0, 610.0), 610.0  # seconds
Sample = Callable[[float, float, float], float]  # from round trip, work and hint


def lognormal(rng: random.Random, mean: float, spread: float) -> float:
    """Return a log-normal sample; `spread` is its standard deviation over its mean."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    return mean * math.exp(rng.gauss(-sigma * sigma / 2, sigma))


def play(sample: Sample, faulty_zone: int, seed: int = 1) -> tuple[list[str], float, float]:
    """Return baselines before the fault, seconds of false alarm, and seconds to detection."""
    rng, monitor = random.Random(seed), LinkMonitor(0)
    now, alarm_seconds, detected_after, baselines = 0.0, 0.0, math.inf, ["", "", ""]
    while now < END_SECONDS:
        step = rng.expovariate(ANSWERS_PER_SECOND * len(ROUND_TRIPS_SECONDS))
        now += step
        zone = rng.randrange(len(ROUND_TRIPS_SECONDS))
        overload = 4.0 if zone == faulty_zone and OVERLOADED[0] <= now < OVERLOADED[1] else 1.0
        round_trip = ROUND_TRIPS_SECONDS[zone] * (
            10.0 if zone == faulty_zone and now >= SLOW_SINCE[0] else 1.0
        )
        work = lognormal(rng, WORK_SECONDS, WORK_SPREAD)
        monitor.record_round_trip(
            now,
            zone,
            max(50e-6, sample(round_trip, work * overload, work * rng.lognormvariate(0.0, HINT_ERROR))),
        )
        monitor.close_due_windows(now)
        state = monitor.state(faulty_zone)
        if now < SLOW_SINCE[0]:
            alarm_seconds += step * (state is not MeasuredLinkState.WELL and now > 5.0)
            if now > 250.0 and not baselines[0]:
                baselines = [f"{monitor.trackers[z].baseline:.4f}" for z in range(len(ROUND_TRIPS_SECONDS))]
        elif state is not MeasuredLinkState.WELL:
            detected_after = min(detected_after, now - SLOW_SINCE[0])
    return baselines, alarm_seconds, detected_after


def main() -> None:
    """Print the result of each kind of sample for each of the far zones."""
    samples: dict[str, Sample] = {
        "the round trip alone": lambda round_trip, work, hint: round_trip,
        "the whole response time": lambda round_trip, work, hint: round_trip + work,
        "less the hint of its work": lambda round_trip, work, hint: round_trip + work - hint,
    }
    for name, sample in samples.items():
        for faulty_zone in (1, 2):
            baselines, alarm_seconds, detected_after = play(sample, faulty_zone)
            print(
                f"{name:26s} true {ROUND_TRIPS_SECONDS} baseline {baselines};",
                f"zone {faulty_zone}: {alarm_seconds:5.1f} s false alarm, slow after {detected_after:.2f} s",
            )


if __name__ == "__main__":
    main()
