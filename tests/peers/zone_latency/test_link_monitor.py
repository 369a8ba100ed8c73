"""What one router makes of its own round trips."""

import random

import pytest

from ironrail.peers.zone_latency.histogram import BUCKETS, Fading, code_of, seconds_of
from ironrail.peers.zone_latency.link_monitor import Evidence
from ironrail.peers.zone_latency.link_tracker import DWELL, MOST_DWELL, Link

OWN, FAR, OTHER = 0, 1, 2


class Watch:
    """A router's evidence, fed ten times a second."""

    def __init__(self, seed: int = 1) -> None:
        self.evidence, self.now, self.draws = Evidence(OWN), 0.0, random.Random(seed)
        self.turns: list[tuple[float, Link]] = []

    def feed(self, seconds: float, trips: dict[int, float | None], lost: float = 0.0) -> None:
        """Round trips to each hall, None where they are lost."""
        for _ in range(round(seconds * 10)):
            self.now += 0.101
            before = self.evidence.state(FAR)
            for hall, trip in trips.items():
                if trip is None or (hall == FAR and self.draws.random() < lost):
                    self.evidence.lost(self.now, hall)
                else:
                    self.evidence.observe(self.now, hall, trip * self.draws.uniform(0.9, 1.2))
            self.evidence.close_due(self.now + 0.1)
            if self.evidence.state(FAR) is not before:
                self.turns.append((self.now, self.evidence.state(FAR)))

    @property
    def state(self) -> Link:
        return self.evidence.state(FAR)


WELL: dict[int, float | None] = {OWN: 0.0003, FAR: 0.01, OTHER: 0.02}
SLOW, CUT = WELL | {FAR: 0.1}, WELL | {FAR: None}


def watching(seconds: float = 20.0, lost: float = 0.0) -> Watch:
    watch = Watch()
    watch.feed(seconds, WELL, lost)
    assert watch.state is Link.WELL
    return watch


@pytest.mark.parametrize(("trips", "state"), [(SLOW, Link.SLOW), (CUT, Link.CUT)])
def test_slow_and_cut_are_seen_in_half_a_second_and_end_within_three(
    trips: dict[int, float | None], state: Link
) -> None:
    watch = watching()
    watch.feed(0.5, trips)
    assert watch.state is state
    low, typical, lost = watch.evidence.sights[FAR].told()
    if state is Link.SLOW:  # the figures follow with the verdict
        assert seconds_of(typical) == pytest.approx(0.1, rel=0.3) and lost == 0.0
    else:
        assert (low, typical, lost) == (BUCKETS - 1, BUCKETS - 1, 1.0)
    watch.feed(3.0, WELL)
    assert watch.state is Link.WELL


def test_one_or_two_late_or_lost_windows_are_no_news() -> None:
    watch = watching()
    for trips in (SLOW, CUT) * 20:
        watch.feed(0.2, trips)
        watch.feed(1.0, WELL)
    assert watch.turns == watch.turns[:1]


def test_one_or_two_good_windows_end_no_cut() -> None:
    watch = watching()
    for _ in range(10):
        watch.feed(3.0, CUT)
        watch.feed(0.2, WELL)
        assert watch.state is Link.CUT


def test_a_link_that_always_loses_half_is_well_and_its_cut_is_still_seen() -> None:
    watch = Watch()
    watch.feed(120.0, WELL, lost=0.5)
    assert [state for _, state in watch.turns] == [Link.WELL]
    assert watch.evidence.sights[FAR].told()[2] == pytest.approx(0.5, abs=0.15)
    watch.feed(2.5, CUT)
    assert watch.state is Link.CUT


def test_flapping_changes_the_state_a_bounded_number_of_times() -> None:
    watch = watching()
    watch.turns.clear()
    for _ in range(30):
        watch.feed(2.0, CUT)
        watch.feed(2.0, WELL)
    assert 2 <= len(watch.turns) <= 12  # of 60 changes of the link; each stay is twice the one before
    assert watch.evidence.sights[FAR].dwell(watch.now) > DWELL
    watch.feed(MOST_DWELL + 10.0, WELL)
    assert watch.state is Link.WELL


def test_late_everywhere_is_this_router_and_no_link() -> None:
    watch = watching()
    watch.feed(5.0, {hall: trip + 0.3 for hall, trip in WELL.items() if trip})
    assert watch.state is Link.WELL
    watch.feed(2.0, {OWN: 0.3, OTHER: 0.32, FAR: 1.5})  # and a link that is slower besides still shows
    assert watch.evidence.state(FAR) is Link.SLOW


def test_silence_everywhere_is_this_router_and_no_link() -> None:
    watch = watching()
    watch.feed(10.0, {OWN: None, FAR: None, OTHER: None})
    assert watch.state is Link.WELL
    assert watch.evidence.sights[FAR].at < watch.now - 5.0  # and its evidence ages


def test_a_link_that_never_answered_is_unknown_then_cut_and_never_near() -> None:
    watch = Watch()
    watch.feed(0.8, CUT)
    assert watch.state is Link.UNKNOWN
    watch.feed(5.0, CUT)
    assert watch.evidence.state(FAR) is Link.CUT
    assert watch.evidence.sights[FAR].told()[:2] == (BUCKETS - 1, BUCKETS - 1)


def test_what_is_no_duration_is_counted_and_left() -> None:
    evidence = Evidence(OWN)
    for seconds in (0.0, -1.0, float("inf"), float("nan")):
        assert evidence.observe(1.0, FAR, seconds) is None
    assert evidence.unusable == 4 and not evidence.sights


def test_buckets_are_within_a_tenth() -> None:
    for n in range(2000):
        seconds = 50e-6 * 1.0061**n
        if seconds < 8.0:
            assert seconds_of(code_of(seconds)) == pytest.approx(seconds, rel=0.105)
    assert code_of(0.0) == 0 and code_of(float("inf")) == BUCKETS - 1


def test_what_faded_counts_less_and_long_spans_do_no_harm() -> None:
    fading = Fading(1.0)
    for _ in range(8):
        fading.add(0.0, 5)
    assert fading.weight(3.0) == pytest.approx(1.0)
    for _ in range(2):
        fading.add(3.0, 40)
    assert fading.quantile(0.5) == 40 and fading.quantile(0.1) == 5
    fading.add(1e6, 7)
    assert fading.quantile(0.01) == 7 and fading.weight(1e6) == pytest.approx(1.0)
