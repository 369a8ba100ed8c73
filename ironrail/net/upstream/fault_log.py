"""Rate-limited log of faults on the connections to one server."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ironrail.connections.upstream.connection_fault import Fault, describe

log = logging.getLogger(__name__)

WARNING_INTERVAL_SECONDS = 5.0


class FaultLog:
    """Logs at most one fault per interval, with the number of those suppressed before it."""

    def __init__(self, server: str, now: Callable[[], float]) -> None:
        self._server = server
        self._now = now
        self._quiet_until = 0.0
        self._suppressed = 0

    def warn(self, fault: Fault) -> None:
        """Log why a connection is aborted, unless one was logged shortly before."""
        now = self._now()
        if now < self._quiet_until:
            self._suppressed += 1
            return
        self._quiet_until = now + WARNING_INTERVAL_SECONDS
        fields = {"server": self._server, "fault": describe(fault), "suppressed": self._suppressed}
        log.warning("server_connection_aborted", extra=fields)
        self._suppressed = 0
