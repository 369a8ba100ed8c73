"""The list of servers: asked for once whole, then watched."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import h11
import orjson

from ironrail.net.patience import READ_ON, patience
from ironrail.net.system import REAL, Address, System
from ironrail.policy import interface as api

log = logging.getLogger(__name__)

WAIT = 20.0  # seconds of a watch, after which it answers with nothing new
WAIT_PUSHED = (
    2.0  # the same at an agent of our own machine: calls cost nothing, and a hung one is found sooner
)
PATIENCE = 1.0  # beyond what a call may take: a hung one is given up
LIST_PATIENCE = 1.2  # for the whole list of a pushed one, which is there at once: two tries within 4 s
# for it to begin where all routers ask one service, which refused those that waited for 2 s; what it has to
# tell counts as told after 6 s, whether or not it came, and another call must fit in before that
ASKED_PATIENCE = 4.0
REST_PATIENCE = (
    1.0  # for the rest of an answer that has begun; 8 ms at the most in 98 calls on a fleet at size
)
PAUSE = 0.5  # after a call that failed
Told = Callable[[api.ServerList, dict[str, Address]], None]
MAX_LIST = 8 * 1024 * 1024
STATES = {"in_service": api.State.READY, "terminating": api.State.DRAINING, "terminated": api.State.GONE}


class ListError(ValueError):
    """A list that can't be used."""


class SpoiltAnswer(ValueError):
    """An answer that began and broke off, stopped short or can't be read."""


class ListReader:
    """Reads lists in discovery's form."""

    def __init__(self, system: System = REAL) -> None:
        self._system = system
        self._since: dict[str, tuple[float, float]] = {}  # of each server: as told, and on our clock

    def read(
        self, message: Any, kind: api.ListKind | None = None
    ) -> tuple[int, api.ServerList, dict[str, Address]]:
        """The version, the news for the module and the addresses; all of it or nothing."""
        try:
            if kind is None:
                kind = api.ListKind.FULL if message["full"] else api.ListKind.DELTA
            rows = [(self._entry(row), read_address(row["addr"])) for row in message["servers"]]
            version = int(message["version"])
        except (KeyError, TypeError, ValueError, AttributeError) as e:
            raise ListError(f"malformed list: {e!r}") from e
        entries = tuple(entry for entry, _ in rows)
        # guards memory against all the servers there ever were
        gone = {entry.server for entry in entries if entry.state is api.State.GONE}
        if kind is not api.ListKind.DELTA:
            gone |= self._since.keys() - {entry.server for entry in entries}
        for name in gone & self._since.keys():
            del self._since[name]
        return version, api.ServerList(kind, entries), {entry.server: address for entry, address in rows}

    def _entry(self, row: dict[str, Any]) -> api.ServerEntry:
        name = row["id"]
        if not isinstance(name, str) or not name:
            raise ValueError("id must be text")
        return api.ServerEntry(
            server=name,
            state=STATES[row["state"]],
            kind=str(row.get("kind") or ""),
            zone=str(row.get("zone") or ""),
            cell=int(row.get("cell") or 0),
            weight=max(0.0, float(row.get("weight") or 0.0)),
            since=self._started(name, float(row.get("started_ms") or 0.0)),
        )

    def _started(self, name: str, started_ms: float) -> float:
        """Unix time on the module's clock; the same start gives the same time, or it would seem a new one."""
        if started_ms <= 0:
            return 0.0
        told, since = self._since.get(name, (0.0, 0.0))
        if told != started_ms:
            since = max(1e-3, self._system.now() - (self._system.wall() - started_ms / 1000))
            self._since[name] = started_ms, since
        return since


def read_address(text: str) -> Address:
    """`host:port` as a pair."""
    host, _, port = text.rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"bad address {text!r}")
    return host.strip("[]"), int(port)


