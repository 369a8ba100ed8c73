"""What comes out of a wire went into one, whole and once, and nothing else comes out."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.peers.messages import ALL_PEERS, MAX_DATAGRAM_BYTES, Outgoing, Received, Topic
from ironrail.peers.transport.errors import UnsendableError
from ironrail.peers.transport.datagram_format import MOST_BODY, ROOM, sealed_size
from ironrail.peers.transport.datagram_codec import Reason
from tests.datagram_harness import datagrams, heard, met, reason, wire

BODIES = st.one_of(
    st.binary(max_size=40),
    st.sampled_from([ROOM - 1, ROOM, ROOM + 1, MOST_BODY - 1, MOST_BODY]).map(bytes),
    st.integers(0, MOST_BODY).map(lambda size: random.Random(size).randbytes(size)),
)
ROOMS = st.sampled_from([topic for topic in Topic if topic is not Topic.TRANSPORT])


@given(st.lists(st.tuples(BODIES, ROOMS, st.sampled_from([1, ALL_PEERS])), max_size=6))
def test_bodies_come_as_they_went(said: list[tuple[bytes, Topic, int]]) -> None:
    sender, receiver = met()
    for body, topic, to in said:
        sealed = sender.seal(Outgoing(to, topic, body))
        assert {where for where, _ in sealed} == {to}
        assert max(len(d) for _, d in sealed) <= MAX_DATAGRAM_BYTES
        assert sum(len(d) for _, d in sealed) == sealed_size(len(body))
        got = [item for _, d in sealed for item in receiver.open(1.0, 0, d)]
        assert got == [(topic, Received(0, sender.start, body))]
    assert not any(receiver.dropped().values())


@given(st.lists(BODIES, min_size=1, max_size=2), st.data())
def test_whatever_the_network_does_a_body_comes_once_or_not_at_all(
    bodies: list[bytes], data: st.DataObject
) -> None:
    sender, receiver = met()
    sent = [(number, d) for number, body in enumerate(bodies) for d in datagrams(sender, body)]
    lost = data.draw(st.sets(st.integers(0, len(sent) - 1), max_size=1))
    arrive = [
        item for i, item in enumerate(sent) if i not in lost for _ in range(data.draw(st.integers(1, 2)))
    ]
    arrive = data.draw(st.permutations(arrive))
    got = heard(1.0, receiver, 0, *(d for _, d in arrive))
    whole = [body for number, body in enumerate(bodies) if number not in {sent[i][0] for i in lost}]
    assert sorted(got) == sorted(whole)


def test_every_truncation_and_every_flipped_bit_is_dropped() -> None:
    sender, receiver = met()
    now = 0.0
    for sealed in (datagrams(sender, b"vote for 7")[0], datagrams(sender, bytes(300))[0]):
        spoilt = [sealed[:size] for size in range(len(sealed))]
        for bit in range(8 * len(sealed)):
            flipped = bytearray(sealed)
            flipped[bit // 8] ^= 1 << bit % 8
            spoilt.append(bytes(flipped))
        spoilt += [sealed + bytes(1), sealed + bytes(300)]
        before = sum(receiver.dropped().values())
        for datagram in spoilt:
            now += 1.0  # slow enough that each is checked
            assert receiver.open(now, 0, datagram) == []
        assert sum(receiver.dropped().values()) - before == len(spoilt)
    assert receiver.dropped()[Reason.MAC] > 1000
    assert receiver.knows(0) == sender.start
    assert heard(now, receiver, 0, *datagrams(sender, b"whole")) == [b"whole"]


def test_cheap_reasons_come_before_the_key() -> None:
    sender, receiver = met()
    good = datagrams(sender, b"x")[0]
    assert reason(receiver, good, source=None) is Reason.FOREIGN
    assert reason(receiver, good, source=2) is Reason.SENDER
    assert reason(sender, good, source=0) is Reason.SENDER
    assert reason(receiver, good[:22]) is Reason.LENGTH
    assert reason(receiver, bytes([good[0] ^ 0x20]) + good[1:]) is Reason.VERSION
    assert reason(receiver, good[:1] + b"\x09" + good[2:]) is Reason.KEY
    assert reason(receiver, bytes([good[0] | 7]) + good[1:]) is Reason.TOPIC
    assert receiver.dropped()[Reason.MAC] == 0


def test_a_message_to_one_is_none_to_another_or_to_all() -> None:
    sender, receiver = met()
    to_other = datagrams(sender, b"x", to=2)[0]
    assert reason(receiver, to_other) is Reason.MAC
    assert reason(receiver, bytes([to_other[0] ^ 0x10]) + to_other[1:]) is Reason.MAC


def test_what_no_datagram_carries_is_refused() -> None:
    for say in (
        Outgoing(0, Topic.CONSENSUS, b""),
        Outgoing(3, Topic.CONSENSUS, b""),
        Outgoing(1, Topic.CONSENSUS, bytes(MOST_BODY + 1)),
    ):
        with pytest.raises(UnsendableError):
            wire(0).seal(say)
