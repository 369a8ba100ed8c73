"""Codecs of one peer group without a network, with reproducible random bytes."""

from __future__ import annotations

from collections.abc import Callable
from hashlib import sha256

from ironrail.peers.messages import Outgoing, Received, Topic
from ironrail.peers.transport.datagram_codec import DatagramCodec, DropReason
from ironrail.peers.transport.keys import KeyRing

OLD, NEW = b"an old secret of the tier", b"a new secret of the tier"
KEYS = KeyRing(1, {1: OLD})
OpenedMessages = list[tuple[Topic, Received]]


def counted_random_bytes(seed: str) -> Callable[[int], bytes]:
    """Return a source of bytes that depend on the seed and the number of calls."""
    calls = 0

    def draw(count: int) -> bytes:
        nonlocal calls
        calls += 1
        return sha256(f"{seed} {calls}".encode()).digest()[:count]

    return draw


def make_codec(
    own_index: int, incarnation: int = 0, num_routers: int = 3, keys: KeyRing = KEYS
) -> DatagramCodec:
    """Return a codec; the default incarnation is 1000 plus the index."""
    incarnation = incarnation or 1000 + own_index
    return DatagramCodec(
        own_index, incarnation, keys, num_routers, counted_random_bytes(f"{own_index} {incarnation}")
    )


def deliver_handshakes(now: float, sender: DatagramCodec, receiver: DatagramCodec) -> list[bytes]:
    """Deliver the sender's pending handshake messages; return the datagrams."""
    datagrams = [d for outgoing in sender.take_outgoing(now) for _, d in sender.seal(outgoing)]
    for datagram in datagrams:
        assert receiver.open(now, sender.own_index, datagram) == []
    return datagrams


def complete_handshake(now: float, first: DatagramCodec, second: DatagramCodec) -> list[bytes]:
    """Let each prove its incarnation to the other; return the datagrams."""
    first.start_handshake(now, second.own_index)
    passed = []
    while datagrams := deliver_handshakes(now, first, second) + deliver_handshakes(now, second, first):
        passed += datagrams
    assert (first.proven_incarnation(second.own_index), second.proven_incarnation(first.own_index)) == (
        second.incarnation,
        first.incarnation,
    )
    return passed


def connected_pair() -> tuple[DatagramCodec, DatagramCodec]:
    """Return the codecs of routers 0 and 1, which have proven their incarnations to each other."""
    first, second = make_codec(0), make_codec(1)
    complete_handshake(0.0, first, second)
    return first, second


def seal_body(sender: DatagramCodec, body: bytes, to: int = 1, topic: Topic = Topic.CONSENSUS) -> list[bytes]:
    """Return the datagrams of a message with this body."""
    return [datagram for _, datagram in sender.seal(Outgoing(to, topic, body))]


def open_bodies(now: float, receiver: DatagramCodec, sender: int, *datagrams: bytes) -> list[bytes]:
    """Open the datagrams; return the bodies received."""
    return [received.body for datagram in datagrams for _, received in receiver.open(now, sender, datagram)]


def drop_reason(
    receiver: DatagramCodec, datagram: bytes, source: int | None = 0, now: float = 0.0
) -> DropReason:
    """Open a datagram that must be dropped; return the reason."""
    before = receiver.drop_counts()
    assert receiver.open(now, source, datagram) == []
    return next(reason for reason, count in receiver.drop_counts().items() if count > before[reason])
