"""The heartbeat: how long data that is read may have been unread."""

from __future__ import annotations

from ironrail.diagnostics.counters import LogSampler, ReasonCounter
from ironrail.diagnostics.hold_up import HEARTBEAT_INTERVAL_SECONDS as BEAT
from ironrail.diagnostics.hold_up import HoldUpDetector
from ironrail.diagnostics.reasons import ListCallResult


def test_without_a_hold_up_data_has_just_arrived() -> None:
    detector = HoldUpDetector(10.0)
    for n in range(1, 50):
        assert detector.beat(10.0 + n * BEAT) is None
        assert detector.earliest_arrival(10.0 + (n + 0.9) * BEAT) == 10.0 + (n + 0.9) * BEAT
    assert detector.count == 0


def test_data_read_before_the_late_heartbeat() -> None:
    """If the event loop reads sockets before it runs timers."""
    detector = HoldUpDetector(10.0)
    assert detector.earliest_arrival(10.1) == 10.0


def test_data_read_after_the_late_heartbeat_until_all_is_read() -> None:
    """If the event loop runs timers first."""
    detector = HoldUpDetector(10.0)
    hold_up = detector.beat(10.1)
    assert hold_up is not None and hold_up.seconds > 0.09
    assert detector.earliest_arrival(10.101) == 10.0
    detector.caught_up(hold_up)
    assert detector.earliest_arrival(10.102) == 10.102
    assert (detector.count, detector.longest) == (1, hold_up.seconds)


def test_signals_and_first_bytes_may_be_noticed_some_turns_later() -> None:
    detector = HoldUpDetector(10.0)
    hold_up = detector.beat(10.1)
    assert hold_up is not None
    detector.caught_up(hold_up)
    assert detector.earliest_event(10.11) == 10.0
    assert detector.earliest_event(10.125) == 10.125


def test_a_second_hold_up_before_the_first_is_caught_up() -> None:
    detector = HoldUpDetector(10.0)
    first = detector.beat(10.1)
    second = detector.beat(10.2)
    assert first is not None and second is not None
    detector.caught_up(first)
    assert detector.earliest_arrival(10.201) == 10.1
    detector.caught_up(second)
    assert detector.earliest_arrival(10.202) == 10.202


def test_log_events_are_limited_and_suppressed_lines_counted() -> None:
    sampler = LogSampler(per_second=2)
    assert [sampler.admits(5.0 + n / 10) for n in range(5)] == [True, True, False, False, False]
    assert sampler.admits(6.0) and sampler.take_suppressed() == 3 and sampler.take_suppressed() == 0


def test_each_reason_has_its_own_count() -> None:
    counter = ReasonCounter("list_call", ListCallResult)
    counter.add(ListCallResult.WATCH_TIMED_OUT)
    assert dict(counter.items())["list_call.silent"] == 1 == counter.total()
