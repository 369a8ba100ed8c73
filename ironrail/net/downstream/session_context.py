"""What one client's connection needs of all of them."""

from __future__ import annotations

import asyncio
from typing import Protocol, TypeVar

from ironrail.connections.downstream.session_manager import ClientSession, ClientSessionManager
from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.dispatch.pending_request import ClientReader
from ironrail.net.system import System

Connection_contra = TypeVar("Connection_contra", contravariant=True)


class SessionContext(Protocol[Connection_contra]):
    """All connections of clients."""

    host: RequestDispatcher
    places: ClientSessionManager
    system: System
    over: bool  # all that was held has its answer, and what still comes is refused

    def can_serve(self) -> bool:
        """Whether requests may come."""

    def add(self, connection: Connection_contra) -> ClientSession:
        """A connection has come up."""

    def lingers(self, connection: Connection_contra) -> None:
        """A connection is shut, and waits for its other end to close."""

    def remove(self, connection: Connection_contra) -> None:
        """A connection has ended."""

    def reader_of(self, transport: asyncio.Transport) -> ClientReader | None:
        """Whoever is at its other end, where regions of readers are told apart."""

    def let_in(self) -> None:
        """Go on with those whose long value there is room for now."""

    def make_way(self) -> None:
        """Shut those that rest for others, where that crosses nothing."""
