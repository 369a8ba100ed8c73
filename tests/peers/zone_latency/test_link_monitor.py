"""States that one router derives from its own round trips."""

import random

import pytest

from ironrail.peers.zone_latency.histogram import NUM_BUCKETS, DecayingHistogram, bucket_of, bucket_seconds
from ironrail.peers.zone_latency.link_monitor import LinkMonitor
from ironrail.peers.zone_latency.link_tracker import MAX_DWELL_SECONDS, MIN_DWELL_SECONDS, MeasuredLinkState

OWN, FAR, OTHER = 0, 1, 2


class FedMonitor:
    """A link monitor that gets a round trip to each zone ten times a second."""

    def __init__(self, seed: int = 1) -> None:
        self.monitor, self.now, self.rng = LinkMonitor(OWN), 0.0, random.Random(seed)
        self.state_changes: list[tuple[float, MeasuredLinkState]] = []

    def feed(self, seconds: float, round_trips: dict[int, float | None], loss: float = 0.0) -> None:
        """Feed round trips to each zone; None for a loss."""
        for _ in range(round(seconds * 10)):
            self.now += 0.101
            old_state = self.monitor.state(FAR)
            for zone, round_trip in round_trips.items():
                if round_trip is None or (zone == FAR and self.rng.random() < loss):
                    self.monitor.record_loss(self.now, zone)
                else:
                    self.monitor.record_round_trip(self.now, zone, round_trip * self.rng.uniform(0.9, 1.2))
            self.monitor.close_due_windows(self.now + 0.1)
            if self.monitor.state(FAR) is not old_state:
                self.state_changes.append((self.now, self.monitor.state(FAR)))

    @property
    def state(self) -> MeasuredLinkState:
        return self.monitor.state(FAR)


WELL: dict[int, float | None] = {OWN: 0.0003, FAR: 0.01, OTHER: 0.02}
SLOW, CUT = WELL | {FAR: 0.1}, WELL | {FAR: None}


def warm_monitor(seconds: float = 20.0, loss: float = 0.0) -> FedMonitor:
    fed = FedMonitor()
    fed.feed(seconds, WELL, loss)
    assert fed.state is MeasuredLinkState.WELL
    return fed


@pytest.mark.parametrize(
    ("round_trips", "state"), [(SLOW, MeasuredLinkState.SLOW), (CUT, MeasuredLinkState.CUT)]
)
def test_slow_and_cut_are_detected_in_half_a_second_and_end_within_three(
    round_trips: dict[int, float | None], state: MeasuredLinkState
) -> None:
    fed = warm_monitor()
    fed.feed(0.5, round_trips)
    assert fed.state is state
    fastest, median, loss_ratio = fed.monitor.trackers[FAR].figures()
    if state is MeasuredLinkState.SLOW:  # the figures are those of the new state
        assert bucket_seconds(median) == pytest.approx(0.1, rel=0.3) and loss_ratio == 0.0
    else:
        assert (fastest, median, loss_ratio) == (NUM_BUCKETS - 1, NUM_BUCKETS - 1, 1.0)
    fed.feed(3.0, WELL)
    assert fed.state is MeasuredLinkState.WELL


def test_one_or_two_late_or_lost_windows_do_not_change_the_state() -> None:
    fed = warm_monitor()
    for round_trips in (SLOW, CUT) * 20:
        fed.feed(0.2, round_trips)
        fed.feed(1.0, WELL)
    assert fed.state_changes == fed.state_changes[:1]


def test_one_or_two_good_windows_do_not_end_a_cut() -> None:
    fed = warm_monitor()
    for _ in range(10):
        fed.feed(3.0, CUT)
        fed.feed(0.2, WELL)
        assert fed.state is MeasuredLinkState.CUT


def test_a_link_that_always_loses_half_is_well_and_its_cut_is_still_detected() -> None:
    fed = FedMonitor()
    fed.feed(120.0, WELL, loss=0.5)
    assert [state for _, state in fed.state_changes] == [MeasuredLinkState.WELL]
    assert fed.monitor.trackers[FAR].figures()[2] == pytest.approx(0.5, abs=0.15)
    fed.feed(2.5, CUT)
    assert fed.state is MeasuredLinkState.CUT


def test_flapping_changes_the_state_a_bounded_number_of_times() -> None:
    fed = warm_monitor()
    fed.state_changes.clear()
    for _ in range(30):
        fed.feed(2.0, CUT)
        fed.feed(2.0, WELL)
    assert 2 <= len(fed.state_changes) <= 12  # of 60 changes; each dwell is twice the last
    assert fed.monitor.trackers[FAR].dwell(fed.now) > MIN_DWELL_SECONDS
    fed.feed(MAX_DWELL_SECONDS + 10.0, WELL)
    assert fed.state is MeasuredLinkState.WELL


def test_a_delay_on_all_links_is_this_routers_and_changes_no_state() -> None:
    fed = warm_monitor()
    fed.feed(5.0, {zone: seconds + 0.3 for zone, seconds in WELL.items() if seconds})
    assert fed.state is MeasuredLinkState.WELL
    fed.feed(2.0, {OWN: 0.3, OTHER: 0.32, FAR: 1.5})  # a link that is slower still is detected
    assert fed.monitor.state(FAR) is MeasuredLinkState.SLOW


def test_losses_on_all_links_are_this_routers_and_change_no_state() -> None:
    fed = warm_monitor()
    fed.feed(10.0, {OWN: None, FAR: None, OTHER: None})
    assert fed.state is MeasuredLinkState.WELL
    assert fed.monitor.trackers[FAR].evidence_at < fed.now - 5.0  # and the evidence ages


def test_a_link_that_never_answered_is_unknown_then_cut_and_never_near() -> None:
    fed = FedMonitor()
    fed.feed(0.8, CUT)
    assert fed.state is MeasuredLinkState.UNKNOWN
    fed.feed(5.0, CUT)
    assert fed.monitor.state(FAR) is MeasuredLinkState.CUT
    assert fed.monitor.trackers[FAR].figures()[:2] == (NUM_BUCKETS - 1, NUM_BUCKETS - 1)


def test_invalid_durations_are_counted_and_ignored() -> None:
    monitor = LinkMonitor(OWN)
    for seconds in (0.0, -1.0, float("inf"), float("nan")):
        assert monitor.record_round_trip(1.0, FAR, seconds) is None
    assert monitor.invalid_durations == 4 and not monitor.trackers


def test_buckets_are_within_a_tenth() -> None:
    for n in range(2000):
        seconds = 50e-6 * 1.0061**n
        if seconds < 8.0:
            assert bucket_seconds(bucket_of(seconds)) == pytest.approx(seconds, rel=0.105)
    assert bucket_of(0.0) == 0 and bucket_of(float("inf")) == NUM_BUCKETS - 1


def test_old_samples_weigh_less_and_long_intervals_do_not_overflow() -> None:
    histogram = DecayingHistogram(1.0)
    for _ in range(8):
        histogram.add(0.0, 5)
    assert histogram.total_weight(3.0) == pytest.approx(1.0)
    for _ in range(2):
        histogram.add(3.0, 40)
    assert histogram.quantile(0.5) == 40 and histogram.quantile(0.1) == 5
    histogram.add(1e6, 7)
    assert histogram.quantile(0.01) == 7 and histogram.total_weight(1e6) == pytest.approx(1.0)
