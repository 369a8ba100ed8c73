"""Capacity, load and status of each zone, from the list of servers and the reports on regions.

No server announces how many requests/s it can handle. The operator configures it per unit of a
server's weight, and the list of servers has the weights. Limitations: the capacity of the routers
themselves and other work of a server are unknown, and a zone whose clients and routers go silent at
the same time is only recognized as lost when its servers leave the list. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from ironrail.peers.steering.cost_model import CellEstimates, ZoneState, ZoneStatus
from ironrail.peers.steering.proposal import DEFAULT_LIMITS
from ironrail.peers.zone_latency.link_tracker import MeasuredLinkState
from ironrail.peers.zone_latency.report_table import LinkEstimate

# A zone is cold if more than this fraction of its weight has just started: its clients stay, no
# others are moved there.
COLD_WEIGHT_FRACTION = 0.5


class ServerInfo(NamedTuple):
    """A server in service.

    Attributes:
        zone: Its zone.
        weight: Its weight.
        started_at: When it started, on this router's clock; 0 if long ago.
    """

    zone: str
    weight: float
    started_at: float


class ServerInventory:
    """The servers in service, by the list of servers.

    Attributes:
        has_list: Whether a complete list was received.
    """

    def __init__(self) -> None:
        self._servers: dict[str, ServerInfo] = {}
        self.has_list = False

    def update(self, is_complete: bool, changes: Iterable[tuple[str, ServerInfo | None]]) -> None:
        """Apply changes.

        Args:
            is_complete: Whether all servers that aren't named are gone.
            changes: Servers by name; None for one that is out of service.
        """
        if is_complete:
            self._servers.clear()
        self.has_list = self.has_list or is_complete
        for name, server in changes:
            if server is None:
                self._servers.pop(name, None)
            else:
                self._servers[name] = server

    def weight(self, zone: str, started_after: float = -1.0) -> float:
        """Return the total weight of a zone's servers that started after a time."""
        return sum(
            s.weight
            for s in self._servers.values()
            if s.zone == zone and s.started_at > started_after
        )


def zone_status(now: float, servers: ServerInventory, zone: str, slow_start: float) -> ZoneStatus:
    """Return a zone's status by its servers alone.

    Args:
        now: Time on this router's clock.
        servers: The servers in service.
        zone: The zone.
        slow_start: Seconds after its start for which a server counts as cold.
    """
    total = servers.weight(zone)
    if not total:
        return ZoneStatus.CLOSED if servers.has_list else ZoneStatus.COLD
    cold = servers.weight(zone, max(0.0, now - slow_start))
    return ZoneStatus.COLD if cold > COLD_WEIGHT_FRACTION * total else ZoneStatus.OPEN


def zone_states(
    now: float,
    zone_of: Sequence[str],
    servers: ServerInventory,
    cells: CellEstimates,
    rate_per_weight: float,
    emptied_zones: Collection[str] = (),
    slow_start: float = 0.0,
    is_cut_off: Callable[[str], bool] = lambda zone: False,
    max_report_age: float = float("inf"),
) -> dict[str, ZoneState]:
    """Return the state of all zones.

    A zone that is cut off or without recent reports keeps its clients and gets no more, as it is
    unknown whether clients can reach it.

    Args:
        now: Time on this router's clock.
        zone_of: Zone of each router.
        servers: The servers in service.
        cells: What is known of regions in zones.
        rate_per_weight: Requests/s that a server can handle per unit of weight.
        emptied_zones: Zones that the policy empties.
        slow_start: Seconds after its start for which a server counts as cold.
        is_cut_off: Whether a zone is cut off from the others.
        max_report_age: Seconds after which a zone's latest report is too old.
    """
    load: dict[str, float] = {}
    age: dict[str, float] = {}
    for (_, name), cell in sorted(cells.items(), key=lambda item: item[0]):
        load[name] = load.get(name, 0.0) + cell.rate
        age[name] = min(age.get(name, cell.age), cell.age)
    found = {}
    for zone in sorted(set(zone_of)):
        status = (
            ZoneStatus.CLOSED
            if zone in emptied_zones
            else zone_status(now, servers, zone, slow_start)
        )
        if status is ZoneStatus.OPEN and (is_cut_off(zone) or age.get(zone, 0.0) > max_report_age):
            status = ZoneStatus.COLD
        capacity = rate_per_weight * servers.weight(zone)
        found[zone] = ZoneState(capacity, load.get(zone, 0.0), status, list(zone_of).count(zone))
    return found


def is_zone_cut_off(
    estimate: Callable[[float, int, int], LinkEstimate],
    zones: Sequence[str],
    now: Callable[[], float],
    zone: str,
) -> bool:
    """Whether more than half of the known links between a zone and the others are cut.

    Args:
        estimate: Estimates the latency at a time, from a zone to another, by their places in
            `zones`.
        zones: All zones.
        now: Returns the time on this router's clock.
        zone: The zone.
    """
    at, own = now(), zones.index(zone)
    links = [link for n in range(len(zones)) if n != own for link in ((own, n), (n, own))]
    states = [estimate(at, *link).state for link in links]
    known = [state for state in states if state is not MeasuredLinkState.UNKNOWN]
    return 2 * known.count(MeasuredLinkState.CUT) > len(known)


def accepting_zones(zones: Mapping[str, ZoneState]) -> dict[str, bool]:
    """Return whether each zone accepts more clients: it is open and below the overload limit."""
    return {
        name: zone.status is ZoneStatus.OPEN
        and zone.load < DEFAULT_LIMITS.overload_utilization * zone.capacity
        for name, zone in zones.items()
    }
