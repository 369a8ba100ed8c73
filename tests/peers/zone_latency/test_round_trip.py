"""Round trips by the map's own messages, and what is known of a link by silence and by untimed replies."""

import random

import pytest

from ironrail.peers.messages import Outgoing, Received
from ironrail.peers.zone_latency.round_trip import MOST_HOLD, TRAILER, Echoing
from ironrail.peers.zone_latency.link_monitor import Evidence
from ironrail.peers.zone_latency.protocol import LatencyRoom
from ironrail.peers.zone_latency.link_tracker import Link

HALL_OF = [0, 1, 2, 1]


def echoing(me: int) -> Echoing:
    return Echoing(LatencyRoom(0.0, me, 1, ["h0", "h1", "h2"], HALL_OF, random.Random(me)), HALL_OF)


def pass_on(sender: Echoing, me: int, receiver: Echoing, to: int, sent: float, came: float) -> None:
    say = sender.with_timestamp(sent, Outgoing(to, sender.topic, bytes(TRAILER)))
    receiver.on_message(came, Received(me, 1, say.body))


def sampled(room: Echoing) -> dict[int, float]:
    room.map.on_timer(1000.0)
    return {hall: sight.usual for hall, sight in room.map.evidence.sights.items()}


def test_a_round_trip_is_the_way_there_and_back_without_what_the_other_held_it() -> None:
    one, other = echoing(0), echoing(1)
    pass_on(one, 0, other, 1, 10.0, 10.02)
    pass_on(other, 1, one, 0, 12.02, 12.05)  # by a clock of its own: only 2 s of it are told
    assert one.trips == 1 and sampled(one) == {1: pytest.approx(0.05, rel=0.1)}
    assert other.trips == 0


def test_a_message_is_answered_once_and_none_that_was_not_sent_or_was_held_for_long() -> None:
    one, other, third = echoing(0), echoing(1), echoing(3)
    pass_on(one, 0, other, 1, 10.0, 10.02)
    say = other.with_timestamp(10.1, Outgoing(0, other.topic, bytes(TRAILER)))
    for _ in range(2):
        one.on_message(10.12, Received(1, 1, say.body))
    pass_on(other, 1, one, 0, 10.2, 10.22)  # answers nothing
    one.on_message(10.3, Received(3, 1, say.body))  # numbers of another's way
    assert one.trips == 1
    pass_on(one, 0, third, 3, 20.0, 20.02)
    pass_on(third, 3, one, 0, 20.03 + MOST_HOLD, 20.05 + MOST_HOLD)
    assert one.trips == 1
    one.on_message(30.0, Received(1, 1, b"short"))
    assert one.map.unusable == 1


def test_every_second_message_answers_who_spoke_lately_halls_in_turn() -> None:
    room, others = echoing(0), {n: echoing(n) for n in (1, 2, 3)}
    asked = []
    for step in range(12):
        now = 10.0 + step
        for n, other in others.items():
            pass_on(other, n, room, 0, now, now + 0.01)
        to = room.map.prefer(now + 0.02)
        if to is not None:
            asked.append(HALL_OF[to])
            room.with_timestamp(now + 0.03, Outgoing(to, room.topic, bytes(TRAILER)))
    assert len(asked) == 6 and asked in ([1, 2] * 3, [2, 1] * 3)
    room.map.prefer(90.0)
    assert room.map.prefer(90.0) is None  # nobody spoke lately


def test_untimed_replies_keep_a_link_from_being_cut_and_say_nothing_of_how_long_it_is() -> None:
    evidence = Evidence(0)

    def play(began: float, kinds: str) -> Link:
        for step in range(40):
            now = began + step * 0.2
            evidence.observe(now, 2, 0.02)  # somebody answers at all
            if "o" in kinds:
                evidence.observe(now, 1, 0.05)
            if "h" in kinds:
                evidence.heard(now + 0.01, 1)
            if "s" in kinds:
                evidence.silent(now + 0.02, 1, 0.5)
            evidence.close_due(now + 0.15)
        return evidence.state(1)

    assert play(0.0, "o") is Link.WELL
    usual = evidence.sights[1].usual
    assert play(10.0, "hs") is Link.WELL and evidence.sights[1].usual == usual
    evidence.silent(19.0, 1, 0.44)  # shorter than way and work take
    assert evidence.sights[1].lost_at < 19.0
    assert play(20.0, "s") is Link.CUT
