"""What the rehearsal kit itself costs: the load that one core drives, and how late its sends are.

    .kit-venv/bin/python benchmarks/kit_capacity.py [--rates 200,400,800] [--seconds 10]

Each rate is a calm run with routers enough not to be the bottleneck; the fleet grows with the
rate, so that stand-ins are no more crowded than usual. CPU is that of the kit itself, without its children.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import os
import resource

import uvloop

from ironrail.rehearsal.run import Rehearsal, Result
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import parse_scenario

ROUTER_RATE = 250  # requests a second to one router, far below what it bears
USUAL = 240  # first tries a second of the usual fleet


def scenario(rate: int, seconds: float) -> Scenario:
    routers, caches = max(2, round(rate / ROUTER_RATE)), max(8, round(8 * rate / USUAL))
    return parse_scenario(
        f'summary = "{rate}/s"\nlength = "{seconds:g} s"\n[load]\nrate = {rate}\n'
        f"[routers]\ncount = {routers}\ndescriptors = 1024\n"
        f"[caches]\ncount = {caches}\n[archive]\nconcurrency = {48 * caches // 8}\n",
        "bench",
    )


def cpu() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


async def play(rate: int, seconds: float) -> tuple[Result, float]:
    before = cpu()
    result = await Rehearsal(scenario(rate, seconds), 1).run()
    return result, cpu() - before


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", default="200,400,800,1200,1600,2000")
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    gc.set_threshold(20_000, 50, 100)
    print(f"{os.cpu_count()} cores")
    print("rate  tries  of a core  us a try  late median  p99  most (ms)  service  outcome")
    for rate in map(int, options.rates.split(",")):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            result, used = runner.run(play(rate, options.seconds))
        tries, late = len(result.record.tries), result.lateness.summary()
        share = used / (options.seconds + result.scenario.warm_up)
        outcome = "no verdict" if result.no_verdict else "kept" if result.kept else "failed"
        lateness = " ".join(f"{late[k] * 1000:6.1f}" for k in ("median", "p99", "most"))
        print(
            f"{rate:5d} {tries:6d} {share:9.2f} {used / tries * 1e6:9.0f}  {lateness}"
            f"  {result.service.whole.share:7.3f}  {outcome}",
            flush=True,
        )


if __name__ == "__main__":
    main()
