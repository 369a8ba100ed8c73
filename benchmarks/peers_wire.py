"""What the wire between routers costs: CPU of a datagram, bytes beside its body, memory of 1,000 senders.

    python benchmarks/peers_wire.py [--codec]

CPU: the least of five runs, in microseconds a datagram, of one core, without sockets. Figures that were taken
stand in `docs/peers/wire.md`. `--codec` compares the header's form with MessagePack's, of msgspec.
"""

from __future__ import annotations

import argparse
import importlib
import os
import timeit
import tracemalloc
from collections.abc import Callable
from functools import partial
from itertools import count
from struct import Struct

from ironrail.peers.messages import MAX_ROUTERS, Outgoing, Topic
from ironrail.peers.transport import datagram_format
from ironrail.peers.transport.keys import Keys
from ironrail.peers.transport.datagram_format import MOST_BODY, sealed_size
from ironrail.peers.transport.handshake import Meeting
from ironrail.peers.transport.datagram_codec import FAILS, Reason, Wire

KEYS, OTHERS = Keys(1, {1: bytes(32)}), Keys(1, {1: b"x" * 32})
SIZES = (20, 100, 233)
TIMES = 20_000


def wire(me: int, keys: Keys = KEYS, routers: int = MAX_ROUTERS, start: int = 0) -> Wire:
    return Wire(me, start or 2**47 + 5000 + me, keys, routers, os.urandom)


def meet(now: float, first: Wire, second: Wire) -> None:
    first.meet(now, second.me)
    for sender, receiver in ((first, second), (second, first), (first, second)):
        for say in sender.say(now):
            for _, datagram in sender.seal(say):
                receiver.open(now, sender.me, datagram)


def sealed(sender: Wire, body: bytes, topic: Topic = Topic.CONSENSUS) -> bytes:
    return sender.seal(Outgoing(1, topic, body))[0][1]


def each(done: Callable[[], object]) -> float:
    return min(timeit.repeat(done, number=TIMES, repeat=5)) / TIMES * 1e6


def show(what: str, cost: float, why: str = "") -> None:
    print(f"{what:48} {cost:6.2f} us  {why}")


def opened(
    what: str, datagrams: list[bytes], receiver: Callable[[], Wire], pace: float, why: Reason | None
) -> None:
    """`pace`: seconds between two of them."""
    best = float("inf")
    for _ in range(5):
        wire_, now = receiver(), 1000.0
        before = wire_.opened if why is None else wire_.dropped()[why]

        def run(wire_: Wire = wire_, now: float = now) -> None:
            for i, datagram in enumerate(datagrams):
                wire_.open(now + i * pace, 0, datagram)

        best = min(best, timeit.timeit(run, number=1))
        share = ((wire_.opened if why is None else wire_.dropped()[why]) - before) / len(datagrams)
    show(what, best / len(datagrams) * 1e6, f"{share:.1%} {'taken' if why is None else why.name}")


def cpu() -> None:
    sender = wire(0)
    for size in SIZES:
        say = Outgoing(1, Topic.CONSENSUS, bytes(size))
        show(f"sealed, body of {size}", each(partial(sender.seal, say)))

    times = count(1)

    def receiver() -> Wire:
        life = next(times)
        receiver = wire(1, start=2**46 + life)
        meet(float(life), sender, receiver)
        assert receiver.knows(0)
        return receiver

    def forged(start: int, topic: Topic, body: bytes) -> list[bytes]:
        forger = wire(0, OTHERS, start=start)
        return [sealed(forger, body, topic) for _ in range(TIMES + 50)][50:]

    for size in SIZES:
        known = receiver()
        good = [sealed(sender, bytes(size)) for _ in range(TIMES)]
        opened(f"opened, body of {size}", good, receiver_of(known), 0.0, None)
    known = receiver()
    replayed = sealed(sender, bytes(100))
    known.open(1.0, 0, replayed)
    opened("replayed", [replayed] * TIMES, lambda: known, 0.0, Reason.REPEATED)
    ahead = forged(sender.start, Topic.CONSENSUS, bytes(100))
    fresh = [
        datagram_format.write_head(False, False, 1, 1, 0, sender.start, 2**30 + i) + d[15:]
        for i, d in enumerate(ahead)
    ]
    opened("forged, life known, within the allowance", fresh, receiver, 10.0, Reason.MAC)
    opened("forged, life known, a flood", fresh, receiver, 0.0, Reason.FLOOD)
    question = Meeting(asks=bytes(8)).encode()
    opened(
        "forged question, within the allowance",
        forged(9, Topic.TRANSPORT, question),
        receiver,
        10.0,
        Reason.MAC,
    )
    opened("forged question, a flood", forged(9, Topic.TRANSPORT, question), receiver, 0.0, Reason.FLOOD)
    opened(
        "forged, life unknown, a flood",
        forged(9, Topic.CONSENSUS, bytes(100)),
        receiver,
        0.0,
        Reason.UNPROVEN,
    )
    opened("of an unknown key", [b"\x21\x09" + bytes(98)] * TIMES, receiver, 0.0, Reason.KEY)
    opened("noise", [b"\xff" * 100] * TIMES, receiver, 0.0, Reason.VERSION)
    print(f"failed checks a second that are paid for: {FAILS} in all")


