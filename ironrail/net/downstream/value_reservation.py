"""The memory for the value that one connection is receiving."""

from __future__ import annotations

import asyncio
from collections.abc import Hashable
from typing import Any, Protocol

from ironrail.connections.downstream.session_timeouts import COMMAND_TIMEOUT_SECONDS
from ironrail.net.dispatch.in_flight_request import client_timeout, time_left_for
from ironrail.net.dispatch.memory_grants import release_memory
from ironrail.net.downstream.response_slots import SlotConnection
from ironrail.net.downstream.session_context import SessionContext
from ironrail.net.protocol.meta_codec import (
    MAX_BUFFERED_VALUE_BYTES,
    BadCommand,
    CommandParser,
)

MAX_WAIT_SECONDS = COMMAND_TIMEOUT_SECONDS
"""For memory; a client that has stopped in the middle of its value is owed its error by then."""

RESPONSE_MARGIN_SECONDS = 0.05
"""The rejection is sent so long before the deadline, at which the client closes its connection."""


class ReservationObserver(Protocol):
    """Receives the end of a wait for memory."""

    def memory_granted(self) -> None:
        """Continue to read the value."""

    def memory_refused(self) -> None:
        """Reject the command, as there was no memory in time."""


class ValueReservation:
    """Reserves memory for one value at a time, or waits for it until its deadline."""

    def __init__(
        self,
        context: SessionContext[Any],
        connection: SlotConnection,
        observer: ReservationObserver,
    ) -> None:
        """Start without a reservation."""
        self._context = context
        self._connection = connection
        self._observer = observer
        self._timer: asyncio.TimerHandle | None = None
        self._value_started_at = 0.0  # when the header of the latest value may have arrived

    @property
    def has_ended(self) -> bool:
        """Whether no more values are received."""
        return self._connection.session.is_ending

    def admit(self, parser: CommandParser) -> bool:
        """Reserve memory for the value that the parser expects, or wait for it.

        Returns:
            False if there is no memory, and no time to wait for it.
        """
        session = self._connection.session
        now = self._context.system.now()
        arrived_at = self._connection.arrived_at
        self._value_started_at = now if arrived_at is None else arrived_at
        size = parser.bytes_to_reserve
        is_reserved = self._context.dispatcher.memory_budget.reserve(self, size)
        if is_reserved:
            parser.admit_value()
        elif not self._wait(size, self._time_left(parser, now)):
            return False
        session.value_started(now, size > MAX_BUFFERED_VALUE_BYTES, is_reserved)
        return True

    def waited_seconds(self, now: float) -> float:
        """Return the seconds since the header of the latest value may have arrived."""
        return now - self._value_started_at

    def _time_left(self, parser: CommandParser, now: float) -> float:
        """Return the seconds until the deadline of a write if its value is here already."""
        command = parser.command_without_value()
        if isinstance(command, BadCommand):
            return 0.0  # its value is of no use
        seconds = client_timeout(command) - self.waited_seconds(now)
        return time_left_for(self._connection.client_region, seconds)

    def _wait(self, size: int, time_left: float) -> bool:
        """Wait for memory, and return whether there is time for that."""
        wait_seconds = min(MAX_WAIT_SECONDS, time_left - RESPONSE_MARGIN_SECONDS)
        if wait_seconds <= 0.0:
            return False
        self._context.dispatcher.memory_budget.wait(self, size)
        self._timer = asyncio.get_running_loop().call_later(wait_seconds, self.refuse)
        return True

    def memory_granted(self) -> None:
        """Pass on that the memory is reserved."""
        self._cancel_timer()
        self._observer.memory_granted()

    def refuse(self) -> None:
        """Stop waiting, and have the command rejected."""
        self.release()
        self._observer.memory_refused()

    def hand_over(self, new_owner: Hashable) -> None:
        """Pass the memory of a complete value on to its command."""
        self._context.dispatcher.memory_budget.transfer(self, new_owner)

    def release(self) -> None:
        """Release the memory, or leave the queue for it."""
        self._cancel_timer()
        release_memory(self._context.dispatcher.memory_budget, self)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
