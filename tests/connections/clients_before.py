"""Client connections: commands in, answers out in the order of the commands."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import select
import socket
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from ironrail.net import memcache
from ironrail.net.host import Host
from ironrail.net.memcache import BadCommand, Command, CommandParser, Noop
from ironrail.net.pool import Address

log = logging.getLogger(__name__)

MOST_PIPELINED = 64  # commands of one connection in hand, beyond which none is parsed or read
MOST_BAD = (
    8  # commands in a row that were turned away, after which the connection is: they cost CPU for nothing
)
LINGER = 1.0  # for the error line to be read: closing at once on unread bytes would destroy it
PATIENCE = 2.2  # seconds for a whole command: silence and halves would keep their descriptor for good
IDLE = 30.0  # seconds between commands, after which a client has more likely gone than paused
UNREAD = 10.0  # seconds in which a client takes no answer: what it has asked for would stay in memory
SWEEP = 0.25  # seconds between looks at all connections
BACKLOG = 512
CLIENTS_SHARE = 1 / 3  # of the configured descriptors: what all clients together open for requests at most
KEPT_SHARE = 5 / 8  # of that third: above it, who rested longest makes room; the rest is there for a burst
LOOKS = 8  # at the most at connections that might make room, for each that is used: no scan of a crowd
ACCEPTS = 16  # connections taken in one go: a crowd of them must hold up no answers
FULL_PAUSE = 0.1  # seconds without accepting where the system has no descriptor left


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
        self._since = time.monotonic()  # when the command began that is still to come
        self._bad = 0  # commands turned away in a row
        self._more = False  # what was read is not yet parsed to its end
        self._parsing = False
        self._reading = True
        self._unread_since: float | None = None
        self._ending = False  # nothing more is taken

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self._clients.add(self)

    def data_received(self, data: bytes) -> None:
        if self._ending:
            return
        self._clients.busy(self)
        if not self._parser.begun and self._clients.has_used(self):
            self._since = time.monotonic()
        self._parser.add(data)
        self._parse()

    def _parse(self) -> None:
        """Take commands, up to the bound: the rest waits for its turn, or one client would hold up all."""
        if self._ending:
            return
        self._parsing, self._more = True, False
        while not self._ending:
            if len(self._slots) >= MOST_PIPELINED:
                self._more = True
                break
            item = self._parser.next()
            if item is None:
                break
            self._take(item)
        self._parsing = False
        self._flush()

    def _take(self, item: Command | Noop | BadCommand) -> None:
        slot = Slot()
        self._slots.append(slot)
        match item:
            case Command():
                slot.request = self._clients.host.take(item, lambda answer: self._answered(slot, answer))
                self._note(slot.request is not None)
            case Noop():
                slot.answer = memcache.READY if self._clients.can_serve() else memcache.NOT_READY
                self._note(True)
            case BadCommand(answer, fatal):
                slot.answer = answer
                self._note(False)
                self._ending = self._ending or fatal

    def _note(self, good: bool) -> None:
        """Keep apart who makes use of the router and who wears it out."""
        if good:
            self._bad, self._since = 0, time.monotonic()
            self._clients.used(self)
        else:
            self._bad += 1
            self._ending = self._bad >= MOST_BAD

    def _answered(self, slot: Slot, answer: bytes) -> None:
        slot.answer = answer
        if slot is self._slots[0] and not self._parsing:
            self._flush()

    def _flush(self) -> None:
        """Write the answers whose turn it is."""
        ready = []
        while self._slots and self._slots[0].answer is not None:
            ready.append(self._slots.popleft().answer or b"")
        if ready:
            self.transport.write(b"".join(ready))
        if self._more and not self._ending and len(self._slots) < MOST_PIPELINED:
            self._more = False
            asyncio.get_running_loop().call_soon(self._parse)
        elif not self._slots and self._ending and not self.transport.is_closing():
            self.transport.write_eof()
            asyncio.get_running_loop().call_later(LINGER, self.transport.abort)
        elif self.idle() and not self.transport.is_closing():
            self._clients.rested(self)
        self._throttle()

    def _throttle(self) -> None:
        """Guards memory against clients that send and never read, and CPU against what is not taken."""
        reading = not self._ending and self._unread_since is None and len(self._slots) < MOST_PIPELINED
        if reading is not self._reading and not self.transport.is_closing():
            self._reading = reading
            if reading:
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()

    def pause_writing(self) -> None:
        self._unread_since = time.monotonic()
        self._throttle()

    def resume_writing(self) -> None:
        self._unread_since = None
        self._throttle()

    def idle(self) -> bool:
        return not self._slots and not self._parser.begun

    def settled(self) -> bool:
        """Whether closing it now would cross nothing, neither what has come unread nor what is unwritten."""
        waiting = select.poll()
        waiting.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not waiting.poll(0) and not self.transport.get_write_buffer_size()

    def check(self, now: float) -> None:
        """Guards descriptors and memory against clients that stop midway, never start, or stay for no use."""
        if self._ending or self.transport.is_closing():
            return
        if self._unread_since is not None:
            if now - self._unread_since >= UNREAD:
                self.transport.abort()
        elif self._parser.begun or not self._clients.has_used(self):
            if now - self._since >= PATIENCE and not self._more and self._reading:
                self._slots.append(Slot(answer=memcache.TOO_LATE))
                self._ending = True
                self._flush()
        elif not self._slots and now - self._since >= IDLE:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._ending = True
        self._clients.remove(self)
        for slot in self._slots:
            if slot.request is not None and slot.answer is None:
                self._clients.host.gone(slot.request)


class Clients:
    """All client connections of this router."""

    def __init__(self, host: Host, ready: Callable[[], bool], most: int, kept: int) -> None:
        self.host, self._ready = host, ready
        self.draining = False
        self._most = most  # connections at once
        self._kept = kept  # used ones, beyond which those that rest make room
        self._loop = asyncio.get_running_loop()
        self._new: dict[ClientConnection, None] = {}  # none of their commands was of use; the oldest is first
        self._used: dict[ClientConnection, None] = {}  # the least recently used is first
        self._resting = OrderedDict[ClientConnection, None]()  # of the used, the longest first
        self._opening: set[asyncio.Task[None]] = set()
        self._coming = 0  # accepted, and not yet among the new ones
        self._empty = asyncio.Event()
        self._empty.set()

    def listen(self, address: Address) -> Address:
        """Take connections from now on; answers with the address listened on."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.create_server(address, family=family, backlog=BACKLOG)
        self._socket.setblocking(False)
        self._loop.add_reader(self._socket, self._accept)
        self._loop.call_later(SWEEP, self._sweep)
        host, port = self._socket.getsockname()[:2]
        return host, port

    def _accept(self) -> None:
        for _ in range(ACCEPTS):
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, ConnectionError):
                return
            except OSError as e:
                log.error("accepts no connections for a while: %s", e)
                self._loop.remove_reader(self._socket)
                self._loop.call_later(FULL_PAUSE, self._go_on)
                return
            connection.setblocking(False)
            if self._make_room():
                task = self._loop.create_task(self._adopt(connection))
                self._opening.add(task)
                self._coming += 1
                task.add_done_callback(self._opening.discard)
            else:
                with contextlib.suppress(OSError):
                    connection.send(memcache.TOO_MANY)
                connection.close()

    def _go_on(self) -> None:
        if self._socket.fileno() >= 0:
            self._loop.add_reader(self._socket, self._accept)

    async def _adopt(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: ClientConnection(self), connection)
        except OSError:  # it has ended already
            self._coming -= 1
            connection.close()

    def _make_room(self) -> bool:
        """Guards the limit on descriptors: who never used one loses it first, then who did so longest ago."""
        if len(self._new) + len(self._used) + self._coming < self._most:
            return True
        victim = next(iter(self._new), None) or next(iter(self._resting), None)
        if victim is None:
            return False
        self.remove(victim)
        victim.transport.abort()
        return True

    def stop_listening(self) -> None:
        """Take what the system has accepted already, and nothing more."""
        self._accept()
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def can_serve(self) -> bool:
        return self._ready() and not self.draining

    def add(self, connection: ClientConnection) -> None:
        self._new[connection] = None
        self._coming -= 1
        self._empty.clear()

    def has_used(self, connection: ClientConnection) -> bool:
        """Whether it has ever sent a command that was of use."""
        return connection in self._used

    def used(self, connection: ClientConnection) -> None:
        """It has sent such a command."""
        self._new.pop(connection, None)
        self._used.pop(connection, None)
        self._used[connection] = None

    def busy(self, connection: ClientConnection) -> None:
        """Something has come on it."""
        self._resting.pop(connection, None)

    def rested(self, connection: ClientConnection) -> None:
        """All that came on it is answered."""
        if self.draining:
            connection.transport.close()
        elif connection in self._used:
            self._resting[connection] = None
            self._make_way()

    def _make_way(self) -> None:
        """Guards clients' own third of the descriptors: those that ask once and stay would use it up.

        Clients that find no connection free open one, as far as their third of the descriptors goes. Where
        resting ones fill it, the others are refused beside an idle router. The one used last always stays,
        as its client most likely comes back to it.
        """
        for _ in range(LOOKS):
            if len(self._used) <= self._kept or len(self._resting) <= 1:
                return
            longest = next(iter(self._resting))
            if longest.settled():
                self.remove(longest)
                longest.transport.close()
            else:
                self._resting.move_to_end(longest)

    def remove(self, connection: ClientConnection) -> None:
        self._new.pop(connection, None)
        self._used.pop(connection, None)
        self._resting.pop(connection, None)
        if not self._new and not self._used:
            self._empty.set()

    def _sweep(self) -> None:
        now = time.monotonic()
        for connection in [*self._new, *self._used]:
            connection.check(now)
        self._loop.call_later(SWEEP, self._sweep)

    def drain(self) -> None:
        """Close connections as they fall idle."""
        self.draining = True
        for connection in [*self._new, *self._used]:
            if connection.idle():
                connection.transport.close()

    async def drained(self) -> None:
        """Wait until the last has closed."""
        if self._opening:
            await asyncio.wait(self._opening)
        await self._empty.wait()
