"""The map of latency between halls: what this router sees goes in, what it decides by out."""

from __future__ import annotations

import logging
from collections.abc import Callable

import orjson

from ironrail.admin.http_call import Handler, Response
from ironrail.net.peers.node_identity import NodeIdentity
from ironrail.peers.zone_latency.echoes import Echoing
from ironrail.peers.zone_latency.facts import HallsSeen
from ironrail.peers.zone_latency.room import LatencyRoom
from ironrail.peers.zone_latency.sight import Link
from ironrail.policy.events import LinkState, ZoneLink, ZoneLinksChanged

log = logging.getLogger(__name__)

STATES = {
    Link.UNKNOWN: LinkState.UNKNOWN,
    Link.WELL: LinkState.GOOD,
    Link.SLOW: LinkState.SLOW,
    Link.CUT: LinkState.CUT,
}


class Watch:
    """What the connections to one server tell of the way to its hall."""

    def __init__(self, room: LatencyRoom, hall: int, now: Callable[[], float]) -> None:
        self._room, self._hall, self._now = room, hall, now

    def on_connect_answered(self, seconds: float) -> None:
        """A connection came up, or was refused: the server's system answered by itself."""
        self._room.observe(self._now(), self._hall, seconds)

    def on_connect_timed_out(self) -> None:
        """Nothing answered a connect."""
        self._room.lost(self._now(), self._hall)

    def on_reply(self) -> None:
        """A reply: how long the way was can't be told from how long the work was."""
        self._room.heard(self._now(), self._hall)

    def on_attempt_abandoned(self, seconds: float) -> None:
        """An attempt was given up, and for so long not a byte had come on its connection."""
        self._room.silent(self._now(), self._hall, seconds)


class HallsMap:
    """One router's part in the map."""

    def __init__(self, identity: NodeIdentity, tell: Callable[[ZoneLinksChanged], None]) -> None:
        """`tell`: takes what is decided by."""
        self._system, self._tell = identity.system, tell
        self._names, hall_of = identity.zone_indices()
        self._map = LatencyRoom(
            identity.system.now(),
            identity.own_index,
            identity.incarnation,
            self._names,
            hall_of,
            identity.rng,
        )
        self.protocol = Echoing(self._map, hall_of)
        self.estimate = self._map.estimate
        self._seen = HallsSeen(0, self._names[hall_of[identity.own_index]], ())

    def watch(self, zone: str) -> Watch | None:
        """Who is to be told of connections there; None for a hall without routers, which no word is on."""
        return Watch(self._map, self._names.index(zone), self._system.now) if zone in self._names else None

    def publish_changes(self) -> None:
        """After each event."""
        seen = self._map.facts()
        if seen is None:
            return
        before, self._seen = {link.hall: link.state for link in self._seen.links}, seen
        states = {link.hall: link.state for link in seen.links}
        if states != before:
            log.info("halls", extra={"hall": seen.hall, "links": {h: s.name for h, s in states.items()}})
        now = self._system.now()
        self._tell(
            ZoneLinksChanged(
                {
                    link.hall: ZoneLink(STATES[link.state], link.low, link.typical, link.lost, link.age(now))
                    for link in seen.links
                }
            )
        )

    def pages(self) -> dict[str, Handler]:
        return {"/-/halls": self._page}

    def _page(self) -> Response:
        """What is decided by, as JSON; figures that nobody knows are null."""
        now = self._system.now()
        links = [
            {
                "hall": link.hall,
                "state": STATES[link.state].value,
                "low": link.low,
                "typical": link.typical,
                "lost": link.lost,
                "age": link.age(now),
                "witnesses": link.witnesses,
            }
            for link in self._seen.links
        ]
        told = {"hall": self._seen.hall, "version": self._seen.version, "links": links}
        return Response(200, orjson.dumps(told, option=orjson.OPT_INDENT_2) + b"\n")

    def close(self) -> None:
        """Nothing is held."""
