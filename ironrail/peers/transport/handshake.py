"""The challenge-response handshake that proves which process of a router is running.

A challenge carries a nonce, a response returns it; one datagram may carry both. Handshakes are
limited to a rate and sent in the order in which they became due, with one entry for each router,
so that a flood from one router does not delay the others.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from ironrail.peers.messages import Outgoing, Priority, Topic
from ironrail.peers.transport.sender_state import MAX_NONCE_AGE_SECONDS, RateLimiter, SenderState

NONCE_BYTES = 8
CHALLENGE_RETRY_SECONDS = 1.0  # longer than a round trip
HANDSHAKE_BURST = 25  # one second's worth
_CHALLENGE_FLAG, _RESPONSE_FLAG = 1, 2


@dataclass(frozen=True, slots=True)
class HandshakeMessage:
    """The body of a handshake datagram.

    Attributes:
        challenge: The nonce that the receiver is to return; empty without a challenge.
        response: The nonce of the receiver's challenge; empty without a response.
    """

    challenge: bytes = b""
    response: bytes = b""

    def encode(self) -> bytes:
        """Return the body: a byte of flags for the nonces that it has, then these."""
        flags = (_CHALLENGE_FLAG if self.challenge else 0) | (
            _RESPONSE_FLAG if self.response else 0
        )
        return bytes([flags]) + self.challenge + self.response


def decode_handshake(body: bytes) -> HandshakeMessage | None:
    """Return the message, None if the body is malformed."""
    if not body or len(body) != 1 + NONCE_BYTES * body[0].bit_count() or not 1 <= body[0] <= 3:
        return None
    middle = 1 + (NONCE_BYTES if body[0] & _CHALLENGE_FLAG else 0)
    return HandshakeMessage(body[1:middle], body[middle:])


@dataclass(slots=True, eq=False)
class PendingHandshake:
    """What is due to be sent to one router.

    Attributes:
        challenge: Whether a challenge is due.
        response: The nonce to return; empty if no response is due.
    """

    challenge: bool = False
    response: bytes = b""


class HandshakeScheduler:
    """Decides which routers to send a challenge or a response, and when."""

    def __init__(self, random_bytes: Callable[[int], bytes], handshakes_per_second: float) -> None:
        """Create a scheduler without pending handshakes.

        Args:
            random_bytes: Returns that many unpredictable bytes.
            handshakes_per_second: Limit for all routers together.
        """
        self._random_bytes, self._interval = random_bytes, 1 / handshakes_per_second
        self._pending: dict[int, PendingHandshake] = {}
        self._rate_limiter = RateLimiter()

    def is_challenged(self, peer_index: int, sender: SenderState, now: float) -> bool:
        """Return whether a challenge to this router is due or was sent a moment ago."""
        pending = self._pending.get(peer_index)
        return (
            pending is not None and pending.challenge
        ) or now - sender.challenged_at < CHALLENGE_RETRY_SECONDS

    def has_pending_response(self, peer_index: int) -> bool:
        """Return whether a response to this router is due; its next challenge has to wait."""
        pending = self._pending.get(peer_index)
        return pending is not None and bool(pending.response)

    def schedule_challenge(self, peer_index: int, sender: SenderState, now: float) -> None:
        """Send a challenge to a router whose current incarnation is, or may be, not proven."""
        if not self.is_challenged(peer_index, sender, now):
            self._pending.setdefault(peer_index, PendingHandshake()).challenge = True

    def schedule_response(self, peer_index: int, nonce: bytes) -> None:
        """Answer a challenge of this router."""
        self._pending.setdefault(peer_index, PendingHandshake()).response = nonce

    def take_outgoing(self, now: float, sender_of: Callable[[int], SenderState]) -> list[Outgoing]:
        """Return the handshake messages that the rate limit admits now.

        Args:
            now: The time, in seconds.
            sender_of: Returns the state of the router with that index.
        """
        messages = []
        while self._pending and self._rate_limiter.permits(now, self._interval, HANDSHAKE_BURST):
            peer_index = next(iter(self._pending))
            pending = self._pending.pop(peer_index)
            self._rate_limiter.consume(now, self._interval)
            challenge = (
                self._challenge_nonce(sender_of(peer_index), now) if pending.challenge else b""
            )
            body = HandshakeMessage(challenge, pending.response).encode()
            messages.append(Outgoing(peer_index, Topic.TRANSPORT, body, Priority.LEASE))
        return messages

    def next_timer_at(self) -> float:
        """Return when the next message may be sent; infinite if none is due."""
        return (
            self._rate_limiter.full_at - (HANDSHAKE_BURST - 1) * self._interval
            if self._pending
            else math.inf
        )

    def _challenge_nonce(self, sender: SenderState, now: float) -> bytes:
        """Return the nonce to send; a pending one is kept while its response may still arrive."""
        if not sender.nonce or now - sender.nonce_created_at > MAX_NONCE_AGE_SECONDS:
            sender.nonce, sender.nonce_created_at = self._random_bytes(NONCE_BYTES), now
        sender.challenged_at = now
        return sender.nonce
