"""Ends requests in flight for reasons other than a response that the policy chose."""

from __future__ import annotations

import logging

from ironrail.net.dispatch.in_flight_request import InFlightRequest
from ironrail.net.dispatch.open_attempts import OpenAttempts, id_of
from ironrail.net.dispatch.policy_driver import PolicyDriver
from ironrail.net.dispatch.response_tracker import ResponseTracker
from ironrail.policy.events import AttemptStatus, ClientDisconnected, DeadlineReached

log = logging.getLogger(__name__)


class RequestTermination:
    """Ends requests at their deadline, when their client disconnects, and at shutdown."""

    def __init__(
        self,
        driver: PolicyDriver,
        requests: ResponseTracker,
        attempts: OpenAttempts,
    ) -> None:
        self._driver = driver
        self._requests = requests
        self._attempts = attempts

    def on_deadline(self, request_id: str) -> None:
        """Respond to a request whose deadline is reached."""
        if not self._expire(self._requests.by_id[request_id]):
            log.error("request_dropped_by_policy", extra={"request": request_id})

    def expire_all(self) -> None:
        """Respond to all requests in flight now, and start no attempts from now on."""
        self._requests.has_expired_all = True
        for request in list(self._requests.by_id.values()):
            if (
                request.request_id in self._requests.by_id
            ):  # the end of another request may have ended this one
                self._expire(request)

    def drop(self, request: InFlightRequest) -> None:
        """Fail a request that the policy no longer tracks correctly, and remove it there too."""
        self._requests.fail(request)
        self._driver.submit(ClientDisconnected(request.request_id))

    def on_client_disconnected(self, request_id: str) -> None:
        """End a request whose client has disconnected."""
        request = self._requests.remove_disconnected(request_id)
        if request is None:
            return
        if request.streamed_attempt is not None:
            self._attempts.abandon(id_of(request.streamed_attempt), AttemptStatus.CANCELLED)
        self._driver.submit(ClientDisconnected(request_id))

    def end_if_disconnected(self, request: InFlightRequest, waited: bool) -> bool:
        """End a request if its client has disconnected unnoticed; return whether it has.

        Args:
            request: The request.
            waited: Whether time has passed since the request was read.
        """
        if request.stream is None or not request.stream.has_disconnected(waited):
            return False
        request.stream.abort()
        self.on_client_disconnected(request.request_id)
        return True

    def _expire(self, request: InFlightRequest) -> bool:
        """Let the policy respond to a request that has no time left; return whether it did."""
        request_id = request.request_id
        self._driver.check_stall()  # a stall noticed later would delay the events below
        for attempt in request.attempts:
            self._attempts.abandon(id_of(attempt), AttemptStatus.TIMEOUT)
        if self._driver.is_catching_up:
            self._expire_during_catch_up(request_id)
        if request_id in self._requests.by_id:
            self._driver.submit(DeadlineReached(request_id))
        if request_id in self._requests.by_id:
            self.drop(request)
            return False
        return True

    def _expire_during_catch_up(self, request_id: str) -> None:
        self._driver.expire_now(request_id)
        if request_id in self._requests.by_id:
            self._driver.handle_now(DeadlineReached(request_id))
