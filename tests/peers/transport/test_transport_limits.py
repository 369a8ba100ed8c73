"""What others can make a router spend: memory, checks, questions."""

from __future__ import annotations

import random
import tracemalloc

import pytest

from ironrail.peers.messages import MAX_DATAGRAM_BYTES, MAX_ROUTERS, Topic
from ironrail.peers.transport.keys import Keys
from ironrail.peers.transport.datagram_format import LEAST_DATAGRAM, MOST_BODY
from ironrail.peers.transport.handshake import Meeting
from ironrail.peers.transport.fragmentation import MOST_AGE, MOST_IN_ALL
from ironrail.peers.transport.datagram_codec import FAILS, FAILS_AT_ONCE, MEETINGS, Reason, Wire
from tests.datagram_harness import datagrams, heard, meet, met, pass_on, wire

FORGED = Keys(1, {1: b"a secret nobody else has"})


def test_a_thousand_senders_of_half_bodies_stay_within_their_room() -> None:
    receiver = wire(0, routers=MAX_ROUTERS)
    senders = [wire(me, routers=MAX_ROUTERS) for me in range(1, MAX_ROUTERS)]
    now = 0.0
    for sender in senders:
        now += 2 / MEETINGS
        meet(now, receiver, sender)
    halves = [d for sender in senders for _ in range(3) for d in datagrams(sender, bytes(MOST_BODY), 0)[:15]]
    random.Random(1).shuffle(halves)
    tracemalloc.start()
    for datagram in halves:
        receiver.open(now, int.from_bytes(datagram[2:4], "big"), bytes(datagram))
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert MOST_IN_ALL / 2 < held < MOST_IN_ALL * 1.5  # windows of the senders grow a little too
    assert receiver.dropped()[Reason.CROWDED] > 900
    assert receiver.wake_at() == now + MOST_AGE
    receiver.say(now + MOST_AGE)
    assert receiver.dropped()[Reason.LATE] > 0 and receiver.wake_at() > now + 1e9
    assert heard(now + 9, receiver, 1, *datagrams(senders[0], bytes(999), 0)) == [bytes(999)]


def test_a_sender_has_room_for_two_unfinished_bodies() -> None:
    sender, receiver = met()
    bodies = [bytes([i]) * 999 for i in range(3)]
    cut = [datagrams(sender, body) for body in bodies]
    assert heard(1.0, receiver, 0, *(pieces[0] for pieces in cut)) == []
    assert heard(1.0, receiver, 0, *(d for pieces in cut for d in pieces[1:])) == bodies[1:]


def flood(receiver: Wire, forger: Wire, source: int, count: int, topic: Topic = Topic.CONSENSUS) -> int:
    """Datagrams with a wrong MAC, from 1.0 to 3.0. Returns how many were checked."""
    before = receiver.dropped()[Reason.MAC]
    for i in range(count + 50):  # the last ones all at the end
        body = Meeting(asks=b"%8d" % i).encode()
        receiver.open(min(1.0 + 2.0 * i / count, 3.0), source, datagrams(forger, body, receiver.me, topic)[0])
    return receiver.dropped()[Reason.MAC] - before


def test_a_flood_is_checked_at_its_rate_and_the_others_get_through() -> None:
    first, receiver = met()
    other = wire(2)
    meet(0.0, other, receiver)
    forger = wire(2, start=other.start, keys=FORGED)  # reads the traffic: it knows the life
    share = FAILS / 2 / 2  # two sources, each with two allowances
    assert share * 2 <= flood(receiver, forger, 2, 20_000) <= share * 2 + FAILS_AT_ONCE
    assert receiver.dropped()[Reason.FLOOD] > 18_000
    assert heard(3.0, receiver, 0, *datagrams(first, b"through")) == [b"through"]
    assert heard(3.0, receiver, 2, *datagrams(other, b"shut out")) == []  # what can't be promised
    assert heard(9.0, receiver, 2, *datagrams(other, b"no longer")) == [b"no longer"]


@pytest.mark.parametrize("topic", [Topic.CONSENSUS, Topic.TRANSPORT])
def test_who_cannot_read_the_traffic_shuts_out_nobody(topic: Topic) -> None:
    """Neither a life that is proven nor, after a question, one that has just begun."""
    sender, receiver = met()
    forger = wire(0, start=123456, keys=FORGED)
    flood(receiver, forger, 0, 5000, topic)
    assert heard(3.0, receiver, 0, *datagrams(sender, b"through")) == [b"through"]
    new = wire(0, start=9)
    assert heard(3.0, receiver, 0, *datagrams(new, b"lost")) == []
    dropped = receiver.dropped()
    assert dropped[Reason.FLOOD] + dropped[Reason.UNPROVEN] > 2900
    pass_on(3.0, receiver, new)
    pass_on(3.0, new, receiver)
    assert heard(3.0, receiver, 0, *datagrams(new, b"through")) == [b"through"]


def test_recorded_datagrams_make_a_router_say_no_more_than_its_meetings() -> None:
    receiver = wire(0, routers=MAX_ROUTERS)
    recorded = [
        (me, datagrams(wire(me, routers=MAX_ROUTERS), b"old", 0)[0]) for me in range(1, MAX_ROUTERS)
    ]
    asked = []
    for tick in range(40):
        for me, datagram in recorded:
            receiver.open(tick / 4, me, datagram)
        asked += [say.to for say in receiver.say(tick / 4)]
    assert len(asked) <= MEETINGS * 11
    assert len(set(asked)) == len(asked)  # each has its turn before another has a second


def test_noise_brings_nothing_out_and_raises_nothing() -> None:
    sender, receiver = met()
    noise = random.Random(7)
    good = [*datagrams(sender, b"vote"), *datagrams(sender, bytes(500))]
    seen = 0
    for count in range(30_000):
        if count % 3:
            datagram = bytearray(noise.choice(good))
            for _ in range(noise.randint(1, 8)):
                datagram[noise.randrange(len(datagram))] ^= noise.randint(1, 255)
        else:
            datagram = bytearray(noise.randbytes(noise.randint(0, MAX_DATAGRAM_BYTES + 20)))
        if bytes(datagram) in good:
            continue
        seen += 1
        source = noise.choice([None, 0, 0, 0, 1, 2, 5])
        assert receiver.open(count / 100, source, bytes(datagram)) == []
        receiver.say(count / 100)
    dropped = receiver.dropped()
    assert sum(dropped.values()) == seen > 29_000 and dropped[Reason.MAC] > 3000
    assert receiver.knows(0) == sender.start
    assert LEAST_DATAGRAM == 23


def test_whoever_has_the_key_and_talks_nonsense_is_counted() -> None:
    sender, receiver = met()
    for body in (b"", b"\x00", b"\x01short", b"\x04" + bytes(8), b"\x03" + bytes(8)):
        assert heard(0.0, receiver, 0, *datagrams(sender, body, topic=Topic.TRANSPORT)) == []
    assert receiver.dropped()[Reason.MALFORMED] == 5
