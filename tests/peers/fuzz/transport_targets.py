"""Fuzzes the datagram codec and the send queue.

Attackers have the key or not, replay recorded datagrams, and claim other incarnations.
"""

from __future__ import annotations

import random

from ironrail.peers.messages import ALL_PEERS, MAX_DATAGRAM_BYTES, Outgoing, Priority, Topic
from ironrail.peers.transport import datagram_format
from ironrail.peers.transport.datagram_codec import MAX_HANDSHAKES_PER_SECOND, DatagramCodec
from ironrail.peers.transport.fragmentation import MAX_MEMORY_BYTES
from ironrail.peers.transport.keys import BROADCAST_RECEIVER, KeyRing
from ironrail.peers.transport.send_queue import (
    DEFAULT_BURST_BYTES,
    MAX_QUEUED_BYTES,
    MAX_QUEUED_MESSAGES,
    SendQueue,
)
from tests.peers.fuzz.harness import MIN_TIMER_SECONDS, FuzzTarget, must
from tests.peers.fuzz.mutations import mutate

KEYS, WRONG = KeyRing(1, {1: b"a secret of the tier"}), KeyRing(1, {1: b"a secret of nobody's"})
NUM_ROUTERS, ATTACKER = 6, 5
TOPICS = [topic for topic in Topic if topic is not Topic.TRANSPORT]


