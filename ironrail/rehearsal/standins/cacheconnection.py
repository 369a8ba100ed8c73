"""One connection of a router to a grid cache: commands in, answers out in the order of the commands."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from ironrail.rehearsal.account.record import Attempt, Ended
from ironrail.rehearsal.standins.door import Door, DoorConnection
from ironrail.rehearsal.standins.meta import CommandReader, MetaCommand, NotMeta, seconds_told
from ironrail.rehearsal.standins.world import World


class Cache(Protocol):
    """The grid cache, to the connections that come up at its doors."""

    world: World
    name: str
    id: str

    def opened(self, connection: CacheConnection) -> None:
        """One has come up."""

    def take(self, turn: Turn) -> None:
        """A whole command has come."""

    def lost(self, connection: CacheConnection) -> None:
        """One has ended."""


@dataclass(slots=True, eq=False)
class Turn:
    """One command and the place of its answer."""

    command: MetaCommand
    attempt: Attempt
    connection: CacheConnection
    answer: bytes | None = None

    def finish(self, data: bytes, ended: Ended) -> None:
        """Give it its answer, if its connection still is."""
        if not self.connection.closed:
            self.attempt.end(ended, self.connection.now())
            self.connection.answer(self, data)


class CacheConnection(DoorConnection):
    """One connection of a router: answers come in the order of the commands."""

    def __init__(self, door: Door, cache: Cache) -> None:
        super().__init__(door)
        self._cache = cache
        self._reader = CommandReader()
        self._turns: deque[Turn] = deque()
        self._first_at: float | None = None
        self.ready = False  # its handshake is done
        self.waiting: list[Turn] = []  # for that
        self.crowded = False  # there were too many when it came up: all on it is turned away
        self.deaf = False  # it closes soon and reads no more
        self.used_at = 0.0
        self.lot: float | None = None  # drawn once: whether a fault that spoils connections spoils this one

    def now(self) -> float:
        """Seconds from the start of the load that counts."""
        return self._cache.world.now()

    def opened(self) -> None:
        self.used_at = self.now()
        self._cache.opened(self)

    def received(self, data: bytes) -> None:
        now = self.used_at = self.now()
        if self.deaf:
            return
        if self._first_at is None:
            self._first_at = now
        self._reader.add(data)
        try:
            while not self.closed and (command := self._reader.next()) is not None:
                self._take(command, now)
        except NotMeta as e:
            if not self.late:
                self._cache.world.record.stray(now, self._cache.name, str(e))
            self.transport.close()  # whatever else waits on it
        if not self._reader.begun:
            self._first_at = None

    def _take(self, command: MetaCommand, now: float) -> None:
        first_at = self._first_at if self._first_at is not None else now
        behind = bool(self._turns)
        attempt = Attempt(self._cache.id, self.door.router, False, first_at, now, self.late, behind)
        attempt.announced_wait = seconds_told(command.info)
        self._first_at = now
        one = self._cache.world.record.attempt(command.request, attempt)
        if one is not None and (command.key != one.planned.key or command.value is not None):
            self._cache.world.record.stray(now, self._cache.name, f"{command.line[:120]!r} was altered")
        turn = Turn(command, attempt, self)
        self._turns.append(turn)
        self._cache.take(turn)

    def answer(self, turn: Turn, data: bytes) -> None:
        """Give the answer of one command, once those before it have theirs."""
        turn.answer = data
        while self._turns and self._turns[0].answer is not None:
            self.write(self._turns.popleft().answer or b"")
        self.used_at = self.now()

    def write_again(self, data: bytes) -> None:
        """Write what belongs to nobody, between two answers."""
        if not self.closed:
            self.write(data)

    def only(self, turn: Turn) -> bool:
        """Whether nothing but this was asked on it that has no answer yet."""
        return not self.waiting and len(self._turns) == 1

    def leave_all(self, ended: Ended) -> None:
        """Nothing that was asked on it will be answered."""
        for turn in self._turns:
            turn.attempt.end(ended, self.now())

    def busy(self) -> bool:
        return bool(self._turns) or self._reader.begun

    def lost(self) -> None:
        self.leave_all(Ended.LEFT)
        self._turns.clear()
        self._cache.lost(self)
