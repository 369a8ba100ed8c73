"""What clients lose while policies change: the whole daemon with clients and caches, in virtual time.

    PYTHONPATH=. python benchmarks/accord_service.py [--seeds 8] [--every 3] [--length 24] [--jobs 2]

The same worlds (7, 9 and 12 routers in three halls, datagrams up to 100 ms late one way) played without
`[peers]`, with policies that stay, and with a change asked for every so many seconds at one router after
another; the row that changes never binds. Told: share of worth answered, and what each seed differs by.
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
from ironrail.rehearsal.links.grounds import VirtualLinks
from ironrail.rehearsal.links.plan import LinkFault, link_fault
from ironrail.rehearsal.links.rig import LinkedRehearsal
from ironrail.rehearsal.links.tier import Known
from ironrail.rehearsal.links.tierrouter import drawing
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import zone_of
from ironrail.rehearsal.virtual.play import play_virtual

SIZES = (7, 9, 12)
EACH = 15.0  # first tries a second for each router: with the caches below four tenths of what they can do
WAYS = ("alone", "still", "changing")


class Changing(LinkedRehearsal):
    """Asks one router after another for a change, as an operator would, at its door."""

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


def played(way: str, every: float, length: float, seed: int) -> dict[str, Any]:
    """Share of worth and what came of the changes."""
    routers = SIZES[seed % len(SIZES)]
    scenario = Scenario.model_validate(
        {
            "summary": f"changes of policy, seed {seed}",
            "length": f"{length} s",
            "warm_up": "6 s",
            "load": {"rate": EACH * routers},
            "routers": {"count": routers},
            "caches": {"count": 2 * routers, "cores": 2},
        }
    )
    halls = tuple(zone_of(scenario, n) for n in range(routers))
    peers = Known(key_files={1: ""}, sending_key_id=1, zones=halls, voters=(0, 1, 2), start_mode="floor")
    plan: list[LinkFault] = [link_fault("delay", "routers <> routers", 0.0, length, 0.001, 0.099)]
    rehearsals: list[Changing] = []

    def made(*args: Any, **others: Any) -> Changing:
        asked_every = {"alone": 0.0, "still": 1e6, "changing": every}[way]
        rehearsals.append(Changing(*args, plan=plan, every=asked_every, **others))
        return rehearsals[0]

    operator = OperatorSettings() if way == "alone" else OperatorSettings(peers=peers)
    with drawing(random.Random(seed)):
        run = play_virtual(scenario, seed, operator=operator, ground_of=VirtualLinks, rehearsal_of=made)
    result = run.result
    assert not result.no_verdict, result.no_verdict
    service = result.service
    return {
        "way": way, "seed": seed, "share": service.whole.share, "broken": result.broken,
        "asked": rehearsals[0].asked, "taken": rehearsals[0].taken, "faults": [str(f) for f in run.faults],
    }  # fmt: skip


def main() -> int:
    """Command line; 1 where the daemon's own books say something against it."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--every", type=float, default=3.0, help="seconds between two changes")
    parser.add_argument("--length", type=float, default=24.0, help="seconds of load that count")
    parser.add_argument("--jobs", type=int, default=2)
    given = parser.parse_args()
    shares: dict[str, list[float]] = {}
    faults = 0
    with ProcessPoolExecutor(given.jobs) as pool:
        for way in WAYS:
            for one in pool.map(partial(played, way, given.every, given.length), range(1, given.seeds + 1)):
                shares.setdefault(way, []).append(one["share"])
                faults += len(one["faults"])
                print(one, flush=True)
    print(
        f"seeds by themselves, alone: mean {mean(shares['alone']):.4f}, spread {stdev(shares['alone']):.4f}"
    )
    for a, b in (("alone", "still"), ("still", "changing")):
        apart = [y - x for x, y in zip(shares[a], shares[b], strict=True)]
        print(
            f"{b} - {a}: mean {mean(apart):+.4f}, spread {stdev(apart):.4f}, standard error"
            f" {stdev(apart) / len(apart) ** 0.5:.4f}, least {min(apart):+.4f}, most {max(apart):+.4f}"
        )
    return int(faults > 0)


if __name__ == "__main__":
    sys.exit(main())
