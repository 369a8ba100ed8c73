"""Virtual routers in several zones; clients of regions connect to a zone by the published weights."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ironrail.peers.steering.migration import assign_zone
from ironrail.rehearsal.account.record import Outcome, Try
from ironrail.rehearsal.links.environments import VirtualLinks
from ironrail.rehearsal.links.linked_rehearsal import LinkedRehearsal
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import router_names, zone_of
from ironrail.rehearsal.standins.client_pool import ClientPool
from ironrail.rehearsal.standins.load_balancer import LoadBalancer
from ironrail.rehearsal.virtual.runner import VirtualRun, run_virtual
from tests.rehearsal.links.region_world import CLIENTS, STRAYS, World


class RegionLoadBalancer(LoadBalancer):
    """Keeps a client at its router while connected; new connections follow the rows or the default zone."""

    regions: Regions

    def choose(self, hall: str, now: float, draws: random.Random) -> str:
        region, _, number = hall.partition(" ")
        world, client = self.regions.world, int(number)
        kept = self.regions.kept(hall)
        told = (
            world.choose(world, region) if world.choose else None
        )  # by load balancers with rows of their own
        if kept is not None and (client < STRAYS or told is None or self.routers[kept].zone in told):
            return kept
        if client < STRAYS:
            others = [r for r, seen in self.routers.items() if seen.zone != world.home[region]]
            router = others[client % len(others)]
            return router if self.routers[router].alive else super().choose(hall, now, draws)
        by = self.regions.rows.get(region) or told
        to = assign_zone(by, world.address(region, client)) if by else None
        return super().choose(to or world.home[region], now, draws)


class ClientPools:
    """The connection pools of all clients to one router, each client with its own address."""

    def __init__(self, regions: Regions, router: str, address: tuple[str, int]) -> None:
        self.regions, self._router, self._address = regions, router, address
        self.by_client: dict[str, ClientPool] = {}

    @property
    def all(self) -> list[Any]:
        return [one for pool in self.by_client.values() for one in pool.all]

    def send(self, one: Try, data: bytes, own: bool) -> None:
        self.regions.crossed += own  # a request that crossed the close of its connection and is sent again
        who = one.planned.hall
        pool = self.by_client.get(who)
        if pool is None:
            region, _, number = who.partition(" ")
            source = self.regions.world.address(region, int(number))
            pool = ClientPool(self.regions._clients, self._router, self._address, 8, source)
            self.by_client[who] = pool
        pool.send(one, data, False)

    def close(self) -> None:
        for pool in self.by_client.values():
            pool.close()


class Regions(LinkedRehearsal):
    """A run with clients in regions."""

    def __init__(self, scenario: Scenario, seed: int, world: World, **others: Any) -> None:
        super().__init__(scenario, seed, plan=world.plan, observe="/-/regions", every=world.every, **others)
        self.world = world
        self.rows: Mapping[str, Mapping[str, float]] = {}
        self.crossed = 0

    def _build(self, folder: Path) -> None:
        super()._build(folder)
        front = RegionLoadBalancer(
            self._front.notice, self._front.routers, self._front.terminating, self._front.hot
        )
        front.regions = self
        self._front = self._clients._load_balancer = self._fault_injector.front = front
        self.at_router = {
            name: ClientPools(self, name, door.address) for name, door in self._linked.links.doors.items()
        }
        self._clients.pools = self.at_router  # type: ignore[assignment]
        self.set_latencies()

    def set_latencies(self) -> None:
        """Sets the latencies of the world on the virtual network."""
        names = router_names(self._scenario)
        ways = self._ground.network.extra_delays  # type: ignore[attr-defined]
        for region, by_hall in self.world.ways.items():
            for number, _ in enumerate(names):
                router = self._ground.address_of(number)
                for client in range(CLIENTS):
                    reader = self.world.address(region, client)
                    seconds = by_hall[zone_of(self._scenario, number)]
                    ways[reader, router] = ways[router, reader] = seconds

    def kept(self, who: str) -> str | None:
        """Returns the router to which this client has an open connection."""
        for router, pools in self.at_router.items():
            pool = pools.by_client.get(who)
            if pool is not None and any(not one.transport.is_closing() for one in pool.all):
                return router
        return None

    async def _inject_faults(self) -> None:
        self._spawn(self._follow())
        self._spawn(self._change())
        await super()._inject_faults()

    async def _follow(self) -> None:
        """Bootstraps the first policy, again if the offer is lost, and reads the rows of routers' pages."""
        while True:
            versions = [s.body["versions"] for s in self.seen[-6:] if s.status in (200, 503)]
            if not any(versions) and len(self.seen) < 20 * len(self._routers):
                await self._bootstrap()
            await asyncio.sleep(1.0)
            said = next((s for s in reversed(self.seen) if s.status == 200), None)
            if said is not None:
                self.rows = said.body["rows"]

    async def _bootstrap(self) -> None:
        reader, writer = await asyncio.open_connection(*self._routers["router-1"].admin_endpoint)
        body = b"epoch = 1\nversion = 1\n"
        writer.write(
            b"POST /-/policy/found HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        )
        await reader.read()
        writer.close()

    async def _change(self) -> None:
        for at, change in sorted(self.world.changes.items()):
            await asyncio.sleep(max(0.0, at - self._world.now()))
            change(self.world)
            self.set_latencies()


@dataclass
class Played:
    """Results of a run."""

    virtual: VirtualRun
    rehearsal: Regions

    def served(self, since: float = 0.0, until: float = 1e9, region: str = "") -> list[float]:
        """Returns sorted latencies in seconds from the first try on; infinite if a request was not served.

        `region` limits them to the clients of one region.
        """
        found: dict[int, float] = {}
        for one in self.virtual.result.record.tries.values():
            at = one.planned.at
            if since <= at < until and one.planned.hall.startswith(region):
                took = one.ended_at - at if one.outcome is Outcome.SERVED else float("inf")  # type: ignore
                found[one.planned.number] = min(found.get(one.planned.number, float("inf")), took)
        return sorted(found.values())

    def let_go(self) -> int:
        last = {s.router: s.body["let_go"] for s in self.rehearsal.seen if s.status in (200, 503)}
        return sum(last.values())

    def rows(self) -> list[tuple[float, tuple[int, ...], dict[str, dict[str, float]]]]:
        """Returns when each version's rows were first seen, with the versions and the rows."""
        found: list[Any] = []
        for s in self.rehearsal.seen:
            alone = s.status == 200 and len(s.body["versions"]) == 1
            if alone and (not found or s.body["versions"][0] > found[-1][1][0]):
                found.append((s.at, tuple(s.body["versions"]), s.body["rows"]))
        return found


def play(world: World, seed: int, folder: Path, steered: bool = True) -> Played:
    made: list[Regions] = []

    def make_rehearsal(scenario: Scenario, seed: int, **others: Any) -> Regions:
        made.append(Regions(scenario, seed, world, **others))
        return made[0]

    scenario = world.scenario()
    played = run_virtual(
        scenario,
        seed,
        operator=world.operator(folder, steered),
        schedule=world.schedule(seed),
        make_environment=VirtualLinks,
        make_rehearsal=make_rehearsal,
    )
    return Played(played, made[0])
