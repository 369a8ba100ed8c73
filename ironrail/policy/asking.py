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

    def told(self) -> None:
        """A list came that could be used."""
        self.failures = 0

    def first(self, draws: random.Random) -> float:
        """Seconds until the first call: routers that start together don't ask together."""
        most = min(self.spread, IN_TIME * self._interval)
        return most * draws.random() if most else 0.0

    def again(self, draws: random.Random, spoilt: bool) -> float:
        """Seconds until the next call, once one has failed.

        `spoilt`: an answer had begun. The service has a place for this router, and what it had to tell counts
        as told within seconds: the next call is not put off for the sake of others.
        """
        conf = self._settings
        self.failures = min(self.failures + 1, MOST_DOUBLINGS)
        doublings = 2.0**self.failures
        pause = min(conf.ramp, conf.fall_window / 4 * doublings)
        if not spoilt:  # twice the spread that proved too narrow: what was refused is still worked off
            pause += self.spread * doublings
        return min(pause, IN_TIME * AFTER_FAILURE * self._interval) * draws.uniform(0.5, 1.0)
