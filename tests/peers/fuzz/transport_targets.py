"""The wire and the outbox: peers that have the key and lie, others that have not, recordings, other lives."""

from __future__ import annotations

import random

from ironrail.peers.messages import ALL_PEERS, MAX_DATAGRAM_BYTES, Outgoing, Priority, Topic
from ironrail.peers.transport import datagram_format
from ironrail.peers.transport.keys import TO_ALL, Keys
from ironrail.peers.transport.send_queue import BURST, MOST_SAYS, MOST_WAITING, Outbox
from ironrail.peers.transport.fragmentation import MOST_IN_ALL
from ironrail.peers.transport.datagram_codec import MEETINGS, Wire
from tests.peers.fuzz.harness import LEAST_WAIT, Attack, must
from tests.peers.fuzz.mutations import spoil

KEYS, WRONG = Keys(1, {1: b"a secret of the tier"}), Keys(1, {1: b"a secret of nobody's"})
ROUTERS, LIAR = 6, 5
ROOMS = [topic for topic in Topic if topic is not Topic.TRANSPORT]


class Wires(Attack):
    """Router 0 is under attack; 1 to 3 are honest, 5 has the key and lies from its own address."""

    def __init__(self, draws: random.Random) -> None:
        super().__init__(draws)
        self.now = draws.choice((0.0, 1e6))
        self.began, self.met = self.now, 0
        self.lives = {me: self.wire(me) for me in (0, 1, 2, 3, LIAR)}
        self.sent: dict[tuple[int, int], set[bytes]] = {}  # honest bodies by sender and start
        self.got: set[tuple[int, int, bytes]] = set()
        self.recorded: list[tuple[int, bytes]] = []
        self.count = 0

    def wire(self, me: int) -> Wire:
        draw = random.Random(self.draws.random()).randbytes
        return Wire(me, self.draws.randrange(1, 2**48), KEYS, ROUTERS, draw)

    def take(self, source: int | None, datagram: bytes) -> None:
        """Into the one under attack."""
        target = self.lives[0]
        self.heard += len(datagram)
        for topic, heard in self.timed(target.open, self.now, source, datagram):
            must(topic in ROOMS and heard.sender == source, "heard of who did not say it")
            if heard.sender != LIAR:
                life = heard.sender, heard.incarnation
                must(heard.body in self.sent.get(life, ()), "heard what was not said")
                must((*life, heard.body) not in self.got, "heard twice")
                self.got.add((*life, heard.body))
        self.answer()

    def answer(self) -> None:
        target = self.lives[0]
        for say in target.say(self.now):
            self.met += 1
            for to, datagram in target.seal(say):
                self.said += len(datagram)
                if to in self.lives and self.draws.random() < 0.8:
                    self.lives[to].open(self.now, 0, datagram)
        must(target.wake_at() > self.now, "wants to be woken at once for good")
        must(self.met <= MEETINGS * (self.now - self.began) + 26, "meetings without end")

    def step(self) -> None:  # noqa: PLR0912 - a case for each thing that is done
        draws, me = self.draws, self.draws.randrange(1, 4)
        match draws.randrange(12):
            case 0 | 1 | 2:
                self.count += 1
                size = draws.choice((0, 9, 200, 233, 234, 700, datagram_format.MOST_BODY))
                body = b"%d " % self.count + draws.randbytes(size)
                sender = self.lives[me]
                self.sent.setdefault((me, sender.start), set()).add(body[: datagram_format.MOST_BODY])
                say = Outgoing(draws.choice((0, 0, ALL_PEERS)), draws.choice(ROOMS), body[: datagram_format.MOST_BODY])
                sealed = [(me, datagram) for _, datagram in sender.seal(say)]
                self.recorded = [*self.recorded[-200:], *sealed]
                for source, datagram in sealed if draws.random() < 0.8 else draws.sample(sealed, len(sealed)):
                    if draws.random() < 0.95:
                        self.take(source, datagram)
            case 3:
                sender = self.lives[me]
                sender.meet(self.now, 0)
                for say in sender.say(self.now):
                    for _, datagram in sender.seal(say):
                        self.recorded.append((me, datagram))
                        self.take(me, datagram)
            case 4 | 5 if self.recorded:
                source, datagram = draws.choice(self.recorded)
                self.take(draws.choice((source, source, None, 0, 4, LIAR, 6, -1)), datagram)
            case 6 | 7 if self.recorded:
                source, datagram = draws.choice(self.recorded)
                others = [datagram for _, datagram in self.recorded]
                spoilt = spoil(draws, datagram, others)
                if spoilt not in others:
                    self.take(source, spoilt)
            case 8:
                self.take(draws.choice((me, LIAR)), self.made(WRONG, me))
            case 9:
                self.take(LIAR, self.made(KEYS, LIAR))
            case 10:
                self.now += draws.choice((0.0, 0.04, 1.0, 61.0, 1e6))
                self.answer()
            case 11 if draws.random() < 0.2:
                self.lives[me] = self.wire(me)
            case _:
                self.take(me, draws.randbytes(draws.randrange(MAX_DATAGRAM_BYTES + 9)))

    def made(self, keys: Keys, sender: int) -> bytes:
        """A datagram with any head, and a MAC by these keys."""
        draws = self.draws
        start = draws.choice((self.lives[sender].start, 1, 2**48 - 1, draws.randrange(2**48)))
        sequence = draws.choice((0, 1, 2**40 - 1, draws.randrange(2**40), self.lives[sender]._sequence))
        to_all, piece = draws.random() < 0.3, draws.random() < 0.5
        head = datagram_format.write_head(to_all, piece, draws.randrange(8), 1, sender, start, sequence)
        body = draws.choice((bytes([draws.randrange(18), draws.randrange(18)]), bytes([draws.randrange(5)])))
        data = head + body + draws.randbytes(draws.choice((0, 1, 8, 16, 230)))
        return data + keys.mac(TO_ALL if to_all else 0, data)

    def end(self) -> None:
        pieces, target = self.lives[0]._pieces, self.lives[0]
        must(0 <= pieces.cost <= MOST_IN_ALL and len(pieces._bodies) <= 2 * ROUTERS, "bodies without end")
        must(len(target._senders) <= ROUTERS and len(target._meetings._due) <= ROUTERS, "senders without end")
        must(all(len(s.replaced) <= 4 and s.seen < 1 << 512 for s in target._senders.values()), "lives")
        target.say(self.now + 5.0)
        must(not pieces._bodies and pieces.cost == 0, "a body that is never forgotten")


