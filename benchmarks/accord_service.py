"""What clients lose while policies change: whole daemons with clients and caches, in virtual time.

    PYTHONPATH=. python benchmarks/accord_service.py [--seeds 8] [--every 3] [--length 24]
        [--jobs 2]

The same worlds (7, 9 and 12 routers in three zones, datagrams delayed by up to 100 ms one way) run
without `[peers]`, with policies that stay, and with a change proposed at regular intervals at one
router after another; the row that changes never limits anything. Reported: the share of worth
answered, and its difference for each seed.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from statistics import mean, stdev
from typing import Any

from ironrail.operator_file import OperatorSettings
from ironrail.rehearsal.links.environments import VirtualLinks
from ironrail.rehearsal.links.linked_rehearsal import LinkedRehearsal
from ironrail.rehearsal.links.peer_group import InlineKeyPeerSettings
from ironrail.rehearsal.links.peer_group_router import seeded_urandom
from ironrail.rehearsal.links.plan import LinkFault, link_fault
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import zone_of
from ironrail.rehearsal.virtual.runner import run_virtual

ROUTER_COUNTS = (7, 9, 12)
# first attempts; with the caches below, four tenths of their capacity
REQUESTS_PER_SECOND_PER_ROUTER = 15.0
MODES = ("alone", "still", "changing")


class ChangingRehearsal(LinkedRehearsal):
    """Proposes changes at one router after another, as an operator does."""

    def __init__(self, *args: Any, every: float, **others: Any) -> None:
        super().__init__(*args, **others)
        self._change_every = every
        self.asked = self.taken = 0

    async def _inject_faults(self) -> None:
        if self._change_every:
            self._spawn(self._change())
        await super()._inject_faults()

    async def _change(self) -> None:
        routers = list(self._routers.values())
        while await self._post(routers[0], "/-/policy/found", "epoch = 1\nversion = 1\n") == 202:
            await asyncio.sleep(1.0)
            if '"versions": [\n    1' in await self._get(routers[0], "/-/policy"):
                break
        version = 1
        while self._change_every < 1000.0:
            await asyncio.sleep(self._change_every)
            version += 1
            text = f"version = {version}\nrates = {{ daily = {1e8 + version} }}\n"
            status = await self._post(routers[version % len(routers)], "/-/policy", text)
            self.asked += 1
            self.taken += status == 202

    async def _call(self, router: Any, head: str, body: str = "") -> str:
        reader, writer = await asyncio.open_connection(*router.admin_endpoint)
        writer.write(f"{head} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        answer = (await reader.read()).decode()
        writer.close()
        return answer

    async def _post(self, router: Any, path: str, body: str) -> int:
        return int((await self._call(router, f"POST {path}", body)).split()[1])

    async def _get(self, router: Any, path: str) -> str:
        return await self._call(router, f"GET {path}")


def play(mode: str, every: float, length: float, seed: int) -> dict[str, Any]:
    """Run one seed; return the share of worth and the outcome of the changes."""
    routers = ROUTER_COUNTS[seed % len(ROUTER_COUNTS)]
    scenario = Scenario.model_validate(
        {
            "summary": f"changes of policy, seed {seed}",
            "length": f"{length} s",
            "warm_up": "6 s",
            "load": {"rate": REQUESTS_PER_SECOND_PER_ROUTER * routers},
            "routers": {"count": routers},
            "caches": {"count": 2 * routers, "cores": 2},
        }
    )
    zones = tuple(zone_of(scenario, n) for n in range(routers))
    peers = InlineKeyPeerSettings(
        key_files={1: ""}, sending_key_id=1, zones=zones, voters=(0, 1, 2), start_mode="floor"
    )
    plan: list[LinkFault] = [link_fault("delay", "routers <> routers", 0.0, length, 0.001, 0.099)]
    rehearsals: list[ChangingRehearsal] = []

    def make_rehearsal(*args: Any, **others: Any) -> ChangingRehearsal:
        asked_every = {"alone": 0.0, "still": 1e6, "changing": every}[mode]
        rehearsals.append(ChangingRehearsal(*args, plan=plan, every=asked_every, **others))
        return rehearsals[0]

    operator = OperatorSettings() if mode == "alone" else OperatorSettings(peers=peers)
    with seeded_urandom(random.Random(seed)):
        run = run_virtual(
            scenario, seed, operator=operator, make_environment=VirtualLinks, make_rehearsal=make_rehearsal
        )
    result = run.result
    assert not result.no_verdict, result.no_verdict
    service = result.service
    return {
        "way": mode, "seed": seed, "share": service.whole.share, "broken": result.broken,
        "asked": rehearsals[0].asked, "taken": rehearsals[0].taken,
        "faults": [str(f) for f in run.violations],
    }  # fmt: skip


def main() -> int:
    """Parse the command line and run all.

    Returns:
        1 if the daemon's own accounts are inconsistent.
    """
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--every", type=float, default=3.0, help="seconds between two changes")
    parser.add_argument("--length", type=float, default=24.0, help="seconds of load that count")
    parser.add_argument("--jobs", type=int, default=2)
    args = parser.parse_args()
    shares: dict[str, list[float]] = {}
    faults = 0
    with ProcessPoolExecutor(args.jobs) as pool:
        for mode in MODES:
            for one in pool.map(partial(play, mode, args.every, args.length), range(1, args.seeds + 1)):
                shares.setdefault(mode, []).append(one["share"])
                faults += len(one["faults"])
                print(one, flush=True)
    print(
        f"seeds by themselves, alone: mean {mean(shares['alone']):.4f}, spread {stdev(shares['alone']):.4f}"
    )
    for a, b in (("alone", "still"), ("still", "changing")):
        differences = [y - x for x, y in zip(shares[a], shares[b], strict=True)]
        print(
            f"{b} - {a}: mean {mean(differences):+.4f}, spread {stdev(differences):.4f}, standard error"
            f" {stdev(differences) / len(differences) ** 0.5:.4f}, least {min(differences):+.4f},"
            f" most {max(differences):+.4f}"
        )
    return int(faults > 0)


if __name__ == "__main__":
    sys.exit(main())
