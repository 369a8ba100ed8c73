"""Messages arrive complete, unchanged and once; forged, damaged and misdirected datagrams are dropped."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.peers.messages import ALL_PEERS, MAX_DATAGRAM_BYTES, Outgoing, Received, Topic
from ironrail.peers.transport.datagram_codec import DropReason
from ironrail.peers.transport.datagram_format import MAX_BODY_BYTES, MAX_SINGLE_BODY_BYTES, sealed_size
from ironrail.peers.transport.errors import UnsendableError
from tests.datagram_harness import connected_pair, drop_reason, make_codec, open_bodies, seal_body

BODIES = st.one_of(
    st.binary(max_size=40),
    st.sampled_from(
        [
            MAX_SINGLE_BODY_BYTES - 1,
            MAX_SINGLE_BODY_BYTES,
            MAX_SINGLE_BODY_BYTES + 1,
            MAX_BODY_BYTES - 1,
            MAX_BODY_BYTES,
        ]
    ).map(bytes),
    st.integers(0, MAX_BODY_BYTES).map(lambda size: random.Random(size).randbytes(size)),
)
TOPICS = st.sampled_from([topic for topic in Topic if topic is not Topic.TRANSPORT])


@given(st.lists(st.tuples(BODIES, TOPICS, st.sampled_from([1, ALL_PEERS])), max_size=6))
def test_messages_arrive_as_they_were_sent(messages: list[tuple[bytes, Topic, int]]) -> None:
    sender, receiver = connected_pair()
    for body, topic, to in messages:
        sealed = sender.seal(Outgoing(to, topic, body))
        assert {target for target, _ in sealed} == {to}
        assert max(len(d) for _, d in sealed) <= MAX_DATAGRAM_BYTES
        assert sum(len(d) for _, d in sealed) == sealed_size(len(body))
        opened = [item for _, d in sealed for item in receiver.open(1.0, 0, d)]
        assert opened == [(topic, Received(0, sender.incarnation, body))]
    assert not any(receiver.drop_counts().values())


@given(st.lists(BODIES, min_size=1, max_size=2), st.data())
def test_a_message_arrives_once_or_not_at_all_despite_loss_duplication_and_reordering(
    bodies: list[bytes], data: st.DataObject
) -> None:
    sender, receiver = connected_pair()
    sent = [(number, d) for number, body in enumerate(bodies) for d in seal_body(sender, body)]
    lost = data.draw(st.sets(st.integers(0, len(sent) - 1), max_size=1))
    arrive = [
        item for i, item in enumerate(sent) if i not in lost for _ in range(data.draw(st.integers(1, 2)))
    ]
    arrive = data.draw(st.permutations(arrive))
    received = open_bodies(1.0, receiver, 0, *(d for _, d in arrive))
    complete = [body for number, body in enumerate(bodies) if number not in {sent[i][0] for i in lost}]
    assert sorted(received) == sorted(complete)


def test_every_truncation_and_every_flipped_bit_is_dropped() -> None:
    sender, receiver = connected_pair()
    now = 0.0
    for sealed in (seal_body(sender, b"vote for 7")[0], seal_body(sender, bytes(300))[0]):
        damaged = [sealed[:size] for size in range(len(sealed))]
        for bit in range(8 * len(sealed)):
            flipped = bytearray(sealed)
            flipped[bit // 8] ^= 1 << bit % 8
            damaged.append(bytes(flipped))
        damaged += [sealed + bytes(1), sealed + bytes(300)]
        before = sum(receiver.drop_counts().values())
        for datagram in damaged:
            now += 1.0  # slow enough that the MAC of each is verified
            assert receiver.open(now, 0, datagram) == []
        assert sum(receiver.drop_counts().values()) - before == len(damaged)
    assert receiver.drop_counts()[DropReason.MAC] > 1000
    assert receiver.proven_incarnation(0) == sender.incarnation
    assert open_bodies(now, receiver, 0, *seal_body(sender, b"whole")) == [b"whole"]


def test_cheap_checks_come_before_the_mac() -> None:
    sender, receiver = connected_pair()
    good = seal_body(sender, b"x")[0]
    assert drop_reason(receiver, good, source=None) is DropReason.FOREIGN
    assert drop_reason(receiver, good, source=2) is DropReason.SENDER
    assert drop_reason(sender, good, source=0) is DropReason.SENDER
    assert drop_reason(receiver, good[:22]) is DropReason.LENGTH
    assert drop_reason(receiver, bytes([good[0] ^ 0x20]) + good[1:]) is DropReason.VERSION
    assert drop_reason(receiver, good[:1] + b"\x09" + good[2:]) is DropReason.KEY
    assert drop_reason(receiver, bytes([good[0] | 7]) + good[1:]) is DropReason.TOPIC
    assert receiver.drop_counts()[DropReason.MAC] == 0


def test_a_datagram_for_one_router_is_not_accepted_by_another_or_as_one_for_all() -> None:
    sender, receiver = connected_pair()
    to_other = seal_body(sender, b"x", to=2)[0]
    assert drop_reason(receiver, to_other) is DropReason.MAC
    assert drop_reason(receiver, bytes([to_other[0] ^ 0x10]) + to_other[1:]) is DropReason.MAC


def test_a_message_that_is_too_long_or_has_no_valid_receiver_is_refused() -> None:
    for outgoing in (
        Outgoing(0, Topic.CONSENSUS, b""),
        Outgoing(3, Topic.CONSENSUS, b""),
        Outgoing(1, Topic.CONSENSUS, bytes(MAX_BODY_BYTES + 1)),
    ):
        with pytest.raises(UnsendableError):
            make_codec(0).seal(outgoing)
