"""Outlier detection: servers that fail are ejected for a time, which grows with each failure.

No probes are sent. `candidate_selection` skips an ejected server if there is another candidate;
after `Server.ejected_until` the next request of one of its keys goes to it as to any other.
"""

from __future__ import annotations

import random

from ironrail.policy.actions import Action
from ironrail.policy.backoff import MAX_BACKOFF_DOUBLINGS, with_jitter
from ironrail.policy.connection_health import ConnectionHealth
from ironrail.policy.events import AttemptEnded, AttemptStatus
from ironrail.policy.load_shedding import LoadShedding
from ironrail.policy.settings import Settings
from ironrail.policy.slow_start import SlowStart
from ironrail.policy.state import ANSWERED_STATUSES, SERVED_STATUSES, Attempt, Server

FIRST_EJECTION_RATIO = 1 / 2  # fraction of the shortest latency objective


class OutlierDetection:
    """Ejects servers that do not answer or cannot be connected to.

    Each loss in a row doubles the ejection of a cache, up to the slow start duration; an answer
    ends the row. A restarted server is a new `Server`, which is not ejected. An origin is ejected
    for the first duration only, which is counted in the metrics; it still gets attempts.
    """

    def __init__(
        self,
        settings: Settings,
        draws: random.Random,
        slow_start: SlowStart,
        load_shedding: LoadShedding,
        connections: ConnectionHealth,
    ) -> None:
        self._draws = draws
        self._slow_start = slow_start
        self._load_shedding = load_shedding
        self._connections = connections
        shortest_objective = min(c.latency_objective for c in settings.classes.values())
        self._first_ejection = shortest_objective * FIRST_EJECTION_RATIO
        # a warming server is ejected at least for the window in which its budget is counted
        self._first_ejection_warming = settings.overload_window
        self._max_ejection = settings.slow_start_duration

    def on_attempt_ended(
        self, now: float, attempt: Attempt, event: AttemptEnded, actions: list[Action]
    ) -> None:
        """Learn from an attempt that has ended and is no longer counted as in flight."""
        server = attempt.server
        if event.status in ANSWERED_STATUSES:
            server.consecutive_losses = 0
            if server.is_cache:
                self._load_shedding.on_answer(now, attempt, event)
                if event.status in SERVED_STATUSES:
                    server.last_success_sent_at = max(server.last_success_sent_at, attempt.sent_at)
            lost = False
        else:
            lost = self._on_loss(now, attempt, event.status)
        self._connections.on_attempt_ended(now, attempt, event, lost, actions)

    def _on_loss(self, now: float, attempt: Attempt, status: AttemptStatus) -> bool:
        """Eject the server of an attempt without an answer; return whether the attempt was lost.

        An unanswered attempt counts as lost unless the fleet is congested. At a warming server it
        always counts, because the server still works on it. A reset is a loss for the connection
        statistics, but does not eject the server.
        """
        server = attempt.server
        is_warming = self._slow_start.capacity_fraction(now, server) < 1.0
        is_silent = attempt.unanswered and (
            is_warming or self._load_shedding.is_uncongested(attempt.latency_objective)
        )
        connect_failed = status is AttemptStatus.CONNECT_FAILED
        if connect_failed:
            server.connect_failed_at = now
        if is_silent or connect_failed:
            self._eject(now, server, is_warming)
        return is_silent or status is AttemptStatus.RESET

    def _eject(self, now: float, server: Server, is_warming: bool) -> None:
        """Eject a server, with exponential backoff and jitter."""
        if server.is_cache:
            server.consecutive_losses = min(server.consecutive_losses + 1, MAX_BACKOFF_DOUBLINGS)
        first = self._first_ejection_warming if is_warming else self._first_ejection
        backoff = min(self._max_ejection, first * 2.0 ** (server.consecutive_losses - 1))
        server.ejected_until = now + with_jitter(backoff, self._draws)
