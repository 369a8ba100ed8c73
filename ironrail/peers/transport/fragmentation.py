"""Bodies of more than one datagram: cut, and put together again in a bounded room.

Pieces of one body have sequences that follow one another, so the first one's names the body.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ironrail.peers.messages import Topic
from ironrail.peers.transport.datagram_format import MOST_PIECES, PIECE_ROOM, ROOM

MOST_AGE = 5.0  # seconds for a whole body: its pieces are sent together
MOST_OF_SENDER = 2  # unfinished bodies; a router sends one after the other
MOST_IN_ALL = 256 * 1024  # bytes of memory for unfinished bodies of all senders
BODY_COST, PIECE_COST = 900, 40  # bytes of memory beside what the pieces hold, as measured

Name = tuple[int, int, int, int]  # sender, sequence of its first piece, pieces, topic


def cut(body: bytes) -> list[bytes]:
    """The body whole, or pieces of it, each with its two bytes before it."""
    if len(body) <= ROOM:
        return [body]
    parts = [body[at : at + PIECE_ROOM] for at in range(0, len(body), PIECE_ROOM)]
    return [bytes((index, len(parts))) + part for index, part in enumerate(parts)]


@dataclass(slots=True, eq=False)
class _Unfinished:
    since: float
    parts: dict[int, bytes] = field(default_factory=dict)
    cost: int = BODY_COST


class Reassembly:
    """Unfinished bodies, the eldest first."""

    def __init__(self, most: int = MOST_IN_ALL) -> None:
        """`most`: bytes of memory in all."""
        self._bodies: dict[Name, _Unfinished] = {}
        self._of_sender: dict[int, int] = {}
        self._most = most
        self.cost = 0  # bytes of memory, as counted
        self.late = self.crowded = 0  # bodies that were dropped for their age, for want of room

    def add(self, now: float, sender: int, sequence: int, topic: Topic, data: bytes) -> bytes | None:
        """A piece with its two bytes. The whole body with its last one; None until then.

        Raises ValueError for what is no piece.
        """
        if len(data) < 3:
            raise ValueError("no piece")
        index, count = data[0], data[1]
        if not (2 <= count <= MOST_PIECES and index < count and index <= sequence):
            raise ValueError("no piece")
        self.forget(now)
        name = (sender, sequence - index, count, topic)
        if (body := self._bodies.get(name) or self._begin(now, name)) is None:
            return None
        body.parts[index] = data[2:]
        self._pay(body, len(data) + PIECE_COST)
        if len(body.parts) == count:
            self._drop(name)
            return b"".join(body.parts[i] for i in range(count))
        while self.cost > self._most:
            self._drop(next(iter(self._bodies)))
            self.crowded += 1
        return None

    def forget(self, now: float) -> None:
        """Drop what is too old."""
        while self._bodies:
            name, body = next(iter(self._bodies.items()))
            if now < body.since + MOST_AGE:
                return
            self._drop(name)
            self.late += 1

    def forget_sender(self, sender: int) -> None:
        """It has a new life: the old one's pieces will never be whole."""
        for name in [name for name in self._bodies if name[0] == sender] if sender in self._of_sender else ():
            self._drop(name)

    def wake_at(self) -> float:
        """When the eldest is too old."""
        return next((body.since + MOST_AGE for body in self._bodies.values()), math.inf)

    def _begin(self, now: float, name: Name) -> _Unfinished | None:
        """None where the sender has begun later ones: what is left of an older one must not end those."""
        if self._of_sender.get(name[0], 0) >= MOST_OF_SENDER:
            self.crowded += 1
            oldest = min(other for other in self._bodies if other[0] == name[0])
            if oldest > name:
                return None
            self._drop(oldest)
        body = self._bodies[name] = _Unfinished(now)
        self._of_sender[name[0]] = self._of_sender.get(name[0], 0) + 1
        self.cost += BODY_COST
        return body

    def _pay(self, body: _Unfinished, cost: int) -> None:
        body.cost += cost
        self.cost += cost

    def _drop(self, name: Name) -> None:
        self.cost -= self._bodies.pop(name).cost
        self._of_sender[name[0]] -= 1
        if not self._of_sender[name[0]]:
            del self._of_sender[name[0]]
