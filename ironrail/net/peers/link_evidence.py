"""What this router itself sees of each region's readers, on its way to the room; decides nothing."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING

from ironrail.access_log.record import RequestOutcome
from ironrail.net.system import System
from ironrail.peers.steering.regions import Regions
from ironrail.peers.steering.room import RegionsRoom
from ironrail.policy.settings import Settings

if TYPE_CHECKING:
    from ironrail.net.downstream.client_connection import ClientConnection
    from ironrail.net.downstream.client_listener import ClientListener

ROUND_TRIPS = 8  # asked of the system a tick: 60 us, and 17 minutes for 8,000 connections
PASSED_OVER = 256  # connections a tick of which there is nothing new to ask


class One:
    """Whoever is at the other end of one client's connection."""

    __slots__ = ("_evidence", "client", "looked", "opened", "region", "rtt")

    def __init__(self, evidence: Evidence, client: str, now: float) -> None:
        self._evidence, self.client, self.opened = evidence, client, now
        self.region = evidence.regions.name(client)
        self.rtt, self.looked = 0.0, now  # seconds, 0 if not known yet

    def time_left(self, left: float) -> float:
        return self._evidence.time_left(self.region, left)

    def request_ended(self, request_class: str, seconds: float, ended: RequestOutcome) -> None:
        self._evidence.ended(self, request_class, seconds, ended)


class Evidence:
    """Takes note of round trips and of requests that end."""

    def __init__(self, system: System, regions: Regions, room: RegionsRoom, settings: Settings) -> None:
        self._system, self.regions, self._room = system, regions, room
        self._classes = settings.classes
        self._waiting = deque["ClientConnection"]()

    def one(self, transport: asyncio.Transport) -> One:
        """Whoever has come."""
        name = transport.get_extra_info("peername")
        return One(self, name[0] if name else "", self._system.now())

    def time_left(self, region: str, left: float) -> float:
        return self._room.time_left(self._system.now(), region, left)

    def ended(self, one: One, request_class: str, seconds: float, ended: RequestOutcome) -> None:
        """A request's end. Of one that was not served only that counts: a refusal is quick."""
        served, early = ended is RequestOutcome.SERVED, ended is RequestOutcome.CLIENT_DISCONNECTED
        in_time = served and seconds + one.rtt <= self._classes[request_class].latency_objective
        took = seconds if served or early else math.inf
        self._room.served(self._system.now(), one.region, request_class, took, in_time, early)

    def measure(self, clients: ClientListener) -> None:
        """Round trips of a few connections in turn, of those on which something came since the last look."""
        if not self._waiting:
            self._waiting.extend(clients.open_connections())
        now, asked = self._system.now(), 0
        for _ in range(min(PASSED_OVER, len(self._waiting))):
            connection = self._waiting.popleft()
            one = connection.client_region
            if not isinstance(one, One) or connection.session.last_received_at <= one.looked:
                continue
            seconds = self._system.round_trip(connection.transport)
            if seconds is not None:
                one.rtt, one.looked = seconds, now
                self._room.client_rtt(now, one.region, seconds)
            asked += 1
            if asked == ROUND_TRIPS:
                break
