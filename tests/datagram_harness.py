"""Wires of one tier without a network: datagrams go by hand, and draws are counted, not random."""

from __future__ import annotations

from collections.abc import Callable
from hashlib import sha256

from ironrail.peers.messages import Outgoing, Received, Topic
from ironrail.peers.transport.keys import Keys
from ironrail.peers.transport.datagram_codec import Reason, Wire

OLD, NEW = b"an old secret of the tier", b"a new secret of the tier"
KEYS = Keys(1, {1: OLD})
Opened = list[tuple[Topic, Received]]


def draws(seed: str) -> Callable[[int], bytes]:
    """Bytes that nobody can foresee who doesn't know the seed."""
    drawn = 0

    def draw(count: int) -> bytes:
        nonlocal drawn
        drawn += 1
        return sha256(f"{seed} {drawn}".encode()).digest()[:count]

    return draw


def wire(me: int, start: int = 0, routers: int = 3, keys: Keys = KEYS) -> Wire:
    start = start or 1000 + me
    return Wire(me, start, keys, routers, draws(f"{me} {start}"))


def pass_on(now: float, sender: Wire, receiver: Wire) -> list[bytes]:
    """What the sender's wire itself has to say goes to the receiver. Returns the datagrams."""
    datagrams = [d for say in sender.say(now) for _, d in sender.seal(say)]
    for datagram in datagrams:
        assert receiver.open(now, sender.me, datagram) == []
    return datagrams


def meet(now: float, first: Wire, second: Wire) -> list[bytes]:
    """Each proves its life to the other. Returns the datagrams."""
    first.meet(now, second.me)
    passed = []
    while here := pass_on(now, first, second) + pass_on(now, second, first):
        passed += here
    assert (first.knows(second.me), second.knows(first.me)) == (second.start, first.start)
    return passed


def met() -> tuple[Wire, Wire]:
    """Routers 0 and 1, which know each other."""
    first, second = wire(0), wire(1)
    meet(0.0, first, second)
    return first, second


def datagrams(sender: Wire, body: bytes, to: int = 1, topic: Topic = Topic.CONSENSUS) -> list[bytes]:
    return [datagram for _, datagram in sender.seal(Outgoing(to, topic, body))]


def heard(now: float, receiver: Wire, sender: int, *datagrams: bytes) -> list[bytes]:
    """The bodies that come out."""
    return [got.body for datagram in datagrams for _, got in receiver.open(now, sender, datagram)]


def reason(receiver: Wire, datagram: bytes, source: int | None = 0, now: float = 0.0) -> Reason:
    """Why it is dropped: it has to be, for one reason."""
    before = receiver.dropped()
    assert receiver.open(now, source, datagram) == []
    return next(why for why, count in receiver.dropped().items() if count > before[why])
