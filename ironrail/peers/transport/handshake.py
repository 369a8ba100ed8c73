"""Questions and answers by which routers prove to one another that they live: bodies, and who is due.

A question bears a nonce, an answer the nonce asked; one datagram may bear both. Paced in all, served in the
order in which they came due, one place for each router: nobody's flood keeps another from its turn.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from ironrail.peers.messages import Outgoing, Priority, Topic
from ironrail.peers.transport.sender_state import NONCE_AGE, Allowance, Sender

NONCE_BYTES = 8
ASK_AGAIN = 1.0  # seconds: more than a round trip
AT_ONCE = 25  # meetings of a burst: a second's worth
_ASKS, _ANSWERS = 1, 2


@dataclass(frozen=True, slots=True)
class Meeting:
    """What a body of the wire's own says; empty where it does not ask, or does not answer."""

    asks: bytes = b""
    answers: bytes = b""

    def encode(self) -> bytes:
        """One byte for which of both there are, then those."""
        kind = (_ASKS if self.asks else 0) | (_ANSWERS if self.answers else 0)
        return bytes([kind]) + self.asks + self.answers


def decode(body: bytes) -> Meeting | None:
    """None for what is no body of the wire's own."""
    if not body or len(body) != 1 + NONCE_BYTES * body[0].bit_count() or not 1 <= body[0] <= 3:
        return None
    middle = 1 + (NONCE_BYTES if body[0] & _ASKS else 0)
    return Meeting(body[1:middle], body[middle:])


@dataclass(slots=True, eq=False)
class Due:
    """What one router is to be told."""

    asks: bool = False
    answers: bytes = b""


class Meetings:
    """Who is to be asked and answered, and when."""

    def __init__(self, draw: Callable[[int], bytes], a_second: float) -> None:
        """`draw`: so many random bytes that nobody can foresee. `a_second`: meetings in all."""
        self._draw, self._interval = draw, 1 / a_second
        self._due: dict[int, Due] = {}
        self._pace = Allowance()

    def is_asked(self, number: int, sender: Sender, now: float) -> bool:
        """Whether it was asked just now, or will be."""
        due = self._due.get(number)
        return (due is not None and due.asks) or now - sender.asked_at < ASK_AGAIN

    def is_answered(self, number: int) -> bool:
        """Whether an answer to it waits already: another question of it has to wait for that."""
        due = self._due.get(number)
        return due is not None and bool(due.answers)

    def ask(self, number: int, sender: Sender, now: float) -> None:
        """It has a life that is not proven, or may have."""
        if not self.is_asked(number, sender, now):
            self._due.setdefault(number, Due()).asks = True

    def answer(self, number: int, nonce: bytes) -> None:
        """It has asked."""
        self._due.setdefault(number, Due()).answers = nonce

    def say(self, now: float, senders: Callable[[int], Sender]) -> list[Outgoing]:
        """What may go now."""
        said = []
        while self._due and self._pace.permits(now, self._interval, AT_ONCE):
            number = next(iter(self._due))
            due = self._due.pop(number)
            self._pace.take(now, self._interval)
            asks = self._question(senders(number), now) if due.asks else b""
            body = Meeting(asks, due.answers).encode()
            said.append(Outgoing(number, Topic.TRANSPORT, body, Priority.LEASE))
        return said

    def wake_at(self) -> float:
        """When the next may go."""
        return self._pace.full_at - (AT_ONCE - 1) * self._interval if self._due else math.inf

    def _question(self, sender: Sender, now: float) -> bytes:
        """The nonce that is out stays while it may be answered: a slow answer is one too."""
        if not sender.nonce or now - sender.nonce_at > NONCE_AGE:
            sender.nonce, sender.nonce_at = self._draw(NONCE_BYTES), now
        sender.asked_at = now
        return sender.nonce
