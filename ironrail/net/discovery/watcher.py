"""The list of servers: asked for once whole, then watched."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Any

from ironrail.diagnostics.counters import LogSampler, ReasonCounter
from ironrail.diagnostics.reasons import ListCallResult
from ironrail.net.discovery.endpoint_list import EndpointListError, EndpointListReader
from ironrail.net.discovery.hedged_call import HedgedCall
from ironrail.net.discovery.http_client import (
    CONNECT_PATIENCE,
    CONNECT_PATIENCE_PUSHED,
    DiscoveryClient,
    MalformedResponse,
)
from ironrail.net.io_timeout import STALL_GRACE_SECONDS
from ironrail.net.system import Address
from ironrail.policy.endpoints import EndpointListKind, EndpointState
from ironrail.policy.events import EndpointListUpdate

log = logging.getLogger(__name__)

WAIT = 20.0  # seconds of a watch in the middle of a fleet, after which it answers with nothing new
# to both sides of that, by a router's number: watches that all fell silent at one moment are found out and
# asked for anew over so long, ten calls a second of 200 routers, where one moment would be a stampede
WAIT_SPREAD = 10.0
EVENLY = 0.6180339887  # the golden section: its multiples fall evenly however many there are
# beyond the wait of a watch, which has fallen silent then: what it missed counts as told 2 s after the wait,
# and two more calls must fit in before that
PATIENCE = 0.5
# An agent of our own machine answers at once, and calls to it cost nothing. What it has counts as told
# whatever call is out, and sends to a server that drains must cease 1 s later, of which 0.15 s are left for a
# router that is held up. So any call may be lost without a word: a silent watch is found out 0.45 s after it
# began (AGENT_WAIT, AGENT_PATIENCE), then the whole list is asked for every 0.2 s until it comes
# (AGENT_CALL_INTERVAL), with the calls before still out, as an agent that is slow must be heard too
AGENT_WAIT = 0.3
AGENT_PATIENCE = 0.15
AGENT_CALL_INTERVAL = 0.2
AGENT_LIST_PATIENCE = 1.2
# for it to begin where all routers ask one service, which refused those that waited for 2 s. From one useful
# call to the next 6 s at the most, where few ask: one that was out and lost when discovery could be reached
# again 4 s, a pause of 0.5 s (MOST_PAUSE), one that is answered 1.5 s. Where more ask the module sends only
# to servers that proved of late that they don't drain
ASKED_PATIENCE = 4.0
WHOLE_LIST = "/api/targets"
# the same once a watch fell silent, of the 1.5 s that are left then: for a second try
AFTER_SILENCE = 0.7
RESULTS = {
    EndpointListKind.FAILED: ListCallResult.FAILED,
    EndpointListKind.MALFORMED: ListCallResult.SPOILT,
}
MOST_NAMED = 8  # servers of each state that one line of the log names
Told = Callable[[EndpointListUpdate, dict[str, Address]], None]


class SilentWatch(TimeoutError):
    """A watch that said nothing when its wait was over: it is broken, whatever it may still say."""


class EndpointWatcher:
    """Tells what discovery has to say for as long as it runs; while it is silent the last list stands."""

    def __init__(
        self,
        address: Address,
        reader: EndpointListReader,
        on_request: bool,
        index: int = 0,
        calls: ReasonCounter | None = None,
    ) -> None:
        """`on_request`: a call is made when the module asks, not by itself. `index`: of this router."""
        self._connect_patience = CONNECT_PATIENCE if on_request else CONNECT_PATIENCE_PUSHED
        self._address, self._client = (
            address,
            self._client_of(address),
        )  # where to ask, and where it is now
        self._reader = reader
        self._calls = calls or ReasonCounter("list_call", ListCallResult)
        self._on_request = on_request
        aside = 2.0 * (index * EVENLY % 1.0) - 1.0
        self._wait = WAIT + WAIT_SPREAD * aside if on_request else AGENT_WAIT
        self._watch_patience = PATIENCE if on_request else AGENT_PATIENCE
        self._list_patience = ASKED_PATIENCE if on_request else AGENT_LIST_PATIENCE
        self._failure_log = LogSampler(per_second=1)
        self._fell_silent = False  # the latest watch, and no call was made since
        self._asked = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        # until the whole list is asked for, maybe elsewhere
        self._anew: asyncio.TimerHandle | None = None
        # on the loop's clock: when the call that is out, or the latest, began
        self._called_at = 0.0
        self._sure_at = 0.0  # on the loop's clock: all news until then was told

    def _client_of(self, address: Address) -> DiscoveryClient:
        return DiscoveryClient(address, self._connect_patience)

    def ask(self) -> None:
        """The module asks for the list."""
        self._asked.set()

    def again(self) -> None:
        """What was told may be old: ask for the whole list, unless the module says when.

        Guards drained servers where the list can't be had anew: the news that came while the router stood
        still lies unread on the present connection, and is read first.
        """
        if not self._on_request and self._anew is None:
            self._list_anew_soon()

    def start(self, told: Told) -> None:
        """List and watch from now on."""
        self._told = told
        self._begin()

    def stop(self) -> None:
        if self._anew is not None:
            self._anew.cancel()
            self._anew = None
        if self._task is not None:
            self._task.cancel()  # guards against a hung watch: its connection closes with it
            self._task = None

    def move(self, address: Address) -> None:
        """Leave the present address and take the whole list from another, when the module asks.

        What the present one has written is told: it is read first, and nothing of it once that is left.
        """
        self._address = address
        if self._anew is None:  # else it is about to ask anew, and does so there
            self._list_anew_soon()

    def _list_anew_soon(self) -> None:
        if self._task is not None:
            loop = asyncio.get_running_loop()
            # behind whatever is ready then: the task may be about to take the news
            self._anew = loop.call_later(STALL_GRACE_SECONDS, loop.call_soon, self._list_anew)

    def _list_anew(self) -> None:
        if self._anew is not None:  # not stopped meanwhile
            self.leave()

    def leave(self) -> None:
        """Ask for the whole list where it is to be had now, whatever becomes of the call that is out."""
        self.stop()
        self._asked.clear()
        self._begin()
        if self._on_request:
            self._told(EndpointListUpdate(EndpointListKind.RELOCATED), {})

    def _begin(self) -> None:
        self._client, self._fell_silent = self._client_of(self._address), False
        self._sure_at = asyncio.get_running_loop().time()
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        """List and watch, again after every failure."""
        loop = asyncio.get_running_loop()
        while True:
            if self._on_request:
                await self._asked.wait()
                self._asked.clear()
            kind, began = EndpointListKind.FAILED, loop.time()
            try:
                await self._follow()
            except SilentWatch:
                kind, self._fell_silent = EndpointListKind.WATCH_TIMED_OUT, True
                self._calls.add(ListCallResult.SILENT)
                log.warning("watch_silent", extra={"seconds": self._wait + self._watch_patience})
            except (OSError, ValueError) as e:
                kind = self._call_failed(e)
            except Exception:  # guards against routing by an old list for good
                log.exception("list_call_broken")
            if self._on_request:
                self._asked.clear()  # what was asked for meanwhile: the module says when the next call is due
                self._told(EndpointListUpdate(kind, uncertain_for=loop.time() - self._sure_at), {})
            else:
                await asyncio.sleep(max(0.0, began + AGENT_CALL_INTERVAL - loop.time()))

    def _call_failed(self, error: BaseException) -> EndpointListKind:
        """Count and log a call that failed; answers with how it did."""
        if not isinstance(error, (OSError, ValueError)):
            log.error("list_call_broken", exc_info=error)
        spoilt = isinstance(error, (MalformedResponse, EndpointListError))
        kind = EndpointListKind.MALFORMED if spoilt else EndpointListKind.FAILED
        self._calls.add(RESULTS[kind])
        now = asyncio.get_running_loop().time()
        if self._on_request or self._failure_log.admits(now):
            fields = {
                "error": str(error) or type(error).__name__,
                "seconds": round(now - self._called_at, 3),
                "unlogged": self._failure_log.take_suppressed(),
            }
            log.warning("list_call_failed", extra=fields)
        return kind

    async def _follow(self) -> None:
        hurry, self._fell_silent = self._fell_silent, False
        patience = min(AFTER_SILENCE, self._list_patience) if hurry else self._list_patience
        self._called_at = asyncio.get_running_loop().time()
        if self._on_request:
            answer = await self._client.get(WHOLE_LIST, patience)
        else:
            self._client.close()  # a watch that fell silent leaves nothing that the next call could use
            call = HedgedCall(
                self._new_client, AGENT_CALL_INTERVAL, self._list_patience, self._call_failed
            )
            self._client, answer = await call.answer(WHOLE_LIST)
        version = self._take(answer, math.inf)
        while True:  # at once: what changes between an answer and the next watch would be told late
            version = self._take(await self._watch(self._client, version), version)

    def _new_client(self) -> DiscoveryClient:
        return self._client_of(self._address)

    async def _watch(self, client: DiscoveryClient, version: int) -> Any:
        loop = asyncio.get_running_loop()
        began = self._called_at = loop.time()
        target = f"/api/targets?index={version}&wait={round(self._wait * 1000)}"
        try:
            return await client.get(target, self._wait + self._watch_patience)
        except TimeoutError as e:
            raise SilentWatch from e
        finally:  # one that ends sooner may have been refused, and never have watched
            if loop.time() - began > self._list_patience:
                self._sure_at = loop.time()

    def _take(self, message: Any, least: float) -> int:
        version, news, addresses = self._reader.read(message, least=least)
        self._calls.add(ListCallResult.ANSWERED)
        if news.endpoints or news.kind is EndpointListKind.FULL:
            self._report(version, news)
            self._told(news, addresses)
        self._sure_at = asyncio.get_running_loop().time()
        return version

    def _report(self, version: int, news: EndpointListUpdate) -> None:
        """Log what has changed: the version, and servers by their state, the first few by name."""
        fields: dict[str, Any] = {"version": version, "full": news.kind is EndpointListKind.FULL}
        for state in EndpointState:
            names = [entry.name for entry in news.endpoints if entry.state is state]
            fields[state.value] = len(names)
            if state is not EndpointState.READY and names:
                fields[f"{state.value}_servers"] = names[:MOST_NAMED]
        fields["seconds"] = round(asyncio.get_running_loop().time() - self._called_at, 3)
        log.info("servers_changed", extra=fields)
