"""Endpoints: the servers that discovery lists, and how one list relates to the list before it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """The state of a listed server."""

    READY = "ready"
    DRAINING = "draining"  # finishes what it has, and gets no new attempts
    REMOVED = "gone"


class EndpointListKind(Enum):
    """How an endpoint list relates to the one that is known, or how a call for it failed."""

    DELTA = "delta"  # a watch event: only the endpoints that changed
    FULL = "full"
    CACHED = "saved"  # complete, but it may be old
    FAILED = "failed"  # the call was refused or got no answer
    MALFORMED = "spoilt"  # the answer broke off, or can't be used
    WATCH_TIMED_OUT = "silent"  # the watch got no answer, not even an empty one, in its time
    RELOCATED = "moved"  # discovery has another address now, where the list has to be fetched


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One server of the endpoint list."""

    name: str
    state: EndpointState = EndpointState.READY
    kind: str = ""  # its hardware; one kind marks the origins
    zone: str = ""
    cell: int = 0
    weight: float = 0.0  # relative capacity; 0: not stated
    started_at: float = 0.0  # time of the latest start; 0: long ago
