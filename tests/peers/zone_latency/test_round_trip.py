"""Round trips measured by the protocol's own messages; losses by silence, and untimed replies."""

import random

import pytest

from ironrail.peers.messages import Outgoing, Received
from ironrail.peers.zone_latency.link_monitor import LinkMonitor
from ironrail.peers.zone_latency.link_tracker import MeasuredLinkState
from ironrail.peers.zone_latency.protocol import ZoneLatencyProtocol
from ironrail.peers.zone_latency.round_trip import MAX_HOLD_SECONDS, TRAILER_BYTES, RoundTripProtocol

ROUTER_ZONES = [0, 1, 2, 1]


def make_protocol(own_index: int) -> RoundTripProtocol:
    return RoundTripProtocol(
        ZoneLatencyProtocol(0.0, own_index, 1, ["h0", "h1", "h2"], ROUTER_ZONES, random.Random(own_index)),
        ROUTER_ZONES,
    )


def transmit(
    sender: RoundTripProtocol,
    sender_index: int,
    receiver: RoundTripProtocol,
    receiver_index: int,
    sent_at: float,
    received_at: float,
) -> None:
    outgoing = sender.with_timestamp(sent_at, Outgoing(receiver_index, sender.topic, bytes(TRAILER_BYTES)))
    receiver.on_message(received_at, Received(sender_index, 1, outgoing.body))


def baselines(protocol: RoundTripProtocol) -> dict[int, float]:
    protocol.zone_latency.on_timer(1000.0)
    return {zone: tracker.baseline for zone, tracker in protocol.zone_latency.monitor.trackers.items()}


def test_a_round_trip_does_not_include_the_time_for_which_the_receiver_held_it() -> None:
    one, other = make_protocol(0), make_protocol(1)
    transmit(one, 0, other, 1, 10.0, 10.02)
    transmit(other, 1, one, 0, 12.02, 12.05)  # by another clock: only the hold time of 2 s is sent
    assert one.num_round_trips == 1 and baselines(one) == {1: pytest.approx(0.05, rel=0.1)}
    assert other.num_round_trips == 0


def test_a_message_is_acknowledged_once_and_only_by_its_receiver_and_within_the_hold_time() -> None:
    one, other, third = make_protocol(0), make_protocol(1), make_protocol(3)
    transmit(one, 0, other, 1, 10.0, 10.02)
    outgoing = other.with_timestamp(10.1, Outgoing(0, other.topic, bytes(TRAILER_BYTES)))
    for _ in range(2):
        one.on_message(10.12, Received(1, 1, outgoing.body))
    transmit(other, 1, one, 0, 10.2, 10.22)  # acknowledges nothing
    one.on_message(10.3, Received(3, 1, outgoing.body))  # acknowledges a message to another router
    assert one.num_round_trips == 1
    transmit(one, 0, third, 3, 20.0, 20.02)
    transmit(third, 3, one, 0, 20.03 + MAX_HOLD_SECONDS, 20.05 + MAX_HOLD_SECONDS)
    assert one.num_round_trips == 1
    one.on_message(30.0, Received(1, 1, b"short"))
    assert one.zone_latency.unusable == 1


def test_every_second_message_goes_to_a_recent_sender_with_zones_in_turn() -> None:
    protocol, others = make_protocol(0), {n: make_protocol(n) for n in (1, 2, 3)}
    answered_zones = []
    for step in range(12):
        now = 10.0 + step
        for n, other in others.items():
            transmit(other, n, protocol, 0, now, now + 0.01)
        to = protocol.zone_latency.preferred_peer(now + 0.02)
        if to is not None:
            answered_zones.append(ROUTER_ZONES[to])
            protocol.with_timestamp(now + 0.03, Outgoing(to, protocol.topic, bytes(TRAILER_BYTES)))
    assert len(answered_zones) == 6 and answered_zones in ([1, 2] * 3, [2, 1] * 3)
    protocol.zone_latency.preferred_peer(90.0)
    assert protocol.zone_latency.preferred_peer(90.0) is None  # no recent sender


def test_untimed_replies_keep_a_link_from_being_cut_and_do_not_change_its_round_trip() -> None:
    monitor = LinkMonitor(0)

    def play(began: float, kinds: str) -> MeasuredLinkState:
        for step in range(40):
            now = began + step * 0.2
            monitor.record_round_trip(now, 2, 0.02)  # another zone answers
            if "o" in kinds:
                monitor.record_round_trip(now, 1, 0.05)
            if "h" in kinds:
                monitor.record_reply(now + 0.01, 1)
            if "s" in kinds:
                monitor.record_silence(now + 0.02, 1, 0.5)
            monitor.close_due_windows(now + 0.15)
        return monitor.state(1)

    assert play(0.0, "o") is MeasuredLinkState.WELL
    baseline = monitor.trackers[1].baseline
    assert play(10.0, "hs") is MeasuredLinkState.WELL and monitor.trackers[1].baseline == baseline
    monitor.record_silence(19.0, 1, 0.44)  # shorter than round trip and work
    assert monitor.trackers[1].lost_at < 19.0
    assert play(20.0, "s") is MeasuredLinkState.CUT
