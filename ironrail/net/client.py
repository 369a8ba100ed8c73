"""One client's connection: commands in, answers out in the order of the commands."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol, cast

from ironrail.connections.downstream import Downstream, Fate, Next, Place
from ironrail.net import memcache
from ironrail.net.held import Reader
from ironrail.net.host import Host
from ironrail.net.memcache import BadCommand, Command, CommandParser, Noop
from ironrail.net.slots import Slot
from ironrail.net.system import System

LINGER = 1.0  # for the error line to be read: closing at once on unread bytes would destroy it


class Others(Protocol):
    """What a connection needs of all of them."""

    host: Host
    places: Downstream
    system: System

    def can_serve(self) -> bool:
        """Whether requests may come."""

    def add(self, connection: ClientConnection) -> Place:
        """A connection has come up."""

    def remove(self, place: Place) -> None:
        """A connection has ended, or is about to."""

    def reader_of(self, transport: asyncio.Transport) -> Reader | None:
        """Whoever is at its other end, where regions of readers are told apart."""

    def let_in(self) -> None:
        """Go on with those whose long value there is room for now."""

    def make_way(self) -> None:
        """Close those that rest for others, where that crosses nothing."""


class ClientConnection(asyncio.Protocol):
    """One client."""

    transport: asyncio.Transport
    place: Place
    reader: Reader | None

    def __init__(self, clients: Others) -> None:
        self._clients = clients
        self._parser = CommandParser()
        self._slots: deque[Slot] = deque()
        self._parsing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.place = self._clients.add(self)
        self.reader = self._clients.reader_of(self.transport)

    def data_received(self, data: bytes) -> None:
        if self.place.ending:
            return
        self._clients.places.received(self._clients.system.now(), self.place)
        self._parser.add(data)
        self._parse()

    def _parse(self) -> None:
        """Take commands, up to the bound: the rest waits for its turn, or one client would hold up all."""
        if self.place.ending:
            return
        self._parsing, self.place.more = True, False
        while not self.place.ending:
            if not self.place.takes_more():
                self.place.more = True
                break
            item = self._parser.next()
            if item is None:
                self._ask_room()
                break
            self._take(item)
        self._parsing = False
        self._flush()

    def _ask_room(self) -> None:
        """A long value is to come: it is read once there is room for all of it."""
        size, room = self._parser.long, self._clients.host.room
        if size and not self.place.long:
            self.place.long = True
            self.place.since = self._clients.system.now()  # its head came in time
            if not room.take(self, size):
                room.wait(self, size)
                self.place.held_up = True

    def let_in(self) -> None:
        """There is room now."""
        self.place.held_up = False
        self.place.since = self._clients.system.now()
        self._throttle()

    def _take(self, item: Command | Noop | BadCommand) -> None:
        slot = Slot(self)
        self._slots.append(slot)
        good, fatal = True, False
        if self.place.long:  # its room is the slot's from now on
            self.place.long = False
            self._clients.host.room.hand_on(self, slot)
            slot.has_room = True
        match item:
            case Command():
                slot.request = self._clients.host.take(item, slot.give, slot)
                good = slot.request is not None
            case Noop():
                slot.answer = memcache.READY if self._clients.can_serve() else memcache.NOT_READY
            case BadCommand():
                slot.answer = item.answer
                good, fatal = False, item.fatal
        self._clients.places.took(self._clients.system.now(), self.place, good)
        self.place.ending = self.place.ending or fatal

    def turn_of(self, slot: Slot) -> bool:
        """Whether all answers before this one are written."""
        return slot is self._slots[0] and not self._parsing

    def answered(self, slot: Slot) -> None:
        """An answer is whole."""
        if self.turn_of(slot):
            self._flush()
        if slot.has_room:
            self._clients.host.room.give_back(slot)
            self._clients.let_in()

    def left(self) -> bool:
        """Whether the client has gone. While nothing is read from it nobody is told: the system is asked."""
        if self.transport.is_closing():
            return True
        return not self.place.reading and self._clients.system.hung_up(self.transport)

    def _flush(self) -> None:
        """Write the answers whose turn it is, and do what is due then."""
        ready: list[bytes] = []
        written = 0
        while self._slots:
            slot = self._slots[0]
            if slot.passes_on:
                ready += slot.take_pieces()
            if slot.answer is None:
                break
            ready.append(slot.answer)
            self._slots.popleft()
            written += 1
        if ready:
            self.transport.write(b"".join(ready))
        if self._slots and self._slots[0].passes_on:
            self._slots[0].throttle()
        closing = self.transport.is_closing()
        match self._clients.places.settled(self.place, written, self._parser.begun, closing):
            case Next.PARSE:
                self.place.more = False
                asyncio.get_running_loop().call_soon(self._parse)
            case Next.FINISH:
                self.transport.write_eof()
                asyncio.get_running_loop().call_later(LINGER, self.transport.abort)
            case Next.CLOSE if self.clear():  # else what has come is read first, or the answer goes out first
                self.place.left = self.place.leaves
                self.transport.close()
            case Next.MAKE_WAY:
                self._clients.make_way()
        self._throttle()

    def _throttle(self) -> None:
        reading = self._clients.places.reads(self.place)
        if reading is not self.place.reading and not self.transport.is_closing():
            self.place.reading = reading
            if reading:
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()

    def pause_writing(self) -> None:
        self._unread(True)

    def resume_writing(self) -> None:
        self._unread(False)

    def _unread(self, unread: bool) -> None:
        self._clients.places.unread(self._clients.system.now(), self.place, unread)
        self._throttle()
        if self._slots:
            self._slots[0].throttle()

    def clear(self) -> bool:
        """Whether closing it now would cross nothing, neither what has come unread nor what is unwritten.

        A close with unread data sends a reset, which destroys answers that are still on their way; and while
        a close waits for answers to go out nothing more is read.
        """
        if self.transport.is_closing():
            return True
        return (
            not self._clients.system.unread(self.transport)() and not self.transport.get_write_buffer_size()
        )

    def check(self, now: float) -> None:
        """Do what is due if it has been waited for, or waits, for too long."""
        if self.transport.is_closing():
            return
        match self._clients.places.fate(now, self.place):
            case Fate.ABORT:
                self.transport.abort()
            case Fate.TOO_LATE:
                self._clients.places.cut_short(self.place)
                self._slots.append(Slot(self, memcache.TOO_LATE))
                self._flush()
            case Fate.CLOSE if self.clear():
                self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.place.ending = True
        self._clients.remove(self.place)
        for slot in self._slots:
            self._clients.host.room.give_back(slot)
            if slot.request is not None and slot.answer is None:
                self._clients.host.gone(slot.request)
        self._clients.host.room.give_back(self)
        self._clients.let_in()
