"""The archive: the one slow source of all grids, over HTTP/1.1, where writes are carried out."""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from urllib.parse import unquote

from ironrail.rehearsal.account.record import Attempt, Ended
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.standins.archiveconnection import ArchiveConnection, Fetch
from ironrail.rehearsal.standins.door import Door
from ironrail.rehearsal.standins.http import HttpRequest
from ironrail.rehearsal.standins.meta import info_of, seconds_told
from ironrail.rehearsal.standins.replies import RESET_AFTER
from ironrail.rehearsal.standins.spoiling import spoil_http
from ironrail.rehearsal.standins.world import World

NOT_STARTED = ("Not-Started", "1")
FALL_WINDOW = 1.0  # seconds over which what it is sent is measured
WARM_UP_PACE = 8.0  # times its usual pace in the warm-up, or the caches would fill for minutes
MOST_KEYS = 100_000  # idempotency keys remembered at once
UNSIZED = b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n"
UNSIZED_BREAK = 0.5  # of answers of no stated length
BREAKS_AFTER = 0.0, 0.3  # seconds from what was written of one to its reset
SHARE = 0.2  # of replies that a fault hits, likewise
SLOW = 4.0  # times its usual time, where a fault does not say


class Archive:
    """Serves so many requests at once, each for a time; the rest wait, and beyond that are turned away."""

    def __init__(self, world: World, name: str, hall: str, routers: list[str]) -> None:
        self.world, self.name, self.hall = world, name, hall
        self._conf = world.scenario.archive
        self._draws = world.draws("archive")
        self._loop = asyncio.get_running_loop()
        self.doors = {
            router: Door(router, lambda door: ArchiveConnection(door, self), world.listen)
            for router in routers
        }
        self._working: dict[Fetch, None] = {}
        self._queue: deque[Fetch] = deque()
        self._down: set[object] = set()
        self._slow: dict[object, float] = {}
        self._faults: dict[object, tuple[FaultKind, float]] = {}
        self._sent: deque[float] = deque()
        self._receipts: dict[str, tuple[float, bytes]] = {}  # by idempotency key: when, and the receipt
        self._numbers = itertools.count()

    @property
    def load(self) -> int:
        return len(self._working) + len(self._queue)

    def take(self, connection: ArchiveConnection, request: HttpRequest) -> None:
        """A whole request has come."""
        record, now = self.world.record, self.world.now()
        name, key = request.headers.get("request-id", ""), unquote(request.target.removeprefix("/"))
        attempt = Attempt(self.name, connection.door.router, True, connection.first_at, now, connection.late)
        info = info_of(request.headers.get("request-info", ""))
        attempt.announced_wait = seconds_told(info)
        fetch = Fetch(request, connection, attempt, key, name)
        connection.fetch = fetch
        if request.target.startswith("/-/"):
            record.stray(now, self.name, f"a probe: {request.target}")
        one = record.attempt(name, attempt)
        if one is not None and (key != one.planned.key or info.get("k", "") != one.planned.idempotency):
            record.stray(now, self.name, f"{name} was altered: {request.method} {request.target}")
        if request.method == "GET":
            record.archive_fetches.append(now)
        self._overdriven(now)
        if self._down or (len(self._working) >= self._conf.concurrency and self._full()):
            self._turn_away(fetch)
        elif len(self._working) < self._conf.concurrency:
            self._start(fetch)
        else:
            self._queue.append(fetch)

    def _full(self) -> bool:
        return len(self._queue) >= self._conf.queue

    def _turn_away(self, fetch: Fetch) -> None:
        fetch.attempt.end(Ended.BUSY, self.world.now())
        fetch.connection.respond(503, b"busy", NOT_STARTED)

    def _overdriven(self, now: float) -> None:
        """Guards nobody: an archive that is sent far more than it can do stops, as the real one does."""
        multiple = self._conf.fall_multiple
        if not multiple or now < 0 or "fallen" in self._down:
            return
        self._sent.append(now)
        while self._sent[0] <= now - FALL_WINDOW:
            self._sent.popleft()
        if len(self._sent) > multiple * self._conf.concurrency / self._conf.time * FALL_WINDOW:
            self.world.record.archive_falls.append(now)
            self.begin_down("fallen")
            self._loop.call_later(self._conf.fall_for, self.end_down, "fallen")

    def _time(self) -> float:
        usual = self._conf.time * self._draws.uniform(0.6, 1.4)
        for factor in self._slow.values():
            usual *= factor
        return usual / (WARM_UP_PACE if self.world.now() < 0 else 1.0)

    def _start(self, fetch: Fetch) -> None:
        self._working[fetch] = None
        delay = self._time() + self.world.apart(fetch.connection.door.router, self.hall)
        self._loop.call_later(delay, self._done, fetch)

    def _done(self, fetch: Fetch) -> None:
        if fetch not in self._working:  # it went down meanwhile
            return
        self._working.pop(fetch, None)
        while self._queue and len(self._working) < self._conf.concurrency:
            self._start(self._queue.popleft())
        if self._hits(FaultKind.ERRORS):
            fetch.attempt.end(Ended.ERROR, self.world.now())
            fetch.connection.respond(500, b"failed")
        elif fetch.request.method == "PUT":
            self._write(fetch)
        else:
            self._read(fetch)

    def _read(self, fetch: Fetch) -> None:
        one = self.world.record.tries.get(fetch.name)
        size = one.planned.size if one is not None else 1
        value = self.world.make_value(fetch.name, fetch.key, self.name, next(self._numbers), size)
        self.world.on_miss_filled(fetch.name, fetch.key, size)
        self._reply(fetch, value)

    def _write(self, fetch: Fetch) -> None:
        """Carry it out, unless its idempotency key was here within the window."""
        now, one = self.world.now(), self.world.record.tries.get(fetch.name)
        idempotency = one.planned.idempotency if one is not None else ""
        known = self._receipts.get(idempotency) if idempotency else None
        window = self.world.scenario.class_of(one.planned.kind).window if one is not None else 0.0
        if known is not None and now - known[0] <= window:
            receipt = known[1]
        else:
            receipt = f"r{next(self._numbers)}-{fetch.name}".encode()
            fetch.attempt.effect_at = now
            self._remember(idempotency, now, receipt)
            self.world.on_write(fetch.key)
        self.world.note_made(fetch.name, receipt)
        self._reply(fetch, receipt)

    def _reply(self, fetch: Fetch, body: bytes) -> None:
        """Answer what has run, or fail to, as a fault has it."""
        now = self.world.now()
        if self._hits(FaultKind.RESET):
            fetch.attempt.end(Ended.RESET, now)
            fetch.connection.reset()
        elif self._hits(FaultKind.SPOILT):
            fetch.attempt.end(Ended.SPOILT, now)
            fetch.connection.respond(200, b"", raw=spoil_http(self._draws))
        elif self._hits(FaultKind.LATE_RESET):
            self._loop.call_later(self._draws.uniform(*RESET_AFTER), self._reset_late, fetch)
        elif self._hits(FaultKind.ARCHIVE_UNSIZED):
            self._reply_unsized(fetch, body)
        else:
            fetch.attempt.end(Ended.SERVED, now)
            fetch.connection.respond(200, body)

    def _reset_late(self, fetch: Fetch) -> None:
        if not fetch.connection.closed:
            fetch.attempt.end(Ended.RESET, self.world.now())
            fetch.connection.reset()

    def _reply_unsized(self, fetch: Fetch, body: bytes) -> None:
        """An answer of no stated length, which its connection's end ends; half are reset on the way."""
        connection, now = fetch.connection, self.world.now()
        breaks = self._draws.random() < UNSIZED_BREAK
        fetch.attempt.end(Ended.RESET if breaks else Ended.SERVED, now)
        part = body[: self._draws.randrange(len(body))] if breaks and body else body
        connection.respond(200, b"", raw=UNSIZED + part)
        if breaks:
            self._loop.call_later(self._draws.uniform(*BREAKS_AFTER), connection.reset)
        else:
            connection.finish()

    def _remember(self, idempotency: str, now: float, receipt: bytes) -> None:
        if idempotency:
            self._receipts[idempotency] = now, receipt
        while len(self._receipts) > MOST_KEYS:
            del self._receipts[next(iter(self._receipts))]

    # Faults

    def begin(self, cause: object, kind: FaultKind, hard: float | None) -> None:
        if kind is FaultKind.ARCHIVE_SLOW:
            self._slow[cause] = hard or SLOW
        elif kind is FaultKind.ARCHIVE_DOWN:
            self.begin_down(cause)
        else:
            self._faults[cause] = kind, hard or SHARE

    def end(self, cause: object) -> None:
        self._slow.pop(cause, None)
        self._faults.pop(cause, None)
        self.end_down(cause)

    def begin_down(self, cause: object) -> None:
        """Turn everything away, and drop what is in hand: it never ran."""
        self._down.add(cause)
        dropped = [*self._working, *self._queue]
        self._working.clear()
        self._queue.clear()
        for fetch in dropped:
            self._turn_away(fetch)

    def end_down(self, cause: object) -> None:
        self._down.discard(cause)

    def _hits(self, kind: FaultKind) -> bool:
        return any(k is kind and self._draws.random() < share for k, share in self._faults.values())

    def close(self) -> None:
        for door in self.doors.values():
            door.shut()
            door.reset_all()
