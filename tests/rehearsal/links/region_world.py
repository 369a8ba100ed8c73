"""A world of regions: its clients, their latencies to the zones, and changes over time."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path

from ironrail.operator_file import OperatorSettings, PeerSettings
from ironrail.rehearsal.links.plan import LinkFault
from ironrail.rehearsal.load.schedule import Planned, make_schedule
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import zone_of

CLIENTS = 24  # of each region
STRAYS = (
    6  # of these: stay at a router of another zone whatever the rows say, so that its latency is measured
)
STRAY_REQUESTS_FRACTION = 0.1  # fraction of a region's requests that they send
Ways = dict[str, dict[str, float]]  # one-way seconds by region and zone
Change = Callable[["World"], None]


@dataclass
class World:
    """Load, latencies and their changes. Times in seconds."""

    halls: tuple[str, ...]
    ways: Ways
    home: dict[str, str]  # the zone that a region's load balancers use by default
    share: dict[str, float]  # of requests by region
    rate: float = 40.0
    length: float = 70.0
    routers: int = 6
    caches: int = 6
    changes: dict[float, Change] = field(default_factory=dict)
    shares_later: dict[float, dict[str, float]] = field(default_factory=dict)
    choose: Callable[[World, str], Mapping[str, float]] | None = (
        None  # rows that load balancers have of their own
    )
    steer_every: int = 6
    per_weight: float = 40.0
    plan: list[LinkFault] = field(default_factory=list)
    every: float = 1.0  # seconds between two polls of each router

    def scenario(self) -> Scenario:
        return Scenario.model_validate(
            {
                "summary": "regions",
                "length": f"{self.length} s",
                "warm_up": "1 s",
                "load": {"rate": self.rate},
                "halls": {"names": list(self.halls), "between": "1 ms"},
                "routers": {"count": self.routers},
                "caches": {"count": self.caches, "memory": "4 MB"},
                "class": [{"name": "page", "share": 1.0, "work": "20 ms", "spread": 0.5, "wanted": "150 ms"}],
            }
        )

    def address(self, region: str, client: int) -> str:
        return f"10.{sorted(self.ways).index(region)}.0.{client + 1}"

    def operator(self, folder: Path, steered: bool) -> OperatorSettings:
        (folder / "key").write_bytes(b"a key of all routers")
        halls = tuple(zone_of(self.scenario(), n) for n in range(self.routers))
        peers = PeerSettings(
            {1: str(folder / "key")}, 1, halls, voters=(0, 1, 2), lease_milliseconds=1000, start_mode="floor",
            steering_interval=self.steer_every if steered else 0, requests_per_weight=self.per_weight,
        )  # fmt: skip
        ranges = {r: [f"10.{n}.0.0/16"] for n, r in enumerate(sorted(self.ways))}
        return OperatorSettings(peers=peers, regions=ranges)

    def schedule(self, seed: int) -> list[Planned]:
        """Returns the schedule; each request's `hall` names its region and client."""
        draws, found = random.Random(seed), []
        for planned in make_schedule(self.scenario(), seed):
            later = [shares for at, shares in sorted(self.shares_later.items()) if planned.at >= at]
            share = later[-1] if later else self.share
            region = draws.choices(list(share), list(share.values()))[0]
            stray = draws.random() < STRAY_REQUESTS_FRACTION
            client = draws.randrange(STRAYS) if stray else draws.randrange(STRAYS, CLIENTS)
            found.append(replace(planned, hall=f"{region} {client}", own_connection=False))
        return found
