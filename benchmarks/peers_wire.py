"""Cost of the transport between routers: CPU per datagram, bytes beside the body, memory of 1,000 senders.

    python benchmarks/peers_wire.py [--codec]

CPU is the minimum of five runs, in microseconds of one core per datagram, without sockets. Results are in
`docs/peers/wire.md`. `--codec` compares the header's format with MessagePack, as msgspec encodes it.
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
from ironrail.peers.transport.datagram_codec import MAX_FAILED_MACS_PER_SECOND, DatagramCodec, DropReason
from ironrail.peers.transport.datagram_format import MAX_BODY_BYTES, sealed_size
from ironrail.peers.transport.handshake import HandshakeMessage
from ironrail.peers.transport.keys import KeyRing

KEYS, OTHERS = KeyRing(1, {1: bytes(32)}), KeyRing(1, {1: b"x" * 32})
SIZES = (20, 100, 233)
NUM_DATAGRAMS = 20_000


def make_codec(
    own_index: int, keys: KeyRing = KEYS, num_routers: int = MAX_ROUTERS, incarnation: int = 0
) -> DatagramCodec:
    return DatagramCodec(own_index, incarnation or 2**47 + 5000 + own_index, keys, num_routers, os.urandom)


def complete_handshake(now: float, first: DatagramCodec, second: DatagramCodec) -> None:
    first.start_handshake(now, second.own_index)
    for sender, receiver in ((first, second), (second, first), (first, second)):
        for outgoing in sender.take_outgoing(now):
            for _, datagram in sender.seal(outgoing):
                receiver.open(now, sender.own_index, datagram)


def sealed(sender: DatagramCodec, body: bytes, topic: Topic = Topic.CONSENSUS) -> bytes:
    return sender.seal(Outgoing(1, topic, body))[0][1]


def cpu_microseconds(call: Callable[[], object]) -> float:
    return min(timeit.repeat(call, number=NUM_DATAGRAMS, repeat=5)) / NUM_DATAGRAMS * 1e6


def show(what: str, cost: float, reason: str = "") -> None:
    print(f"{what:48} {cost:6.2f} us  {reason}")


def opened(
    what: str,
    datagrams: list[bytes],
    receiver: Callable[[], DatagramCodec],
    interval: float,
    reason: DropReason | None,
) -> None:
    """Print the CPU time of opening each datagram, `interval` seconds apart by the router's clock."""
    best = float("inf")
    for _ in range(5):
        receiver_codec, now = receiver(), 1000.0
        before = receiver_codec.opened if reason is None else receiver_codec.drop_counts()[reason]

        def run(receiver_codec: DatagramCodec = receiver_codec, now: float = now) -> None:
            for i, datagram in enumerate(datagrams):
                receiver_codec.open(now + i * interval, 0, datagram)

        best = min(best, timeit.timeit(run, number=1))
        share = (
            (receiver_codec.opened if reason is None else receiver_codec.drop_counts()[reason]) - before
        ) / len(datagrams)
    show(what, best / len(datagrams) * 1e6, f"{share:.1%} {'taken' if reason is None else reason.name}")


def cpu() -> None:
    sender = make_codec(0)
    for size in SIZES:
        outgoing = Outgoing(1, Topic.CONSENSUS, bytes(size))
        show(f"sealed, body of {size}", cpu_microseconds(partial(sender.seal, outgoing)))

    incarnations = count(1)

    def receiver() -> DatagramCodec:
        incarnation = next(incarnations)
        receiver = make_codec(1, incarnation=2**46 + incarnation)
        complete_handshake(float(incarnation), sender, receiver)
        assert receiver.proven_incarnation(0)
        return receiver

    def forged(incarnation: int, topic: Topic, body: bytes) -> list[bytes]:
        forger = make_codec(0, OTHERS, incarnation=incarnation)
        return [sealed(forger, body, topic) for _ in range(NUM_DATAGRAMS + 50)][50:]

    for size in SIZES:
        known = receiver()
        good = [sealed(sender, bytes(size)) for _ in range(NUM_DATAGRAMS)]
        opened(f"opened, body of {size}", good, receivers_like(known), 0.0, None)
    known = receiver()
    replayed = sealed(sender, bytes(100))
    known.open(1.0, 0, replayed)
    opened("replayed", [replayed] * NUM_DATAGRAMS, lambda: known, 0.0, DropReason.REPEATED)
    forged_datagrams = forged(sender.incarnation, Topic.CONSENSUS, bytes(100))
    fresh = [
        datagram_format.encode_header(False, False, 1, 1, 0, sender.incarnation, 2**30 + i) + d[15:]
        for i, d in enumerate(forged_datagrams)
    ]
    opened("forged, incarnation known, within the limit", fresh, receiver, 10.0, DropReason.MAC)
    opened("forged, incarnation known, a flood", fresh, receiver, 0.0, DropReason.FLOOD)
    challenge = HandshakeMessage(challenge=bytes(8)).encode()
    opened(
        "forged challenge, within the limit",
        forged(9, Topic.TRANSPORT, challenge),
        receiver,
        10.0,
        DropReason.MAC,
    )
    opened(
        "forged challenge, a flood", forged(9, Topic.TRANSPORT, challenge), receiver, 0.0, DropReason.FLOOD
    )
    opened(
        "forged, incarnation unknown, a flood",
        forged(9, Topic.CONSENSUS, bytes(100)),
        receiver,
        0.0,
        DropReason.UNPROVEN,
    )
    opened("of an unknown key id", [b"\x21\x09" + bytes(98)] * NUM_DATAGRAMS, receiver, 0.0, DropReason.KEY)
    opened("noise", [b"\xff" * 100] * NUM_DATAGRAMS, receiver, 0.0, DropReason.VERSION)
    print(f"failed MACs verified per second: {MAX_FAILED_MACS_PER_SECOND} in all")


