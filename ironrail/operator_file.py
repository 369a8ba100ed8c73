"""Settings in the operator's own file, in addition to the platform's; all are optional."""

from __future__ import annotations

import os
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from ironrail.access_log.pseudonyms import MAX_SECRET_BYTES, MIN_SECRET_BYTES
from ironrail.connections.upstream.socket_budget import connections_per_router
from ironrail.errors import InputError

RANDOM_SECRET_BYTES = 32


class OperatorError(InputError):
    """A file that can't be used; the message names the file, the field and the error."""

    advice = "correct that line; `deploy/operator.toml` has every field with its usual value"


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Connections to one cache: the table `[connections]`.

    Attributes:
        total_per_cache: Connections that a cache accepts from all routers together.
        per_router: Connections of one router; None for its share of the total.
        max_in_flight: Requests in flight on one connection; None for the platform's limit.
        connect_cost_milliseconds: Queueing delay that justifies another connection.
    """

    total_per_cache: int = 90
    per_router: int | None = None
    max_in_flight: int | None = None
    connect_cost_milliseconds: int = 30

    def limit_per_router(self, routers: int) -> int:
        """Return the maximum of connections from one of `routers` routers to one cache."""
        if self.per_router is not None:
            return self.per_router
        return connections_per_router(self.total_per_cache, routers)


@dataclass(frozen=True, slots=True)
class AccessLogSettings:
    """The access log: the table `[access_log]`. `ironrail trace import` can read the log.

    Attributes:
        path: Path of the log; `{index}` in it is replaced by the router's index.
        sample_ratio: Fraction of requests that are logged; all retries of one key or none.
        max_megabytes: Size at which the file is renamed to PATH.1.
        hash_keys: Whether keys are hashed, because they identify subscribers.
        secret_file: File with the secret of the hashes; empty for a random one at each start.
    """

    path: str
    sample_ratio: float = 1.0
    max_megabytes: int = 256
    hash_keys: bool = False
    secret_file: str = ""

    def load_secret(self) -> bytes:
        """Return the secret of the hashes.

        Raises:
            OperatorError: The file can't be used.
        """
        if not self.secret_file:
            return os.urandom(RANDOM_SECRET_BYTES)
        return read_secret(self.secret_file)


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Messages between routers, whose addresses the platform lists: the table `[peers]`.

    Attributes:
        key_files: Files with the secrets of the datagrams, by key id; two during a key change.
        sending_key_id: Id of the key for outgoing datagrams.
        zones: Zone of each router, by its index.
        voters: Indexes of the 3, 5 or 7 routers that vote on policies; empty for no policies.
        max_bytes_per_second: Limit of a router's sending rate.
        lease_milliseconds: How long a router without contact keeps applying its policy.
        max_clock_drift_ratio: Maximum relative error of a clock's rate.
        record_folder: Folder of a voter's record, `{index}` is its index; empty for no record.
        start_mode: A router without a policy is not ready (`wait`), or applies the `floor`, which
            is the fallback policy.
        fallback_policy_file: Policy while none can be decided on; empty for one without rows.
        zone_latency_map: Whether latency between zones is measured and used.
        steering_interval: Seconds between a voter's proposals of a steering table; 0 for none.
        requests_per_weight: Requests/s that a cache serves for each unit of weight; 0 if unknown.
        exploration_ratio: Fraction of a region's clients that may be sent to unmeasured zones.
    """

    key_files: dict[int, str]
    sending_key_id: int
    zones: tuple[str, ...]
    voters: tuple[int, ...] = ()
    max_bytes_per_second: int = 2000
    lease_milliseconds: int = 3000
    max_clock_drift_ratio: float = 0.01
    record_folder: str = ""
    start_mode: str = "wait"
    fallback_policy_file: str = ""
    zone_latency_map: bool = False
    steering_interval: int = 0
    requests_per_weight: float = 0.0
    exploration_ratio: float = 0.0

    def load_secrets(self) -> dict[int, bytes]:
        """Return the secrets by key id.

        Raises:
            OperatorError: A file can't be used.
        """
        return {number: read_secret(path) for number, path in self.key_files.items()}


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """All settings of the operator's file.

    Attributes:
        connections: Connections to caches.
        access_log: The access log; None for none.
        peers: Messages between routers; None for none.
        regions: Address ranges of clients, by the region's name.
    """

    connections: ConnectionSettings = ConnectionSettings()
    access_log: AccessLogSettings | None = None
    peers: PeerSettings | None = None
    regions: Mapping[str, Sequence[str]] = field(default_factory=dict)


def read_secret(path: str) -> bytes:
    """Return the content of a secret's file, without surrounding whitespace.

    Raises:
        OperatorError: The file can't be read, or its length is wrong.
    """
    try:
        secret = Path(path).read_bytes().strip()
    except OSError as error:
        raise OperatorError(error.strerror or str(error), path) from error
    if not MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
        raise OperatorError(f"must hold {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes", path)
    return secret
