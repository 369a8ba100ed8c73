"""Limits on what datagrams can cost a router: memory, MAC checks and handshakes."""

from __future__ import annotations

import random
import tracemalloc

import pytest

from ironrail.peers.messages import MAX_DATAGRAM_BYTES, MAX_ROUTERS, Topic
from ironrail.peers.transport.datagram_codec import (
    FAILED_MAC_BURST,
    MAX_FAILED_MACS_PER_SECOND,
    MAX_HANDSHAKES_PER_SECOND,
    DatagramCodec,
    DropReason,
)
from ironrail.peers.transport.datagram_format import MAX_BODY_BYTES, MIN_DATAGRAM_BYTES
from ironrail.peers.transport.fragmentation import MAX_AGE_SECONDS, MAX_MEMORY_BYTES
from ironrail.peers.transport.handshake import HandshakeMessage
from ironrail.peers.transport.keys import KeyRing
from tests.datagram_harness import (
    complete_handshake,
    connected_pair,
    deliver_handshakes,
    make_codec,
    open_bodies,
    seal_body,
)

FORGED = KeyRing(1, {1: b"a secret nobody else has"})


def test_incomplete_bodies_of_a_thousand_senders_stay_within_the_memory_limit() -> None:
    receiver = make_codec(0, num_routers=MAX_ROUTERS)
    senders = [make_codec(index, num_routers=MAX_ROUTERS) for index in range(1, MAX_ROUTERS)]
    now = 0.0
    for sender in senders:
        now += 2 / MAX_HANDSHAKES_PER_SECOND
        complete_handshake(now, receiver, sender)
    incomplete = [
        d for sender in senders for _ in range(3) for d in seal_body(sender, bytes(MAX_BODY_BYTES), 0)[:15]
    ]
    random.Random(1).shuffle(incomplete)
    tracemalloc.start()
    for datagram in incomplete:
        receiver.open(now, int.from_bytes(datagram[2:4], "big"), bytes(datagram))
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    # the replay windows of the senders grow a little too
    assert MAX_MEMORY_BYTES / 2 < allocated < MAX_MEMORY_BYTES * 1.5
    assert receiver.drop_counts()[DropReason.CROWDED] > 900
    assert receiver.next_timer_at() == now + MAX_AGE_SECONDS
    receiver.take_outgoing(now + MAX_AGE_SECONDS)
    assert receiver.drop_counts()[DropReason.LATE] > 0 and receiver.next_timer_at() > now + 1e9
    assert open_bodies(now + 9, receiver, 1, *seal_body(senders[0], bytes(999), 0)) == [bytes(999)]


def test_a_sender_may_have_two_incomplete_bodies() -> None:
    sender, receiver = connected_pair()
    bodies = [bytes([i]) * 999 for i in range(3)]
    fragmented = [seal_body(sender, body) for body in bodies]
    assert open_bodies(1.0, receiver, 0, *(fragments[0] for fragments in fragmented)) == []
    assert (
        open_bodies(1.0, receiver, 0, *(d for fragments in fragmented for d in fragments[1:])) == bodies[1:]
    )


def flood(
    receiver: DatagramCodec, forger: DatagramCodec, source: int, count: int, topic: Topic = Topic.CONSENSUS
) -> int:
    """Open datagrams with an invalid MAC from 1.0 to 3.0; return how many of the MACs were verified."""
    before = receiver.drop_counts()[DropReason.MAC]
    for i in range(count + 50):  # the last 50 all at the end
        body = HandshakeMessage(challenge=b"%8d" % i).encode()
        receiver.open(
            min(1.0 + 2.0 * i / count, 3.0), source, seal_body(forger, body, receiver.own_index, topic)[0]
        )
    return receiver.drop_counts()[DropReason.MAC] - before


