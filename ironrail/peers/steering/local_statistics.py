"""What this router sees of each region's readers at its own hall, fading with time. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable

from ironrail.peers.steering.reports import Summary
from ironrail.peers.steering.histogram import NOTHING, Fading, code_of, part_code, rate_code, seconds_of

RTT_HALF_LIFE = 600.0  # seconds: ways between places change seldom
SERVICE_HALF_LIFE = 60.0  # seconds: what service takes changes with load
LEAST_RTTS, LEAST_ANSWERS = 3.0, 5.0  # faded samples below which nothing is said: it would be chance
WAY_BACK = 0.25  # quantile of round trips that the way back is taken from: an answer that may arrive is made
STEPS = 15  # of a share on the wire
_OK, _EARLY, _LATE = 0, 1, 2


def time_left(left: float, way_back: float | None) -> float:
    """Seconds in which an answer has to be ready; 0 or less: it can't arrive in time, so give it up at once.

    Of an unknown region nothing is taken off: nobody is refused for want of evidence.
    """
    return left - (way_back or 0.0)


class Seen:
    """One region's readers: 0.6 kB and as much for each class that they ask."""

    __slots__ = ("classes", "ends", "rtt")

    def __init__(self) -> None:
        self.rtt = Fading(RTT_HALF_LIFE)
        self.ends = Fading(SERVICE_HALF_LIFE, 3)
        self.classes: dict[int, tuple[Fading, Fading]] = {}  # time of service; arrivals


class Own:
    """Regions and classes by number."""

    def __init__(self, now: float) -> None:
        self._since = now
        self._seen: dict[int, Seen] = {}

    def client_rtt(self, now: float, region: int, seconds: float) -> None:
        """A client's round trip, as its socket tells it. What is no duration is no evidence."""
        if seconds > 0.0 and math.isfinite(seconds):
            self._of(region).rtt.add(now, code_of(seconds))

    def served(
        self, now: float, region: int, cls: int, seconds: float, wanted_ok: bool, gone_early: bool
    ) -> None:
        """A request's end: `seconds` of service, answered in its wanted time or not, or its client went.

        The time of one whose client went says only that service would have taken longer. It is counted among
        those not served in time, not among the times: else clients that give up soon make a hall look quick.
        """
        seen = self._of(region)
        times, arrivals = seen.classes.get(cls) or seen.classes.setdefault(
            cls, (Fading(SERVICE_HALF_LIFE), Fading(SERVICE_HALF_LIFE, 1))
        )
        arrivals.add(now, 0)
        seen.ends.add(now, _EARLY if gone_early else _OK if wanted_ok else _LATE)
        if not gone_early and seconds >= 0.0 and math.isfinite(seconds):
            times.add(now, code_of(seconds))

    def way_back(self, now: float, region: int) -> float | None:
        """Half a quick round trip of the region, in seconds; None where it isn't known."""
        seen = self._seen.get(region)
        if seen is None or seen.rtt.weight(now) < LEAST_RTTS:
            return None
        return seconds_of(seen.rtt.quantile(WAY_BACK)) / 2

    def regions(self) -> Iterable[int]:
        return self._seen.keys()

    def summary(self, now: float, region: int) -> Summary | None:
        """What there is to tell; None where there's too little evidence."""
        seen = self._seen.get(region)
        if seen is None:
            return None
        per_second = math.log(2.0) / SERVICE_HALF_LIFE / max(1e-3, 1.0 - 2.0 ** -self._warm(now))
        every = sum(arrivals.weight(now) for _, arrivals in seen.classes.values())
        classes = {
            cls: (
                times.quantile(0.5),
                times.quantile(0.95),
                max(1, round(STEPS * arrivals.weight(now) / every)),
            )
            for cls, (times, arrivals) in sorted(seen.classes.items())
            if times.weight(now) >= LEAST_ANSWERS
        }
        known = seen.rtt.weight(now) >= LEAST_RTTS
        if not known and not classes:
            return None
        return Summary(
            seen.rtt.quantile(0.5) if known else NOTHING,
            seen.rtt.quantile(0.95) if known else NOTHING,
            rate_code(every * per_second),
            part_code(seen.ends.share(_EARLY) + seen.ends.share(_LATE)),
            part_code(seen.ends.share(_EARLY)),
            tuple(sorted((cls, *values) for cls, values in classes.items())),
        )

    def _warm(self, now: float) -> float:
        return (now - self._since) / SERVICE_HALF_LIFE

    def _of(self, region: int) -> Seen:
        return self._seen.get(region) or self._seen.setdefault(region, Seen())
