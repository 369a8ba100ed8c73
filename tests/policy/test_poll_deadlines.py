"""The time from a failed call to the next usable list stays within all limits on stale lists."""

from __future__ import annotations

import math
import random

from hypothesis import given
from hypothesis import strategies as st

from ironrail.net.discovery import timeouts
from ironrail.net.io_timeout import STALL_GRACE_SECONDS
from ironrail.policy.discovery_freshness import (
    FAILED_POLL_INTERVAL_FACTOR,
    MAX_BACKOFF_SECONDS,
    NUM_CONCURRENT_POLLERS,
    DiscoveryFreshness,
)
from ironrail.policy.endpoints import EndpointListKind
from tests.driver import settings

FAILED, MALFORMED, WATCH_TIMED_OUT = (
    EndpointListKind.FAILED,
    EndpointListKind.MALFORMED,
    EndpointListKind.WATCH_TIMED_OUT,
)
CHANGE_DEADLINE_SECONDS = 6.0  # after this time a router must act on a change, even if it did not receive it
DRAIN_GRACE_SECONDS = 1.0  # time in which sends to a server must end, once the router must act on its drain
MAX_STALL_SECONDS = 0.15  # longest time for which a router process may be stalled
MAX_CALL_SECONDS = (
    timeouts.SERVICE_FIRST_BYTE_TIMEOUT_SECONDS
    + timeouts.RESPONSE_REST_TIMEOUT_SECONDS
    + 2 * STALL_GRACE_SECONDS
)

FAILED_CALLS = st.lists(
    st.tuples(st.sampled_from([FAILED, MALFORMED]), st.floats(0.0, MAX_CALL_SECONDS)), max_size=20
)


def freshness_of(routers: int, slow_start: float, window: float, poll_interval: float) -> DiscoveryFreshness:
    return DiscoveryFreshness(
        settings(
            polls_endpoint_list=True,
            router_count=routers,
            slow_start_duration=slow_start,
            overload_window=window,
            poll_interval=poll_interval,
        )
    )


@given(
    st.integers(1, 2000),
    st.floats(0.1, 60),
    st.floats(0.01, 10),
    st.floats(1.0, 600),
    st.integers(0, 2**32),
    FAILED_CALLS,
    st.floats(0.0, 20.0),
)
def test_no_order_of_failed_calls_lets_a_router_send_by_a_stale_list_past_the_drain_grace(
    routers: int,
    slow_start: float,
    window: float,
    poll_interval: float,
    seed: int,
    calls: list[tuple[EndpointListKind, float]],
    watched: float,
) -> None:
    """Guards against a drain that is missed while calls fail; the duration of each call is counted."""
    freshness = freshness_of(routers, slow_start, window, poll_interval)
    draws = random.Random(seed)
    current_as_of = watched  # all changes until then were received
    now = current_as_of
    for kind, seconds in [(FAILED, 0.0), *calls]:
        now += seconds
        now += freshness.on_failure(now, kind, draws, now - current_as_of)
    counts = current_as_of + CHANGE_DEADLINE_SECONDS + DRAIN_GRACE_SECONDS - MAX_STALL_SECONDS
    assert freshness.require_success_since(counts) >= current_as_of


@given(
    st.integers(1, NUM_CONCURRENT_POLLERS),
    st.floats(0.1, 600),
    st.floats(0.01, 10),
    st.integers(0, 2**32),
    st.lists(st.sampled_from([FAILED, MALFORMED]), min_size=1, max_size=60),
)
def test_few_routers_never_back_off_longer_than_the_maximum(
    routers: int, slow_start: float, window: float, seed: int, kinds: list[EndpointListKind]
) -> None:
    """Guards against a list that arrives too late although few routers poll for it."""
    freshness, draws = freshness_of(routers, slow_start, window, math.inf), random.Random(seed)
    assert all(freshness.on_failure(9.0, kind, draws, 0.0) <= MAX_BACKOFF_SECONDS for kind in kinds)


@given(
    st.integers(1, 2000),
    st.floats(0.1, 600),
    st.floats(0.01, 10),
    st.floats(2.0, 600),
    st.integers(0, 2**32),
    st.lists(st.sampled_from([FAILED, MALFORMED, WATCH_TIMED_OUT]), max_size=30),
    st.floats(0.0, 2.0),
)
def test_a_poll_begins_within_four_intervals_of_the_one_that_failed(
    routers: int,
    slow_start: float,
    window: float,
    poll_interval: float,
    seed: int,
    kinds: list[EndpointListKind],
    call: float,
) -> None:
    """Guards against polls that are too rare for the poll interval; calls take up to 2 s."""
    freshness, draws = freshness_of(routers, slow_start, window, poll_interval), random.Random(seed)
    for kind in kinds:
        assert call + freshness.on_failure(5.0, kind, draws) <= FAILED_POLL_INTERVAL_FACTOR * poll_interval


def test_a_lost_watch_a_relocation_and_a_lost_call_to_an_agent_fit_into_the_grace_period() -> None:
    """Guards against pauses of the watcher that fit singly, but not together."""
    silent = timeouts.AGENT_WATCH_WAIT_SECONDS + timeouts.AGENT_WATCH_GRACE_SECONDS
    paused = STALL_GRACE_SECONDS + timeouts.AGENT_CALL_INTERVAL_SECONDS
    assert silent + paused <= DRAIN_GRACE_SECONDS - MAX_STALL_SECONDS
