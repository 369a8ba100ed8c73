"""The endpoint list: when it is fetched, and the state that an update resets."""

from __future__ import annotations

from ironrail.policy import state
from ironrail.policy.actions import FetchEndpointList, LogMessage, SetTimer
from ironrail.policy.endpoints import EndpointListKind
from ironrail.policy.events import EndpointListUpdate, TimerFired
from tests.driver import Driver, endpoint, settings
from tests.policy.fleets import fleet


def test_the_backoff_stays_bounded_after_a_thousand_failures() -> None:
    d = Driver(settings(polls_endpoint_list=True))
    for _ in range(1100):
        d.update_endpoints(kind=EndpointListKind.FAILED)
        pause = next(a.delay for a in d.last_actions if isinstance(a, SetTimer))
        assert 0 < pause <= d.conf.slow_start_duration


def test_the_list_is_fetched_again_with_backoff_after_failures() -> None:
    d = Driver(settings(polls_endpoint_list=True))
    assert FetchEndpointList() in d.update_endpoints(*fleet("a"), kind=EndpointListKind.CACHED)
    pauses = []
    for _ in range(6):
        timer, log = d.handle(EndpointListUpdate(EndpointListKind.FAILED))
        assert isinstance(log, LogMessage) and "out of reach" in log.text
        assert isinstance(timer, SetTimer)
        pauses.append(timer.delay)
        d.timers.clear()
        assert d.handle(TimerFired(timer.timer)) == [FetchEndpointList()]
    assert pauses[-1] > pauses[0]


def test_many_routers_fetch_the_list_at_different_times() -> None:
    delays = []
    for seed in range(40):
        d = Driver(
            settings(polls_endpoint_list=True, router_count=14, slow_start_duration=8.9, poll_interval=3.0),
            seed,
        )
        timer = next(
            a
            for a in d.update_endpoints(*fleet("a"), kind=EndpointListKind.CACHED)
            if isinstance(a, SetTimer)
        )
        assert d.handle(TimerFired(timer.timer)) == [FetchEndpointList()]
        delays.append(timer.delay)
        for _ in range(9):
            (again,) = [
                a for a in d.update_endpoints(kind=EndpointListKind.FAILED) if isinstance(a, SetTimer)
            ]
            assert 1.0 < again.delay < 4 * 3.0  # the old list may be used for four poll intervals
    assert max(delays) < 3.0  # also at the start
    assert max(delays) - min(delays) > 1.5


def test_a_restart_discards_what_was_learned_about_a_server() -> None:
    """Limits and losses of an earlier process do not apply to its successor."""
    d = Driver(settings())
    d.update_endpoints(*fleet("a"))
    d.router.servers["a"].concurrency_limit = 1.0
    d.receive("r1")
    d.update_endpoints(endpoint("a", started_at=d.now), kind=EndpointListKind.DELTA)
    assert d.router.servers["a"].concurrency_limit == state.INITIAL_CONCURRENCY_LIMIT
    d.succeed("r1")
    assert d.router.servers["a"].in_flight == 0 and d.router.attempts_in_flight.cache_count == 0
