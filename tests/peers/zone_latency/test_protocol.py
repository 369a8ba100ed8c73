"""Several routers: how soon a fault is known to all, what is sent, and the snapshots."""

import math
import random
import tracemalloc

import pytest

from ironrail.errors import InputError
from ironrail.peers.messages import Received
from ironrail.peers.zone_latency.gossip_scheduler import MAX_BYTES_PER_SECOND, OVERHEAD_BYTES
from ironrail.peers.zone_latency.link_tracker import MeasuredLinkState
from ironrail.peers.zone_latency.protocol import ZoneLatencyProtocol
from ironrail.peers.zone_latency.reports import LinkReport, encode, pack_values
from ironrail.peers.zone_latency.snapshot import LinkSnapshot, LinksSnapshot

from .fleet import ZONES, Fleet

WARM_UP_SECONDS = 15.0


def make_protocol(zones: int = 3, routers: int = 6) -> ZoneLatencyProtocol:
    router_zones = [r % zones for r in range(routers)]
    return ZoneLatencyProtocol(0.0, 0, 1, [f"h{n}" for n in range(zones)], router_zones, random.Random(1))


def receive(protocol: ZoneLatencyProtocol, now: float, *reports: LinkReport) -> LinksSnapshot | None:
    protocol.on_message(now, Received(1, 1, encode(reports)[0]))
    protocol.on_timer(now)
    return protocol.take_snapshot()


def report(
    reporter: int, sequence: int, bucket: int, state: MeasuredLinkState = MeasuredLinkState.WELL
) -> LinkReport:
    return LinkReport(reporter, 1, 1, sequence, pack_values(state, bucket, bucket, 0.0), 0.0)


@pytest.mark.parametrize(("loss", "factor"), [(0.0, math.inf), (0.1, math.inf), (0.3, 10.0)])
def test_a_fault_is_known_to_all_within_three_seconds_of_its_first_detection(
    loss: float, factor: float
) -> None:
    fleet = Fleet(60, loss=loss)
    fleet.run(WARM_UP_SECONDS)
    assert set(fleet.states(0, 1)) == {MeasuredLinkState.WELL}
    fleet.break_link(0, 1, factor)
    detected_at, state = None, MeasuredLinkState.CUT if factor == math.inf else MeasuredLinkState.SLOW
    while set(fleet.states(0, 1)) != {state}:
        fleet.run(0.1)
        if detected_at is None and any(
            protocol.monitor.state(1) is state for protocol in fleet.protocols[::3]
        ):
            detected_at = fleet.now
        assert fleet.now < WARM_UP_SECONDS + 20.0
    assert detected_at is not None and fleet.now - detected_at <= 3.0


def test_a_router_never_sends_more_than_its_rate() -> None:
    protocol, sent_bytes = make_protocol(routers=200), 0
    rng = random.Random(2)
    for step in range(1, 2001):
        now = step * 0.01
        protocol.record_round_trip(now, rng.randrange(3), rng.choice([0.001, 0.5]))
        receive(
            protocol,
            now,
            report(1 + 3 * (step % 60), step, rng.randrange(60), MeasuredLinkState(1 + step % 3)),
        )
        sent_bytes += sum(len(outgoing.body) + OVERHEAD_BYTES for outgoing in protocol.take_outgoing())
    assert 0.5 * MAX_BYTES_PER_SECOND * 20.0 < sent_bytes <= MAX_BYTES_PER_SECOND * 20.0 + 256


def test_a_link_that_is_cut_one_way_is_cut_for_both_and_others_are_not() -> None:
    fleet = Fleet(12)
    fleet.run(WARM_UP_SECONDS)
    fleet.break_link(0, 1, math.inf, both_ways=False)
    fleet.run(8.0)
    assert set(fleet.states(0, 1)) == set(fleet.states(1, 0)) == {MeasuredLinkState.CUT}
    assert set(fleet.states(0, 2) + fleet.states(1, 2) + fleet.states(0, 0)) == {MeasuredLinkState.WELL}
    fleet.break_link(0, 1, 1.0)
    fleet.run(10.0)
    assert set(fleet.states(0, 1)) == {MeasuredLinkState.WELL}


def test_zones_that_are_cut_off_from_each_other_learn_of_it_through_a_third() -> None:
    fleet = Fleet(12)
    fleet.run(WARM_UP_SECONDS)
    fleet.break_link(0, 2, math.inf)
    fleet.run(8.0)
    for a, b, state in (
        (0, 2, MeasuredLinkState.CUT),
        (2, 0, MeasuredLinkState.CUT),
        (0, 1, MeasuredLinkState.WELL),
        (1, 2, MeasuredLinkState.WELL),
    ):
        assert set(fleet.states(a, b)) == {state}


