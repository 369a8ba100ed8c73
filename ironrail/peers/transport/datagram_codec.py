"""Opens and seals datagrams: who sent them, in which life, never twice, whole, and unforged.

Every judgement that costs little comes before the MAC, whose checks are bounded for each source. Nothing of a
datagram is believed before its MAC holds. `docs/peers/wire.md` has the whole argument.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

from ironrail.peers.messages import ALL_PEERS, MAX_DATAGRAM_BYTES, MAX_ROUTERS, Outgoing, Received, Topic
from ironrail.peers.transport import datagram_format
from ironrail.peers.transport.errors import StartError, TierError, UnsendableError
from ironrail.peers.transport.keys import TO_ALL, Keys
from ironrail.peers.transport.datagram_format import HEAD_BYTES, LEAST_DATAGRAM, MAC_BYTES, Head
from ironrail.peers.transport.handshake import Meeting, Meetings, decode
from ironrail.peers.transport.fragmentation import Reassembly, cut
from ironrail.peers.transport.sender_state import Allowance, Sender

FAILS = 2000  # failed MACs a second that are paid for in all, shared out among sources: 1% of a core
FAILS_AT_ONCE = 8  # of one source: a change of keys or some damaged datagrams shut nobody out
MEETINGS = 25  # questions and answers a second, 1000 B/s at most: half of the default pace
TOPICS = frozenset(int(topic) for topic in Topic)

Opened = list[tuple[Topic, Received]]


class Reason(IntEnum):
    """Why a datagram was dropped, in the order in which it is looked at."""

    FOREIGN = 0  # from no router's address
    LENGTH = 1
    VERSION = 2
    KEY = 3  # of an id that is not known here
    TOPIC = 4  # none that is known, or not one to be sent so
    SENDER = 5  # not who its address says, or oneself
    REPEATED = 6  # seen, or too old to tell
    REPLACED = 7  # of an earlier life
    UNASKED = 8  # an answer that nothing asked for, or asked too long ago
    UNPROVEN = 9  # of a life that has not answered yet
    FLOOD = 10  # too much was wrong from there: not checked
    MAC = 11  # forged or damaged
    MALFORMED = 12  # of one who has the key, and can't be read
    LATE = 13  # a body whose last piece did not come in time
    CROWDED = 14  # an unfinished body that gave its room to newer ones


class Wire:
    """One router's end of the wire."""

    def __init__(
        self,
        me: int,
        start: int,
        keys: Keys,
        routers: int,
        draw: Callable[[int], bytes],
        meetings: float = MEETINGS,
    ) -> None:
        """`start`: of this process, random; `draw`: so many random bytes, for nonces.

        Raises TierError, StartError.
        """
        if not 2 <= routers <= MAX_ROUTERS:
            raise TierError(f"{routers} routers, where 2 to {MAX_ROUTERS} can be", "peers")
        if not 0 <= me < routers:
            raise TierError(f"this is router {me}, and there are {routers}", "peers")
        if not 0 < start < datagram_format.MOST_STARTS:
            raise StartError(f"{start} is no start of a process", "peers")
        self.me, self.start, self.routers = me, start, routers
        self._keys = keys
        self._sequence = 0
        self._senders: dict[int, Sender] = {}
        self._pieces = Reassembly()
        self._meetings = Meetings(draw, meetings)
        self._interval = 2 * (routers - 1) / FAILS  # two allowances for each source
        self._dropped = [0] * len(Reason)
        self.opened = 0  # datagrams that were taken

    def seal(self, say: Outgoing) -> list[tuple[int, bytes]]:
        """To whom (a number or ALL) and what; to be sent now: it grows old. Raises UnsendableError."""
        to_all = say.to == ALL_PEERS
        if not to_all and (say.to == self.me or not 0 <= say.to < self.routers):
            raise UnsendableError(f"topic {say.topic}: router {say.to} is none to send to")
        if len(say.body) > datagram_format.MOST_BODY:
            raise UnsendableError(f"topic {say.topic}: a body of {len(say.body)} bytes is too long")
        keys, to, parts = self._keys, TO_ALL if to_all else say.to, cut(say.body)
        sealed = []
        for part in parts:
            head = datagram_format.write_head(
                to_all, len(parts) > 1, say.topic, keys.sending, self.me, self.start, self._sequence
            )
            self._sequence += 1
            data = head + part
            sealed.append((say.to, data + keys.mac(to, data)))
        return sealed

    def open(self, now: float, source: int | None, datagram: bytes) -> Opened:
        """What a datagram brings. `source`: whose address it came from, None for no router's."""
        got = self._judge(now, source, datagram)
        if isinstance(got, Reason):
            self._dropped[got] += 1
            return []
        self.opened += 1
        return got

    def say(self, now: float) -> list[Outgoing]:
        """Questions and answers of the wire's own that are to go; asked after `open`, and at `wake_at`."""
        self._pieces.forget(now)
        return self._meetings.say(now, self._sender)

    def wake_at(self) -> float:
        """When `say` is to be asked again at the latest."""
        return min(self._meetings.wake_at(), self._pieces.wake_at())

    def meet(self, now: float, number: int) -> None:
        """Ask a router for its life before anything of it is needed."""
        if number != self.me and 0 <= number < self.routers:
            self._meetings.ask(number, self._sender(number), now)

    def knows(self, number: int) -> int | None:
        """The start of the life that this router has proven."""
        sender = self._senders.get(number)
        return sender.start if sender else None

    def change_keys(self, keys: Keys) -> None:
        """From now on. Lives that were proven stay so."""
        self._keys = keys

    def dropped(self) -> dict[Reason, int]:
        """Datagrams, and for LATE and CROWDED unfinished bodies, by why they were dropped."""
        counts = dict(zip(Reason, self._dropped, strict=True))
        return {**counts, Reason.LATE: self._pieces.late, Reason.CROWDED: self._pieces.crowded}

    def _sender(self, number: int) -> Sender:
        sender = self._senders.get(number)
        if sender is None:
            sender = self._senders[number] = Sender()
        return sender

    def _judge(self, now: float, source: int | None, datagram: bytes) -> Opened | Reason:
        if source is None:
            return Reason.FOREIGN
        if not LEAST_DATAGRAM <= len(datagram) <= MAX_DATAGRAM_BYTES:
            return Reason.LENGTH
        if datagram[0] >> 5 != datagram_format.VERSION:
            return Reason.VERSION
        if datagram[1] not in self._keys:
            return Reason.KEY
        head = datagram_format.read_head(datagram)
        if head.topic not in TOPICS or (head.topic == Topic.TRANSPORT and (head.to_all or head.piece)):
            return Reason.TOPIC
        if head.sender != source or source == self.me or not 0 <= source < self.routers:
            return Reason.SENDER
        sender = self._sender(source)
        if head.start == sender.start:
            return self._from_known(now, sender, head, datagram)
        return self._from_strange(now, sender, head, datagram)

    def _from_known(self, now: float, sender: Sender, head: Head, datagram: bytes) -> Opened | Reason:
        if not sender.is_fresh(head.sequence):
            return Reason.REPEATED
        sender.known = sender.known or Allowance()
        if wrong := self._check(now, sender.known, head, datagram):
            return wrong
        sender.note(head.sequence)
        topic, body = Topic(head.topic), datagram[HEAD_BYTES:-MAC_BYTES]
        if topic is Topic.TRANSPORT:
            if (met := decode(body)) is None:
                return Reason.MALFORMED
            return self._met(now, sender, head, met)
        if head.piece:
            try:
                whole = self._pieces.add(now, head.sender, head.sequence, topic, body)
            except ValueError:
                return Reason.MALFORMED
            if whole is None:
                return []
            body = whole
        return [(topic, Received(head.sender, head.start, body))]

    def _from_strange(self, now: float, sender: Sender, head: Head, datagram: bytes) -> Opened | Reason:
        """Of a life not proven: only questions and answers count, the rest hints that it may live."""
        if head.start in sender.replaced:
            return Reason.REPLACED
        met = decode(datagram[HEAD_BYTES:-MAC_BYTES]) if head.topic == Topic.TRANSPORT else None
        if head.topic == Topic.TRANSPORT and met is None:
            return Reason.MALFORMED
        proves = met is not None and sender.answers(met.answers, now)
        if met is None:
            if self._meetings.is_asked(head.sender, sender, now):
                return Reason.UNPROVEN
        elif not proves and not met.asks:
            return Reason.UNASKED
        elif not proves and self._meetings.is_answered(head.sender):
            return Reason.UNPROVEN
        # the nonce is known only to who can read the traffic, as the proven start is
        if proves:
            allowance = sender.known = sender.known or Allowance()
        else:
            allowance = sender.strange = sender.strange or Allowance()
        if wrong := self._check(now, allowance, head, datagram):
            if wrong is Reason.FLOOD and not proves:
                self._meetings.ask(head.sender, sender, now)  # a restarted router may be behind it
            return wrong
        if met is None:
            self._meetings.ask(head.sender, sender, now)
            return Reason.UNPROVEN
        if proves:
            self._pieces.forget_sender(head.sender)
            sender.believe(head.start, head.sequence)
        return self._met(now, sender, head, met)

    def _check(self, now: float, allowance: Allowance, head: Head, datagram: bytes) -> Reason | None:
        """Whether the MAC holds; failures are paid for by whose address it came from."""
        if not allowance.permits(now, self._interval, FAILS_AT_ONCE):
            return Reason.FLOOD
        if self._keys.holds(head.key, TO_ALL if head.to_all else self.me, datagram):
            return None
        allowance.take(now, self._interval)
        return Reason.MAC

    def _met(self, now: float, sender: Sender, head: Head, met: Meeting) -> Opened:
        if sender.answers(met.answers, now):
            sender.nonce = b""
        if met.asks:
            self._meetings.answer(head.sender, met.asks)
            if sender.start != head.start:
                self._meetings.ask(head.sender, sender, now)
        return []