def receivers_like(known: DatagramCodec) -> Callable[[], DatagramCodec]:
    """Return a factory of codecs in the state of `known` that have received nothing since."""

    def fresh() -> DatagramCodec:
        receiver = make_codec(1)
        state, known_state = receiver._sender(0), known._sender(0)
        state.incarnation, state.highest_sequence, state.seen_mask = (
            known_state.incarnation,
            known_state.highest_sequence,
            known_state.seen_mask,
        )
        return receiver

    return fresh


def size() -> None:
    for body in (20, 100, datagram_format.MAX_SINGLE_BODY_BYTES, 300, 1000, MAX_BODY_BYTES):
        fragments, overhead = datagram_format.count_fragments(body), sealed_size(body) - body
        print(
            f"body of {body:5} bytes: {fragments:2} datagrams,"
            f" {overhead:4} bytes of overhead ({overhead / body:.0%})"
        )


def memory() -> None:
    senders = [make_codec(index) for index in range(1, MAX_ROUTERS)]
    tracemalloc.start()
    receiver = make_codec(0)
    before, now = tracemalloc.get_traced_memory()[0], 0.0
    for sender in senders:
        now += 1.0
        complete_handshake(now, receiver, sender)
        datagrams = [d for _ in range(600) for _, d in sender.seal(Outgoing(0, Topic.CONSENSUS, b""))]
        for datagram in datagrams[::2]:
            receiver.open(now, sender.own_index, datagram)
    for sender in senders:
        for datagram in [d for _, d in sender.seal(Outgoing(0, Topic.CONSENSUS, bytes(MAX_BODY_BYTES)))][:15]:
            receiver.open(now, sender.own_index, datagram)
        forged = make_codec(sender.own_index, OTHERS, incarnation=7).seal(Outgoing(0, Topic.CONSENSUS, b""))[
            0
        ][1]
        receiver.open(now, sender.own_index, forged)
    del senders, sender, datagrams, datagram, forged
    assert all(receiver.proven_incarnation(index) for index in range(1, MAX_ROUTERS))
    allocated = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(
        f"a receiver of {MAX_ROUTERS - 1} senders, replay windows in use, all with incomplete bodies:"
        f" {allocated / 1e6:.2f} MB"
    )


def header_encodings() -> None:
    """Compare the header as it is with a struct of round sizes and with MessagePack."""
    fields = (False, False, 1, 1, 999, 2**47 + 12345, 2**21)
    header = datagram_format.encode_header(*fields)
    show("struct, 15 bytes: write", cpu_microseconds(partial(datagram_format.encode_header, *fields)))
    show("struct, 15 bytes: read", cpu_microseconds(partial(datagram_format.decode_header, header)))
    plain = Struct(">BBHQQ")
    packed = plain.pack(1, 1, 999, 2**47, 2**21)
    show("struct >BBHQQ, 20 bytes: write", cpu_microseconds(partial(plain.pack, 1, 1, 999, 2**47, 2**21)))
    show("struct >BBHQQ, 20 bytes: read", cpu_microseconds(partial(plain.unpack, packed)))
    msgspec = importlib.import_module("msgspec")
    names = ("first", "key", "sender", "start", "sequence", "body", "mac")
    kinds = (int, int, int, int, int, bytes, bytes)
    kind = msgspec.defstruct("Datagram", zip(names, kinds, strict=True), array_like=True)
    encoder, decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(kind)
    datagram = kind(33, 1, 999, 2**47 + 12345, 2**21, bytes(100), bytes(8))
    data = encoder.encode(datagram)
    label = f"MessagePack, {len(data) - 108} bytes"
    show(f"{label}: write", cpu_microseconds(partial(encoder.encode, datagram)))
    show(f"{label}: read", cpu_microseconds(partial(decoder.decode, data)))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--codec", action="store_true", help="compare the header's format with MessagePack")
    arguments = parser.parse_args()
    for part in (cpu, size, memory, *([header_encodings] if arguments.codec else [])):
        part()
