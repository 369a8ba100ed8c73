"""Hostile input for all that routers say to one another, and for what is read of disks and operators.

    PYTHONPATH=. python benchmarks/peers_fuzz.py [--seconds 60] [--seed 1] [--steps 400] [--what wire ...]

Of each target: episodes (each from its own seed), inputs, the slowest one's CPU, bytes said for bytes heard,
and what was found, with the seed that shows it: `--what accord --seed 17 --episodes 1` shows that one again.
Ends with 1 if anything was found. What was found so far stands in `docs/peers/attacks.md`.
"""

from __future__ import annotations

import argparse
import itertools
import logging
import sys
import time

from tests.peers.fuzz.consensus_target import Accord
from tests.peers.fuzz.harness import Make, run
from tests.peers.fuzz.gossip_targets import Latency, OfRegions
from tests.peers.fuzz.document_targets import Documents, Posts, Records
from tests.peers.fuzz.transport_targets import Outboxes, Wires

TARGETS: dict[str, Make] = {
    "wire": Wires,
    "outbox": Outboxes,
    "accord": Accord,
    "latency": Latency,
    "regions": OfRegions,
    "record": Records,
    "policy": Documents,
    "door": Posts,
}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seconds", type=float, default=60.0, help="for each target")
    parser.add_argument("--seed", type=int, default=1, help="of the first episode; each has the next one")
    parser.add_argument("--episodes", type=int, help="at most so many of each target")
    parser.add_argument("--steps", type=int, default=400, help="inputs of an episode")
    parser.add_argument("--what", nargs="+", choices=sorted(TARGETS), default=list(TARGETS))
    asked = parser.parse_args()
    found = 0
    logging.disable()
    for name in asked.what:
        until = time.monotonic() + asked.seconds
        seeds = itertools.islice(itertools.count(asked.seed), asked.episodes)
        figures = run(name, TARGETS[name], seeds, asked.steps, until)
        print(f"{name:8}{figures.row()}", flush=True)
        for key, first in figures.found.items():
            print(f"    {figures.times[key]:5} times  {key}  {first}", flush=True)
        found += len(figures.found)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
