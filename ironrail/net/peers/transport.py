"""Datagrams between routers: carries what the rooms of `ironrail/peers/` say and hear; decides nothing."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, cast

from ironrail.net.config import ConfigError, address_of
from ironrail.net.system import Address, System
from ironrail.operator_file import Peers
from ironrail.peers.messages import ALL, Outgoing, PeerProtocol, Timestamped, Topic
from ironrail.peers.transport.keys import Keys
from ironrail.peers.transport.outbox import Outbox
from ironrail.peers.transport.wire import Wire

log = logging.getLogger(__name__)

LEAST_WAIT = 0.002  # seconds between two looks at what is due: rooms wake often, and a timer costs 20 us
MOST_SECOND = 4000  # datagrams a second that are looked at: 1% of a core for noise, 1.3% for the rest
START_BITS = 7  # drawn, below the milliseconds of a start


@dataclass(frozen=True, slots=True)
class Tier:
    """The addresses of all routers, as the platform tells them."""

    listen: Address
    peers: tuple[Address, ...]  # by number; our own among them
    everybody: Address | None  # one datagram to it reaches all


def read_tier(table: dict[str, Any]) -> Tier:
    """What a configuration says of peers; ConfigError where it says nothing of use."""
    peers = table.get("peers")
    if not isinstance(peers, list) or not len(peers) >= 2:
        raise ConfigError("must be a list of addresses, one for each router", "peers")
    everybody = table.get("peers_all")
    return Tier(
        address_of("peer_listen", table.get("peer_listen")),
        tuple(address_of(f"peers[{n}]", peer) for n, peer in enumerate(peers)),
        address_of("peers_all", everybody) if everybody is not None else None,
    )


def start_of(system: System) -> int:
    """A number for this process above those of the ones before it, as far as the wall clock goes forward.

    It only orders a router's own lives; that a life is the present one is proven on the wire.
    """
    drawn = int.from_bytes(os.urandom(1), "big") >> (8 - START_BITS)
    return ((int(system.wall() * 1000) << START_BITS) | drawn) % (1 << 48) or 1


class Peering(asyncio.DatagramProtocol):
    """One router's end of all that is said between routers."""

    def __init__(
        self, me: int, tier: Tier, conf: Peers, start: int, system: System, settled: Callable[[], None]
    ) -> None:
        """`settled`: is told after each event, when rooms may know something new."""
        self._system, self._tier, self._settled = system, tier, settled
        self._numbers = {address: number for number, address in enumerate(tier.peers)}
        self.wire = Wire(me, start, Keys(conf.sending, conf.secrets()), len(tier.peers), os.urandom)
        self._outbox = Outbox(self._seal, len(tier.peers) - 1, float(conf.pace), now=system.now())
        self._rooms: dict[Topic, PeerProtocol] = {}
        self._stamps: dict[
            Topic, Callable[[float, Outgoing], Outgoing]
        ] = {}  # what is put in as a message goes
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._allowed, self._allowed_at = float(MOST_SECOND), system.now()
        self.unread = 0  # datagrams beyond what is looked at
        self.unsent = 0  # that the system did not take

    def add(self, room: PeerProtocol) -> None:
        self._rooms[room.topic] = room
        if isinstance(room, Timestamped):
            self._stamps[room.topic] = room.with_timestamp

    async def open(self, meet: Sequence[int] = ()) -> None:
        """Listen; `meet`: routers whose present life is to be asked for before anything of it is needed."""
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=self._tier.listen)
        for number in meet:
            self.wire.meet(self._system.now(), number)
        self.wake()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    # What the loop tells

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        now = self._system.now()
        self._allowed = min(float(MOST_SECOND), self._allowed + (now - self._allowed_at) * MOST_SECOND)
        self._allowed_at = now
        if self._allowed < 1.0:  # guards the CPU against a flood: what is good in it is said again
            self.unread += 1
            return
        self._allowed -= 1.0
        for topic, heard in self.wire.open(now, self._numbers.get((addr[0], addr[1])), data):
            if (room := self._rooms.get(topic)) is not None:
                room.on_message(now, heard)
        self.go_on()

    def error_received(self, exc: Exception) -> None:
        """A peer's machine has nobody there: it will be said again."""

    # What is due

    def wake(self) -> None:
        """Time has passed, or something was asked of a room."""
        self._timer = None
        now = self._system.now()
        for room in self._rooms.values():
            if room.next_timer_at() <= now:
                room.on_timer(now)
        self.go_on()

    def go_on(self) -> None:
        """Send what is said, and be called again when the next is due."""
        now = self._system.now()
        for say in [
            *self.wire.say(now),
            *(say for room in self._rooms.values() for say in room.take_outgoing()),
        ]:
            self._outbox.put(now, say)
        for to, datagram in self._outbox.take(now):
            self._send(to, datagram)
        due = min(
            [self.wire.wake_at(), self._outbox.wake_at(), *(r.next_timer_at() for r in self._rooms.values())]
        )
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due < float("inf"):
            self._timer = self._loop.call_later(max(LEAST_WAIT, due - now), self.wake)
        self._settled()

    def say(self, say: Outgoing) -> None:
        self._outbox.put(self._system.now(), say)

    def _seal(self, say: Outgoing) -> list[tuple[int, bytes]]:
        stamp = self._stamps.get(say.topic)
        return self.wire.seal(say if stamp is None else stamp(self._system.now(), say))

    def _send(self, to: int, datagram: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        everybody = self._tier.everybody
        me = self.wire.me
        if to != ALL:
            targets: Sequence[Address] = (self._tier.peers[to],)
        elif everybody is not None:
            targets = (everybody,)
        else:
            targets = [peer for number, peer in enumerate(self._tier.peers) if number != me]
        for target in targets:
            with contextlib.suppress(OSError):
                self._transport.sendto(datagram, target)
                continue
            self.unsent += 1

    def figures(self) -> dict[str, int]:
        """Counts since the start."""
        dropped = {f"dropped_{reason.name.lower()}": count for reason, count in self.wire.dropped().items()}
        own = {"opened": self.wire.opened, "sent_bytes": self._outbox.sent, "unread": self.unread}
        return own | {"unsent": self.unsent} | dropped
