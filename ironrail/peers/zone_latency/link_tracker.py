"""Tracks the state of one link between two zones from the samples of this router.

Samples are grouped into windows, and only the fastest round trip of a window counts: ten answers
that queued behind one another are one observation. Each window answers two questions: did any
answer arrive, and did it take much longer than the baseline? Runs of bad windows are detected by
sums of log likelihood ratios (CUSUM, Page 1954) relative to the baseline of this link: a link that
always loses half of its packets needs a longer run to count as cut. Does no I/O and reads no
clock.
"""

from __future__ import annotations

import math
from collections import deque
from enum import IntEnum

from ironrail.peers.zone_latency.histogram import (
    LAST_BUCKET,
    DecayingHistogram,
    bucket_of,
    bucket_seconds,
)

WINDOW_SECONDS = 0.1  # longer than a burst of answers, shorter than any fault worth reporting
BASELINE_HALF_LIFE_SECONDS = 600.0  # a link that has been slow for as long has a new baseline
RECENT_HALF_LIFE_SECONDS = 10.0  # of the reported round trips; cleared on a change of state
LOSS_HALF_LIFE_SECONDS = 30.0  # longer, as a loss ratio needs more samples: 85 at 2 a second
# times the baseline counts as late; links vary by less from hour to hour, a tenfold fault by more
LATE_FACTOR = 3.0
MIN_LATE_SECONDS = 0.002  # beyond the baseline; a busy router's event loop delays by less
# log of the odds; 3 bad windows reach it where 5% are bad as a baseline, 14 where half of them are
DECISION_THRESHOLD = 8.5
# where others in the zone suspect the link too; 2 and 9 windows reach it
SUSPECTED_THRESHOLD = DECISION_THRESHOLD * 2 / 3
# limits of the baseline's fraction of bad windows; above the upper one a run proves little
MIN_BAD_FRACTION, MAX_BAD_FRACTION = 0.05, 0.6
FAULTY_BAD_FRACTION = 0.95  # of the windows of a link that is slow or cut
LOCAL_DELAY_FACTOR = 2.0  # times this router's delay is tolerated: samples are delayed unequally
MIN_WINDOWS = 4  # before the state is first set
MIN_DWELL_SECONDS = 2.0  # for which a link stays slow or cut at least
FLAPPING_SECONDS = 120.0  # each fault within this time doubles the dwell of the next
MAX_DWELL_SECONDS = 64.0


class MeasuredLinkState(IntEnum):
    """State of a link as routers measure it, a worse one being greater.

    UNKNOWN means that there is no evidence, in particular none that the other zone is near.
    """

    UNKNOWN = 0
    WELL = 1
    SLOW = 2
    CUT = 3


class CusumDetector:
    """Two cumulative sums of one yes-or-no question, for the start and for the end of a fault.

    Attributes:
        fault_score: Grows with bad windows.
        recovery_score: Grows with good windows.
    """

    __slots__ = ("_baseline", "fault_score", "recovery_score")

    def __init__(self) -> None:
        """Initialize the detector without any window."""
        self._baseline = DecayingHistogram(BASELINE_HALF_LIFE_SECONDS, 2)
        self.fault_score = self.recovery_score = 0.0

    def add(self, now: float, is_bad: bool) -> None:
        """Add one window."""
        weight = self._baseline.total_weight(now)
        # Laplace's rule of succession: a new link may be bad
        bad_fraction = (self._baseline.fraction(1) * weight + 1.0) / (weight + 2.0)
        bad_fraction = min(MAX_BAD_FRACTION, max(MIN_BAD_FRACTION, bad_fraction))
        step = (
            math.log(FAULTY_BAD_FRACTION / bad_fraction)
            if is_bad
            else math.log((1 - FAULTY_BAD_FRACTION) / (1 - bad_fraction))
        )
        self.fault_score = min(DECISION_THRESHOLD, max(0.0, self.fault_score + step))
        self.recovery_score = min(DECISION_THRESHOLD, max(0.0, self.recovery_score - step))
        self._baseline.add(now, int(is_bad))


