"""Client connections: commands in, answers out in the order of the commands."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from brackencross.net import memcache
from brackencross.net.host import Host
from brackencross.net.memcache import BadCommand, Command, CommandParser, Noop

MOST_PIPELINED = 64  # commands of one connection in hand, beyond which no more are read
LINGER = 1.0  # for the error line to be read: closing at once on unread bytes would destroy it


@dataclass(slots=True, eq=False)
class Slot:
    """The place of one command's answer."""

    request: str | None = None  # until answered
    answer: bytes | None = None


class ClientConnection(asyncio.Protocol):
    """One client."""

    transport: asyncio.Transport

    def __init__(self, clients: Clients) -> None:
        self._clients = clients
        self._parser = CommandParser()
        self._slots: deque[Slot] = deque()
        self._writable = True
        self._lost_framing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self._clients.add(self)

    def data_received(self, data: bytes) -> None:
        if self._lost_framing:
            return
        for item in self._parser.feed(data):
            self._take(item)
        self._flush()

    def _take(self, item: Command | Noop | BadCommand) -> None:
        slot = Slot()
        self._slots.append(slot)
        match item:
            case Command():
                slot.request = self._clients.host.take(item, lambda answer: self._answered(slot, answer))
            case Noop():
                slot.answer = (
                    memcache.READY
                    if self._clients.ready() and not self._clients.draining
                    else memcache.NOT_READY
                )
            case BadCommand(answer, fatal):
                slot.answer, self._lost_framing = answer, fatal

    def _answered(self, slot: Slot, answer: bytes) -> None:
        slot.answer = answer
        if slot is self._slots[0]:
            self._flush()

    def _flush(self) -> None:
        """Write the answers whose turn it is."""
        while self._slots and self._slots[0].answer is not None:
            self.transport.write(self._slots.popleft().answer or b"")
        if not self._slots and self._lost_framing:
            self.transport.write_eof()
            asyncio.get_running_loop().call_later(LINGER, self.transport.abort)
        elif not self._slots and self._clients.draining:
            self.transport.close()
        self._throttle()

    def _throttle(self) -> None:
        """Guards memory against clients that send and never read."""
        if self.transport.is_closing():
            return
        if self._writable and len(self._slots) < MOST_PIPELINED:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def pause_writing(self) -> None:
        self._writable = False
        self._throttle()

    def resume_writing(self) -> None:
        self._writable = True
        self._throttle()

    def idle(self) -> bool:
        return not self._slots and not self.transport.is_closing()

    def connection_lost(self, exc: Exception | None) -> None:
        self._clients.remove(self)
        for slot in self._slots:
            if slot.request is not None and slot.answer is None:
                self._clients.host.gone(slot.request)


class Clients:
    """All client connections of this router."""

    def __init__(self, host: Host, ready: Callable[[], bool], most: int) -> None:
        self.host, self.ready = host, ready
        self.draining = False
        self._most = most
        self._all: dict[ClientConnection, None] = {}
        self._empty = asyncio.Event()
        self._empty.set()

    def connect(self) -> ClientConnection:
        """The protocol of a new connection."""
        return ClientConnection(self)

    def add(self, connection: ClientConnection) -> None:
        if len(self._all) >= self._most:  # guards the limit on descriptors; between requests it may close
            oldest = next(filter(ClientConnection.idle, self._all), None)
            if oldest is not None:
                oldest.transport.close()
        self._all[connection] = None
        self._empty.clear()

    def remove(self, connection: ClientConnection) -> None:
        self._all.pop(connection, None)
        if not self._all:
            self._empty.set()

    def drain(self) -> None:
        """Close connections as they fall idle."""
        self.draining = True
        for connection in list(self._all):
            if connection.idle():
                connection.transport.close()

    async def drained(self) -> None:
        """Wait until the last has closed."""
        await self._empty.wait()