def test_a_link_ten_times_slower_is_published_with_its_figures_in_few_snapshots() -> None:
    fleet = Fleet(12)
    fleet.run(WARM_UP_SECONDS)
    fleet.protocols[0].take_snapshot()
    fleet.break_link(0, 1, 10.0)
    snapshots = []
    for _ in range(80):
        fleet.run(0.1)
        snapshots += [snapshot for snapshot in (fleet.protocols[0].take_snapshot(),) if snapshot]
    link = snapshots[-1].links[1]
    assert (link.zone, link.state) == (ZONES[1], MeasuredLinkState.SLOW) and 0.08 < link.median < 0.13
    assert len(snapshots) <= 3 and [s.version for s in snapshots] == sorted({s.version for s in snapshots})
    assert link.age(fleet.now) < 10.0


def test_a_flapping_link_causes_few_snapshots() -> None:
    fleet = Fleet(12)
    fleet.run(WARM_UP_SECONDS)
    num_snapshots, states = 0, {MeasuredLinkState.WELL}
    for step in range(600):
        fleet.break_link(0, 1, math.inf if step % 40 < 20 else 1.0)
        fleet.run(0.1)
        snapshot = fleet.protocols[0].take_snapshot()
        num_snapshots += snapshot is not None
        states |= {snapshot.links[1].state} if snapshot else set()
    assert MeasuredLinkState.CUT in states and num_snapshots <= 20


def test_small_changes_are_not_published_and_a_worse_state_sooner_than_a_better_one() -> None:
    protocol = make_protocol()
    first = receive(protocol, 1.0, report(0, 1, 30), report(3, 1, 30))
    assert first is not None and first.links[1].state is MeasuredLinkState.WELL and first.zone == "h0"
    for n in range(2, 20):
        assert receive(protocol, n * 1.0, report(3, n, 30 + n % 2)) is None
    assert receive(protocol, 30.0, report(3, 30, 33)) is not None  # 1.77 times
    cut = receive(protocol, 30.5, report(3, 31, 33, MeasuredLinkState.CUT))
    assert cut is not None and cut.links[1].state is MeasuredLinkState.CUT
    assert receive(protocol, 31.0, report(3, 32, 33)) is None
    assert receive(protocol, 32.0, report(3, 33, 33)) is None
    recovered = receive(protocol, 33.1)
    assert recovered is not None and recovered.links[1].state is MeasuredLinkState.WELL


def test_a_zone_without_reports_is_published_as_unknown_and_far() -> None:
    snapshot = receive(make_protocol(), 1.0, report(3, 1, 0))
    assert snapshot is not None
    for link in (snapshot.links[0], snapshot.links[2], LinkSnapshot("before any report")):
        assert link.state is MeasuredLinkState.UNKNOWN and link.median == link.fastest == math.inf
        assert link.loss_ratio == 1.0 and link.age(1.0) == math.inf
    assert min(snapshot.links, key=lambda link: link.median).zone == "h1"


def test_reports_of_a_restarted_reporter_replace_those_of_its_old_process() -> None:
    fleet = Fleet(3)  # one reporter for each link
    fleet.run(WARM_UP_SECONDS)
    fleet.break_link(0, 1, math.inf)
    fleet.run(6.0)
    assert set(fleet.states(0, 1)) == {MeasuredLinkState.CUT}
    fleet.break_link(0, 1, 1.0)
    fleet.restart(0)
    fleet.run(6.0)
    assert set(fleet.states(0, 1)) == {MeasuredLinkState.WELL}
    assert all(protocol.table.incarnations[0] == 2 for protocol in fleet.protocols)
    fleet.stopped.add(0)
    fleet.run(7 * fleet.protocols[1].table.refresh_interval)
    assert set(fleet.states(0, 1)) == {MeasuredLinkState.UNKNOWN}


def test_received_reports_of_ones_own_are_ignored_and_unusable_messages_counted() -> None:
    protocol = make_protocol()
    receive(protocol, 1.0, report(0, 9, 30))
    assert protocol.estimate(1.0, 0, 1).num_reporters == 0
    protocol.on_message(1.0, Received(1, 1, b"\xff" * 9))
    assert protocol.unusable == 1


def test_memory_is_bounded_with_a_thousand_routers_in_fifty_zones() -> None:
    tracemalloc.start()
    protocol = make_protocol(zones=50, routers=1000)
    before = tracemalloc.get_traced_memory()[0]
    for reporter in range(1, 1000):
        reports = [report(reporter, 1, 30)._replace(to_zone=to, incarnation=2**40) for to in range(50)]
        # more pending reports than are kept
        for part in (reports[:25], reports[25:]) if reporter < 60 else ():
            protocol.on_message(1.0, Received(1, 1, encode(part)[0]))
        for link_report in reports:
            protocol.table.merge(1.0, link_report)
    for to_zone in range(50):
        for n in range(5):
            protocol.record_round_trip(1.0 + n, to_zone, 0.01)
    kept = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(protocol.table) == 50 * 50 * 5
    assert kept < 6e6, kept


def test_invalid_zones_are_rejected() -> None:
    for zones, router_zones in (
        (["a", "a"], [0]),
        (["a"], [1]),
        ([str(n) for n in range(65)], [0]),
        ([], []),
    ):
        with pytest.raises(InputError):
            ZoneLatencyProtocol(0.0, 0, 1, zones, router_zones, random.Random(1))
