"""Parser of endpoint lists in discovery's format."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from ironrail.net.discovery.errors import EndpointListError
from ironrail.net.discovery.timeouts import MILLISECONDS_PER_SECOND
from ironrail.net.system import REAL, Address, System
from ironrail.policy.endpoints import Endpoint, EndpointListKind, EndpointState
from ironrail.policy.events import EndpointListUpdate

ENDPOINT_STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
MAX_PORT = 65535
# A known start time is never 0, which the policy reads as "started long ago".
MIN_STARTED_AT_SECONDS = 1e-3


@dataclass(frozen=True, slots=True)
class EndpointListMessage:
    """A parsed response of discovery."""

    version: int
    update: EndpointListUpdate
    addresses: dict[str, Address]  # by endpoint name


@dataclass(frozen=True, slots=True)
class _StartTime:
    """The start time of a server on two clocks."""

    started_ms: float  # Unix time in milliseconds, as discovery reports it
    started_at: float  # seconds on the monotonic clock


class EndpointListReader:
    """Parses endpoint lists and converts start times to the monotonic clock."""

    def __init__(self, system: System = REAL) -> None:
        self._system = system
        self._start_times: dict[str, _StartTime] = {}  # by endpoint name

    def read(
        self,
        message: Any,
        kind: EndpointListKind | None = None,
        min_delta_version: float = -math.inf,
    ) -> EndpointListMessage:
        """Parse one message, completely or not at all.

        A full list may have any version, as discovery may restart its numbering.

        Args:
            message: The decoded JSON document.
            kind: Kind of the update; None takes it from the message.
            min_delta_version: Lowest version of a delta; infinity rejects all deltas.

        Raises:
            EndpointListError: The message can't be used, and nothing of it was applied.
        """
        try:
            kind = kind or _kind_of(message)
            rows = [(self._endpoint(row), read_address(row["addr"])) for row in message["servers"]]
            version = int(message["version"])
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise EndpointListError(f"malformed list: {error!r}") from error
        if kind is EndpointListKind.DELTA and version < min_delta_version:
            raise EndpointListError(f"delta to version {version} doesn't apply to the current list")
        update = EndpointListUpdate(kind, tuple(endpoint for endpoint, _ in rows))
        self._forget_removed(update)
        addresses = {endpoint.name: address for endpoint, address in rows}
        return EndpointListMessage(version, update, addresses)

    def _forget_removed(self, update: EndpointListUpdate) -> None:
        """Drop the start times of servers that are no longer listed, to bound memory."""
        removed = {
            endpoint.name
            for endpoint in update.endpoints
            if endpoint.state is EndpointState.REMOVED
        }
        if update.kind is not EndpointListKind.DELTA:
            removed |= self._start_times.keys() - {endpoint.name for endpoint in update.endpoints}
        for name in removed & self._start_times.keys():
            del self._start_times[name]

    def _endpoint(self, row: dict[str, Any]) -> Endpoint:
        name = row["id"]
        if not isinstance(name, str) or not name:
            raise ValueError("id must be text")
        return Endpoint(
            name=name,
            state=ENDPOINT_STATES[row["state"]],
            kind=str(row.get("kind") or ""),
            zone=str(row.get("zone") or ""),
            cell=int(row.get("cell") or 0),
            weight=max(0.0, float(row.get("weight") or 0.0)),
            started_at=self._started_at(name, float(row.get("started_ms") or 0.0)),
        )

    def _started_at(self, name: str, started_ms: float) -> float:
        """Convert a start time to the monotonic clock, in seconds; 0 if it is unknown.

        The same input always gives the same result, so that a step of the wall clock does not look
        like a restart.
        """
        if started_ms <= 0:
            return 0.0
        known = self._start_times.get(name)
        if known is not None and known.started_ms == started_ms:
            return known.started_at
        # A pause between the reads of both clocks makes the server look younger, which is safe.
        age = self._system.wall() - started_ms / MILLISECONDS_PER_SECOND
        started_at = max(MIN_STARTED_AT_SECONDS, self._system.now() - age)
        self._start_times[name] = _StartTime(started_ms, started_at)
        return started_at


def _kind_of(message: Any) -> EndpointListKind:
    return EndpointListKind.FULL if message["full"] else EndpointListKind.DELTA


def read_address(text: str) -> Address:
    """Parse `host:port`.

    Raises:
        ValueError: The text has no host, or no port from 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    if not host or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"bad address {text!r}")
    return host.strip("[]"), int(port)
