"""Measures round trips with the messages that the zone latency protocol sends anyway.

Each message acknowledges the latest one from its receiver. As in NTP (RFC 5905), the time for
which the receiver held that message before it answered is subtracted, so that clocks of different
routers are not compared. The numbers and the hold time are filled in when the message is sealed.
Does no I/O and reads no clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import replace

from ironrail.peers.messages import Outgoing, Received, Topic
from ironrail.peers.zone_latency.protocol import ZoneLatencyProtocol

HOLD_UNIT_SECONDS = 50e-6  # half of what a datagram takes within a zone
FIELD_BYTES = 3  # 14 minutes of these units
TRAILER_BYTES = 3 * FIELD_BYTES  # own number, acknowledged number, and its hold time
MAX_HOLD_SECONDS = 5.0  # beyond it, half of the round trip is of an older state of the link
RECENT_MESSAGE_SECONDS = 0.5  # messages received within it are answered first
MAX_UNACKNOWLEDGED = 32  # sent to each router; two routers alone send 16 a second to each other
_FIELD_BOUND = 1 << 8 * FIELD_BYTES


class RoundTripProtocol:
    """The zone latency protocol, with round trips measured by its own messages.

    Attributes:
        zone_latency: The protocol without the measurement.
        num_round_trips: Round trips that were measured.
    """

    topic = Topic.ZONE_LATENCY

    def __init__(self, protocol: ZoneLatencyProtocol, router_zones: Sequence[int]) -> None:
        """Wrap a protocol.

        Args:
            protocol: The protocol whose messages are used; its preferred peer is set.
            router_zones: Zone number of each router.
        """
        self.zone_latency, self._router_zones = protocol, router_zones
        protocol.preferred_peer = self._peer_to_answer
        self._last_number = 0
        self._sent: dict[int, OrderedDict[int, float]] = {}  # time of sending by number, by router
        # number and time of the latest message of each router, until it is answered
        self._unanswered: OrderedDict[int, tuple[int, float]] = OrderedDict()
        self._answered_at: dict[int, float] = {}  # by zone
        self._is_answer_next = False
        self.num_round_trips = 0

    def on_message(self, now: float, received: Received) -> None:
        """Measure the round trip of an acknowledged message, and pass the message on."""
        if len(received.body) < TRAILER_BYTES:
            self.zone_latency.unusable += 1
            return
        body, trailer = received.body[:-TRAILER_BYTES], received.body[-TRAILER_BYTES:]
        number, acknowledged, hold_units = (
            int.from_bytes(trailer[at : at + FIELD_BYTES], "big")
            for at in range(0, TRAILER_BYTES, FIELD_BYTES)
        )
        if number:
            self._unanswered[received.sender] = number, now
            self._unanswered.move_to_end(received.sender)
        sent = self._sent.get(received.sender)
        sent_at = sent.pop(acknowledged, None) if sent is not None else None
        if sent_at is not None:
            self.num_round_trips += 1
            self.zone_latency.record_round_trip(
                now,
                self._router_zones[received.sender],
                max(HOLD_UNIT_SECONDS, now - sent_at - hold_units * HOLD_UNIT_SECONDS),
            )
        self.zone_latency.on_message(now, replace(received, body=body))

    def on_timer(self, now: float) -> None:
        """Handle the timer."""
        self.zone_latency.on_timer(now)

    def take_outgoing(self) -> list[Outgoing]:
        """Return the messages to send, with space for the trailer."""
        return [
            replace(outgoing, body=outgoing.body + bytes(TRAILER_BYTES))
            for outgoing in self.zone_latency.take_outgoing()
        ]

    def next_timer_at(self) -> float:
        """Return when the timer is due."""
        return self.zone_latency.next_timer_at()

    def with_timestamp(self, now: float, outgoing: Outgoing) -> Outgoing:
        """Return the message with its trailer; called on sealing, as it may have been queued."""
        self._last_number = self._last_number % (_FIELD_BOUND - 1) + 1
        sent = self._sent.setdefault(outgoing.to, OrderedDict())
        sent[self._last_number] = now
        if len(sent) > MAX_UNACKNOWLEDGED:
            sent.popitem(last=False)
        acknowledged, received_at = self._unanswered.pop(outgoing.to, (0, now))
        if now - received_at > MAX_HOLD_SECONDS:
            acknowledged, received_at = 0, now
        if acknowledged:
            self._answered_at[self._router_zones[outgoing.to]] = now
        fields = (self._last_number, acknowledged, round((now - received_at) / HOLD_UNIT_SECONDS))
        return replace(
            outgoing,
            body=outgoing.body[:-TRAILER_BYTES]
            + b"".join(field.to_bytes(FIELD_BYTES, "big") for field in fields),
        )

    def _peer_to_answer(self, now: float) -> int | None:
        """Return, for every second message, a recent sender of the zone answered longest ago.

        A message that was held for long measures little, and among many routers a random peer has
        hardly ever just sent one.
        """
        self._is_answer_next = not self._is_answer_next
        if not self._is_answer_next:
            return None
        recent = []
        for sender, (_, received_at) in reversed(self._unanswered.items()):
            if now - received_at > RECENT_MESSAGE_SECONDS:
                break
            recent.append(sender)
        return min(
            recent, key=lambda r: self._answered_at.get(self._router_zones[r], 0.0), default=None
        )
