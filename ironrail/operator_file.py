"""The operator's own file: what may be set beyond what the platform tells. Without it all is as usual."""

from __future__ import annotations

import os
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from ironrail.access_log.names import LEAST_SECRET, MOST_SECRET
from ironrail.connections.upstream.socket_budget import connections_per_router
from ironrail.errors import InputError


class OperatorError(InputError):
    """A file that can't be used; the message names the file, the field and the mistake."""

    advice = "correct that line; `deploy/operator.toml` has every field with its usual value"


@dataclass(frozen=True, slots=True)
class Connections:
    """Connections to one cache."""

    places: int = 90  # that a cache has for all routers together
    per_cache: int | None = None  # of one router, at once; None: its share of the places
    depth: int | None = None  # requests on one connection; None: as many as the platform allows
    cost_ms: int = 30  # of a new connection: opened once time lost behind others has come up to it

    def each(self, routers: int) -> int:
        """Connections of one router to one cache at once."""
        return (
            self.per_cache
            if self.per_cache is not None
            else connections_per_router(self.places, routers)
        )


@dataclass(frozen=True, slots=True)
class AccessLog:
    """Requests written down as they end; `ironrail trace import` reads them without a mapping."""

    path: str  # {index} in it stands for the router's number
    sample: float = 1.0  # share of requests; repeats of one idempotency key stay together
    most_mb: int = 256  # of one file: full, it makes way for a new one and is kept once, as PATH.1
    hash_keys: bool = False  # keys tell of subscribers
    # file of 16 to 64 bytes, the same at all routers; empty: drawn at each start
    hash_key: str = ""

    def secret(self) -> bytes:
        """What names are hashed with; OperatorError if the file can't be used."""
        if not self.hash_key:
            return os.urandom(32)
        return read_secret(self.hash_key)


@dataclass(frozen=True, slots=True)
class Peers:
    """What routers tell one another: datagrams to the addresses that the platform names as `peers`."""

    keys: dict[
        int, str
    ]  # files of 16 to 64 bytes, the same at all routers, by id; two while they change
    sending: int  # id of the key that is sent with
    halls: tuple[str, ...]  # of each router, by its number
    voters: tuple[
        int, ...
    ] = ()  # 3, 5 or 7 numbers of routers; none: there are no policies in accord
    pace: int = 2000  # bytes a second that a router sends
    lease_ms: int = 3000  # for which a router that is cut off decides by the policy it has
    drift: float = 0.01  # that no clock's rate is off by more
    # folder of a voter's record, {index} in it stands for its number; empty: it keeps none
    keep: str = ""
    # a router that knows of no policy: is not ready (`wait`), or acts by the `floor`
    start: str = "wait"
    # file of the policy that is obeyed where none can be decided by; empty: one of no rows
    floor: str = ""
    map: bool = False  # a map of latency between halls is kept and decided by
    # seconds between looks of a voter whether to propose rows of steering; 0: none is
    steer_every: int = 0
    per_weight: float = 0.0  # requests/s that a cache does for one unit of its weight; 0: not known
    # of each region's readers that may be brought to halls of which nothing is known
    explore: float = 0.0

    def secrets(self) -> dict[int, bytes]:
        """The keys; OperatorError if a file can't be used."""
        return {number: read_secret(path) for number, path in self.keys.items()}


@dataclass(frozen=True, slots=True)
class Operator:
    """All that the file may set."""

    connections: Connections = Connections()
    access_log: AccessLog | None = None  # none is written
    peers: Peers | None = None  # nothing is told to other routers, nor heard from them
    regions: Mapping[str, Sequence[str]] = field(
        default_factory=dict
    )  # address ranges of readers, by name


def read_secret(path: str) -> bytes:
    """What a file of 16 to 64 bytes holds; OperatorError if it can't be used."""
    try:
        secret = Path(path).read_bytes().strip()
    except OSError as e:
        raise OperatorError(e.strerror or str(e), path) from e
    if not LEAST_SECRET <= len(secret) <= MOST_SECRET:
        raise OperatorError(f"must hold {LEAST_SECRET} to {MOST_SECRET} bytes", path)
    return secret
