"""The places of answers on one client's connection: they go out in the order of the commands."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from ironrail.connections.downstream.session_manager import ClientSession
from ironrail.net.dispatch.pending_request import ClientReader
from ironrail.net.protocol import meta_codec

WAITING = 64 * 1024  # bytes of a long value that may wait for the answers before it


class Line(Protocol):
    """The connection that a slot stands on."""

    transport: asyncio.Transport
    place: ClientSession
    reader: ClientReader | None
    arrived_at: float | None

    def turn_of(self, slot: ResponseSlot) -> bool:
        """Whether all answers before this one are written."""

    def answered(self, slot: ResponseSlot) -> None:
        """An answer is whole."""

    def left(self, waited: bool) -> bool:
        """Whether the client has gone, told or not."""


class ResponseSlot:
    """The place of one command's answer, which may come at once or as a long value in pieces."""

    __slots__ = ("answer", "_connection", "_hold", "_pieces", "_waiting", "has_room", "request")

    def __init__(self, connection: Line, answer: bytes | None = None) -> None:
        self._connection = connection
        self.request: str | None = None
        self.answer = answer
        self.has_room = False  # for the long value of its command
        self._hold: Callable[[bool], None] | None = None
        self._pieces: list[bytes] = []  # that wait for the answers before this one
        self._waiting = 0  # bytes of them

    @property
    def reader(self) -> ClientReader | None:
        return self._connection.reader

    @property
    def arrived_at(self) -> float | None:
        return self._connection.arrived_at

    def left(self, waited: bool) -> bool:
        return self._connection.left(waited)

    def give(self, answer: bytes) -> None:
        """The whole answer."""
        self.answer = answer
        self._connection.answered(self)

    def begin(self, head: bytes, hold: Callable[[bool], None]) -> None:
        self._hold = hold
        self.more(head)

    def more(self, data: bytes) -> None:
        if self._connection.turn_of(self):
            self._connection.transport.write(data)
        else:
            self._pieces.append(data)
            self._waiting += len(data)
        self.throttle()

    def finish(self) -> None:
        if self._hold is not None:  # the server's connection goes on to other requests
            self._hold(False)
        self._hold = None
        self.give(meta_codec.LINE_END)

    def cut(self) -> None:
        """Guards the client against taking a part for the whole."""
        self._hold = None
        self._connection.transport.abort()

    @property
    def passes_on(self) -> bool:
        """Whether it has to do with a long value."""
        return self._hold is not None or bool(self._pieces)

    def take_pieces(self) -> list[bytes]:
        """What waited for its turn, which has come."""
        pieces, self._pieces, self._waiting = self._pieces, [], 0
        return pieces

    def throttle(self) -> None:
        """Guards memory: what the client does not take is not read from its server."""
        if self._hold is not None:
            self._hold(self._connection.place.unread_since is not None or self._waiting >= WAITING)
