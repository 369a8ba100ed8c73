"""Seals messages into datagrams and opens received ones.

Opening accepts each datagram at most once, unforged, from the current process of a router, and
passes on only complete messages. All checks that are cheap come before the MAC, whose failures are
limited for each source; nothing in a datagram is trusted before its MAC is verified.
`docs/peers/wire.md` has the rationale.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

from ironrail.peers.messages import (
    ALL_PEERS,
    MAX_DATAGRAM_BYTES,
    MAX_ROUTERS,
    Outgoing,
    Received,
    Topic,
)
from ironrail.peers.transport import datagram_format
from ironrail.peers.transport.datagram_format import (
    HEADER_BYTES,
    MAC_BYTES,
    MIN_DATAGRAM_BYTES,
    Header,
)
from ironrail.peers.transport.errors import IncarnationError, PeerTableError, UnsendableError
from ironrail.peers.transport.fragmentation import Reassembly, split_body
from ironrail.peers.transport.handshake import (
    HandshakeMessage,
    HandshakeScheduler,
    decode_handshake,
)
from ironrail.peers.transport.keys import BROADCAST_RECEIVER, KeyRing
from ironrail.peers.transport.sender_state import RateLimiter, SenderState

MAX_FAILED_MACS_PER_SECOND = 2000  # shared among all sources: 1% of a core
FAILED_MAC_BURST = 8  # of one source: a key rotation or a few damaged datagrams block nobody
# Challenges and responses: 1000 bytes per second at most, half of the default rate limit.
MAX_HANDSHAKES_PER_SECOND = 25
KNOWN_TOPICS = frozenset(int(topic) for topic in Topic)

OpenedMessages = list[tuple[Topic, Received]]


class DropReason(IntEnum):
    """Why a datagram was dropped, in the order of the checks."""

    FOREIGN = 0  # from an address that is no router's
    LENGTH = 1
    VERSION = 2
    KEY = 3  # unknown key id
    TOPIC = 4  # unknown, or a handshake that is fragmented or sent to all
    SENDER = 5  # does not match the address, or is this router
    REPEATED = 6  # received before, or too old to tell
    REPLACED = 7  # from an earlier incarnation
    UNASKED = 8  # a response to no challenge, or to one too long ago
    UNPROVEN = 9  # from an incarnation that has not answered a challenge yet
    FLOOD = 10  # the source had too many failed MACs: not verified
    MAC = 11  # forged or damaged
    MALFORMED = 12  # from a sender that has the key, but can't be decoded
    LATE = 13  # a body whose last fragment did not arrive in time
    CROWDED = 14  # an incomplete body dropped to make space for newer ones


class DatagramCodec:
    """Seals and opens the datagrams of one router.

    Attributes:
        own_index: This router's index.
        incarnation: Identifier of this process.
        num_routers: How many routers there are.
        opened: Datagrams that were accepted.
    """

    def __init__(
        self,
        own_index: int,
        incarnation: int,
        keys: KeyRing,
        num_routers: int,
        random_bytes: Callable[[int], bytes],
        handshakes_per_second: float = MAX_HANDSHAKES_PER_SECOND,
    ) -> None:
        """Create a codec that knows no incarnation of any other router.

        Args:
            own_index: This router's index.
            incarnation: Identifier of this process, random.
            keys: The operator's keys.
            num_routers: How many routers there are.
            random_bytes: Returns that many unpredictable bytes, for nonces.
            handshakes_per_second: Limit for challenges and responses together.

        Raises:
            PeerTableError: The number of routers or this router's index is out of range.
            IncarnationError: The incarnation is out of range.
        """
        if not 2 <= num_routers <= MAX_ROUTERS:
            raise PeerTableError(f"{num_routers} routers, where 2 to {MAX_ROUTERS} can be", "peers")
        if not 0 <= own_index < num_routers:
            raise PeerTableError(f"this is router {own_index}, of only {num_routers}", "peers")
        if not 0 < incarnation < datagram_format.NUM_INCARNATIONS:
            raise IncarnationError(f"{incarnation} can't identify a process", "peers")
        self.own_index, self.incarnation, self.num_routers = own_index, incarnation, num_routers
        self._keys = keys
        self._sequence = 0
        self._senders: dict[int, SenderState] = {}
        self._reassembly = Reassembly()
        self._handshakes = HandshakeScheduler(random_bytes, handshakes_per_second)
        # two rate limiters for each source
        self._failure_interval = 2 * (num_routers - 1) / MAX_FAILED_MACS_PER_SECOND
        self._dropped = [0] * len(DropReason)
        self.opened = 0

    def seal(self, outgoing: Outgoing) -> list[tuple[int, bytes]]:
        """Return the datagrams of a message, each with its receiver's index or `ALL_PEERS`.

        They are to be sent at once: the receivers' replay windows drop what is too old.

        Raises:
            UnsendableError: The message is too long or its receiver is invalid.
        """
        to_all = outgoing.to == ALL_PEERS
        if not to_all and (
            outgoing.to == self.own_index or not 0 <= outgoing.to < self.num_routers
        ):
            raise UnsendableError(
                f"topic {outgoing.topic}: router {outgoing.to} is not a valid receiver"
            )
        if len(outgoing.body) > datagram_format.MAX_BODY_BYTES:
            raise UnsendableError(
                f"topic {outgoing.topic}: a body of {len(outgoing.body)} bytes is too long"
            )
        keys, receiver, parts = (
            self._keys,
            BROADCAST_RECEIVER if to_all else outgoing.to,
            split_body(outgoing.body),
        )
        sealed = []
        for part in parts:
            header = datagram_format.encode_header(
                to_all,
                len(parts) > 1,
                outgoing.topic,
                keys.sending_key_id,
                self.own_index,
                self.incarnation,
                self._sequence,
            )
            self._sequence += 1
            data = header + part
            sealed.append((outgoing.to, data + keys.mac(receiver, data)))
        return sealed

    def open(self, now: float, source: int | None, datagram: bytes) -> OpenedMessages:
        """Return the message that a datagram completes, if any.

        Args:
            now: The time, in seconds.
            source: The index of the router whose address it came from, None if it is no router's.
            datagram: The datagram.
        """
        result = self._process(now, source, datagram)
        if isinstance(result, DropReason):
            self._dropped[result] += 1
            return []
        self.opened += 1
        return result

    def take_outgoing(self, now: float) -> list[Outgoing]:
        """Return the handshake messages to send; called after `open`, and at `next_timer_at`."""
        self._reassembly.drop_expired(now)
        return self._handshakes.take_outgoing(now, self._sender)

    def next_timer_at(self) -> float:
        """Return when `take_outgoing` is to be called again at the latest."""
        return min(self._handshakes.next_timer_at(), self._reassembly.next_timer_at())

    def start_handshake(self, now: float, peer_index: int) -> None:
        """Send a router a challenge before any of its messages is needed."""
        if peer_index != self.own_index and 0 <= peer_index < self.num_routers:
            self._handshakes.schedule_challenge(peer_index, self._sender(peer_index), now)

    def proven_incarnation(self, peer_index: int) -> int | None:
        """Return the incarnation that this router has proven, None if it has not."""
        sender = self._senders.get(peer_index)
        return sender.incarnation if sender else None

    def replace_keys(self, keys: KeyRing) -> None:
        """Use other keys from now on; proven incarnations stay proven."""
        self._keys = keys

    def drop_counts(self) -> dict[DropReason, int]:
        """Return how many datagrams were dropped for each reason.

        For LATE and CROWDED it is how many incomplete bodies.
        """
        counts = dict(zip(DropReason, self._dropped, strict=True))
        return {
            **counts,
            DropReason.LATE: self._reassembly.expired,
            DropReason.CROWDED: self._reassembly.evicted,
        }

    def _sender(self, peer_index: int) -> SenderState:
        sender = self._senders.get(peer_index)
        if sender is None:
            sender = self._senders[peer_index] = SenderState()
        return sender

    def _process(
        self, now: float, source: int | None, datagram: bytes
    ) -> OpenedMessages | DropReason:
        if source is None:
            return DropReason.FOREIGN
        if not MIN_DATAGRAM_BYTES <= len(datagram) <= MAX_DATAGRAM_BYTES:
            return DropReason.LENGTH
        if datagram[0] >> 5 != datagram_format.VERSION:
            return DropReason.VERSION
        if datagram[1] not in self._keys:
            return DropReason.KEY
        header = datagram_format.decode_header(datagram)
        if header.topic not in KNOWN_TOPICS or (
            header.topic == Topic.TRANSPORT and (header.to_all or header.is_fragment)
        ):
            return DropReason.TOPIC
        if (
            header.sender != source
            or source == self.own_index
            or not 0 <= source < self.num_routers
        ):
            return DropReason.SENDER
        sender = self._sender(source)
        if header.incarnation == sender.incarnation:
            return self._process_proven(now, sender, header, datagram)
        return self._process_unproven(now, sender, header, datagram)

    def _process_proven(
        self, now: float, sender: SenderState, header: Header, datagram: bytes
    ) -> OpenedMessages | DropReason:
        """Process a datagram that bears the proven incarnation."""
        if not sender.is_fresh(header.sequence):
            return DropReason.REPEATED
        sender.proven_failures = sender.proven_failures or RateLimiter()
        if reason := self._verify_mac(now, sender.proven_failures, header, datagram):
            return reason
        sender.mark_seen(header.sequence)
        topic, body = Topic(header.topic), datagram[HEADER_BYTES:-MAC_BYTES]
        if topic is Topic.TRANSPORT:
            if (handshake := decode_handshake(body)) is None:
                return DropReason.MALFORMED
            return self._on_handshake(now, sender, header, handshake)
        if header.is_fragment:
            try:
                whole = self._reassembly.add_fragment(
                    now, header.sender, header.sequence, topic, body
                )
            except ValueError:
                return DropReason.MALFORMED
            if whole is None:
                return []
            body = whole
        return [(topic, Received(header.sender, header.incarnation, body))]

    def _process_unproven(
        self, now: float, sender: SenderState, header: Header, datagram: bytes
    ) -> OpenedMessages | DropReason:
        """Process a datagram that bears an incarnation that is not proven.

        Only handshakes are accepted. Any other datagram, if its MAC is valid, is a reason to
        challenge that incarnation.
        """
        if header.incarnation in sender.replaced_incarnations:
            return DropReason.REPLACED
        handshake = (
            decode_handshake(datagram[HEADER_BYTES:-MAC_BYTES])
            if header.topic == Topic.TRANSPORT
            else None
        )
        if header.topic == Topic.TRANSPORT and handshake is None:
            return DropReason.MALFORMED
        proves = handshake is not None and sender.is_valid_response(handshake.response, now)
        if handshake is None:
            if self._handshakes.is_challenged(header.sender, sender, now):
                return DropReason.UNPROVEN
        elif not proves and not handshake.challenge:
            return DropReason.UNASKED
        elif not proves and self._handshakes.has_pending_response(header.sender):
            return DropReason.UNPROVEN
        # Only who can read the traffic knows the nonce, as with the proven incarnation.
        if proves:
            failures = sender.proven_failures = sender.proven_failures or RateLimiter()
        else:
            failures = sender.unproven_failures = sender.unproven_failures or RateLimiter()
        if reason := self._verify_mac(now, failures, header, datagram):
            if reason is DropReason.FLOOD and not proves:
                # a restarted router may send from the same address as the flood
                self._handshakes.schedule_challenge(header.sender, sender, now)
            return reason
        if handshake is None:
            self._handshakes.schedule_challenge(header.sender, sender, now)
            return DropReason.UNPROVEN
        if proves:
            self._reassembly.drop_sender(header.sender)
            sender.accept_incarnation(header.incarnation, header.sequence)
        return self._on_handshake(now, sender, header, handshake)

    def _verify_mac(
        self, now: float, failures: RateLimiter, header: Header, datagram: bytes
    ) -> DropReason | None:
        """Return why the datagram is to be dropped, None if its MAC is valid.

        Failures count against the address that the datagram came from.
        """
        if not failures.permits(now, self._failure_interval, FAILED_MAC_BURST):
            return DropReason.FLOOD
        if self._keys.verify(
            header.key_id, BROADCAST_RECEIVER if header.to_all else self.own_index, datagram
        ):
            return None
        failures.consume(now, self._failure_interval)
        return DropReason.MAC

    def _on_handshake(
        self, now: float, sender: SenderState, header: Header, handshake: HandshakeMessage
    ) -> OpenedMessages:
        if sender.is_valid_response(handshake.response, now):
            sender.nonce = b""
        if handshake.challenge:
            self._handshakes.schedule_response(header.sender, handshake.challenge)
            if sender.incarnation != header.incarnation:
                self._handshakes.schedule_challenge(header.sender, sender, now)
        return []
