"""Drives the decision module: hands it events and carries out its actions, and decides nothing."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

from ironrail.access.keep import Ended
from ironrail.connections.room import Room
from ironrail.connections.sharing import LEAST_EACH, Demand, share_out
from ironrail.door.figures import Figures
from ironrail.net import memcache
from ironrail.net.memcache import Command, read_figure
from ironrail.net.pool import Attempt, Connection, Pool
from ironrail.net.system import REAL, Address, System
from ironrail.policy import interface as api
from ironrail.policy.balance import Router

log = logging.getLogger(__name__)

Answer = Callable[[bytes], None]
STREAM_ROOM = 320 * 1024  # bytes of a long value on its way: one read, and what its client has not taken
MOST_ROOM = 64 * 1024**2  # bytes for all long values where nobody says how much there is


class Passage(Protocol):
    """Where a long value goes as it comes."""

    def begin(self, head: bytes, hold: Callable[[bool], None]) -> None:
        """Its head; `hold` is to be told when the client takes no more for now, or again."""

    def more(self, data: bytes) -> None:
        """A piece of it."""

    def finish(self) -> None:
        """It was whole."""

    def cut(self) -> None:
        """The rest will never come, and the client is to see that."""


SWEEP = 1.0  # seconds between looks at idle connections
BEAT = 0.25  # seconds between signs that the loop turns
AWAY = 0.75  # seconds without one: the process stood still, and what it believes may be that old
CATCH_UP = 0.3  # seconds, then, at the most, for the list to be asked for anew before anything is sent


@dataclass(slots=True, eq=False)
class Held:
    """A request that is owed its one final answer."""

    request: str
    command: Command
    answer: Answer
    deadline: float
    timer: asyncio.TimerHandle
    passage: Passage | None = None
    attempts: list[Attempt] = field(default_factory=list)
    streaming: Attempt | None = None  # the one whose long value its client is given
    streams_since: float = 0.0
    taken_at: float = 0.0
    length: int = 0  # bytes of the value that it was given


class Host:
    """One router on real sockets."""

    def __init__(
        self,
        router: Router,
        make_pool: Callable[[api.ServerEntry, Address], Pool],
        ask_list: Callable[[], None],
        most_connections: int,
        system: System = REAL,
        returned: Callable[[], None] = lambda: None,
        room: Room | None = None,
        note: Callable[[Command, float, Ended, int], None] | None = None,
    ) -> None:
        """`note`: is told of each request that ends, with its seconds and its value's size."""
        self._note = note
        self.room = room or Room(MOST_ROOM)
        self._now, self._returned = system.now, returned
        self.figures = Figures(router.settings.classes)
        self._router = router
        self._make_pool = make_pool
        self._ask_list = ask_list
        self._most_connections = most_connections  # to all servers together
        self._loop = asyncio.get_running_loop()
        self._events: deque[api.Event] = deque()
        self._busy = False
        self._ending = False
        self.before: Callable[[float], None] | None = None  # what is to be looked at before each decision
        self._held: dict[str, Held] = {}
        self._open: dict[tuple[str, int], tuple[Attempt, Pool]] = {}  # attempts without an outcome
        self._pools: dict[str, Pool] = {}
        self._since: dict[str, float] = {}
        self._loop.call_later(SWEEP, self._sweep)
        self._beat_at, self._catching_up = self._now(), False
        self._loop.call_later(BEAT, self._beat)

    # What happens

    def can_serve(self) -> bool:
        return any(pool.ready for pool in self._pools.values())

    def gauges(self) -> dict[str, int]:
        """What is true now, of all that operators may ask for."""
        listed, avoided = self._router.listed(self._now())
        return {"inflight": len(self._held), "hosts_listed": listed, "hosts_down": avoided}

    def take(self, command: Command, answer: Answer, passage: Passage | None = None) -> str | None:
        """Take a client's request; answers with its name, or None if it was turned down at once.

        Without a `passage` a long value is a failed attempt.
        """
        name = command.request_id.decode()
        known = self._router.settings.classes.get(command.fields["c"])
        if known is None:
            answer(b"CLIENT_ERROR unknown class\r\n")
            return None
        time_left = float(command.fields["d"]) / 1000
        if time_left > known.give_up:  # guards memory and timers against what no client waits for
            answer(b"CLIENT_ERROR bad d\r\n")
            return None
        # guards the first of the two: answers and attempts are told apart by id
        if name in self._held or any(
            (name, n) in self._open for n in range(self._router.settings.max_attempts)
        ):
            answer(b"CLIENT_ERROR id in use\r\n")
            return None
        hint = read_figure(command.fields, "h")
        timer, now = self._loop.call_later(time_left, self._on_deadline, name), self._now()
        self._held[name] = Held(name, command, answer, now + time_left, timer, passage, taken_at=now)
        self._feed(
            api.Request(
                name,
                command.fields["c"],
                time_left,
                command.key.decode(),
                None if hint is None else hint / 1e6,
                command.write,
                command.fields.get("t", ""),
            )
        )
        return name

    def gone(self, name: str) -> None:
        """The client of a request has left."""
        held = self._held.pop(name, None)
        if held is not None:
            held.timer.cancel()
            if self._note is not None:
                self._note(held.command, self._now() - held.taken_at, Ended.LEFT, 0)
            if held.streaming is not None:
                self._give_up(name, held.streaming.number, api.Status.CANCELLED)
            self._feed(api.ClientGone(name))

    def servers(self, news: api.ServerList, addresses: dict[str, Address]) -> None:
        """Discovery has told something of the list of servers."""
        # the module hears of the list before it hears what becomes of attempts by it, or what came meanwhile
        if self._catching_up:
            self._events.appendleft(news)
            self._catching_up = False
        else:
            self._events.append(news)
        self._busy = True
        try:
            self._update_pools(news, addresses)
        finally:
            self._busy = False
        self._pump()

    def _update_pools(self, news: api.ServerList, addresses: dict[str, Address]) -> None:
        listed = {e.server for e in news.entries if e.state is not api.State.GONE}
        removed = {e.server for e in news.entries} - listed
        if news.kind in (api.ListKind.FULL, api.ListKind.SAVED):
            removed |= self._pools.keys() - listed
        for name in sorted(removed & self._pools.keys()):  # in one order, whatever the hashes of names
            self._pools.pop(name).stop()
            self._since.pop(name)
        for entry in news.entries:
            if entry.server in listed:
                self._update_pool(entry, addresses[entry.server])
        # guards the limit on descriptors: all pools share them
        links = [pool.upstream for pool in self._pools.values()]
        demands = [Demand(link.wanted if link.streams == 1 else LEAST_EACH, link.wanted) for link in links]
        for link, share in zip(links, share_out(self._most_connections, demands), strict=True):
            link.most = share

    def _update_pool(self, entry: api.ServerEntry, address: Address) -> None:
        pool = self._pools.get(entry.server)
        if pool is None:
            pool = self._pools[entry.server] = self._make_pool(entry, address)
        elif entry.since > self._since[entry.server]:
            pool.restart(entry.since)
        self._since[entry.server] = entry.since
        if pool.address != address:
            pool.move(address)
        if entry.state is api.State.READY:
            pool.resume()
        else:
            pool.stop()

    def _sweep(self) -> None:
        for pool in self._pools.values():
            pool.expire()
        self._loop.call_later(SWEEP, self._sweep)

    def _on_deadline(self, name: str) -> None:
        """The client stops waiting: nothing may stay out for the request, and its answer is due."""
        if not self._settle(self._held[name]):
            log.error("request_lost_sight_of", extra={"request": name})

    def _settle(self, held: Held) -> bool:
        """The time of a request is up: answered now, by the module unless it lost sight of it."""
        name = held.request
        self._notice_return()  # now: noticed further on, the module would hear of nothing any more
        for attempt in held.attempts:
            self._give_up(attempt.request, attempt.number, api.Status.TIMEOUT)
        if self._catching_up:
            self._end_unseen(name)
        if name in self._held:  # it waits, and its own timer is due an instant later
            self._feed(api.TimeUp(name))
        if name in self._held:
            self._lose(held)
            return False
        return True

    def end_all(self) -> None:
        """The router ends: all that is held gets its answer now, and nothing more is sent."""
        self._ending = True
        for held in list(self._held.values()):
            if held.request in self._held:  # the end of another may have ended it
                self._settle(held)

    def _end_unseen(self, name: str) -> None:
        """The module hears of nothing now: what concerns a request whose time is up it is told at once."""
        while mine := [event for event in self._events if getattr(event, "request", None) == name]:
            for event in mine:
                self._events.remove(event)
                self._handle(replace(event, time_left=0.0) if isinstance(event, api.Request) else event)
        if name in self._held:
            self._handle(api.TimeUp(name))

    def _lose(self, held: Held) -> None:
        """Fail a request that the module no longer looks after, and have it forgotten."""
        self._finish(held, memcache.FAILED, self.figures.failure)
        self._feed(api.ClientGone(held.request))

    def _on_outcome(self, attempt: Attempt, status: api.Status, body: bytes) -> None:
        del self._open[attempt.request, attempt.number]
        if attempt.lent:
            self.room.give_back(attempt)
        held = self._held.get(attempt.request)
        latency = self._now() - attempt.sent_at
        if held is not None and held.streaming is attempt:
            latency = held.streams_since - attempt.sent_at  # what comes after is the client's own pace too
            self._end_stream(held, status is api.Status.OK)
            held = None
        elif held is not None and status is api.Status.OK and held.streaming is None:
            held.length = len(body)
            self._finish(held, memcache.write_served(held.command, body), self.figures.success)
            held = None
        self._feed(api.Outcome(attempt.request, attempt.number, status, held is None, latency))

    # Long values

    def _on_begun(self, attempt: Attempt, length: int, connection: Connection) -> None:
        """An attempt is answered with a long value: the request is its own from now on."""
        held = self._held.get(attempt.request)
        passage = None if held is None or held.streaming is not None else held.passage
        # guards memory against more long values at once than there is room for
        if held is None or passage is None or not self.room.take(attempt, STREAM_ROOM):
            self._give_up(attempt.request, attempt.number, api.Status.CANCELLED)
            return
        attempt.lent = True
        held.streaming, held.streams_since, held.length = attempt, self._now(), length
        held.timer.cancel()
        if attempt.timer is not None:
            attempt.timer.cancel()
        passage.begin(memcache.write_opening(held.command.request_id, length), connection.hold)
        self._feed(api.Streaming(attempt.request, attempt.number))

    def _on_piece(self, attempt: Attempt, data: bytes) -> None:
        held = self._held.get(attempt.request)
        if held is not None and held.streaming is attempt and held.passage is not None:
            held.passage.more(data)

    def _end_stream(self, held: Held, whole: bool) -> None:
        assert held.passage is not None
        self._close(held, self.figures.success if whole else self.figures.failure)
        if whole:
            held.passage.finish()
        else:
            held.passage.cut()

    def _finish(self, held: Held, answer: bytes, counts: dict[str, int]) -> None:
        """Give the one final answer of a request."""
        self._close(held, counts)
        held.answer(answer)

    def _close(self, held: Held, counts: dict[str, int]) -> None:
        """A request ends: it is counted, and owed nothing more."""
        counts[held.command.fields["c"]] += 1
        del self._held[held.request]
        held.timer.cancel()
        if self._note is not None:
            figures = self.figures
            served, refused = counts is figures.success, counts is figures.busy
            ended = Ended.SERVED if served else Ended.REFUSED if refused else Ended.FAILED
            self._note(
                held.command, self._now() - held.taken_at, ended, 0 if held.command.write else held.length
            )

    # What the module makes of it

    def guide(self, guidance: api.Guidance) -> None:
        """Have the module decide by this, at once: also an event that is about to be handed over."""
        for action in self._router.handle(self._now(), guidance):
            self._carry_out(action)

    def _feed(self, event: api.Event) -> None:
        self._events.append(event)
        self._notice_return()
        self._pump()

    # Standing still

    def _beat(self) -> None:
        self._notice_return()
        self._beat_at = self._now()
        self._loop.call_later(BEAT, self._beat)

    def _notice_return(self) -> None:
        """Guards drained and lost servers against a router that stood still and has not read the news."""
        now = self._now()
        if now - self._beat_at > AWAY:
            log.warning("stood_still", extra={"seconds": round(now - self._beat_at, 3)})
            self._beat_at, self._catching_up = now, True
            self._returned()
            self._loop.call_later(CATCH_UP, self._caught_up)

    def _caught_up(self) -> None:
        self._catching_up = False
        self._pump()

    def _pump(self) -> None:
        """Hand over events one by one: what an action brings about comes after all that is before it."""
        if self._busy or self._catching_up:
            return
        self._busy = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._busy = False

    def _handle(self, event: api.Event) -> None:
        if self.before is not None:
            self.before(self._now())
        try:
            actions = self._router.handle(self._now(), event)
        except Exception:  # guards all other requests against a fault that one event shows
            log.exception("module_failed", extra={"on": repr(event)})
            held = self._held.get(getattr(event, "request", ""))
            if held is not None:
                self._lose(held)
            return
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.SetTimer(delay, token):
                self._loop.call_later(delay, self._feed, api.TimerFired(token))
            case api.Cancel(name, number):
                self._give_up(name, number, api.Status.CANCELLED)
            case api.Refuse(name) if name in self._held:
                self._finish(self._held[name], memcache.write_busy(action.retry_after), self.figures.busy)
            case api.Fail(name) if name in self._held:
                self._finish(self._held[name], memcache.FAILED, self.figures.failure)
            case api.CloseIdle(server) if server in self._pools:
                self._pools[server].close_idle()
            case api.Subscribe():
                self._ask_list()
            case api.Log(text):
                log.info("module_says", extra={"text": text})

    def _send(self, action: api.Send) -> None:
        name, now = action.request, self._now()
        held, pool = self._held.get(name), self._pools.get(action.server)
        # guards against work for a request that has its answer, or that nobody will be there to answer
        if held is None or self._ending:
            self._feed(api.Outcome(name, action.attempt, api.Status.MOOT, True))
            return
        until = held.deadline if action.timeout is None else min(held.deadline, now + action.timeout)
        attempt = Attempt(name, len(held.attempts), now, until, held.command, self._on_outcome)
        attempt.begun, attempt.piece = self._on_begun, self._on_piece
        attempt.alone = held.command.write  # a repeat may not be harmless: its risks are its own
        held.attempts.append(attempt)
        if pool is None:
            self._feed(api.Outcome(name, attempt.number, api.Status.CONNECT_FAILED))
            return
        self._open[name, attempt.number] = attempt, pool
        # also for what outlives its request: without an outcome it would count as load for good
        status = api.Status.TIMEOUT
        attempt.timer = self._loop.call_later(until - now, self._give_up, name, attempt.number, status)
        pool.send(attempt)

    def _give_up(self, name: str, number: int, status: api.Status) -> None:
        """Stop waiting for an attempt, if it is still out."""
        if (name, number) in self._open:
            attempt, pool = self._open[name, number]
            pool.abandon(attempt, status)
