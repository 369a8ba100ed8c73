"""Decides which requests are accepted for dispatch, and how the others are answered."""

from __future__ import annotations

from enum import Enum

from ironrail.diagnostics.invariants import InvariantGuard
from ironrail.net.dispatch.open_attempts import OpenAttempts
from ironrail.net.dispatch.response_tracker import ResponseTracker
from ironrail.net.protocol import meta_codec
from ironrail.net.protocol.meta_codec import Command
from ironrail.policy.settings import Idempotency, Settings


class RequestError(Enum):
    """Why a request is not accepted; the value is the response."""

    UNKNOWN_CLASS = b"CLIENT_ERROR unknown class\r\n"
    MISSING_TENANT = b"CLIENT_ERROR missing t\r\n"
    CLIENT_TIMEOUT_TOO_LONG = b"CLIENT_ERROR bad d\r\n"
    ID_IN_USE = b"CLIENT_ERROR id in use\r\n"
    INVARIANT_VIOLATED = meta_codec.write_busy(None)


class RequestValidator:
    """Checks requests against the settings and against the requests in flight."""

    def __init__(
        self,
        settings: Settings,
        requests: ResponseTracker,
        attempts: OpenAttempts,
        guard: InvariantGuard,
    ) -> None:
        self._settings = settings
        self._requests = requests
        self._attempts = attempts
        self._guard = guard

    def check(
        self, command: Command, request_id: str, timeout: float, now: float
    ) -> RequestError | None:
        """Return why a request whose client waits `timeout` seconds is not accepted, or None."""
        settings = self._settings
        request_class = settings.classes.get(command.fields["c"])
        if request_class is None:
            return RequestError.UNKNOWN_CLASS
        if settings.names_tenants and "t" not in command.fields:
            return RequestError.MISSING_TENANT
        # Bounds how long a request may hold memory and timers.
        if timeout > request_class.client_timeout:
            return RequestError.CLIENT_TIMEOUT_TOO_LONG
        # Responses and attempts are matched by id, even if their request has ended.
        is_in_flight = request_id in self._requests.by_id
        if is_in_flight or self._attempts.has_request(request_id, settings.max_attempts):
            return RequestError.ID_IN_USE
        is_safe = request_class.idempotency is Idempotency.SAFE
        if not is_safe and self._requests.recent_writes.has(request_id, now):
            return RequestError.ID_IN_USE
        if not self._guard.may_start(now, request_id, is_in_flight, self._requests.has_expired_all):
            return RequestError.INVARIANT_VIOLATED
        return None
