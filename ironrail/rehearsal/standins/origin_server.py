"""The origin: the single slow source of all values, over HTTP/1.1, which also executes writes."""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from urllib.parse import unquote

from ironrail.rehearsal.account.record import Attempt, Ended
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.standins.corruption import corrupt_http
from ironrail.rehearsal.standins.faulty_endpoint import FaultyEndpoint
from ironrail.rehearsal.standins.http import HttpRequest
from ironrail.rehearsal.standins.meta_protocol import client_timeout_seconds, parse_info
from ironrail.rehearsal.standins.origin_connection import OriginConnection, OriginRequest
from ironrail.rehearsal.standins.replies import LATE_RESET_SECONDS
from ironrail.rehearsal.standins.world import World

NOT_STARTED = ("Not-Started", "1")
OVERLOAD_WINDOW_SECONDS = 1.0  # over which the rate of incoming requests is measured
WARM_UP_SPEED_FACTOR = 8.0  # in the run's warm-up; at normal speed the caches would take minutes to fill
MAX_IDEMPOTENCY_KEYS = 100_000  # remembered at once
UNSIZED = b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n"
UNSIZED_RESET_FRACTION = 0.5  # of responses without a length
UNSIZED_RESET_SECONDS = 0.0, 0.3  # from the last byte of such a response to its reset
DEFAULT_FAULT_SHARE = 0.2  # of replies that a fault hits, unless the fault says otherwise
DEFAULT_SLOWDOWN = 4.0  # factor on the duration of a request, likewise


