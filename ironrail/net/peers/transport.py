"""UDP transport between routers: carries the messages of the protocols in `ironrail/peers/`."""

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
from ironrail.operator_file import PeerSettings
from ironrail.peers.messages import ALL_PEERS, Outgoing, PeerProtocol, Timestamped, Topic
from ironrail.peers.transport.datagram_codec import DatagramCodec
from ironrail.peers.transport.keys import KeyRing
from ironrail.peers.transport.send_queue import SendQueue

log = logging.getLogger(__name__)

MIN_TIMER_SECONDS = 0.002  # protocols have frequent timers, and arming one costs 20 us of CPU
# Received datagrams that are processed: 1% of a core if all are invalid, 1.3% if all are valid.
MAX_DATAGRAMS_PER_SECOND = 4000
INCARNATION_RANDOM_BITS = 7  # below the milliseconds in an incarnation


@dataclass(frozen=True, slots=True)
class PeerTable:
    """The addresses of all routers, from the platform's configuration.

    Attributes:
        listen: The address this router binds.
        peers: The address of each router, by router index, including this one.
        broadcast: An address that reaches all routers with one datagram; None without one.
    """

    listen: Address
    peers: tuple[Address, ...]
    broadcast: Address | None


def read_peer_table(table: dict[str, Any]) -> PeerTable:
    """Read the addresses from the platform's configuration.

    Raises:
        ConfigError: A field is missing or invalid.
    """
    peers = table.get("peers")
    if not isinstance(peers, list) or not len(peers) >= 2:
        raise ConfigError("must be a list of addresses, one for each router", "peers")
    broadcast = table.get("peers_all")
    return PeerTable(
        address_of("peer_listen", table.get("peer_listen")),
        tuple(address_of(f"peers[{n}]", peer) for n, peer in enumerate(peers)),
        address_of("peers_all", broadcast) if broadcast is not None else None,
    )


def draw_incarnation(system: System) -> int:
    """Return an identifier for this process.

    It is above those of earlier processes unless the wall clock steps back.

    It only distinguishes the incarnations of a router; a handshake proves which one is running.
    """
    drawn = int.from_bytes(os.urandom(1), "big") >> (8 - INCARNATION_RANDOM_BITS)
    return ((int(system.wall() * 1000) << INCARNATION_RANDOM_BITS) | drawn) % (1 << 48) or 1