def test_a_flood_is_verified_within_its_limit_and_other_senders_get_through() -> None:
    first, receiver = connected_pair()
    other = make_codec(2)
    complete_handshake(0.0, other, receiver)
    # reads the traffic, so that it knows the incarnation
    forger = make_codec(2, incarnation=other.incarnation, keys=FORGED)
    share = MAX_FAILED_MACS_PER_SECOND / 2 / 2  # two sources, each with two limiters
    assert share * 2 <= flood(receiver, forger, 2, 20_000) <= share * 2 + FAILED_MAC_BURST
    assert receiver.drop_counts()[DropReason.FLOOD] > 18_000
    assert open_bodies(3.0, receiver, 0, *seal_body(first, b"through")) == [b"through"]
    # the router whose address the flood bears is blocked meanwhile
    assert open_bodies(3.0, receiver, 2, *seal_body(other, b"shut out")) == []
    assert open_bodies(9.0, receiver, 2, *seal_body(other, b"no longer")) == [b"no longer"]


@pytest.mark.parametrize("topic", [Topic.CONSENSUS, Topic.TRANSPORT])
def test_a_flood_of_one_who_cannot_read_the_traffic_blocks_no_sender(topic: Topic) -> None:
    """Neither a proven incarnation nor, once it has answered a challenge, a new one is blocked."""
    sender, receiver = connected_pair()
    forger = make_codec(0, incarnation=123456, keys=FORGED)
    flood(receiver, forger, 0, 5000, topic)
    assert open_bodies(3.0, receiver, 0, *seal_body(sender, b"through")) == [b"through"]
    new = make_codec(0, incarnation=9)
    assert open_bodies(3.0, receiver, 0, *seal_body(new, b"lost")) == []
    dropped = receiver.drop_counts()
    assert dropped[DropReason.FLOOD] + dropped[DropReason.UNPROVEN] > 2900
    deliver_handshakes(3.0, receiver, new)
    deliver_handshakes(3.0, new, receiver)
    assert open_bodies(3.0, receiver, 0, *seal_body(new, b"through")) == [b"through"]


def test_replayed_datagrams_cause_no_more_challenges_than_the_handshake_limit() -> None:
    receiver = make_codec(0, num_routers=MAX_ROUTERS)
    recorded = [
        (index, seal_body(make_codec(index, num_routers=MAX_ROUTERS), b"old", 0)[0])
        for index in range(1, MAX_ROUTERS)
    ]
    challenged = []
    for tick in range(40):
        for index, datagram in recorded:
            receiver.open(tick / 4, index, datagram)
        challenged += [outgoing.to for outgoing in receiver.take_outgoing(tick / 4)]
    assert len(challenged) <= MAX_HANDSHAKES_PER_SECOND * 11
    assert len(set(challenged)) == len(challenged)  # no router is challenged twice before each was once


def test_random_and_damaged_datagrams_are_dropped_and_raise_nothing() -> None:
    sender, receiver = connected_pair()
    noise = random.Random(7)
    good = [*seal_body(sender, b"vote"), *seal_body(sender, bytes(500))]
    opened = 0
    for count in range(30_000):
        if count % 3:
            datagram = bytearray(noise.choice(good))
            for _ in range(noise.randint(1, 8)):
                datagram[noise.randrange(len(datagram))] ^= noise.randint(1, 255)
        else:
            datagram = bytearray(noise.randbytes(noise.randint(0, MAX_DATAGRAM_BYTES + 20)))
        if bytes(datagram) in good:
            continue
        opened += 1
        source = noise.choice([None, 0, 0, 0, 1, 2, 5])
        assert receiver.open(count / 100, source, bytes(datagram)) == []
        receiver.take_outgoing(count / 100)
    dropped = receiver.drop_counts()
    assert sum(dropped.values()) == opened > 29_000 and dropped[DropReason.MAC] > 3000
    assert receiver.proven_incarnation(0) == sender.incarnation
    assert MIN_DATAGRAM_BYTES == 23


def test_malformed_handshakes_with_a_valid_mac_are_counted() -> None:
    sender, receiver = connected_pair()
    for body in (b"", b"\x00", b"\x01short", b"\x04" + bytes(8), b"\x03" + bytes(8)):
        assert open_bodies(0.0, receiver, 0, *seal_body(sender, body, topic=Topic.TRANSPORT)) == []
    assert receiver.drop_counts()[DropReason.MALFORMED] == 5
