"""Measures round trips to clients and the outcome of their requests, by region, for steering."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING

from ironrail.access_log.record import RequestOutcome
from ironrail.net.system import System
from ironrail.peers.steering.protocol import SteeringProtocol
from ironrail.peers.steering.regions import Regions
from ironrail.policy.settings import Settings

if TYPE_CHECKING:
    from ironrail.net.downstream.client_connection import ClientConnection
    from ironrail.net.downstream.client_listener import ClientListener

MAX_ROUND_TRIP_READS = 8  # a tick: they take 60 us, and 17 minutes for 8,000 connections
MAX_CONNECTIONS_VISITED = 256  # a tick, including those on which nothing new was received


class MeasuredClient:
    """The client of one connection.

    Attributes:
        address: IP address; empty if it is not known.
        opened_at: Time at which the connection was accepted.
        region: Name of the client's region.
        rtt: Round trip in seconds, 0 while it is not known.
        measured_at: Time at which the round trip was last read.
    """

    __slots__ = ("_measurements", "address", "measured_at", "opened_at", "region", "rtt")

    def __init__(self, measurements: ClientMeasurements, address: str, now: float) -> None:
        """Initialize a client that has just connected."""
        self._measurements, self.address, self.opened_at = measurements, address, now
        self.region = measurements.regions.lookup_name(address)
        self.rtt, self.measured_at = 0.0, now

    def time_left(self, left: float) -> float:
        """Return the seconds left to the router of those until the client needs the answer."""
        return self._measurements.time_left(self.region, left)

    def request_ended(self, request_class: str, seconds: float, ended: RequestOutcome) -> None:
        """Record the end of a request after some seconds."""
        self._measurements.ended(self, request_class, seconds, ended)


class ClientMeasurements:
    """Records the round trips of clients and the end of their requests.

    Attributes:
        regions: Maps addresses to regions.
    """

    def __init__(
        self, system: System, regions: Regions, protocol: SteeringProtocol, settings: Settings
    ) -> None:
        """Initialize without any client.

        Args:
            system: Clock, and access to the sockets' round trips.
            regions: Maps addresses to regions.
            protocol: Gets the measurements.
            settings: Has the request classes.
        """
        self._system, self.regions, self._protocol = system, regions, protocol
        self._classes = settings.classes
        self._unvisited = deque["ClientConnection"]()

    def identify(self, transport: asyncio.Transport) -> MeasuredClient:
        """Return the client of a new connection."""
        peer_name = transport.get_extra_info("peername")
        return MeasuredClient(self, peer_name[0] if peer_name else "", self._system.now())

    def time_left(self, region: str, left: float) -> float:
        """Return the seconds left to the router of those until the client needs the answer."""
        return self._protocol.time_left(self._system.now(), region, left)

    def ended(
        self, client: MeasuredClient, request_class: str, seconds: float, ended: RequestOutcome
    ) -> None:
        """Record the end of a request.

        The duration of a request that was not served is not used: a refusal is quick.
        """
        was_served, left_early = (
            ended is RequestOutcome.SERVED,
            ended is RequestOutcome.CLIENT_DISCONNECTED,
        )
        is_in_time = (
            was_served and seconds + client.rtt <= self._classes[request_class].latency_objective
        )
        service_time = seconds if was_served or left_early else math.inf
        self._protocol.record_request(
            self._system.now(), client.region, request_class, service_time, is_in_time, left_early
        )

    def measure(self, clients: ClientListener) -> None:
        """Read the round trips of a few connections in turn, if they received data since then."""
        if not self._unvisited:
            self._unvisited.extend(clients.open_connections())
        now, num_reads = self._system.now(), 0
        for _ in range(min(MAX_CONNECTIONS_VISITED, len(self._unvisited))):
            connection = self._unvisited.popleft()
            client = connection.client_region
            if (
                not isinstance(client, MeasuredClient)
                or connection.session.last_received_at <= client.measured_at
            ):
                continue
            seconds = self._system.round_trip(connection.transport)
            if seconds is not None:
                client.rtt, client.measured_at = seconds, now
                self._protocol.record_client_rtt(now, client.region, seconds)
            num_reads += 1
            if num_reads == MAX_ROUND_TRIP_READS:
                break
