"""Connects the zone latency protocol to connections, which provide evidence, and to the policy."""

from __future__ import annotations

import logging
from collections.abc import Callable

import orjson

from ironrail.admin.http_call import Handler, Response
from ironrail.net.peers.node_identity import NodeIdentity
from ironrail.peers.zone_latency.link_tracker import MeasuredLinkState
from ironrail.peers.zone_latency.protocol import ZoneLatencyProtocol
from ironrail.peers.zone_latency.round_trip import RoundTripProtocol
from ironrail.peers.zone_latency.snapshot import LinksSnapshot
from ironrail.policy.events import LinkState, ZoneLink, ZoneLinksChanged

log = logging.getLogger(__name__)

POLICY_LINK_STATES = {
    MeasuredLinkState.UNKNOWN: LinkState.UNKNOWN,
    MeasuredLinkState.WELL: LinkState.GOOD,
    MeasuredLinkState.SLOW: LinkState.SLOW,
    MeasuredLinkState.CUT: LinkState.CUT,
}


class ZoneLinkObserver:
    """Records what the connections to one server show of the link to its zone."""

    def __init__(self, protocol: ZoneLatencyProtocol, zone: int, now: Callable[[], float]) -> None:
        """Initialize an observer.

        Args:
            protocol: Gets the evidence.
            zone: Number of the server's zone.
            now: Returns the current time.
        """
        self._protocol, self._zone, self._now = protocol, zone, now

    def on_connect_answered(self, seconds: float) -> None:
        """Record a connect that was accepted or refused: the server's kernel answers it."""
        self._protocol.record_round_trip(self._now(), self._zone, seconds)

    def on_connect_timed_out(self) -> None:
        """Record that a connect was not answered."""
        self._protocol.record_loss(self._now(), self._zone)

    def on_reply(self) -> None:
        """Record a reply. Its round trip is not known, as it includes the server's work."""
        self._protocol.record_reply(self._now(), self._zone)

    def on_attempt_abandoned(self, seconds: float) -> None:
        """Record that an attempt was given up, and for how long nothing had been read."""
        self._protocol.record_silence(self._now(), self._zone, seconds)


class ZoneLatencyComponent:
    """One router's part in measuring the latency between zones.

    Attributes:
        protocol: The protocol to drive.
        estimate: Returns what is known of a link between two zones, by their numbers.
    """

    def __init__(
        self, identity: NodeIdentity, on_links_changed: Callable[[ZoneLinksChanged], None]
    ) -> None:
        """Initialize the component.

        Args:
            identity: This router among its peers.
            on_links_changed: Called with each new snapshot of the links from this router's zone.
        """
        self._system, self._on_links_changed = identity.system, on_links_changed
        self._zones, router_zones = identity.zone_indices()
        self._zone_latency = ZoneLatencyProtocol(
            identity.system.now(),
            identity.own_index,
            identity.incarnation,
            self._zones,
            router_zones,
            identity.rng,
        )
        self.protocol = RoundTripProtocol(self._zone_latency, router_zones)
        self.estimate = self._zone_latency.estimate
        self._snapshot = LinksSnapshot(0, self._zones[router_zones[identity.own_index]], ())

    def link_observer(self, zone: str) -> ZoneLinkObserver | None:
        """Return the observer of connections to a zone; None for a zone without routers.

        No router could report on the link from such a zone.
        """
        return (
            ZoneLinkObserver(self._zone_latency, self._zones.index(zone), self._system.now)
            if zone in self._zones
            else None
        )

    def publish_changes(self) -> None:
        """Pass a new snapshot on to the policy; called after each event of the peers' runtime."""
        snapshot = self._zone_latency.take_snapshot()
        if snapshot is None:
            return
        old_states, self._snapshot = (
            {link.zone: link.state for link in self._snapshot.links},
            snapshot,
        )
        states = {link.zone: link.state for link in snapshot.links}
        if states != old_states:
            log.info(
                "halls",
                extra={"hall": snapshot.zone, "links": {z: s.name for z, s in states.items()}},
            )
        now = self._system.now()
        self._on_links_changed(
            ZoneLinksChanged(
                {
                    link.zone: ZoneLink(
                        POLICY_LINK_STATES[link.state],
                        link.fastest,
                        link.median,
                        link.loss_ratio,
                        link.age(now),
                    )
                    for link in snapshot.links
                }
            )
        )

    def pages(self) -> dict[str, Handler]:
        """Return the handlers of the admin endpoint by path."""
        return {"/-/halls": self._page}

    def _page(self) -> Response:
        """Return the snapshot in use as JSON; unknown figures are null."""
        now = self._system.now()
        links = [
            {
                "hall": link.zone,
                "state": POLICY_LINK_STATES[link.state].value,
                "low": link.fastest,
                "typical": link.median,
                "lost": link.loss_ratio,
                "age": link.age(now),
                "witnesses": link.num_reporters,
            }
            for link in self._snapshot.links
        ]
        document = {"hall": self._snapshot.zone, "version": self._snapshot.version, "links": links}
        return Response(200, orjson.dumps(document, option=orjson.OPT_INDENT_2) + b"\n")

    def close(self) -> None:
        """Release nothing: the component has no timers."""