class PeerTransport(asyncio.DatagramProtocol):
    """Sends and receives the datagrams of all peer protocols of one router.

    Attributes:
        codec: Authenticates and fragments messages.
        unread: Datagrams dropped beyond `MAX_DATAGRAMS_PER_SECOND`.
        unsent: Datagrams that the operating system did not accept.
    """

    def __init__(
        self,
        own_index: int,
        table: PeerTable,
        conf: PeerSettings,
        incarnation: int,
        system: System,
        after_event: Callable[[], None],
    ) -> None:
        """Create the transport; call from a running event loop.

        Args:
            own_index: This router's index.
            table: The addresses of all routers.
            conf: The operator's settings on peers.
            incarnation: Identifier of this process.
            system: Clocks and sockets.
            after_event: Called after each event, when the state of a protocol may have changed.
        """
        self._system, self._table, self._after_event = system, table, after_event
        self._indices = {address: index for index, address in enumerate(table.peers)}
        self.codec = DatagramCodec(
            own_index,
            incarnation,
            KeyRing(conf.sending_key_id, conf.load_secrets()),
            len(table.peers),
            os.urandom,
        )
        self._send_queue = SendQueue(
            self._seal, len(table.peers) - 1, float(conf.max_bytes_per_second), now=system.now()
        )
        self._protocols: dict[Topic, PeerProtocol] = {}
        # fill in the time of sending as a message leaves the send queue
        self._timestampers: dict[Topic, Callable[[float, Outgoing], Outgoing]] = {}
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._allowed, self._allowed_at = float(MAX_DATAGRAMS_PER_SECOND), system.now()
        self.unread = 0
        self.unsent = 0

    def register(self, protocol: PeerProtocol) -> None:
        """Carry the messages of this protocol; one for each topic."""
        self._protocols[protocol.topic] = protocol
        if isinstance(protocol, Timestamped):
            self._timestampers[protocol.topic] = protocol.with_timestamp

    async def open(self, handshake_peers: Sequence[int] = ()) -> None:
        """Listen for datagrams.

        Args:
            handshake_peers: Routers to start a handshake with now, so that their messages can be
                accepted from the first one on.

        Raises:
            OSError: The address can't be bound.
        """
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=self._table.listen)
        for peer_index in handshake_peers:
            self.codec.start_handshake(self._system.now(), peer_index)
        self.run_timers()

    def close(self) -> None:
        """Cancel the timer and close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket's transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass the message in a datagram to its protocol."""
        now = self._system.now()
        self._allowed = min(
            float(MAX_DATAGRAMS_PER_SECOND),
            self._allowed + (now - self._allowed_at) * MAX_DATAGRAMS_PER_SECOND,
        )
        self._allowed_at = now
        # Protects the CPU against a flood; peers repeat messages that are dropped here.
        if self._allowed < 1.0:
            self.unread += 1
            return
        self._allowed -= 1.0
        for topic, received in self.codec.open(now, self._indices.get((addr[0], addr[1])), data):
            if (protocol := self._protocols.get(topic)) is not None:
                protocol.on_message(now, received)
        self.flush()

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors, as of a peer that is down: the protocols repeat their messages."""

    # Timers and sending

    def run_timers(self) -> None:
        """Call the protocols whose timer is due, and send their messages."""
        self._timer = None
        now = self._system.now()
        for protocol in self._protocols.values():
            if protocol.next_timer_at() <= now:
                protocol.on_timer(now)
        self.flush()

    def flush(self) -> None:
        """Send what the rate limit admits of the protocols' messages, and arm the next timer."""
        now = self._system.now()
        for outgoing in [
            *self.codec.take_outgoing(now),
            *(
                outgoing
                for protocol in self._protocols.values()
                for outgoing in protocol.take_outgoing()
            ),
        ]:
            self._send_queue.enqueue(now, outgoing)
        for to, datagram in self._send_queue.take_sendable(now):
            self._send(to, datagram)
        due = min(
            [
                self.codec.next_timer_at(),
                self._send_queue.next_timer_at(),
                *(protocol.next_timer_at() for protocol in self._protocols.values()),
            ]
        )
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due < float("inf"):
            self._timer = self._loop.call_later(max(MIN_TIMER_SECONDS, due - now), self.run_timers)
        self._after_event()

    def enqueue(self, outgoing: Outgoing) -> None:
        """Queue a message; it is sent by the next `flush`."""
        self._send_queue.enqueue(self._system.now(), outgoing)

    def _seal(self, outgoing: Outgoing) -> list[tuple[int, bytes]]:
        timestamp = self._timestampers.get(outgoing.topic)
        return self.codec.seal(
            outgoing if timestamp is None else timestamp(self._system.now(), outgoing)
        )

    def _send(self, to: int, datagram: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        broadcast = self._table.broadcast
        own_index = self.codec.own_index
        if to != ALL_PEERS:
            targets: Sequence[Address] = (self._table.peers[to],)
        elif broadcast is not None:
            targets = (broadcast,)
        else:
            targets = [peer for index, peer in enumerate(self._table.peers) if index != own_index]
        for target in targets:
            with contextlib.suppress(OSError):
                self._transport.sendto(datagram, target)
                continue
            self.unsent += 1

    def counters(self) -> dict[str, int]:
        """Return counts of datagrams and bytes since the start of the process."""
        dropped = {
            f"dropped_{reason.name.lower()}": count
            for reason, count in self.codec.drop_counts().items()
        }
        own = {
            "opened": self.codec.opened,
            "sent_bytes": self._send_queue.sent_bytes,
            "unread": self.unread,
        }
        return own | {"unsent": self.unsent} | dropped
