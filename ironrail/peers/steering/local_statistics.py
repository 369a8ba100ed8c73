"""What this router measures of each region's clients, decaying with time. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable

from ironrail.peers.steering.histogram import (
    NO_DATA_CODE,
    DecayingHistogram,
    duration_code,
    duration_from_code,
    fraction_code,
    rate_code,
)
from ironrail.peers.steering.reports import RegionSummary

RTT_HALF_LIFE_SECONDS = 600.0  # network paths change seldom
SERVICE_HALF_LIFE_SECONDS = 60.0  # service times change with load
MIN_RTT_SAMPLES, MIN_SERVICE_SAMPLES = 3.0, 5.0  # decayed weight; fewer would report chance
# Low, so that a request whose response may still arrive in time is not rejected.
RETURN_RTT_QUANTILE = 0.25
CLASS_SHARE_STEPS = 15  # of a class's share in a report
_ON_TIME, _ABANDONED, _LATE = 0, 1, 2


def time_left(left: float, return_seconds: float | None) -> float:
    """Return the seconds until a response has to be ready.

    Args:
        left: Seconds until the client needs the response.
        return_seconds: The response's time to the client. None is unknown and subtracts nothing: no
            request is rejected for lack of measurements.

    Returns:
        The remaining time; if it isn't positive, the response can't arrive in time and the request
        should be rejected at once.
    """
    return left - (return_seconds or 0.0)


class RegionHistograms:
    """Measurements of one region: 0.6 kB, and as much for each request class.

    Attributes:
        rtt: Round-trip times.
        outcomes: Requests on time, abandoned and late.
        classes: Service times and arrivals by class number.
    """

    __slots__ = ("classes", "outcomes", "rtt")

    def __init__(self) -> None:
        self.rtt = DecayingHistogram(RTT_HALF_LIFE_SECONDS)
        self.outcomes = DecayingHistogram(SERVICE_HALF_LIFE_SECONDS, 3)
        self.classes: dict[int, tuple[DecayingHistogram, DecayingHistogram]] = {}


class LocalStatistics:
    """Measurements by number of region and class."""

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._regions: dict[int, RegionHistograms] = {}

    def record_client_rtt(self, now: float, region: int, seconds: float) -> None:
        """Record a client's round-trip time from its socket; invalid durations are ignored."""
        if seconds > 0.0 and math.isfinite(seconds):
            self._of(region).rtt.add(now, duration_code(seconds))

    def record_request(
        self,
        now: float,
        region: int,
        class_number: int,
        seconds: float,
        is_on_time: bool,
        is_abandoned: bool,
    ) -> None:
        """Record the end of a request.

        If the client disconnected first, the time is only a lower bound. Such a request counts as
        not served on time, but its time isn't recorded: otherwise clients that give up soon would
        make a zone look fast.

        Args:
            now: Time on this router's clock.
            region: Number of the client's region.
            class_number: Number of the request class.
            seconds: Service time.
            is_on_time: Whether it was answered within its latency objective.
            is_abandoned: Whether the client disconnected first.
        """
        histograms = self._of(region)
        times, arrivals = histograms.classes.get(class_number) or histograms.classes.setdefault(
            class_number,
            (
                DecayingHistogram(SERVICE_HALF_LIFE_SECONDS),
                DecayingHistogram(SERVICE_HALF_LIFE_SECONDS, 1),
            ),
        )
        arrivals.add(now, 0)
        histograms.outcomes.add(
            now, _ABANDONED if is_abandoned else _ON_TIME if is_on_time else _LATE
        )
        if not is_abandoned and seconds >= 0.0 and math.isfinite(seconds):
            times.add(now, duration_code(seconds))

    def return_seconds(self, now: float, region: int) -> float | None:
        """Return half of the region's low round-trip time in seconds; None if it is unknown."""
        histograms = self._regions.get(region)
        if histograms is None or histograms.rtt.weight(now) < MIN_RTT_SAMPLES:
            return None
        return duration_from_code(histograms.rtt.quantile(RETURN_RTT_QUANTILE)) / 2

    def regions(self) -> Iterable[int]:
        """Return the regions of which something was recorded."""
        return self._regions.keys()

    def summary(self, now: float, region: int) -> RegionSummary | None:
        """Return the values to report; None if there are too few samples."""
        histograms = self._regions.get(region)
        if histograms is None:
            return None
        per_second = (
            math.log(2.0)
            / SERVICE_HALF_LIFE_SECONDS
            / max(1e-3, 1.0 - 2.0 ** -self._uptime_half_lives(now))
        )
        total = sum(arrivals.weight(now) for _, arrivals in histograms.classes.values())
        classes = {
            class_number: (
                times.quantile(0.5),
                times.quantile(0.95),
                max(1, round(CLASS_SHARE_STEPS * arrivals.weight(now) / total)),
            )
            for class_number, (times, arrivals) in sorted(histograms.classes.items())
            if times.weight(now) >= MIN_SERVICE_SAMPLES
        }
        has_rtt = histograms.rtt.weight(now) >= MIN_RTT_SAMPLES
        if not has_rtt and not classes:
            return None
        return RegionSummary(
            histograms.rtt.quantile(0.5) if has_rtt else NO_DATA_CODE,
            histograms.rtt.quantile(0.95) if has_rtt else NO_DATA_CODE,
            rate_code(total * per_second),
            fraction_code(histograms.outcomes.share(_ABANDONED) + histograms.outcomes.share(_LATE)),
            fraction_code(histograms.outcomes.share(_ABANDONED)),
            tuple(sorted((class_number, *values) for class_number, values in classes.items())),
        )

    def _uptime_half_lives(self, now: float) -> float:
        return (now - self._started_at) / SERVICE_HALF_LIFE_SECONDS

    def _of(self, region: int) -> RegionHistograms:
        return self._regions.get(region) or self._regions.setdefault(region, RegionHistograms())
