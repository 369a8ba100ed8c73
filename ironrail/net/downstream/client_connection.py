"""One client's connection: commands in, answers out in the order of the commands."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import cast

from ironrail.connections.downstream.session_manager import ClientSession, IdleVerdict, NextAction
from ironrail.diagnostics.reasons import ClientCloseReason
from ironrail.net.dispatch.pending_request import ClientReader
from ironrail.net.downstream.half_closed import HalfClosedConnection
from ironrail.net.downstream.response_slots import ResponseSlot
from ironrail.net.downstream.session_context import SessionContext
from ironrail.net.protocol import meta_codec
from ironrail.net.protocol.meta_codec import BadCommand, Command, CommandParser, Noop


class ClientConnection(asyncio.Protocol):
    """One client."""

    transport: asyncio.Transport
    place: ClientSession
    reader: ClientReader | None

    def __init__(self, clients: SessionContext[ClientConnection]) -> None:
        self._clients = clients
        self._earliest_arrival = clients.host.monitor.earliest_event  # of its first bytes
        self.arrived_at: float | None = None
        self._parser = CommandParser()
        self._slots: deque[ResponseSlot] = deque()
        self._parsing = False
        self._parse_due = False
        self._shut: HalfClosedConnection | None = None  # since then nothing more is answered
        self._finish_reason = ClientCloseReason.BAD_COMMANDS

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.place = self._clients.add(self)
        self.reader = self._clients.reader_of(self.transport)

    def data_received(self, data: bytes) -> None:
        if self.place.ending:
            if self._shut is not None:
                self._shut.dropped(len(data))
            return
        self._clients.places.received(self._clients.system.now(), self.place)
        self._parser.add(data)
        self.arrived_at = self._earliest_arrival()
        self._earliest_arrival = self._clients.host.monitor.earliest_arrival
        self._parse()
        self.arrived_at = None  # what has to wait for those before it has its time from its turn on

    def _parse(self) -> None:
        """Take commands, up to the bound: the rest waits for its turn, or one client would hold up all."""
        self._parse_due = False
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
        size, room = self._parser.long, self._clients.host.memory_budget
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
        slot = ResponseSlot(self)
        self._slots.append(slot)
        good, fatal = True, False
        if self.place.long:  # its room is the slot's from now on
            self.place.long = False
            self._clients.host.memory_budget.hand_on(self, slot)
            slot.has_room = True
        match item:
            case Command() if self._clients.over:
                slot.answer = meta_codec.write_busy(None)
            case Command():
                slot.request = self._clients.host.accept(item, slot.give, slot)
                good = slot.request is not None
            case Noop():
                slot.answer = (
                    meta_codec.READY if self._clients.can_serve() else meta_codec.NOT_READY
                )
            case BadCommand():
                slot.answer = item.answer
                good, fatal = False, item.fatal
        self._clients.places.took(self._clients.system.now(), self.place, good)
        self.place.ending = self.place.ending or fatal

    def turn_of(self, slot: ResponseSlot) -> bool:
        """Whether all answers before this one are written."""
        return slot is self._slots[0] and not self._parsing

    def answered(self, slot: ResponseSlot) -> None:
        """An answer is whole."""
        if self.turn_of(slot):
            self._flush()
        if slot.has_room:
            self._clients.host.memory_budget.give_back(slot)
            self._clients.let_in()

    def left(self, waited: bool) -> bool:
        """Whether the client has gone. A busy loop is told late of its end, and never while it isn't read."""
        if self.ends:
            return True
        return (waited or not self.place.reading) and self._clients.system.hung_up(self.transport)

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
        match self._clients.places.settled(self.place, written, self._parser.begun, self.ends):
            case NextAction.PARSE:
                self.place.more, self._parse_due = False, True
                asyncio.get_running_loop().call_soon(self._parse)
            case NextAction.FINISH:
                self.shut(self._finish_reason)
            case NextAction.CLOSE if (
                self.clear()
            ):  # else what has come is read first, or the answer goes out first
                self.place.left = self.place.leaves
                self.shut(
                    ClientCloseReason.MIGRATED if self.place.leaves else ClientCloseReason.SHUTDOWN
                )
            case NextAction.MAKE_WAY:
                self._clients.make_way()
        self._throttle()

    def _throttle(self) -> None:
        reading = self._clients.places.reads(self.place)
        if reading is not self.place.reading and not self.ends:
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

    def unread(self) -> bool:
        """Whether something has come that is not yet parsed."""
        return self._parse_due or self._clients.system.unread(self.transport)()

    def clear(self) -> bool:
        """Whether ending it now would cross nothing that is known of: what has come, and what is unwritten.

        What comes in that very instant is read and dropped: its client asks again elsewhere.
        """
        return self.ends or not (self.unread() or self.transport.get_write_buffer_size())

    @property
    def ends(self) -> bool:
        """Whether it is closing, or shut."""
        return self._shut is not None or self.transport.is_closing()

    def shut(self, reason: ClientCloseReason | None = None, ended: bool = False) -> None:
        """End it behind what is written, dropping what still comes. `reason`: None where its client did."""
        if self.ends:
            return
        diagnostics = self._clients.host.diagnostics
        if reason is not None:
            if not diagnostics.guard.may_close(self._clients.system.now(), self._owed()):
                return
            diagnostics.client_closes.add(reason)
        self.place.ending = True
        self._shut = HalfClosedConnection(self.transport, ended=ended)
        self._clients.lingers(self)

    def _owed(self) -> list[str]:
        """Requests that were taken and have no answer yet."""
        return [
            slot.request for slot in self._slots if slot.request is not None and slot.answer is None
        ]

    def check(self, now: float) -> None:
        """Do what is due if it has been waited for, or waits, for too long."""
        if self.ends:
            return
        match self._clients.places.fate(now, self.place):
            case IdleVerdict.ABORT:
                self._clients.host.diagnostics.client_closes.add(ClientCloseReason.UNREAD)
                self.transport.abort()
            case IdleVerdict.TOO_LATE:
                self._finish_reason = ClientCloseReason.PARTIAL_COMMAND
                self._clients.places.cut_short(self.place)
                self._slots.append(ResponseSlot(self, meta_codec.TOO_LATE))
                self._flush()
            case IdleVerdict.CLOSE if (
                not self.unread()
            ):  # though it may not take the last of its answers, or never
                self.shut(ClientCloseReason.IDLE)

    def eof_received(self) -> bool:
        """The client has gone: at once, though what is written to it may be long in going out, or never."""
        self._forsake()
        if not self.transport.get_write_buffer_size():
            return False  # it closes now
        self.shut(ended=True)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._clients.remove(self)
        self._forsake()

    def _forsake(self) -> None:
        """Nobody is there for what was asked; told once, as the client may ask by the same id elsewhere."""
        self.place.ending = True
        slots, self._slots = self._slots, deque()
        for slot in slots:
            self._clients.host.memory_budget.give_back(slot)
            if slot.request is not None and slot.answer is None:
                self._clients.host.on_client_disconnected(slot.request)
        self._clients.host.memory_budget.give_back(self)
        self._clients.let_in()