class OriginServer:
    """Serves a limited number of requests at once; others are queued or refused."""

    def __init__(self, world: World, name: str, zone: str, routers: list[str]) -> None:
        self.world, self.name, self.zone = world, name, zone
        self._conf = world.scenario.archive
        self._draws = world.draws("archive")
        self._loop = asyncio.get_running_loop()
        self.endpoints = {
            router: FaultyEndpoint(router, lambda endpoint: OriginConnection(endpoint, self), world.listen)
            for router in routers
        }
        self._in_progress: dict[OriginRequest, None] = {}
        self._queue: deque[OriginRequest] = deque()
        self._down: set[object] = set()  # causes
        self._slowdowns: dict[object, float] = {}  # by cause
        self._faults: dict[object, tuple[FaultKind, float]] = {}  # kind and share of replies, by cause
        self._arrivals: deque[float] = deque()
        self._receipts: dict[str, tuple[float, bytes]] = {}  # by idempotency key: time and receipt
        self._numbers = itertools.count()

    @property
    def load(self) -> int:
        """Requests in progress and in the queue."""
        return len(self._in_progress) + len(self._queue)

    def handle_request(self, connection: OriginConnection, request: HttpRequest) -> None:
        """Records a whole request, and starts, queues or refuses it."""
        record, now = self.world.record, self.world.now()
        name, key = request.headers.get("request-id", ""), unquote(request.target.removeprefix("/"))
        attempt = Attempt(
            self.name, connection.endpoint.router, True, connection.first_at, now, connection.late
        )
        info = parse_info(request.headers.get("request-info", ""))
        attempt.announced_wait = client_timeout_seconds(info)
        origin_request = OriginRequest(request, connection, attempt, key, name)
        connection.latest = origin_request
        if request.target.startswith("/-/"):
            record.stray(now, self.name, f"a probe: {request.target}")
        one = record.attempt(name, attempt)
        if one is not None and (key != one.planned.key or info.get("k", "") != one.planned.idempotency):
            record.stray(now, self.name, f"{name} was altered: {request.method} {request.target}")
        if request.method == "GET":
            record.archive_fetches.append(now)
        self._check_overload(now)
        if self._down or (len(self._in_progress) >= self._conf.concurrency and self._is_queue_full()):
            self._refuse(origin_request)
        elif len(self._in_progress) < self._conf.concurrency:
            self._start(origin_request)
        else:
            self._queue.append(origin_request)

    def _is_queue_full(self) -> bool:
        return len(self._queue) >= self._conf.queue

    def _refuse(self, origin_request: OriginRequest) -> None:
        origin_request.attempt.end(Ended.BUSY, self.world.now())
        origin_request.connection.respond(503, b"busy", NOT_STARTED)

    def _check_overload(self, now: float) -> None:
        """Goes down when sent far more than it can handle, as the real origin does."""
        multiple = self._conf.fall_multiple
        if not multiple or now < 0 or "fallen" in self._down:
            return
        self._arrivals.append(now)
        while self._arrivals[0] <= now - OVERLOAD_WINDOW_SECONDS:
            self._arrivals.popleft()
        if (
            len(self._arrivals)
            > multiple * self._conf.concurrency / self._conf.time * OVERLOAD_WINDOW_SECONDS
        ):
            self.world.record.archive_falls.append(now)
            self.begin_down("fallen")
            self._loop.call_later(self._conf.fall_for, self.end_down, "fallen")

    def _duration(self) -> float:
        """Draws the seconds that a request takes."""
        seconds = self._conf.time * self._draws.uniform(0.6, 1.4)
        for factor in self._slowdowns.values():
            seconds *= factor
        return seconds / (WARM_UP_SPEED_FACTOR if self.world.now() < 0 else 1.0)

    def _start(self, origin_request: OriginRequest) -> None:
        self._in_progress[origin_request] = None
        delay = self._duration() + self.world.round_trip_seconds(
            origin_request.connection.endpoint.router, self.zone
        )
        self._loop.call_later(delay, self._complete, origin_request)

    def _complete(self, origin_request: OriginRequest) -> None:
        if origin_request not in self._in_progress:  # the origin went down meanwhile
            return
        self._in_progress.pop(origin_request, None)
        while self._queue and len(self._in_progress) < self._conf.concurrency:
            self._start(self._queue.popleft())
        if self._hits(FaultKind.ERRORS):
            origin_request.attempt.end(Ended.ERROR, self.world.now())
            origin_request.connection.respond(500, b"failed")
        elif origin_request.request.method == "PUT":
            self._write(origin_request)
        else:
            self._read(origin_request)

    def _read(self, origin_request: OriginRequest) -> None:
        one = self.world.record.tries.get(origin_request.name)
        size = one.planned.size if one is not None else 1
        value = self.world.make_value(
            origin_request.name, origin_request.key, self.name, next(self._numbers), size
        )
        self.world.on_miss_filled(origin_request.name, origin_request.key, size)
        self._reply(origin_request, value)

    def _write(self, origin_request: OriginRequest) -> None:
        """Executes a write, unless its idempotency key was seen within the window."""
        now, one = self.world.now(), self.world.record.tries.get(origin_request.name)
        idempotency = one.planned.idempotency if one is not None else ""
        known = self._receipts.get(idempotency) if idempotency else None
        window = self.world.scenario.class_of(one.planned.kind).window if one is not None else 0.0
        if known is not None and now - known[0] <= window:
            receipt = known[1]
        else:
            receipt = f"r{next(self._numbers)}-{origin_request.name}".encode()
            origin_request.attempt.effect_at = now
            self._store_receipt(idempotency, now, receipt)
            self.world.on_write(origin_request.key)
        self.world.record_value(origin_request.name, receipt)
        self._reply(origin_request, receipt)

    def _reply(self, origin_request: OriginRequest, body: bytes) -> None:
        """Answers an executed request, or fails to where a fault hits."""
        now = self.world.now()
        if self._hits(FaultKind.RESET):
            origin_request.attempt.end(Ended.RESET, now)
            origin_request.connection.reset()
        elif self._hits(FaultKind.SPOILT):
            origin_request.attempt.end(Ended.SPOILT, now)
            origin_request.connection.respond(200, b"", raw=corrupt_http(self._draws))
        elif self._hits(FaultKind.LATE_RESET):
            self._loop.call_later(self._draws.uniform(*LATE_RESET_SECONDS), self._reset_late, origin_request)
        elif self._hits(FaultKind.ARCHIVE_UNSIZED):
            self._reply_unsized(origin_request, body)
        else:
            origin_request.attempt.end(Ended.SERVED, now)
            origin_request.connection.respond(200, body)

    def _reset_late(self, origin_request: OriginRequest) -> None:
        if not origin_request.connection.closed:
            origin_request.attempt.end(Ended.RESET, self.world.now())
            origin_request.connection.reset()

    def _reply_unsized(self, origin_request: OriginRequest, body: bytes) -> None:
        """Sends a response without a length, which ends with its connection or a reset."""
        connection, now = origin_request.connection, self.world.now()
        is_reset = self._draws.random() < UNSIZED_RESET_FRACTION
        origin_request.attempt.end(Ended.RESET if is_reset else Ended.SERVED, now)
        part = body[: self._draws.randrange(len(body))] if is_reset and body else body
        connection.respond(200, b"", raw=UNSIZED + part)
        if is_reset:
            self._loop.call_later(self._draws.uniform(*UNSIZED_RESET_SECONDS), connection.reset)
        else:
            connection.finish()

    def _store_receipt(self, idempotency: str, now: float, receipt: bytes) -> None:
        if idempotency:
            self._receipts[idempotency] = now, receipt
        while len(self._receipts) > MAX_IDEMPOTENCY_KEYS:
            del self._receipts[next(iter(self._receipts))]

    # Faults

    def begin_fault(self, cause: object, kind: FaultKind, severity: float | None) -> None:
        """Begins a fault.

        `severity` is a slowdown factor or a share of replies; None stands for the default.
        """
        if kind is FaultKind.ARCHIVE_SLOW:
            self._slowdowns[cause] = severity or DEFAULT_SLOWDOWN
        elif kind is FaultKind.ARCHIVE_DOWN:
            self.begin_down(cause)
        else:
            self._faults[cause] = kind, severity or DEFAULT_FAULT_SHARE

    def end_fault(self, cause: object) -> None:
        """Ends the fault of this cause."""
        self._slowdowns.pop(cause, None)
        self._faults.pop(cause, None)
        self.end_down(cause)

    def begin_down(self, cause: object) -> None:
        """Refuses every request, including those in progress, which are never executed."""
        self._down.add(cause)
        dropped = [*self._in_progress, *self._queue]
        self._in_progress.clear()
        self._queue.clear()
        for origin_request in dropped:
            self._refuse(origin_request)

    def end_down(self, cause: object) -> None:
        """Accepts requests again, unless another cause lasts."""
        self._down.discard(cause)

    def _hits(self, kind: FaultKind) -> bool:
        return any(k is kind and self._draws.random() < share for k, share in self._faults.values())

    def close(self) -> None:
        """Ends the stand-in with the run."""
        for endpoint in self.endpoints.values():
            endpoint.close()
            endpoint.reset_all()
