"""When a router asks for the list of servers, where it has to ask and one service tells all routers. Pure.

The service has a place for few calls. One that waits too long is refused, but worked off all the same, so
routers that call too fast get no answers. Calls are spread by their number, and further after each failure.
"""

from __future__ import annotations

import math
import random

from ironrail.policy import interface as api
from ironrail.policy.state import Server

CROWD = 4  # routers that may ask at once; more than that wear out whoever tells the list
SPREAD = 0.3  # of the shortest window in which a server falls, for each router beyond: calls in turn
AFTER_FAILURE = 4.0  # times the interval in which the list must be asked for that may pass once a call failed
IN_TIME = 0.7  # of it, as a call takes its time
MOST_PAUSE = 0.5  # seconds, where few ask: the bound on news leaves no more, see `net/discovery.py`
# Of more than those the calls can't fit in: in turn they make 1 / SPREAD = 3.3 a second, 20 within 6 s.
UNTOLD = 5.0  # seconds until only proof is trusted: news counts as told after 6, whatever became of calls
UNTOLD_SILENT = 0.5  # after a silent watch was given up, so long after its wait: it counts 2 s after that
UNTOLD_MOVED = 3.0  # after the list moved: it counts 4 s later
AT_ONCE = 2  # calls after a silent watch that are not put off for others: the second if the first fails
NO_LIST = (api.ListKind.FAILED, api.ListKind.SPOILT, api.ListKind.SILENT)  # how a call may have failed
MOST_DOUBLINGS = 1000  # guards against overflow, which ended all service after some hours


class Asking:
    """One router's calls for the list."""

    def __init__(self, settings: api.Settings) -> None:
        self._settings = settings
        crowd = max(0, settings.routers - CROWD) if settings.subscribe else 0
        self.spread = SPREAD * settings.fall_window * crowd  # seconds in which all may have called once
        # in which the list is to be asked for; where no rule says so, as soon as a server may be warm again
        self._interval = settings.must_ask if settings.must_ask < math.inf else settings.ramp
        self.told()

    def told(self) -> None:
        """A list came that could be used."""
        self.failures = 0  # in a row
        self._spoilt = False  # an answer was, and no list came since
        self._at_once = 0  # calls that are due without a pause
        self._unsure_at, self._binds_at = -math.inf, math.inf  # news was missed then, is told from then on

    def first(self, draws: random.Random) -> float:
        """Seconds until the first call: routers that start together don't ask together."""
        most = min(self.spread, IN_TIME * self._interval)
        return most * draws.random() if most else 0.0

    def proof_from(self, now: float) -> float:
        """News that never came counts as told. One that drains turns away what is new: who served did not."""
        return max(self._unsure_at, now - UNTOLD) if now >= self._binds_at else -math.inf

    def trusts(self, now: float, server: Server) -> bool:
        """Whether a server may be sent to; one that was lost may be listed as gone, though it is back."""
        lost = now >= self._binds_at and server.lost_at >= self._unsure_at
        return not lost and server.well_at >= self.proof_from(now)

    def failed(
        self, now: float, how: api.ListKind, draws: random.Random, unsure: float | None = None
    ) -> float:
        """Seconds until the next call, once one has failed; 0 for now.

        After a spoilt answer none is put off for the sake of others until there is a list, as its news counts
        within seconds; after a silent watch not the first calls, which the watches' own waits have spread.
        """
        self._spoilt |= how is api.ListKind.SPOILT
        self._at_once = AT_ONCE if how is api.ListKind.SILENT else self._at_once
        if unsure is not None or how is not api.ListKind.FAILED:
            self.missed(now - (unsure or 0.0), UNTOLD_SILENT if how is api.ListKind.SILENT else UNTOLD)
        if self._at_once > 0:
            self._at_once -= 1
            return 0.0
        conf = self._settings
        self.failures = min(self.failures + 1, MOST_DOUBLINGS)
        doublings = 2.0**self.failures
        few = not self.spread and self._binds_at < math.inf
        pause = min(MOST_PAUSE if few else conf.ramp, conf.fall_window / 4 * doublings)
        if not self._spoilt:  # twice the spread that proved too narrow: what was refused is still worked off
            pause += self.spread * doublings
        return min(pause, IN_TIME * AFTER_FAILURE * self._interval) * draws.uniform(0.5, 1.0)

    def missed(self, since: float, untold: float) -> None:
        """News was, maybe, since then; what there was then counts as told so much later."""
        if self._binds_at == math.inf:
            self._unsure_at = since
        self._binds_at = min(self._binds_at, since + untold)
