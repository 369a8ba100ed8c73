"""One pace for all that is sent, and who goes first."""

from __future__ import annotations

import math
import random

import pytest

from ironrail.peers.messages import ALL_PEERS, MAX_ROUTERS, Outgoing, Priority, Topic
from ironrail.peers.transport.errors import PaceError
from ironrail.peers.transport.datagram_format import MOST_BODY, sealed_size
from ironrail.peers.transport.send_queue import BURST, MOST_SAYS, MOST_WAITING, PACE, Outbox
from tests.datagram_harness import wire


def outbox(routers: int = 10) -> Outbox:
    return Outbox(wire(0, routers=routers).seal, routers - 1)


def say(body: bytes = b"x", priority: Priority = Priority.VOTE, to: int = 1) -> Outgoing:
    return Outgoing(to, Topic.CONSENSUS, body, priority)


def bodies(box: Outbox, now: float) -> list[bytes]:
    return [datagram[15:-8] for _, datagram in box.take(now)]


@pytest.mark.parametrize("routers", [2, 10, MAX_ROUTERS])
def test_the_pace_holds_whatever_is_said(routers: int) -> None:
    box, chance = outbox(routers), random.Random(3)
    now, price, dearest, times = 0.0, 0.0, 0.0, 0
    while now < 300.0:
        for _ in range(chance.randint(0, 4)):
            to = chance.choice([ALL_PEERS, 1])
            body = chance.randbytes(chance.choice([1, 50, 200, MOST_BODY if to > ALL_PEERS else 100]))
            box.put(now, say(body, chance.choice(list(Priority)), to))
        for to, datagram in box.take(now):
            cost = len(datagram) * (routers - 1 if to == ALL_PEERS else 1)
            price, dearest = price + cost, max(dearest, cost)
            times += to == ALL_PEERS
        assert price <= BURST + PACE * now + dearest + 1
        now = max(now + 0.1, min(box.wake_at(), now + 1.0))
    assert price > 0.9 * PACE * now and times > 1
    assert sum(box.dropped.values()) > 0


def test_who_wakes_when_told_sends_each_time() -> None:
    """No wake is in vain, and none is late: a full minute goes at the pace to the last byte."""
    box = outbox(MAX_ROUTERS)
    for i in range(300):
        box.put(0.0, say(b"%3d" % i + bytes(197), Priority.LEASE))
    box.put(0.0, say(bytes(20), Priority.VOTE, ALL_PEERS))
    box.take(0.0)
    wakes, sent = 0, len(box.take(0.0))
    while (now := box.wake_at()) < math.inf:
        sent += bool(box.take(now))
        wakes += 1
        assert wakes <= sent + 1
    assert now == math.inf and box.sent == 300 * sealed_size(200) + sealed_size(20) * (MAX_ROUTERS - 1)


def test_votes_go_first_and_find_room_beside_gossip() -> None:
    box = outbox()
    for i in range(99):
        box.put(0.0, say(bytes([i]) + bytes(150), Priority.GOSSIP))
    assert box.take(0.0) != []
    box.put(0.0, say(b"lease", Priority.LEASE))
    for i in range(9):
        box.put(0.0, say(b"%d" % i + bytes(60)))
    assert [body[:1] for body in bodies(box, 0.0)] == [*(b"%d" % i for i in range(9)), b"l"]


def test_a_word_to_all_of_a_large_tier_holds_no_vote_back() -> None:
    box = outbox(MAX_ROUTERS)
    box.put(0.0, say(bytes(50), Priority.GOSSIP, ALL_PEERS))
    went, now = 0.0, 0.0
    while not went:
        now += 0.5
        box.put(now, say(b"vote"))
        sends = box.take(now)
        assert (1, 27) in [(to, len(datagram)) for to, datagram in sends]
        went = now if (ALL_PEERS, 73) in [(to, len(datagram)) for to, datagram in sends] else 0.0
    assert went < 2 * 73 * (MAX_ROUTERS - 1) / PACE


def test_the_newest_gossip_of_a_kind_replaces_the_older() -> None:
    box = outbox()
    box.put(0.0, say(bytes(MOST_BODY)))
    box.take(0.0)
    for body, to in ((b"a1", 1), (b"a2", 1), (b"b1", 1), (b"a3", 2), (b"a4", 1)):
        box.put(0.0, say(body, Priority.GOSSIP, to))
    for body in (b"v1", b"v2"):
        box.put(0.0, say(body))
    assert bodies(box, 9.0) == [b"v1", b"v2", b"a4", b"b1", b"a3"]
    assert box.replaced[Priority.GOSSIP] == 2


def test_a_full_box_drops_the_last_priority_first_and_the_oldest_of_it() -> None:
    box = outbox()
    box.put(0.0, say(bytes(MOST_BODY)))
    box.take(0.0)
    box.put(0.0, say(b"g", Priority.GOSSIP))
    for i in range(MOST_SAYS):
        box.put(0.0, say(b"%d" % i))
    box.put(0.0, say(b"late gossip", Priority.GOSSIP))
    box.put(0.0, say(b"last"))
    assert (box.dropped[Priority.GOSSIP], box.dropped[Priority.VOTE]) == (2, 1)
    assert bodies(box, 9.0)[0] == b"1"
    for _ in range(40):
        box.put(9.0, say(bytes(MOST_BODY)))
    assert box.dropped[Priority.VOTE] > 1000
    now, bytes_left = 9.0, 0
    while (now := box.wake_at()) < math.inf:
        bytes_left += sum(len(datagram) for _, datagram in box.take(now))
    assert MOST_WAITING * 0.9 < bytes_left < MOST_WAITING * 1.2


def test_a_rooms_defect_costs_it_its_message_only() -> None:
    box = outbox()
    for body, to in ((bytes(MOST_BODY + 1), 1), (b"self", 0), (b"nobody", 77), (b"good", 1)):
        box.put(0.0, say(body, to=to))
    assert bodies(box, 0.0) == [b"good"]
    assert box.dropped[Priority.VOTE] == 3


def test_a_pace_that_lets_nothing_out_is_refused() -> None:
    for pace, burst in ((99.0, BURST), (PACE, 1000.0)):
        with pytest.raises(PaceError):
            Outbox(wire(0).seal, 1, pace, burst)
