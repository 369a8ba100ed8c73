"""The steering protocol: rate limit, spreading of reports, and bounds of what it keeps."""

import random
import tracemalloc

import pytest

from ironrail.peers.messages import Outgoing, PeerProtocol, Received
from ironrail.peers.steering.cost_model import ZoneState
from ironrail.peers.steering.protocol import (
    HEADER_BYTES,
    MAX_PENDING_REPORTS,
    RATE_LIMIT_BYTES_PER_SECOND,
    SteeringConfigError,
    SteeringProtocol,
)
from ironrail.peers.steering.regions import Regions
from ironrail.peers.steering.reports import MAX_BODY_BYTES, RegionReport, RegionSummary, encode

ZONES = ["a", "b", "c", "d"]
ZONE_OF = [n % 4 for n in range(20)]
REGIONS = Regions({f"r{n}": [f"10.{n}.0.0/16"] for n in range(8)})


def make_router(own_index: int, incarnation: int = 1, regions: Regions = REGIONS) -> SteeringProtocol:
    return SteeringProtocol(
        0.0, own_index, incarnation, regions, ZONES, ZONE_OF, ["page", "key"], random.Random(own_index)
    )


def serve(router: SteeringProtocol, at: float, region: str, took: float, times: int = 10) -> None:
    for _ in range(times):
        router.record_client_rtt(at, region, 0.030)
        router.record_request(at, region, "page", took, True, False)


