"""Actions: what a pool's decisions order the host to do."""

from __future__ import annotations

from dataclasses import dataclass

from ironrail.connections.upstream.connection import Attempt, UpstreamConnection
from ironrail.connections.upstream.connection_fault import Fault
from ironrail.policy.events import AttemptStatus


@dataclass(slots=True)
class OpenConnection:
    """Open a connection. Emitted when attempts wait and one more may be opened.

    The host reports `on_connected` or `on_connect_failed`.
    """

    connection: UpstreamConnection


@dataclass(slots=True)
class CheckIdle:
    """Check that nothing has arrived on a connection without attempts. Emitted before it is used.

    The host reports `on_idle_checked` at once, before it carries out any other action.
    """

    connection: UpstreamConnection
    attempt: Attempt | None  # to be written to it; None: the one that has waited longest


@dataclass(slots=True)
class WriteAttempt:
    """Write an attempt behind those in flight. Emitted when a connection is chosen for it."""

    connection: UpstreamConnection
    attempt: Attempt


@dataclass(slots=True)
class StreamResponse:
    """Forward what arrives to the client of an attempt. Emitted when a long value begins."""

    attempt: Attempt
    length: int  # bytes


@dataclass(slots=True)
class CloseConnection:
    """Close a connection after its last write. Emitted when no attempt awaits a reply on it."""

    connection: UpstreamConnection


@dataclass(slots=True)
class AbortConnection:
    """End a connection at once. Emitted when it must not be used any more.

    Reasons: its replies can't be matched or are overdue, an attempt on it is revoked, it was
    established too late, or the server was restarted or has a new address.

    The host reports `on_closed`, as at any other end.
    """

    connection: UpstreamConnection


@dataclass(slots=True)
class EndAttempt:
    """Report the outcome of an attempt. Emitted once for each attempt."""

    attempt: Attempt
    status: AttemptStatus
    body: bytes = b""


@dataclass(slots=True)
class LogConnectionFault:
    """Log why a connection is aborted. Emitted before its `AbortConnection`."""

    fault: Fault


PoolAction = (
    OpenConnection
    | CheckIdle
    | WriteAttempt
    | StreamResponse
    | CloseConnection
    | AbortConnection
    | EndAttempt
    | LogConnectionFault
)


class ActionQueue:
    """The actions that one event has caused so far, in order."""

    def __init__(self) -> None:
        self._actions: list[PoolAction] = []

    def add(self, action: PoolAction) -> None:
        """Append an action."""
        self._actions.append(action)

    def take(self) -> list[PoolAction]:
        """Return the actions and clear the queue."""
        actions = self._actions
        self._actions = []
        return actions
