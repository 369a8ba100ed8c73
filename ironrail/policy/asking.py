"""When a router asks for the list of servers, where it has to ask and one service tells all routers. Pure.

The service has a place for few calls. One that waits there too long is refused, but worked off all the same:
routers that call faster than they are answered get no answer any more, none of them. So calls are spread by
how many routers there are, and further after each one that failed.
"""

from __future__ import annotations

import math
import random

from ironrail.policy import interface as api

CROWD = 4  # routers that may ask at once; more than that wear out whoever tells the list
SPREAD = 0.3  # of the shortest window in which a server falls, for each router beyond: calls in turn
AFTER_FAILURE = 4.0  # times the interval in which the list must be asked for that may pass once a call failed
IN_TIME = 0.7  # of it, as a call takes its time
# seconds after a spoilt answer was given up; what it held counts as told 6 s after it came, a second earlier
UNTOLD = 5.0
MOST_DOUBLINGS = 1000  # guards against overflow, which ended all service after some hours


class Asking:
    """One router's calls for the list."""

    def __init__(self, settings: api.Settings) -> None:
        self._settings = settings
        crowd = max(0, settings.routers - CROWD) if settings.subscribe else 0
        self.spread = (
            SPREAD * settings.fall_window * crowd
        )  # seconds in which all routers may have called once
        # in which the list is to be asked for; where no rule says so, as soon as a server may be warm again
        self._interval = settings.must_ask if settings.must_ask < math.inf else settings.ramp
        self.failures = 0  # in a row
        self.spoilt_at: float | None = None  # when an answer was spoilt, until a list came

    def told(self) -> None:
        """A list came that could be used."""
        self.failures, self.spoilt_at = 0, None

    def first(self, draws: random.Random) -> float:
        """Seconds until the first call: routers that start together don't ask together."""
        most = min(self.spread, IN_TIME * self._interval)
        return most * draws.random() if most else 0.0

    def spoilt(self, now: float) -> None:
        """An answer had begun and can't be used: what it had to tell counts as told within seconds."""
        if self.spoilt_at is None:
            self.spoilt_at = now

    def binds(self, now: float) -> bool:
        """Whether a spoilt answer counts as told, or soon does, and its news never came."""
        return self.spoilt_at is not None and now >= self.spoilt_at + UNTOLD

    def again(self, draws: random.Random) -> float:
        """Seconds until the next call, once one has failed.

        After a spoilt answer it is not put off for the sake of others, until there is a list.
        """
        conf = self._settings
        self.failures = min(self.failures + 1, MOST_DOUBLINGS)
        doublings = 2.0**self.failures
        pause = min(conf.ramp, conf.fall_window / 4 * doublings)
        if (
            self.spoilt_at is None
        ):  # twice the spread that proved too narrow: what was refused is still worked off
            pause += self.spread * doublings
        return min(pause, IN_TIME * AFTER_FAILURE * self._interval) * draws.uniform(0.5, 1.0)