class Fleet:
    """Routers whose messages arrive at once, in virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self.routers = [make_router(index) for index in range(len(ZONE_OF))]
        self.sent: list[tuple[float, int, Outgoing]] = []

    def run_until(self, end: float) -> None:
        while (at := min(r.next_timer_at() for r in self.routers)) <= end:
            at = self.now = max(at, self.now)  # a timer in the past is due at once
            for index, router in enumerate(self.routers):
                if router.next_timer_at() <= at:
                    router.on_timer(at)
                    for outgoing in router.take_outgoing():
                        self.sent.append((at, index, outgoing))
                        self.routers[outgoing.to].on_message(at, Received(index, 1, outgoing.body))
        self.now = end


def test_reports_reach_all_routers_within_the_rate_limit() -> None:
    fleet = Fleet()
    for second in range(120):
        fleet.run_until(float(second))
        for router in fleet.routers:
            for n in range(8):
                serve(router, fleet.now, f"r{n}", 0.020 if second < 30 else 0.200, 2)
    fleet.run_until(180.0)
    cells = [router.cell_estimates(180.0) for router in fleet.routers]
    expected = {(f"r{n}", z) for n in range(8) for z in ZONES}
    assert all(expected <= set(c) for c in cells)
    slow = sum(c[key].classes[0][0] > 0.15 for c in cells for key in expected)
    # The change reaches nearly all routers at once, and the rest with the renewal.
    assert slow >= 0.9 * len(cells) * len(expected)
    assert all(c.num_reporters == 3 for c in cells[0].values())
    for index in range(len(ZONE_OF)):
        own = [(at, len(o.body) + HEADER_BYTES) for at, sender, o in fleet.sent if sender == index]
        assert all(size <= MAX_BODY_BYTES + HEADER_BYTES for _, size in own)
        assert sum(size for _, size in own) <= RATE_LIMIT_BYTES_PER_SECOND * 180.0
        for start in range(0, 180, 10):
            assert (
                sum(size for at, size in own if start <= at < start + 10)
                <= RATE_LIMIT_BYTES_PER_SECOND * 10 + MAX_BODY_BYTES + HEADER_BYTES
            )


def test_largest_change_is_forwarded_first() -> None:
    router = make_router(0)
    reports = [
        RegionReport(w, 1, r, 1, RegionSummary(20, 20, 20, 0, 0, ()).pack(), 0.0)
        for w in range(1, 20)
        for r in range(8)
    ]
    for n in range(0, len(reports), 8):
        router.on_message(0.0, Received(1, 1, encode(REGIONS.digest, reports[n : n + 8])[0]))
    changed = reports[3]._replace(sequence=2, values=RegionSummary(21, 20, 20, 0, 0, ()).pack())
    router._pending.clear()
    small, large = reports[2], reports[9]
    for report, rtt in ((small, 21), (large, 40)):
        values = RegionSummary(rtt, 20, 20, 0, 0, ()).pack()
        router.on_message(
            1.0, Received(1, 1, encode(REGIONS.digest, [report._replace(sequence=2, values=values)])[0])
        )
    order = sorted(router._pending, key=lambda k: -router._pending[k][0])
    assert order[0] == (large.reporter, large.region) and changed.sequence == 2


def test_pending_reports_are_bounded() -> None:
    regions = Regions({f"r{n}": [f"10.{n}.0.0/16"] for n in range(255)})
    router = make_router(0, regions=regions)
    for w in range(1, 20):
        for r in range(256):
            report = RegionReport(w, 1, r, 1, RegionSummary(20, 20, 20, 0, 0, ()).pack(), 0.0)
            router.on_message(0.0, Received(w, 1, encode(regions.digest, [report])[0]))
    assert len(router._pending) <= MAX_PENDING_REPORTS


def test_reports_with_other_regions_or_about_oneself_are_ignored() -> None:
    router, other = make_router(0), Regions({"r0": ["10.0.0.0/8"]})
    own = RegionReport(0, 9, 1, 9, RegionSummary(1, 1, 1, 0, 0, ()).pack(), 0.0)
    router.on_message(0.0, Received(1, 1, encode(REGIONS.digest, [own])[0]))
    router.on_message(0.0, Received(1, 1, encode(other.digest, [own._replace(reporter=1)])[0]))
    router.on_message(0.0, Received(1, 1, b"rubbish"))
    assert not router.cell_estimates(0.0) and router.unusable == 2


def test_abandoned_requests_do_not_make_a_zone_look_fast() -> None:
    router = make_router(0)
    for n in range(100):
        router.record_request(1.0, "r1", "page", 0.5 if n % 2 else 0.001, n % 2 == 1, n % 2 == 0)
    summary = router.local.summary(1.0, REGIONS.numbers["r1"])
    assert summary is not None
    router.table.merge(1.0, RegionReport(0, 1, REGIONS.numbers["r1"], 1, summary.pack(), 0.0))
    cell = router.cell_estimates(1.0)["r1", "a"]
    assert cell.classes[0][0] == pytest.approx(0.5, rel=0.1) and cell.late == pytest.approx(0.5, rel=0.25)


def test_time_left_subtracts_the_return_time_once_it_is_known() -> None:
    router: SteeringProtocol = make_router(0)
    assert router.time_left(0.0, "r1", 0.1) == 0.1
    serve(router, 0.0, "r1", 0.02)
    assert router.time_left(0.0, "r1", 0.1) == pytest.approx(0.085, abs=0.0015)
    assert router.time_left(0.0, "r2", 0.1) == 0.1
    protocol: PeerProtocol = router
    assert protocol.next_timer_at() < 10.0


def test_invalid_zones_are_rejected() -> None:
    with pytest.raises(SteeringConfigError):
        SteeringProtocol(0.0, 0, 1, REGIONS, ["a", "a"], [0], [], random.Random(1))
    with pytest.raises(SteeringConfigError):
        SteeringProtocol(0.0, 0, 1, REGIONS, ["a"], [1], [], random.Random(1))


def test_memory_at_the_largest_size() -> None:
    """256 regions, 50 zones of 20 routers: all cells known, all own histograms in use, of 32 MB."""
    regions = Regions({f"r{n}": [f"10.{n}.0.0/16"] for n in range(255)})
    zones = [f"hall {n}" for n in range(50)]
    zone_of = [n % 50 for n in range(1000)]
    tracemalloc.start()
    router = SteeringProtocol(0.0, 0, 1, regions, zones, zone_of, list("abcd"), random.Random(1))
    values = RegionSummary(20, 20, 30, 3, 1, tuple((c, 9, 9, 4) for c in range(4))).pack()
    for reporter in range(1, 200):
        for region in range(256):
            router.table.merge(0.0, RegionReport(reporter, 2**60 + reporter, region, 9, values, 0.0))
    for name in regions.names:
        for request_class in "abcd":
            router.record_request(0.0, name, request_class, 0.02, True, False)
        router.record_client_rtt(0.0, name, 0.02)
    kept = tracemalloc.get_traced_memory()[0]
    tracemalloc.reset_peak()
    router.propose(
        0.0, {}, {z: ZoneState(1e6, 1e5, num_routers=20) for z in zones}, dict.fromkeys(zones, 0.0)
    )
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert kept < 5e6 and peak - kept < 32e6
