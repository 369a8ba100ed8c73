"""What a grid cache replies once its work is done, and what faults make of that."""

from __future__ import annotations

import asyncio
import itertools

from ironrail.rehearsal.account.record import Ended
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.standins.cache_connection import CacheConnection, Turn
from ironrail.rehearsal.standins.corruption import (
    ENDLESS_LENGTH,
    ENDLESS_PIECE,
    ENDLESS_PIECES,
    second_answer,
    spoil,
    surplus,
)
from ironrail.rehearsal.standins.world import World

FAILED = b"SERVER_ERROR failed\r\n"
SLOW_CLOSE = 0.3  # seconds for which a connection reads no more before it is reset
SECOND_AFTER = 0.001, 0.02  # seconds from an answer to the second one to the same command
RESET_AFTER = 0.2, 1.5  # seconds from the end of the work, for a reset that comes long after
SHARES = {  # of replies that a fault hits, where it does not say how hard
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
    """Gives the replies of one cache."""

    def __init__(self, world: World, name: str) -> None:
        self._world, self._name = world, name
        self._draws = world.draws(f"cache.{name}")
        self._second_draws = world.draws(f"cache.{name}.second")  # its own: no other draw moves with it
        self._numbers = itertools.count()
        self._faults: dict[object, tuple[FaultKind, float]] = {}

    def begin(self, cause: object, kind: FaultKind, hard: float | None) -> None:
        """Replies fail from now on, in the way of this kind."""
        self._faults[cause] = kind, hard if hard is not None else SHARES[kind]

    def end(self, cause: object) -> None:
        self._faults.pop(cause, None)

    def _hits(self, kind: FaultKind) -> bool:
        return any(k is kind and self._draws.random() < share for k, share in self._faults.values())

    def give(self, turn: Turn, size: int | None) -> None:
        """The work of a command is done; `size` in bytes of its value, None where there is none."""
        request = turn.command.request
        if self._hits(FaultKind.ERRORS):
            turn.finish(FAILED, Ended.ERROR)
        elif self._hits(FaultKind.RESET):
            turn.attempt.end(Ended.RESET, self._world.now())
            turn.connection.reset()
        elif self._hits(FaultKind.LOST):
            turn.attempt.end(Ended.LOST, self._world.now())  # and with it all behind it on the connection
        elif self._hits(FaultKind.LATE_RESET):  # no answer, nor to any behind it on the connection
            after = self._draws.uniform(*RESET_AFTER)
            asyncio.get_running_loop().call_later(after, self._reset_late, turn)
        elif size is None:
            turn.finish(f"EN O{request}\r\n".encode(), Ended.MISS)
        else:
            self._reply(turn, self._value(turn, size))

    def _reset_late(self, turn: Turn) -> None:
        if not turn.connection.closed:
            turn.attempt.end(Ended.RESET, self._world.now())
            turn.connection.reset()

    def _value(self, turn: Turn, size: int) -> bytes:
        request, number = turn.command.request, next(self._numbers)
        value = self._world.make_value(request, turn.command.key, self._name, number, size)
        return f"VA {len(value)} O{request} h1\r\n".encode() + value + b"\r\n"

    def _reply(self, turn: Turn, good: bytes) -> None:
        """A good reply, or what a fault makes of it."""
        connection = turn.connection
        if self._hits(FaultKind.SPOILT):
            turn.finish(spoil(good, self._draws), Ended.SPOILT)
        elif self._hits(FaultKind.ENDLESS):
            turn.finish(f"VA {ENDLESS_LENGTH} O{turn.command.request} h1\r\n".encode(), Ended.SPOILT)
            self._pour(connection, ENDLESS_PIECES)
        elif self._hits(FaultKind.SURPLUS) and connection.only(turn):
            turn.finish(good + surplus(good, self._draws), Ended.SERVED)
        else:
            turn.finish(good, Ended.SERVED)
            self._perhaps_again(connection, good)
        if self._hits(FaultKind.SLOW_CLOSE):
            connection.deaf = True  # what is written to it from now on ends as a reset
            asyncio.get_running_loop().call_later(SLOW_CLOSE, connection.reset)

    def _pour(self, connection: CacheConnection, pieces: int) -> None:
        if pieces and not connection.closed:
            connection.write(b"x" * ENDLESS_PIECE)
            asyncio.get_running_loop().call_later(0.02, self._pour, connection, pieces - 1)

    def _perhaps_again(self, connection: CacheConnection, good: bytes) -> None:
        """Answer the same command a second time, on the connections that are spoilt so."""
        share = max((s for k, s in self._faults.values() if k is FaultKind.SECOND_ANSWER), default=0.0)
        if not share:
            return
        if connection.lot is None:
            connection.lot = self._second_draws.random()
        if connection.lot < share:
            after = self._second_draws.uniform(*SECOND_AFTER)
            second = second_answer(good, self._second_draws)
            asyncio.get_running_loop().call_later(after, connection.write_again, second)
