"""Round trips by what is said anyway: each message for the map names the latest one from its receiver. Pure.

As in NTP (RFC 5905), the time for which the other held it is taken off, so that no clock is compared with
another's. A message says nothing of its own of this: what was heard and when goes along as it is sealed.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import replace

from ironrail.peers.messages import Outgoing, Received, Topic
from ironrail.peers.zone_latency.protocol import LatencyRoom

UNIT = 50e-6  # seconds: half of what a datagram takes within a hall
FIELD = 3  # bytes: of these units 14 minutes
TRAILER = 3 * FIELD  # the message's own number, the one that it answers, and how long that was held
MOST_HOLD = 5.0  # seconds: held longer, half of the way is of a link as it was before
ANSWERED_WITHIN = 0.5  # seconds: messages that came since then are worth an answer of their own
MOST_SENT = 32  # numbers kept of each router: two routers alone send 16 a second to each other
_RANGE = 1 << 8 * FIELD


class Echoing:
    """The room of the map, with round trips measured by its own messages."""

    topic = Topic.ZONE_LATENCY

    def __init__(self, room: LatencyRoom, hall_of: Sequence[int]) -> None:
        self.map, self._hall_of = room, hall_of
        room.prefer = self._answer
        self._number = 0
        self._sent: dict[int, OrderedDict[int, float]] = {}  # to each router, by number: when
        self._heard: OrderedDict[int, tuple[int, float]] = OrderedDict()  # not answered: its number, and when
        self._answered_at: dict[int, float] = {}  # by hall
        self._turn = False
        self.trips = 0  # round trips that were measured

    def on_message(self, now: float, heard: Received) -> None:
        if len(heard.body) < TRAILER:
            self.map.unusable += 1
            return
        body, trailer = heard.body[:-TRAILER], heard.body[-TRAILER:]
        number, answered, held = (
            int.from_bytes(trailer[at : at + FIELD], "big") for at in range(0, TRAILER, FIELD)
        )
        if number:
            self._heard[heard.sender] = number, now
            self._heard.move_to_end(heard.sender)
        sent = self._sent.get(heard.sender)
        sent_at = sent.pop(answered, None) if sent is not None else None
        if sent_at is not None:
            self.trips += 1
            self.map.observe(now, self._hall_of[heard.sender], max(UNIT, now - sent_at - held * UNIT))
        self.map.on_message(now, replace(heard, body=body))

    def on_timer(self, now: float) -> None:
        self.map.on_timer(now)

    def take_outgoing(self) -> list[Outgoing]:
        return [replace(say, body=say.body + bytes(TRAILER)) for say in self.map.take_outgoing()]

    def next_timer_at(self) -> float:
        return self.map.next_timer_at()

    def with_timestamp(self, now: float, say: Outgoing) -> Outgoing:
        """The message as it goes: asked as it is sealed, since it may have waited."""
        self._number = self._number % (_RANGE - 1) + 1
        sent = self._sent.setdefault(say.to, OrderedDict())
        sent[self._number] = now
        if len(sent) > MOST_SENT:
            sent.popitem(last=False)
        answered, at = self._heard.pop(say.to, (0, now))
        if now - at > MOST_HOLD:
            answered, at = 0, now
        if answered:
            self._answered_at[self._hall_of[say.to]] = now
        fields = (self._number, answered, round((now - at) / UNIT))
        return replace(
            say, body=say.body[:-TRAILER] + b"".join(field.to_bytes(FIELD, "big") for field in fields)
        )

    def _answer(self, now: float) -> int | None:
        """Every second message answers somebody, of the hall that was answered longest ago.

        What was held for long tells little, and in a large tier a drawn router is hardly ever one that has
        just spoken.
        """
        self._turn = not self._turn
        if not self._turn:
            return None
        lately = []
        for sender, (_, at) in reversed(self._heard.items()):
            if now - at > ANSWERED_WITHIN:
                break
            lately.append(sender)
        return min(lately, key=lambda r: self._answered_at.get(self._hall_of[r], 0.0), default=None)
