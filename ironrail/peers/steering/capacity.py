"""What a router knows of halls' room, load and standing: the list of servers, and what regions tell. Pure.

Nobody tells how many requests a second a hall can do. The operator says it of one unit of a server's weight,
and the list has the weights. Not known: what routers themselves can do, what other work a server has, and
that a hall whose readers and routers are silent at once is lost, unless its servers leave the list.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from ironrail.peers.steering.cost_model import Cells, Hall, Standing
from ironrail.peers.steering.proposal import USUAL
from ironrail.peers.zone_latency.sight import Link
from ironrail.peers.zone_latency.table import Estimate

COLD = 0.5  # of a hall's weight that has just started, from which on nobody more is brought there


class Server(NamedTuple):
    """A server that is in service."""

    hall: str
    weight: float
    since: float  # of its start, on the router's clock; 0 is long ago


class Servers:
    """Those in service, as the list has them."""

    def __init__(self) -> None:
        self._there: dict[str, Server] = {}
        self.known = False  # whether a list was ever read

    def take(self, whole: bool, news: Iterable[tuple[str, Server | None]]) -> None:
        """News by name, None of one that is not in service; `whole`: all others are gone."""
        if whole:
            self._there.clear()
        self.known = self.known or whole
        for name, server in news:
            if server is None:
                self._there.pop(name, None)
            else:
                self._there[name] = server

    def weight(self, hall: str, after: float = -1.0) -> float:
        """Of the hall's servers that started after this time."""
        return sum(s.weight for s in self._there.values() if s.hall == hall and s.since > after)


def standing(now: float, servers: Servers, hall: str, ramp: float) -> Standing:
    """By the list alone. `ramp`: seconds that a server is cold after its start."""
    whole = servers.weight(hall)
    if not whole:
        return Standing.CLOSED if servers.known else Standing.COLD
    young = servers.weight(hall, max(0.0, now - ramp))
    return Standing.COLD if young > COLD * whole else Standing.OPEN


def halls_now(
    now: float,
    hall_of: Sequence[str],
    servers: Servers,
    cells: Cells,
    per_weight: float,
    emptied: Collection[str] = (),
    ramp: float = 0.0,
    cut: Callable[[str], bool] = lambda hall: False,
    silent: float = float("inf"),
) -> dict[str, Hall]:
    """All halls. `hall_of`: each router's; `per_weight`: requests/s of one unit; `emptied`: by the policy.

    `cut`: whether the hall is cut off from others, `silent`: seconds after which its latest word is too old:
    such halls keep what they have and get nothing, as nobody knows whether readers reach them.
    """
    load: dict[str, float] = {}
    age: dict[str, float] = {}
    for (_, name), cell in sorted(cells.items(), key=lambda item: item[0]):
        load[name] = load.get(name, 0.0) + cell.rate
        age[name] = min(age.get(name, cell.age), cell.age)
    found = {}
    for hall in sorted(set(hall_of)):
        state = Standing.CLOSED if hall in emptied else standing(now, servers, hall, ramp)
        if state is Standing.OPEN and (cut(hall) or age.get(hall, 0.0) > silent):
            state = Standing.COLD
        room = per_weight * servers.weight(hall)
        found[hall] = Hall(room, load.get(hall, 0.0), state, list(hall_of).count(hall))
    return found


def cut_off(
    estimate: Callable[[float, int, int], Estimate], halls: Sequence[str], now: Callable[[], float], hall: str
) -> bool:
    """Whether more than half of the links between this hall and others, of those known, are cut.

    `estimate`: the map's, of the halls by their place in `halls`.
    """
    at, me = now(), halls.index(hall)
    ways = [way for n in range(len(halls)) if n != me for way in ((me, n), (n, me))]
    states = [estimate(at, *way).state for way in ways]
    known = [state for state in states if state is not Link.UNKNOWN]
    return 2 * known.count(Link.CUT) > len(known)


def takes(halls: Mapping[str, Hall]) -> dict[str, bool]:
    """Halls that connections may be let go to: open, and not at their limit."""
    return {
        name: hall.standing is Standing.OPEN and hall.load < USUAL.crowded * hall.room
        for name, hall in halls.items()
    }