class Outboxes(Attack):
    """Any says, at any time: the pace holds, and all that waits goes in the end."""

    def __init__(self, draws: random.Random) -> None:
        super().__init__(draws)
        self.now = draws.choice((0.0, 1e6, 1e8))
        self.others, self.began = draws.choice((1, 45, 999)), self.now
        wire = Wire(0, 7, KEYS, self.others + 1, draws.randbytes)
        self.box = Outbox(wire.seal, self.others, now=self.now)

    def step(self) -> None:
        draws = self.draws
        if draws.random() < 0.7:
            size = draws.choice((0, 50, 200, 234, datagram_format.MOST_BODY, datagram_format.MOST_BODY + 1))
            to = draws.choice((ALL_PEERS, 1, self.others, self.others + 1, 0, -7))
            say = Outgoing(to, draws.choice(ROOMS), draws.randbytes(size), draws.choice(list(Priority)))
            self.box.put(self.now, say)
        else:
            self.now += draws.choice((0.0, 1e-9, 0.002, 1.0, 500.0))
        self.take()
        must(self.box._bytes <= MOST_WAITING and self.box._says <= MOST_SAYS, "waits without end")

    def take(self) -> int:
        sends = self.timed(self.box.take, self.now)
        self.said += sum(len(datagram) * (self.others if to == ALL_PEERS else 1) for to, datagram in sends)
        dear = 3696 + 16 * 25
        most = BURST + 2000 * (self.now - self.began) + dear * self.others
        must(self.said <= most + 1, f"more than the pace = {self.said}")
        return len(sends)

    def end(self) -> None:
        vain = 0
        while (at := self.box.wake_at()) < float("inf"):
            must(at >= self.now - LEAST_WAIT, "woken in the past")
            self.now, before = max(at, self.now), self.box._says
            self.take()
            vain = 0 if self.box._says < before else vain + 1
            self.now += LEAST_WAIT if vain else 0.0  # of rounding: so long the driver waits at the least
            must(vain < 2, "wakes in vain")
        must(not self.box._says and not self.box._bytes, "counts what is gone")
