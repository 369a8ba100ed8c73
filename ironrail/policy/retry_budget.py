"""The retry budget: how many extra attempts all requests of one router may use together.

An extra attempt is a retry or a hedged request. The budget limits the load that these add when
servers fail, so that retries do not amplify an overload. When it is used up a request is rejected
or fails although its class would permit another attempt.
"""

from __future__ import annotations

from collections import deque

from ironrail.policy.policy_overrides import PolicyOverrides
from ironrail.policy.settings import RetryBudgetSettings, Settings
from ironrail.policy.state import PendingRequest

# budget over the duration of a slow start, if the settings contain none
DEFAULT_RETRY_RATIO = 0.2  # extra attempts for each request
DEFAULT_RESERVE_ATTEMPTS = 10.0  # covers the attempts in flight at a server that fails


class RetryBudget:
    """Allows `reserve + ratio x requests` extra attempts in any `window` seconds.

    An attempt is charged to the budget unless its request has a free attempt left. The first
    attempt of a request is free, and so is one after each miss, as that fetch is regular work.
    """

    def __init__(self, settings: Settings, policy_overrides: PolicyOverrides) -> None:
        self.settings = settings.retry_budget or RetryBudgetSettings(
            DEFAULT_RESERVE_ATTEMPTS, DEFAULT_RETRY_RATIO, settings.slow_start_duration
        )
        self._policy_overrides = policy_overrides
        self._request_times = deque[float]()  # within the window
        self._charge_times = deque[float]()  # within the window

    def on_request(self, now: float) -> None:
        """Count a new request, admitted or not."""
        self._request_times.append(now)

    def on_miss(self, pending: PendingRequest) -> None:
        """Grant the request a free attempt to fetch what the cache lacks."""
        pending.free_attempts += 1

    def allows_attempt(self, now: float, pending: PendingRequest) -> bool:
        """Return whether the request may have another attempt, free or charged."""
        window_start = now - self.settings.window
        _discard_until(window_start, self._request_times)
        _discard_until(window_start, self._charge_times)
        if pending.free_attempts > 0:
            return True
        allowed = self.settings.reserve + self.settings.ratio * len(self._request_times)
        allowed *= self._policy_overrides.retry_ratio(pending.request_class.name)
        return len(self._charge_times) + 1 <= allowed

    def on_attempt_sent(self, now: float, pending: PendingRequest) -> None:
        """Use a free attempt of the request or, if it has none left, charge the budget."""
        if pending.free_attempts > 0:
            pending.free_attempts -= 1
        else:
            self._charge_times.append(now)


def _discard_until(time: float, times: deque[float]) -> None:
    """Drop the entries up to `time`, which are outside the window."""
    while times and times[0] <= time:
        times.popleft()