class LinkTracker:
    """Samples of one link, and the state that follows from them.

    Attributes:
        state: State of the link.
        evidence_at: Time of the latest window that was used; -inf before the first.
        excess_seconds: What the fastest round trip of the latest window took beyond the baseline.
        round_trip_at: Time of the latest round trip that was measured.
        lost_at: Time of the latest loss.
        reply_at: Time of the latest reply, whether its round trip was measured or not.
        window_ends_at: End of the open window; infinite if none is open.
    """

    def __init__(self) -> None:
        """Initialize the tracker of a link of unknown state."""
        self.state = MeasuredLinkState.UNKNOWN
        self.evidence_at = -math.inf
        self.excess_seconds = 0.0
        self.round_trip_at = self.lost_at = -math.inf
        self.reply_at = -math.inf
        self.window_ends_at = math.inf
        self._window_fastest, self._window_has_reply = math.inf, False
        self._baseline = DecayingHistogram(BASELINE_HALF_LIFE_SECONDS)
        self._loss_detector, self._delay_detector = CusumDetector(), CusumDetector()
        self._recent, self._losses = (
            DecayingHistogram(RECENT_HALF_LIFE_SECONDS),
            DecayingHistogram(LOSS_HALF_LIFE_SECONDS, 2),
        )
        # bucket of each of the latest windows, None without an answer;
        # after a change of state they start the new figures
        self._last_windows: deque[int | None] = deque(maxlen=3)
        self._num_windows = 0
        self._state_changed_at = -math.inf
        self._faults_at: deque[float] = deque(maxlen=8)

    @property
    def baseline(self) -> float:
        """Median round trip of the baseline in seconds; infinite without any answer."""
        bucket = self._baseline.quantile(0.5)
        return math.inf if bucket is None else bucket_seconds(bucket)

    @property
    def is_near_fault(self) -> bool:
        """Whether the next window may start a fault if others suspect the link too."""
        return (
            self.state < MeasuredLinkState.CUT
            and self._loss_detector.fault_score + self._delay_detector.fault_score > 0.0
        )

    def record_round_trip(self, now: float, seconds: float) -> None:
        """Record a reply whose round trip was measured."""
        self._open_window(now)
        self.round_trip_at = self.reply_at = now
        self._window_fastest = min(self._window_fastest, seconds)
        self._recent.add(now, bucket_of(seconds))
        self._losses.add(now, 0)

    def record_reply(self, now: float) -> None:
        """Record a reply whose round trip is not known."""
        self._open_window(now)
        self.reply_at = now
        if not self._window_has_reply:
            self._window_has_reply = True
            self._losses.add(now, 0)

    def record_loss(self, now: float) -> None:
        """Record that an answer did not arrive."""
        self._open_window(now)
        self.lost_at = now
        self._losses.add(now, 1)

    def _open_window(self, now: float) -> None:
        if self.window_ends_at == math.inf:
            self.window_ends_at, self._window_fastest, self._window_has_reply = (
                now + WINDOW_SECONDS,
                math.inf,
                False,
            )

    def close_window(
        self, now: float, local_delay: float, is_isolated: bool, is_suspected: bool = False
    ) -> None:
        """End the window and update the state.

        Args:
            now: Current time.
            local_delay: Seconds of the delay that this router caused, as other links show.
            is_isolated: Whether this router got no answer from any zone.
            is_suspected: Whether another router of this zone lately reported the link slow or cut.
        """
        self.window_ends_at = math.inf
        is_untimed = self._window_fastest == math.inf
        is_unanswered = is_untimed and not self._window_has_reply
        if is_unanswered and is_isolated:
            return
        self.evidence_at = now
        self._loss_detector.add(now, is_unanswered)
        if not is_untimed:
            baseline = self.baseline
            self.excess_seconds = self._window_fastest - baseline if baseline < math.inf else 0.0
            self._delay_detector.add(
                now,
                self.excess_seconds
                > max((LATE_FACTOR - 1.0) * baseline, MIN_LATE_SECONDS)
                + LOCAL_DELAY_FACTOR * local_delay,
            )
            if local_delay <= MIN_LATE_SECONDS:
                self._baseline.add(now, bucket_of(self._window_fastest))
        if is_unanswered or not is_untimed:
            self._last_windows.append(None if is_unanswered else bucket_of(self._window_fastest))
        self._num_windows += 1
        if self._num_windows >= MIN_WINDOWS:
            self._update_state(now, SUSPECTED_THRESHOLD if is_suspected else DECISION_THRESHOLD)

    def _update_state(self, now: float, threshold: float) -> None:
        if self._loss_detector.fault_score >= threshold:
            indicated = MeasuredLinkState.CUT
        elif self._delay_detector.fault_score >= threshold:
            indicated = MeasuredLinkState.SLOW
        else:
            indicated = (
                MeasuredLinkState.WELL if self.baseline < math.inf else MeasuredLinkState.UNKNOWN
            )
        if indicated > self.state:
            if indicated > MeasuredLinkState.WELL:
                self._faults_at.append(now)
            self._set_state(now, indicated)
        elif indicated < self.state and now - self._state_changed_at >= self.dwell(now):
            detector = (
                self._loss_detector if self.state is MeasuredLinkState.CUT else self._delay_detector
            )
            if detector.recovery_score >= DECISION_THRESHOLD:
                self._set_state(now, indicated)

    def dwell(self, now: float) -> float:
        """Return the minimum seconds in slow or cut; each earlier fault of late doubles them."""
        num_recent = sum(now - at <= FLAPPING_SECONDS for at in self._faults_at)
        return min(MAX_DWELL_SECONDS, MIN_DWELL_SECONDS * 2.0 ** max(0, num_recent - 1))

    def _set_state(self, now: float, state: MeasuredLinkState) -> None:
        """Change the state, and start its figures with the run of windows that caused the change.

        Older samples describe the link before the change.
        """
        if state is not MeasuredLinkState.WELL or self.state is not MeasuredLinkState.UNKNOWN:
            self._recent.clear()
            self._losses.clear()
            for bucket in self._last_windows:
                self._losses.add(now, int(bucket is None))
                if bucket is not None:
                    self._recent.add(now, bucket)
        self.state, self._state_changed_at = state, now

    def figures(self) -> tuple[int, int, float]:
        """Return the buckets of the fastest and the median round trip, and the loss ratio.

        Both buckets are the last one if nothing was answered since the state changed, so that
        such a link never looks near.
        """
        fastest, median = self._recent.quantile(0.1), self._recent.quantile(0.5)
        return (
            LAST_BUCKET if fastest is None else fastest,
            LAST_BUCKET if median is None else median,
            self._losses.fraction(1),
        )