def receiver_of(known: Wire) -> Callable[[], Wire]:
    """One that has heard nothing yet of what was sealed, for each run."""

    def fresh() -> Wire:
        receiver = wire(1)
        state, old = receiver._sender(0), known._sender(0)
        state.start, state.top, state.seen = old.start, old.top, old.seen
        return receiver

    return fresh


def size() -> None:
    for body in (20, 100, datagram_format.ROOM, 300, 1000, MOST_BODY):
        pieces, extra = datagram_format.count_pieces(body), sealed_size(body) - body
        print(f"body of {body:5} bytes: {pieces:2} datagrams, {extra:4} bytes beside it ({extra / body:.0%})")


def memory() -> None:
    senders = [wire(me) for me in range(1, MAX_ROUTERS)]
    tracemalloc.start()
    receiver = wire(0)
    before, now = tracemalloc.get_traced_memory()[0], 0.0
    for sender in senders:
        now += 1.0
        meet(now, receiver, sender)
        datagrams = [d for _ in range(600) for _, d in sender.seal(Outgoing(0, Topic.CONSENSUS, b""))]
        for datagram in datagrams[::2]:
            receiver.open(now, sender.me, datagram)
    for sender in senders:
        for datagram in [d for _, d in sender.seal(Outgoing(0, Topic.CONSENSUS, bytes(MOST_BODY)))][:15]:
            receiver.open(now, sender.me, datagram)
        forged = wire(sender.me, OTHERS, start=7).seal(Outgoing(0, Topic.CONSENSUS, b""))[0][1]
        receiver.open(now, sender.me, forged)
    del senders, sender, datagrams, datagram, forged
    assert all(receiver.knows(number) for number in range(1, MAX_ROUTERS))
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(f"a receiver of {MAX_ROUTERS - 1} senders, windows in use, all in pieces: {held / 1e6:.2f} MB")


def codec() -> None:
    """The header alone, written and read: struct as it is, struct with round sizes, MessagePack."""
    fields = (False, False, 1, 1, 999, 2**47 + 12345, 2**21)
    head = datagram_format.write_head(*fields)
    show("struct, 15 bytes: write", each(partial(datagram_format.write_head, *fields)))
    show("struct, 15 bytes: read", each(partial(datagram_format.read_head, head)))
    plain = Struct(">BBHQQ")
    packed = plain.pack(1, 1, 999, 2**47, 2**21)
    show("struct >BBHQQ, 20 bytes: write", each(partial(plain.pack, 1, 1, 999, 2**47, 2**21)))
    show("struct >BBHQQ, 20 bytes: read", each(partial(plain.unpack, packed)))
    msgspec = importlib.import_module("msgspec")
    names = ("first", "key", "sender", "start", "sequence", "body", "mac")
    kinds = (int, int, int, int, int, bytes, bytes)
    kind = msgspec.defstruct("Datagram", zip(names, kinds, strict=True), array_like=True)
    encoder, decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(kind)
    datagram = kind(33, 1, 999, 2**47 + 12345, 2**21, bytes(100), bytes(8))
    data = encoder.encode(datagram)
    beside = f"MessagePack, {len(data) - 108} bytes"
    show(f"{beside}: write", each(partial(encoder.encode, datagram)))
    show(f"{beside}: read", each(partial(decoder.decode, data)))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--codec", action="store_true", help="compare the header's form with MessagePack's")
    asked = parser.parse_args()
    for part in (cpu, size, memory, *([codec] if asked.codec else [])):
        part()
