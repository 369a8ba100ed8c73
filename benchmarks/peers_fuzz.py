"""Fuzzes the messages between routers, and what is read from disk and from operators.

    PYTHONPATH=. python benchmarks/peers_fuzz.py [--seconds 60] [--seed 1] [--steps 400] [--what wire ...]

Prints for each target the episodes (each from its own seed), inputs, CPU of the slowest input, bytes
sent per byte received, and the findings with a seed: `--what accord --seed 17 --episodes 1` reproduces
one. Exits with 1 if anything was found. Earlier findings are in `docs/peers/attacks.md`.
"""

from __future__ import annotations

import argparse
import itertools
import logging
import sys
import time

from tests.peers.fuzz.consensus_target import ConsensusTarget
from tests.peers.fuzz.document_targets import AdminPostTarget, PolicyDocumentTarget, RecordTarget
from tests.peers.fuzz.gossip_targets import SteeringTarget, ZoneLatencyTarget
from tests.peers.fuzz.harness import TargetFactory, run
from tests.peers.fuzz.transport_targets import CodecTarget, SendQueueTarget

TARGETS: dict[str, TargetFactory] = {
    "wire": CodecTarget,
    "outbox": SendQueueTarget,
    "accord": ConsensusTarget,
    "latency": ZoneLatencyTarget,
    "regions": SteeringTarget,
    "record": RecordTarget,
    "policy": PolicyDocumentTarget,
    "door": AdminPostTarget,
}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seconds", type=float, default=60.0, help="time for each target")
    parser.add_argument(
        "--seed", type=int, default=1, help="seed of the first episode; each later one has the next"
    )
    parser.add_argument("--episodes", type=int, help="limit for each target")
    parser.add_argument("--steps", type=int, default=400, help="inputs of an episode")
    parser.add_argument("--what", nargs="+", choices=sorted(TARGETS), default=list(TARGETS))
    arguments = parser.parse_args()
    num_findings = 0
    logging.disable()
    for name in arguments.what:
        until = time.monotonic() + arguments.seconds
        seeds = itertools.islice(itertools.count(arguments.seed), arguments.episodes)
        figures = run(name, TARGETS[name], seeds, arguments.steps, until)
        print(f"{name:8}{figures.row()}", flush=True)
        for key, first in figures.found.items():
            print(f"    {figures.times[key]:5} times  {key}  {first}", flush=True)
        num_findings += len(figures.found)
    return 1 if num_findings else 0


if __name__ == "__main__":
    sys.exit(main())
