"""The responses to one connection's commands, written in the order of the commands."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from ironrail.net.dispatch.memory_grants import release_memory
from ironrail.net.downstream.response_slots import ResponseSlot, SlotConnection
from ironrail.net.downstream.session_context import SessionContext
from ironrail.net.protocol.framing import MAX_BUFFERED_VALUE_BYTES, MAX_UNRESERVED_VALUE_BYTES


class ResponseQueue:
    """The commands of one connection whose responses are not yet written.

    Attributes:
        is_held: Whether no response is written now, as more commands are being parsed.
        has_ended: Whether the connection has ended, and no memory is held for it.
    """

    def __init__(
        self,
        context: SessionContext[Any],
        connection: SlotConnection,
        on_ready: Callable[[], None],
    ) -> None:
        """Start empty; `on_ready` is called when the next response can be written."""
        self._context = context
        self._connection = connection
        self._on_ready = on_ready
        self._slots: deque[ResponseSlot] = deque()
        self.is_held = False
        self.has_ended = False
        self._reserved_bytes = 0

    def add(self) -> ResponseSlot:
        """Add the slot for the response to one more command."""
        slot = ResponseSlot(self._connection, self)
        self._slots.append(slot)
        return slot

    def is_next(self, slot: ResponseSlot) -> bool:
        """Whether all responses before this one are written.

        False for a slot that is no longer queued, as its client has left.
        """
        return bool(self._slots) and slot is self._slots[0] and not self.is_held

    def response_completed(self, slot: ResponseSlot) -> None:
        """Release the memory of a command, and write its complete response if it is next."""
        if self.is_next(slot):
            self._on_ready()
        if slot.holds_memory:
            release_memory(self._context.dispatcher.memory_budget, slot)

    def reserve(self, slot: ResponseSlot, size: int) -> bool:
        """Reserve memory for a complete response, unless it can be written at once.

        Args:
            slot: The slot of its command.
            size: Its size in bytes.

        Returns:
            Whether there was enough.
        """
        if size <= MAX_UNRESERVED_VALUE_BYTES:
            return True
        has_unsent = self._connection.transport.get_write_buffer_size() > 0
        if self.is_next(slot) and not has_unsent and size <= MAX_BUFFERED_VALUE_BYTES:
            return True
        if not self._context.dispatcher.memory_budget.reserve_response(self, size):
            return False
        self._reserved_bytes += size
        return True

    def update_memory(self) -> None:
        """Adjust the reservation to the responses that are complete and not sent yet."""
        unsent_bytes = self._connection.transport.get_write_buffer_size()
        if not unsent_bytes and not self._reserved_bytes:
            return
        if self._slots and self._slots[0].is_streaming:
            unsent_bytes = 0  # the stream has its own reservation
        complete = [slot.response for slot in self._slots if slot.response is not None]
        self._set_reserved(unsent_bytes + sum(map(len, complete)))

    def _set_reserved(self, size: int) -> None:
        if size == self._reserved_bytes:
            return
        self._reserved_bytes = size
        self._context.dispatcher.memory_budget.set_response(self, size)
        self._context.grant_memory()

    def end(self) -> None:
        """Release the memory, as the connection has ended."""
        self.has_ended = True
        self._set_reserved(0)

    def update_flow_control(self) -> None:
        """Pause or resume the server whose response is being streamed."""
        if self._slots:
            self._slots[0].update_flow_control()

    def write_ready(self) -> int:
        """Write the responses that are next, and return how many of them are complete."""
        ready: list[bytes] = []
        written = 0
        while self._slots:
            slot = self._slots[0]
            if slot.is_streaming:
                ready += slot.take_buffered()
            if slot.response is None:
                break
            ready.append(slot.response)
            self._slots.popleft()
            written += 1
        if ready:
            self._connection.transport.write(b"".join(ready))
        self.update_memory()
        if self._slots and self._slots[0].is_streaming:
            self._slots[0].update_flow_control()
        return written

    def unanswered_requests(self) -> list[str]:
        """Ids of the requests that were dispatched and have no response."""
        return [
            slot.request_id
            for slot in self._slots
            if slot.request_id is not None and slot.response is None
        ]

    def cancel_requests(self) -> None:
        """Cancel all requests, whose ids the client may reuse on another connection."""
        dispatcher = self._context.dispatcher
        slots = self._slots
        self._slots = deque()
        for slot in slots:
            release_memory(dispatcher.memory_budget, slot)
            if slot.request_id is not None and slot.response is None:
                dispatcher.on_client_disconnected(slot.request_id)
