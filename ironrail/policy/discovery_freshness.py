"""Freshness of the endpoint list: when to poll for it, and which servers to use when it is stale.

All routers poll one service, which handles few calls at a time. A call that waits too long there
is refused but still processed, so routers that poll too fast get no answers. Polls are therefore
spread by the number of routers, and more widely after each failure.
"""

from __future__ import annotations

import math
import random

from ironrail.policy.backoff import MAX_BACKOFF_DOUBLINGS, with_jitter
from ironrail.policy.endpoints import EndpointListKind
from ironrail.policy.settings import Settings
from ironrail.policy.state import Server

NUM_CONCURRENT_POLLERS = 4  # routers that may poll at once
POLL_SPREAD_RATIO = 0.3  # fraction of the overload window, added for each further router
FAILED_POLL_INTERVAL_FACTOR = 4.0  # poll intervals that may pass after a failure
POLL_INTERVAL_FRACTION = 0.7  # part of the interval to wait; the rest is for the call itself
# Where few routers poll. With the delays of `net/discovery/watcher.py` the next list arrives within
# MAX_STALENESS_SECONDS.
MAX_BACKOFF_SECONDS = 0.5
BACKOFF_WINDOW_RATIO = 1 / 4  # of the overload window; doubled by each failure, also the first
# A router has to know a change 6 s after it was missed, 2 s after the wait of a watch, and 4 s
# after a relocation. The limits leave a second; a watch also times out some time after its wait.
MAX_STALENESS_SECONDS = 5.0
WATCH_TIMEOUT_STALENESS_SECONDS = 0.5
RELOCATION_STALENESS_SECONDS = 3.0
NUM_IMMEDIATE_POLLS = 2  # polls without backoff after a watch timed out
FAILED_UPDATES = (
    EndpointListKind.FAILED,
    EndpointListKind.MALFORMED,
    EndpointListKind.WATCH_TIMED_OUT,
)


class DiscoveryFreshness:
    """The poll schedule of one router, and how far it may rely on its endpoint list."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        waiting_routers = 0
        if settings.polls_endpoint_list:
            waiting_routers = max(0, settings.router_count - NUM_CONCURRENT_POLLERS)
        # seconds in which all routers poll once
        self.poll_spread = POLL_SPREAD_RATIO * settings.overload_window * waiting_routers
        # seconds in which the list must be polled; without a rule, in which a server may warm up
        self._poll_interval = settings.poll_interval
        if settings.poll_interval == math.inf:
            self._poll_interval = settings.slow_start_duration
        self.on_update()

    def on_update(self) -> None:
        """Reset: a usable list arrived."""
        self.failures = 0  # in a row
        self._was_malformed = False
        self._immediate_polls = 0  # polls left that need no backoff
        self._uncertain_since = -math.inf  # time from which changes may have been missed
        self._stale_at = math.inf  # time from which missed changes must take effect

    def initial_delay(self, draws: random.Random) -> float:
        """Return the seconds before the first poll; random, because routers start together."""
        max_delay = min(self.poll_spread, POLL_INTERVAL_FRACTION * self._poll_interval)
        return max_delay * draws.random() if max_delay else 0.0

    def require_success_since(self, now: float) -> float:
        """Return the time since when a server must have served an attempt to be used.

        While the list is fresh this is minus infinity. A draining server rejects new requests, so
        one that served an attempt was not draining when that was sent.
        """
        if now < self._stale_at:
            return -math.inf
        return max(self._uncertain_since, now - MAX_STALENESS_SECONDS)

    def is_usable(self, now: float, server: Server) -> bool:
        """Return whether the list and the server's answers permit to send to it.

        While the list is stale, a server that could not be connected to may have been removed,
        even if connects succeed again.
        """
        is_stale = now >= self._stale_at
        if is_stale and server.connect_failed_at >= self._uncertain_since:
            return False
        return server.last_success_sent_at >= self.require_success_since(now)

    def on_failure(
        self,
        now: float,
        kind: EndpointListKind,
        draws: random.Random,
        uncertain_for: float | None = None,
    ) -> float:
        """Return the seconds before the next poll after one that failed; 0 to poll at once.

        Args:
            now: The time in seconds.
            kind: How the poll failed.
            draws: The random source of the jitter.
            uncertain_for: Seconds in which a change may have been missed, None if none can be.
        """
        self._was_malformed |= kind is EndpointListKind.MALFORMED
        timed_out = kind is EndpointListKind.WATCH_TIMED_OUT
        if timed_out:
            self._immediate_polls = NUM_IMMEDIATE_POLLS
        if uncertain_for is not None or kind is not EndpointListKind.FAILED:
            staleness = WATCH_TIMEOUT_STALENESS_SECONDS if timed_out else MAX_STALENESS_SECONDS
            self.mark_uncertain(now - (uncertain_for or 0.0), staleness)
        if self._immediate_polls > 0:
            # these are spread already, as the watches of the routers end at different times
            self._immediate_polls -= 1
            return 0.0
        self.failures = min(self.failures + 1, MAX_BACKOFF_DOUBLINGS)
        return with_jitter(self._backoff(), draws)

    def _backoff(self) -> float:
        """Return the longest backoff in seconds after the current number of failures."""
        conf = self._settings
        doublings = 2.0**self.failures
        max_backoff = conf.slow_start_duration
        has_few_pollers = not self.poll_spread and self._stale_at < math.inf
        if has_few_pollers:
            max_backoff = min(max_backoff, MAX_BACKOFF_SECONDS)
        backoff = min(max_backoff, conf.overload_window * BACKOFF_WINDOW_RATIO * doublings)
        if not self._was_malformed:
            # after a malformed answer the list is needed within seconds, however many others poll
            backoff += self.poll_spread * doublings
        max_interval = POLL_INTERVAL_FRACTION * FAILED_POLL_INTERVAL_FACTOR * self._poll_interval
        return min(backoff, max_interval)

    def mark_uncertain(self, since: float, staleness: float) -> None:
        """Record that a change may have been missed; it takes effect `staleness` seconds later."""
        if self._stale_at == math.inf:
            self._uncertain_since = since
        self._stale_at = min(self._stale_at, since + staleness)
