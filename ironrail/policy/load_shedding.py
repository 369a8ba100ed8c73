"""Load shedding by the fraction of answers in time, and detection of a congested fleet."""

from __future__ import annotations

import math
import random

from ironrail.policy.events import AttemptEnded, AttemptStatus
from ironrail.policy.policy_overrides import PolicyOverrides
from ironrail.policy.settings import Settings
from ironrail.policy.slow_start import SlowStart
from ironrail.policy.state import SERVED_STATUSES, SMOOTHING_FACTOR, Attempt

# mean latency, as a fraction of the objective, above which late answers are due to congestion
UNCONGESTED_LATENCY_RATIO = 1 / 4
MAX_ATTEMPTS_PER_TIMELY_ANSWER = 1.5  # requests in excess of this ratio are shed
MAX_SHED_FRACTION = 0.9  # of new requests; the others show when the overload ends
# weight of the latest sample in the mean latency of the fleet
LATENCY_SMOOTHING_FACTOR = SMOOTHING_FACTOR / 4


class LoadShedding:
    """Sheds requests by counts of the caches' answers, decayed over the slow start duration."""

    def __init__(
        self,
        settings: Settings,
        draws: random.Random,
        now: float,
        slow_start: SlowStart,
        overrides: PolicyOverrides,
    ) -> None:
        self._draws = draws
        self._slow_start = slow_start
        self._overrides = overrides
        self._decay_seconds = settings.slow_start_duration
        self.answers = 0.0  # decayed count, including requests that were shed
        self._timely_answers = 0.0  # decayed count
        self._decayed_at = now
        self.mean_latency = 0.0  # seconds, smoothed, of all caches

    def should_shed(self, class_name: str) -> bool:
        """Return whether to reject a new request, before it causes the fleet any work.

        The more an overloaded fleet is sent, the fewer requests it answers in time.
        """
        surplus = self.answers - MAX_ATTEMPTS_PER_TIMELY_ANSWER * self._timely_answers - 1.0
        excess = min(MAX_SHED_FRACTION, max(0.0, surplus) / (self.answers + 1.0))
        shed = self._draws.random() < excess
        override = self._overrides.is_shed(class_name, excess)
        if override is not None:
            shed = override
        if shed:
            # counts as an answer, or shedding would stop while the fleet is still slow
            self.answers += 1
        return shed

    def is_uncongested(self, latency_objective: float) -> bool:
        """Return whether an answer later than the objective means a loss, not congestion."""
        return self.mean_latency <= UNCONGESTED_LATENCY_RATIO * latency_objective

    def on_answer(self, now: float, attempt: Attempt, event: AttemptEnded) -> None:
        """Count the answer of a cache."""
        rejected = event.status is AttemptStatus.BUSY
        in_time = not rejected and event.latency <= attempt.latency_objective
        decay = math.exp((self._decayed_at - now) / self._decay_seconds)
        self._decayed_at = now
        self.answers = self.answers * decay + 1
        self._timely_answers = self._timely_answers * decay + in_time
        # misses are work too: in a fleet that is mostly new there are few hits
        self._slow_start.record_work(
            decay, attempt.cost if event.status in SERVED_STATUSES else 0.0
        )
        if not rejected:
            latency = max(0.0, event.latency - attempt.link_delay)
            self.mean_latency += LATENCY_SMOOTHING_FACTOR * (latency - self.mean_latency)