class Client:
    """One HTTP/1.1 connection to discovery, opened anew when it breaks."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._http = h11.Connection(h11.CLIENT)

    async def get(self, target: str, timeout: float) -> Any:
        """The JSON of a 200; OSError, ValueError or a time-out when there is none.

        `timeout` is for the answer to begin. SpoiltAnswer where it did, and can't be used.
        """
        begun = False
        try:
            async with patience(timeout):
                first = await self._ask(target)
            begun = True
            async with patience(
                REST_PATIENCE
            ):  # guards against news that counts as told with half of it here
                status, body = await self._read(first)
            if status == 200:
                return orjson.loads(body)
        except BaseException as e:
            self.close()  # a late answer must not be taken for that of the next call
            if isinstance(e, h11.ProtocolError) or begun and isinstance(e, (OSError, ValueError)):
                raise SpoiltAnswer(f"spoilt answer: {str(e) or type(e).__name__}") from e
            raise
        raise ValueError(f"discovery answered {status}")

    async def _ask(self, target: str) -> bytes:
        """Make a call; the first bytes of its answer."""
        if self._stream is None:
            self._stream = await asyncio.open_connection(*self.address)
            self._http = h11.Connection(h11.CLIENT)
        reader, writer = self._stream
        request = h11.Request(method="GET", target=target, headers=[("Host", "{}:{}".format(*self.address))])
        writer.write((self._http.send(request) or b"") + (self._http.send(h11.EndOfMessage()) or b""))
        if not (first := await reader.read(65536)):
            raise ConnectionResetError("discovery closed the connection")
        return first

    async def _read(self, data: bytes) -> tuple[int, bytes]:
        """The status and the body of an answer that begins so."""
        assert self._stream is not None
        reader, _ = self._stream
        self._http.receive_data(data)
        status, body = 0, bytearray()
        while not isinstance(event := self._http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                self._http.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_LIST:  # guards memory against an endless list
                    raise ValueError("list too large")
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("discovery closed the connection")
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self.close()
        return status, bytes(body)

    def close(self) -> None:
        if self._stream is not None:
            self._stream[1].transport.abort()
            self._stream = None


class Discovery:
    """Tells what discovery has to say for as long as it runs; while it is silent the last list stands."""

    def __init__(self, address: Address, reader: ListReader, on_request: bool) -> None:
        self._client = Client(address)
        self._reader = reader
        self._on_request = on_request  # a call is made when the module asks, not by itself
        self._wait = WAIT if on_request else WAIT_PUSHED
        self._list_patience = ASKED_PATIENCE if on_request else LIST_PATIENCE
        self._asked = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._anew: asyncio.TimerHandle | None = None  # until the list is asked for after a standstill

    def ask(self) -> None:
        """The module asks for the list."""
        self._asked.set()

    def again(self) -> None:
        """What was told may be old: ask for the whole list, unless the module says when.

        Guards drained servers where the list can't be had anew: the news that came while the router stood
        still lies unread on the present connection, and is read first.
        """
        if self._task is not None and not self._on_request and self._anew is None:
            loop = asyncio.get_running_loop()
            # behind whatever is ready then: the task may be about to take the news
            self._anew = loop.call_later(READ_ON, loop.call_soon, self._list_anew)

    def _list_anew(self) -> None:
        if self._anew is not None:
            self.move(self._client.address)

    def start(self, told: Told) -> None:
        """List and watch from now on."""
        self._told = told
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        if self._anew is not None:
            self._anew.cancel()
            self._anew = None
        if self._task is not None:
            self._task.cancel()  # guards against a hung watch: its connection closes with it

    def move(self, address: Address) -> None:
        """Leave the present address at once and take the whole list from another, when the module asks."""
        self.stop()
        self._client = Client(address)
        self._asked.clear()
        self._task = asyncio.create_task(self._run())
        if self._on_request:
            self._told(api.ServerList(api.ListKind.MOVED), {})

    async def _run(self) -> None:
        """List and watch, again after every failure."""
        while True:
            if self._on_request:
                await self._asked.wait()
                self._asked.clear()
            kind = api.ListKind.FAILED
            try:
                await self._follow(self._client)
            except (OSError, ValueError) as e:
                if isinstance(e, (SpoiltAnswer, ListError)):
                    kind = api.ListKind.SPOILT
                log.warning("list_call_failed", extra={"error": str(e) or type(e).__name__})
            except Exception:  # guards against routing by an old list for good
                log.exception("list_call_broken")
            if self._on_request:
                self._asked.clear()  # what was asked for meanwhile: the module says when the next call is due
                self._told(api.ServerList(kind), {})
            else:
                await asyncio.sleep(PAUSE)

    async def _follow(self, client: Client) -> None:
        version = self._take(await client.get("/api/targets", self._list_patience))
        while True:  # at once: what changes between an answer and the next watch would be told late
            target = f"/api/targets?index={version}&wait={round(self._wait * 1000)}"
            version = self._take(await client.get(target, self._wait + PATIENCE))

    def _take(self, message: Any) -> int:
        version, news, addresses = self._reader.read(message)
        if news.entries or news.kind is api.ListKind.FULL:
            self._told(news, addresses)
        return version
