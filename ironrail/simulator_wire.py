"""The simulator's wire protocol: reads its events, and writes actions as its commands.

Only this module knows the keys and values of the protocol. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ironrail.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpointList,
    LogMessage,
    RejectRequest,
    SendAttempt,
    SetTimer,
)
from ironrail.policy.endpoints import Endpoint, EndpointListKind, EndpointState
from ironrail.policy.events import (
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    RequestReceived,
    StreamingStarted,
    TimerFired,
)
from ironrail.policy.timers import (
    EndpointListPollDue,
    HedgeDue,
    OriginPauseEnded,
    QueueWaitExpired,
    Timer,
)

WireObject = dict[str, Any]

ENDPOINT_STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
ENDPOINT_LIST_KINDS = {
    "INCREMENTAL": EndpointListKind.DELTA,
    "FULL": EndpointListKind.FULL,
    "SAVED": EndpointListKind.CACHED,
    "FAILED": EndpointListKind.FAILED,
}
ATTEMPT_STATUSES = {
    "delivered": AttemptStatus.OK,
    "app_error": AttemptStatus.ERROR,
    "shed": AttemptStatus.BUSY,
    "expired": AttemptStatus.TIMEOUT,
    "dial_failed": AttemptStatus.CONNECT_FAILED,
    "dropped": AttemptStatus.RESET,
    "revoked": AttemptStatus.CANCELLED,
    "unused": AttemptStatus.CANCELLED_BEFORE_SEND,
    "empty": AttemptStatus.MISS,
}

# contexts of timers, which the simulator returns when they fire; at most 64 characters each
HEDGE_DUE_PREFIX = "late:"
QUEUE_WAIT_PREFIX = "wait:"
ENDPOINT_LIST_POLL_CONTEXT = "list"
ORIGIN_PAUSE_CONTEXT = "origin"


class WireError(ValueError):
    """A line that violates the wire protocol."""


def encode_timer(timer: Timer) -> str:
    """Encode a timer as the context that the simulator returns when it fires."""
    match timer:
        case HedgeDue(request_id, attempt_number):
            return f"{HEDGE_DUE_PREFIX}{request_id}:{attempt_number}"
        case QueueWaitExpired(request_id):
            return f"{QUEUE_WAIT_PREFIX}{request_id}"
        case EndpointListPollDue():
            return ENDPOINT_LIST_POLL_CONTEXT
        case OriginPauseEnded():
            return ORIGIN_PAUSE_CONTEXT


def decode_timer(context: str) -> Timer:
    """Decode a timer from its context; an unknown one counts as the end of an origin's pause."""
    if context.startswith(HEDGE_DUE_PREFIX):
        request_id, attempt_number = context.removeprefix(HEDGE_DUE_PREFIX).rsplit(":", 1)
        return HedgeDue(request_id, int(attempt_number))
    if context.startswith(QUEUE_WAIT_PREFIX):
        return QueueWaitExpired(context.removeprefix(QUEUE_WAIT_PREFIX))
    if context == ENDPOINT_LIST_POLL_CONTEXT:
        return EndpointListPollDue()
    return OriginPauseEnded()


def read_endpoint(line: WireObject) -> Endpoint:
    """Read one server of an endpoint list."""
    return Endpoint(
        name=line["server"],
        state=ENDPOINT_STATES[line["readiness"]],
        kind=line.get("generationHw") or "",
        zone=line.get("site") or "",
        cell=line.get("stripe") or 0,
        weight=max(0.0, line.get("weight") or 0.0),
        started_at=line.get("since") or 0.0,
    )


def read_endpoint_list_update(event: WireObject) -> Event:
    """Read an endpoint list, a watch event or a failed call."""
    endpoints = tuple(map(read_endpoint, event.get("lines") or ()))
    return EndpointListUpdate(ENDPOINT_LIST_KINDS[event["scope"]], endpoints)


def read_request(event: WireObject) -> Event:
    """Read a client's request; a negative time budget counts as 0."""
    return RequestReceived(
        request_id=event["ticket"],
        class_name=event["priority"],
        time_left=max(0.0, float(event.get("timeBudget") or 0.0)),
        key=event.get("partitionKey"),
        work_hint=event.get("effort"),
        is_write=bool(event.get("update")),
    )


def read_attempt_ended(event: WireObject) -> Event:
    """Read the end of an attempt."""
    return AttemptEnded(
        request_id=event["ticket"],
        attempt_number=event["sendNo"],
        status=ATTEMPT_STATUSES[event["outcome"]],
        request_ended=bool(event.get("final")),
        latency=event.get("lag") or 0.0,
    )


EVENT_READERS: dict[str, Callable[[WireObject], Event]] = {
    "Membership": read_endpoint_list_update,
    "Request": read_request,
    "Begun": lambda event: StreamingStarted(event["ticket"], event["sendNo"]),
    "Done": read_attempt_ended,
    "Aborted": lambda event: ClientDisconnected(event["ticket"]),
    "Wake": lambda event: TimerFired(decode_timer(event["ctx"])),
}


def write_action(action: Action) -> WireObject:
    """Write an action as a command to the simulator."""
    match action:
        case SendAttempt(request_id, server, None):
            return {"op": "Send", "ticket": request_id, "server": server}
        case SendAttempt(request_id, server, timeout):
            return {"op": "Send", "ticket": request_id, "server": server, "timeout": timeout}
        case RejectRequest(request_id, retry_after):
            return {"op": "Reject", "ticket": request_id, "coolDown": retry_after}
        case FailRequest(request_id):
            return {"op": "GiveUp", "ticket": request_id}
        case CancelAttempt(request_id, attempt_number):
            return {"op": "Cancel", "ticket": request_id, "sendNo": attempt_number}
        case CloseIdleConnections(server):
            return {"op": "LetGo", "server": server}
        case SetTimer(delay, timer):
            return {"op": "Timer", "fromNow": delay, "ctx": encode_timer(timer)}
        case FetchEndpointList():
            return {"op": "Listen", "enable": True}
        case LogMessage(text):
            return {"op": "Record", "line": text}