class CodecTarget(FuzzTarget):
    """Router 0 is attacked; 1 to 3 are honest, 5 has the key and sends anything from its own address."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.now = rng.choice((0.0, 1e6))
        self.began, self.handshakes = self.now, 0
        self.codecs = {index: self.make_codec(index) for index in (0, 1, 2, 3, ATTACKER)}
        self.sent: dict[tuple[int, int], set[bytes]] = {}  # honest bodies by sender and incarnation
        self.received: set[tuple[int, int, bytes]] = set()
        self.recorded: list[tuple[int, bytes]] = []
        self.count = 0

    def make_codec(self, index: int) -> DatagramCodec:
        draw = random.Random(self.rng.random()).randbytes
        return DatagramCodec(index, self.rng.randrange(1, 2**48), KEYS, NUM_ROUTERS, draw)

    def deliver(self, source: int | None, datagram: bytes) -> None:
        """Pass a datagram to the router under attack."""
        target = self.codecs[0]
        self.bytes_received += len(datagram)
        for topic, received in self.timed(target.open, self.now, source, datagram):
            must(topic in TOPICS and received.sender == source, "received in another's name")
            if received.sender != ATTACKER:
                process = received.sender, received.incarnation
                must(received.body in self.sent.get(process, ()), "received what was not sent")
                must((*process, received.body) not in self.received, "received twice")
                self.received.add((*process, received.body))
        self.answer_handshakes()

    def answer_handshakes(self) -> None:
        target = self.codecs[0]
        for outgoing in target.take_outgoing(self.now):
            self.handshakes += 1
            for to, datagram in target.seal(outgoing):
                self.bytes_sent += len(datagram)
                if to in self.codecs and self.rng.random() < 0.8:
                    self.codecs[to].open(self.now, 0, datagram)
        must(target.next_timer_at() > self.now, "a timer that is always due")
        must(
            self.handshakes <= MAX_HANDSHAKES_PER_SECOND * (self.now - self.began) + 26,
            "handshakes without end",
        )

    def step(self) -> None:  # noqa: PLR0912 - a case for each kind of input
        rng, index = self.rng, self.rng.randrange(1, 4)
        match rng.randrange(12):
            case 0 | 1 | 2:
                self.count += 1
                size = rng.choice((0, 9, 200, 233, 234, 700, datagram_format.MAX_BODY_BYTES))
                body = b"%d " % self.count + rng.randbytes(size)
                sender = self.codecs[index]
                self.sent.setdefault((index, sender.incarnation), set()).add(
                    body[: datagram_format.MAX_BODY_BYTES]
                )
                outgoing = Outgoing(
                    rng.choice((0, 0, ALL_PEERS)), rng.choice(TOPICS), body[: datagram_format.MAX_BODY_BYTES]
                )
                sealed = [(index, datagram) for _, datagram in sender.seal(outgoing)]
                self.recorded = [*self.recorded[-200:], *sealed]
                for source, datagram in sealed if rng.random() < 0.8 else rng.sample(sealed, len(sealed)):
                    if rng.random() < 0.95:
                        self.deliver(source, datagram)
            case 3:
                sender = self.codecs[index]
                sender.start_handshake(self.now, 0)
                for outgoing in sender.take_outgoing(self.now):
                    for _, datagram in sender.seal(outgoing):
                        self.recorded.append((index, datagram))
                        self.deliver(index, datagram)
            case 4 | 5 if self.recorded:
                source, datagram = rng.choice(self.recorded)
                self.deliver(rng.choice((source, source, None, 0, 4, ATTACKER, 6, -1)), datagram)
            case 6 | 7 if self.recorded:
                source, datagram = rng.choice(self.recorded)
                others = [datagram for _, datagram in self.recorded]
                mutated = mutate(rng, datagram, others)
                if mutated not in others:
                    self.deliver(source, mutated)
            case 8:
                self.deliver(rng.choice((index, ATTACKER)), self.make_datagram(WRONG, index))
            case 9:
                self.deliver(ATTACKER, self.make_datagram(KEYS, ATTACKER))
            case 10:
                self.now += rng.choice((0.0, 0.04, 1.0, 61.0, 1e6))
                self.answer_handshakes()
            case 11 if rng.random() < 0.2:
                self.codecs[index] = self.make_codec(index)
            case _:
                self.deliver(index, rng.randbytes(rng.randrange(MAX_DATAGRAM_BYTES + 9)))

    def make_datagram(self, keys: KeyRing, sender: int) -> bytes:
        """Return a datagram with a random header and a MAC by these keys."""
        rng = self.rng
        incarnation = rng.choice((self.codecs[sender].incarnation, 1, 2**48 - 1, rng.randrange(2**48)))
        sequence = rng.choice((0, 1, 2**40 - 1, rng.randrange(2**40), self.codecs[sender]._sequence))
        to_all, is_fragment = rng.random() < 0.3, rng.random() < 0.5
        header = datagram_format.encode_header(
            to_all, is_fragment, rng.randrange(8), 1, sender, incarnation, sequence
        )
        body = rng.choice((bytes([rng.randrange(18), rng.randrange(18)]), bytes([rng.randrange(5)])))
        data = header + body + rng.randbytes(rng.choice((0, 1, 8, 16, 230)))
        return data + keys.mac(BROADCAST_RECEIVER if to_all else 0, data)

    def end(self) -> None:
        reassembly, target = self.codecs[0]._reassembly, self.codecs[0]
        must(
            0 <= reassembly.memory_bytes <= MAX_MEMORY_BYTES and len(reassembly._bodies) <= 2 * NUM_ROUTERS,
            "bodies without end",
        )
        must(
            len(target._senders) <= NUM_ROUTERS and len(target._handshakes._pending) <= NUM_ROUTERS,
            "senders without end",
        )
        must(
            all(
                len(s.replaced_incarnations) <= 4 and s.seen_mask < 1 << 512 for s in target._senders.values()
            ),
            "replaced incarnations without end",
        )
        target.take_outgoing(self.now + 5.0)
        must(not reassembly._bodies and reassembly.memory_bytes == 0, "an incomplete body that never expires")


class SendQueueTarget(FuzzTarget):
    """Any messages at any time: the rate limit holds, and all queued messages are sent in the end."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.now = rng.choice((0.0, 1e6, 1e8))
        self.num_peers, self.began = rng.choice((1, 45, 999)), self.now
        codec = DatagramCodec(0, 7, KEYS, self.num_peers + 1, rng.randbytes)
        self.queue = SendQueue(codec.seal, self.num_peers, now=self.now)

    def step(self) -> None:
        rng = self.rng
        if rng.random() < 0.7:
            size = rng.choice(
                (0, 50, 200, 234, datagram_format.MAX_BODY_BYTES, datagram_format.MAX_BODY_BYTES + 1)
            )
            to = rng.choice((ALL_PEERS, 1, self.num_peers, self.num_peers + 1, 0, -7))
            outgoing = Outgoing(to, rng.choice(TOPICS), rng.randbytes(size), rng.choice(list(Priority)))
            self.queue.enqueue(self.now, outgoing)
        else:
            self.now += rng.choice((0.0, 1e-9, 0.002, 1.0, 500.0))
        self.take_sendable()
        must(
            self.queue._queued_bytes <= MAX_QUEUED_BYTES
            and self.queue._queued_messages <= MAX_QUEUED_MESSAGES,
            "queued without end",
        )

    def take_sendable(self) -> int:
        datagrams = self.timed(self.queue.take_sendable, self.now)
        self.bytes_sent += sum(
            len(datagram) * (self.num_peers if to == ALL_PEERS else 1) for to, datagram in datagrams
        )
        largest_cost = 3696 + 16 * 25
        limit = DEFAULT_BURST_BYTES + 2000 * (self.now - self.began) + largest_cost * self.num_peers
        must(self.bytes_sent <= limit + 1, f"exceeds the rate limit = {self.bytes_sent}")
        return len(datagrams)

    def end(self) -> None:
        idle_timers = 0
        while (at := self.queue.next_timer_at()) < float("inf"):
            must(at >= self.now - MIN_TIMER_SECONDS, "a timer in the past")
            self.now, before = max(at, self.now), self.queue._queued_messages
            self.take_sendable()
            idle_timers = 0 if self.queue._queued_messages < before else idle_timers + 1
            # because of rounding; the driver waits at least as long
            self.now += MIN_TIMER_SECONDS if idle_timers else 0.0
            must(idle_timers < 2, "a timer that sends nothing")
        must(
            not self.queue._queued_messages and not self.queue._queued_bytes, "counts messages that are gone"
        )
