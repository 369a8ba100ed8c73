"""The replies of a cache once the work of a command is done, and how faults change them."""

from __future__ import annotations

import asyncio
import itertools

from ironrail.rehearsal.account.record import Ended
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.standins.cache_connection import CacheConnection, PendingCommand
from ironrail.rehearsal.standins.corruption import (
    ENDLESS_CHUNK_BYTES,
    ENDLESS_VALUE_BYTES,
    MAX_ENDLESS_CHUNKS,
    corrupt,
    second_answer,
    surplus,
)
from ironrail.rehearsal.standins.world import World

FAILED = b"SERVER_ERROR failed\r\n"
SLOW_CLOSE_SECONDS = 0.3  # from when a connection stops reading to its reset
SECOND_ANSWER_SECONDS = 0.001, 0.02  # from an answer to the second one to the same command
LATE_RESET_SECONDS = 0.2, 1.5  # from the end of the work to a reset that replaces the answer
DEFAULT_FAULT_SHARES = {  # of replies that a fault hits, unless the fault says otherwise
    FaultKind.RESET: 0.2,
    FaultKind.SPOILT: 0.2,
    FaultKind.SURPLUS: 0.3,
    FaultKind.ENDLESS: 0.05,
    FaultKind.ERRORS: 0.2,
    FaultKind.SLOW_CLOSE: 0.1,
    FaultKind.LOST: 0.02,
    FaultKind.SECOND_ANSWER: 0.3,  # of connections
    FaultKind.LATE_RESET: 0.1,
}


class Replies:
    """Sends the replies of one cache."""

    def __init__(self, world: World, name: str) -> None:
        self._world, self._name = world, name
        self._draws = world.draws(f"cache.{name}")
        # a stream of its own, so that this fault doesn't shift the other draws
        self._second_draws = world.draws(f"cache.{name}.second")
        self._numbers = itertools.count()
        self._faults: dict[object, tuple[FaultKind, float]] = {}  # kind and share of replies, by cause

    def begin_fault(self, cause: object, kind: FaultKind, severity: float | None) -> None:
        """Begins a fault; `severity` is the share of replies that it hits, None for the default."""
        self._faults[cause] = kind, severity if severity is not None else DEFAULT_FAULT_SHARES[kind]

    def end_fault(self, cause: object) -> None:
        """Ends the fault of this cause."""
        self._faults.pop(cause, None)

    def _hits(self, kind: FaultKind) -> bool:
        return any(k is kind and self._draws.random() < share for k, share in self._faults.values())

    def reply(self, pending: PendingCommand, size: int | None) -> None:
        """Replies to a command; `size` is that of its value in bytes, None for a miss."""
        request = pending.command.request
        if self._hits(FaultKind.ERRORS):
            pending.finish(FAILED, Ended.ERROR)
        elif self._hits(FaultKind.RESET):
            pending.attempt.end(Ended.RESET, self._world.now())
            pending.connection.reset()
        elif self._hits(FaultKind.LOST):
            # never answered, and neither are later commands on the connection
            pending.attempt.end(Ended.LOST, self._world.now())
        elif self._hits(FaultKind.LATE_RESET):  # neither this nor later commands are answered
            delay = self._draws.uniform(*LATE_RESET_SECONDS)
            asyncio.get_running_loop().call_later(delay, self._reset_late, pending)
        elif size is None:
            pending.finish(f"EN O{request}\r\n".encode(), Ended.MISS)
        else:
            self._reply_value(pending, self._value(pending, size))

    def _reset_late(self, pending: PendingCommand) -> None:
        if not pending.connection.closed:
            pending.attempt.end(Ended.RESET, self._world.now())
            pending.connection.reset()

    def _value(self, pending: PendingCommand, size: int) -> bytes:
        request, number = pending.command.request, next(self._numbers)
        value = self._world.make_value(request, pending.command.key, self._name, number, size)
        return f"VA {len(value)} O{request} h1\r\n".encode() + value + b"\r\n"

    def _reply_value(self, pending: PendingCommand, good: bytes) -> None:
        """Sends a good reply, or a faulty one where a fault hits."""
        connection = pending.connection
        if self._hits(FaultKind.SPOILT):
            pending.finish(corrupt(good, self._draws), Ended.SPOILT)
        elif self._hits(FaultKind.ENDLESS):
            pending.finish(
                f"VA {ENDLESS_VALUE_BYTES} O{pending.command.request} h1\r\n".encode(), Ended.SPOILT
            )
            self._send_chunks(connection, MAX_ENDLESS_CHUNKS)
        elif self._hits(FaultKind.SURPLUS) and connection.is_only_pending(pending):
            pending.finish(good + surplus(good, self._draws), Ended.SERVED)
        else:
            pending.finish(good, Ended.SERVED)
            self._maybe_answer_twice(connection, good)
        if self._hits(FaultKind.SLOW_CLOSE):
            connection.ignores_input = True  # what the router sends from now on ends in a reset
            asyncio.get_running_loop().call_later(SLOW_CLOSE_SECONDS, connection.reset)

    def _send_chunks(self, connection: CacheConnection, num_chunks: int) -> None:
        if num_chunks and not connection.closed:
            connection.write(b"x" * ENDLESS_CHUNK_BYTES)
            asyncio.get_running_loop().call_later(0.02, self._send_chunks, connection, num_chunks - 1)

    def _maybe_answer_twice(self, connection: CacheConnection, good: bytes) -> None:
        """Answers the same command a second time, on the connections that this fault hits."""
        share = max((s for k, s in self._faults.values() if k is FaultKind.SECOND_ANSWER), default=0.0)
        if not share:
            return
        if connection.fault_draw is None:
            connection.fault_draw = self._second_draws.random()
        if connection.fault_draw < share:
            delay = self._second_draws.uniform(*SECOND_ANSWER_SECONDS)
            second = second_answer(good, self._second_draws)
            asyncio.get_running_loop().call_later(delay, connection.write_unsolicited, second)
