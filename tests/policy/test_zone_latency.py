"""How the latency of the links between zones changes decisions."""

from __future__ import annotations

import math
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.policy.actions import SetTimer
from ironrail.policy.events import AttemptStatus, LinkState, ZoneLink, ZoneLinksChanged
from ironrail.policy.router import Router
from tests.driver import Driver, endpoint, settings
from tests.policy.decision_digests import digest
from tests.policy.fleets import servers_clockwise
from tests.policy.test_decisions import KNOWN

ZONES = "abc"
GOOD, SLOW, CUT, UNKNOWN = (LinkState(name) for name in ("good", "slow", "cut", "unknown"))
NEAR = ZoneLink(GOOD, 0.001, 0.001, 0.0, 0.0)


def link(state: LinkState, median: float = math.inf) -> ZoneLink:
    return ZoneLink(state, median, median, 0.0, 0.0)


def links_with(**others: ZoneLink) -> ZoneLinksChanged:
    return ZoneLinksChanged({"a": NEAR} | others)


def driver_with_links(event: ZoneLinksChanged, servers_per_zone: int = 2, **changes: Any) -> Driver:
    d = Driver(settings(**changes))
    d.update_endpoints(
        *(endpoint(f"{zone}{n}", zone=zone) for zone in ZONES for n in range(servers_per_zone))
    )
    d.handle(event)
    return d


def key_of(d: Driver, *zones: str) -> str:
    """Return a key whose servers clockwise are in these zones."""
    keys = (f"k{n}" for n in range(10_000))
    return next(k for k in keys if tuple(s[0] for s in servers_clockwise(d, k))[: len(zones)] == zones)


class RouterWithUnknownLinks(Router):
    """A router that knows of zones, but of no link to them."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        assert self.handle(self.now, ZoneLinksChanged({zone: ZoneLink() for zone in "xy"})) == []


@pytest.mark.parametrize("seed", range(0, 24, 3))
def test_links_that_are_all_unknown_change_no_decision(seed: int) -> None:
    assert digest(seed, RouterWithUnknownLinks) == KNOWN[str(seed)]


drawn_links = st.one_of(
    st.builds(link, st.sampled_from([GOOD, SLOW]), st.floats(0.001, 3.0)), st.builds(link, st.just(CUT))
)


@given(st.fixed_dictionaries(dict.fromkeys(ZONES, drawn_links)), st.integers(0, 200), st.floats(0.02, 2.0))
def test_a_key_goes_to_the_first_server_in_time_or_else_the_first_that_is_not_cut_off(
    zone_links: dict[str, ZoneLink], number: int, time_left: float
) -> None:
    d = driver_with_links(ZoneLinksChanged(zone_links))
    order = servers_clockwise(d, f"k{number}")
    seconds_left = min(time_left - d.conf.timer_resolution, d.conf.classes["read"].latency_objective)
    reachable = [s for s in order if zone_links[s[0]].state is not CUT]
    in_time = [s for s in reachable if zone_links[s[0]].median <= seconds_left]
    sent = d.receive("r", key=f"k{number}", time_left=time_left)
    assert sent == (in_time or reachable or order)[0]


def test_a_server_is_too_far_only_by_service_time_and_round_trip_together() -> None:
    d = driver_with_links(links_with(b=link(GOOD, 0.1), c=link(GOOD, 0.1)))
    key = key_of(d, "b", "a")
    first, second = servers_clockwise(d, key)[:2]
    for n in range(10):
        d.receive(f"r{n}", key=key)
        d.end_attempt(f"r{n}", AttemptStatus.OK, latency=0.5)
    assert d.router.servers[first].service_time == pytest.approx(0.4)
    assert d.receive("in time", key=key, time_left=0.52) == first
    assert d.receive("late", key=key, time_left=0.48) == second
    assert d.receive("late anyway", key=key, time_left=0.38) == first


def test_an_unknown_zone_is_as_far_as_the_farthest_known_one() -> None:
    d = driver_with_links(links_with(b=link(GOOD, 0.5), c=link(UNKNOWN)))
    key = key_of(d, "c", "a")
    first, second = servers_clockwise(d, key)[:2]
    assert d.receive("enough", key=key, time_left=0.6) == first
    assert d.receive("too little", key=key, time_left=0.4) == second


@pytest.mark.parametrize("median", [0.001, 3.0])  # in time, and not
def test_full_servers_beyond_a_cut_link_do_not_count_as_visited(median: float) -> None:
    d = driver_with_links(
        ZoneLinksChanged({"a": link(GOOD, median), "b": link(CUT), "c": link(GOOD, median)}),
        servers_per_zone=4,
    )
    key = key_of(d, "b", "b", "b")
    for server in d.router.servers.values():
        server.concurrency_limit = 0.0 if server.endpoint.zone == "b" else 4.0
    assert str(d.receive("r", key=key))[0] in "ac"


def test_slow_start_applies_where_all_other_zones_are_cut_off() -> None:
    d = driver_with_links(links_with(b=link(CUT), c=link(CUT)))
    d.update_endpoints(
        *(endpoint(f"{z}{n}", zone=z, started_at=d.now if z == "a" else 0.0) for z in ZONES for n in range(2))
    )
    sent = [str(d.receive(f"r{n}", key="k")) for n in range(4)]
    assert [s[0] for s in sent].count("a") == 2  # one at each warming server, as without links


def test_the_hedge_delay_grows_with_the_round_trip_up_to_a_bound() -> None:
    delays = {}
    for median in (0.001, 0.2, 0.9):
        d = driver_with_links(links_with(b=link(GOOD, median), c=link(GOOD, median)))
        d.receive("r", key=key_of(d, "b"))
        delays[median] = next(a.delay for a in d.last_actions if isinstance(a, SetTimer))
    assert list(delays.values()) == pytest.approx([0.501, 0.7, 1.0])
    slow = driver_with_links(links_with(b=link(SLOW, 0.2)))
    slow.receive("r", key=key_of(slow, "b"))
    assert next(a.delay for a in slow.last_actions if isinstance(a, SetTimer)) == 0.5


@pytest.mark.parametrize("state", [SLOW, GOOD])
def test_no_hedged_request_goes_over_a_suspected_link(state: LinkState) -> None:
    d = driver_with_links(links_with(b=link(state, 0.01), c=NEAR))
    d.receive("r", key=key_of(d, "a", "b"))
    d.advance(0.6)
    assert len(d.servers_sent_to["r"]) == 2
    assert (d.servers_sent_to["r"][1][0] == "b") is (state is GOOD)


def test_the_round_trip_does_not_lower_a_concurrency_limit() -> None:
    limits = []
    for event in (links_with(b=link(GOOD, 0.3), c=NEAR), ZoneLinksChanged()):
        d = driver_with_links(event)
        key = key_of(d, "b")
        for n in range(30):
            d.now += 0.3
            d.receive(f"r{n}", key=key)
            d.end_attempt(f"r{n}", AttemptStatus.OK, latency=0.4)
        limits.append(d.router.servers[servers_clockwise(d, key)[0]].concurrency_limit)
    assert limits[0] > 3 * limits[1]
