"""Endpoints: the servers that discovery lists, and how one list relates to the list before it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """The state of a listed server."""

    READY = "ready"
    DRAINING = "draining"  # finishes its attempts in flight, and gets no new ones
    REMOVED = "gone"


class EndpointListKind(Enum):
    """How an endpoint list relates to the one that is known, or how a call for it failed."""

    DELTA = "delta"  # a watch event: only the endpoints that changed
    FULL = "full"
    CACHED = "saved"  # complete, but possibly outdated
    FAILED = "failed"  # the call was refused or got no answer
    MALFORMED = "spoilt"  # the answer was incomplete or invalid
    WATCH_TIMED_OUT = "silent"  # the watch got no answer in time, not even an empty one
    RELOCATED = "moved"  # the list has to be fetched from a new address of discovery


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One server of the endpoint list."""

    name: str
    state: EndpointState = EndpointState.READY
    kind: str = ""  # hardware; one kind marks the origins
    zone: str = ""
    cell: int = 0
    weight: float = 0.0  # relative capacity; 0: not stated
    started_at: float = 0.0  # time of the latest start; 0: long ago
