"""Carries out the plan of faults on the stand-ins and the routers."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from dataclasses import dataclass, field

from ironrail.rehearsal.faults.outages import Spells
from ironrail.rehearsal.faults.plan import Planned, Step
from ironrail.rehearsal.ground import Router
from ironrail.rehearsal.load.schedule import hot_router_share
from ironrail.rehearsal.scenario.faults import Fault, FaultKind
from ironrail.rehearsal.standins.archive import Archive
from ironrail.rehearsal.standins.fleet import Fleet
from ironrail.rehearsal.standins.front import Front
from ironrail.rehearsal.standins.registry import Registry
from ironrail.rehearsal.standins.rows import Row
from ironrail.rehearsal.standins.world import World

REPLIES = (
    FaultKind.RESET,
    FaultKind.SLOW_CLOSE,
    FaultKind.SPOILT,
    FaultKind.SURPLUS,
    FaultKind.ENDLESS,
    FaultKind.ERRORS,
    FaultKind.LOST,
    FaultKind.SECOND_ANSWER,
    FaultKind.LATE_CONNECT,
    FaultKind.LATE_RESET,
)
LIST_ANSWERS = {  # how hard, where the fault does not say
    FaultKind.LIST_CROWDED: 10.0,
    FaultKind.LIST_CUT: 0.2,
    FaultKind.LIST_SPOILT: 0.2,
    FaultKind.LIST_LATE: 3.0,
}
LISTS = (
    FaultKind.LIST_SILENT,
    FaultKind.LIST_EMPTY,
    FaultKind.LIST_ABSURD,
    FaultKind.WATCH_SILENT,
    FaultKind.WATCH_RESET,
    FaultKind.LIST_MOVES,
    *LIST_ANSWERS,
)
ARCHIVES = (FaultKind.ARCHIVE_SLOW, FaultKind.ARCHIVE_DOWN, FaultKind.ARCHIVE_UNSIZED)
ROUTER_KINDS = (
    FaultKind.ROUTER_TERM,
    FaultKind.ROUTER_KILL,
    FaultKind.ROUTER_STOP,
    FaultKind.ROUTER_REPLACE,
    FaultKind.ROUTER_RESTART,
)
TERM_TOLD = 0.3  # seconds after SIGTERM for which the front still sends new clients, where `hard` is left out
ABSURD = 40  # servers that an absurd list invents


@dataclass(slots=True)
class Carrier:
    """All that faults act upon."""

    world: World
    fleet: Fleet
    archive: Archive
    registry: Registry
    front: Front
    routers: dict[str, Router]
    start_router: Callable[[str, float], object]  # once it has ended, or is killed so many seconds later
    replace_router: Callable[[str], object]
    reconfigure: Callable[[str, str], None]  # a router, to be told of the list at another address
    leave: Callable[[float], None]  # such a share of the clients that wait gives up
    spells: Spells = field(default_factory=Spells)
    stalls: dict[Planned, asyncio.TimerHandle] = field(default_factory=dict)

    def carry_out(self, step: Step) -> None:
        """A fault begins or ends."""
        kind, planned = step.planned.fault.kind, step.planned
        if kind in REPLIES:
            self._replies(planned, kind, step.begins)
        elif kind is FaultKind.HALL_CUT:
            self._cut(planned, step.begins)
        elif kind in ARCHIVES:
            self._archive(planned, kind, step.begins)
        elif kind is FaultKind.CLIENTS_LEAVE:
            self._leave(planned.fault, step.begins)
        elif kind in LISTS:
            self._list(planned, kind, step.begins)
        elif kind is FaultKind.STALL:
            self._stall(planned, step.begins)
        elif kind is FaultKind.HOT_ROUTER:
            self._hot_router(planned, step.begins)
        elif kind in ROUTER_KINDS:
            for name in planned.victims:
                self._router(name, planned.fault, step.begins)
        elif kind is not FaultKind.HOT_KEYS:  # those are in the schedule
            self._caches(planned, kind, step.begins)

    def _replies(self, planned: Planned, kind: FaultKind, begins: bool) -> None:
        for name in planned.victims:
            victim = self.archive if name == self.archive.name else self.fleet.caches[name]
            if begins:
                victim.begin(planned, kind, planned.fault.hard)
            else:
                victim.end(planned)

    def _archive(self, planned: Planned, kind: FaultKind, begins: bool) -> None:
        if begins:
            self.archive.begin(planned, kind, planned.fault.hard)
        else:
            self.archive.end(planned)

    def _leave(self, fault: Fault, begins: bool) -> None:
        if begins:  # once
            self.leave(1.0 if fault.hard is None else fault.hard)

    def _caches(self, planned: Planned, kind: FaultKind, begins: bool) -> None:
        begin, end = {
            FaultKind.VANISH: (self.fleet.vanish, self.fleet.back),
            FaultKind.RESTART: (self.fleet.stop, self.fleet.back),
            FaultKind.DRAIN: (self.fleet.drain, self.fleet.drained),
            FaultKind.REPLACE: (self.fleet.stop, self.fleet.succeeded),
            FaultKind.HANG: (self.fleet.hang, self.fleet.hung),
        }[kind]
        for name in planned.victims:
            (begin if begins else end)(name, planned)

    def _stall(self, planned: Planned, begins: bool) -> None:
        if begins:
            self._pause(planned, True)
            return
        self.stalls.pop(planned).cancel()
        for name in planned.victims:
            self.fleet.freeze(name, planned, False)

    def _pause(self, planned: Planned, frozen: bool) -> None:
        for name in planned.victims:
            self.fleet.freeze(name, planned, frozen)
        fault = planned.fault
        delay = fault.pause if frozen else max(0.0, fault.every - fault.pause)
        loop = asyncio.get_running_loop()
        self.stalls[planned] = loop.call_later(delay, self._pause, planned, not frozen)

    def _cut(self, planned: Planned, begins: bool) -> None:
        """Silence both ways between this hall and the others; the archive stands in none of them."""
        halls = self.world.halls
        for hall in planned.victims:
            for cache in self.fleet.caches.values():
                for router, door in cache.doors.items():
                    if (cache.hall == hall) is (halls[router] == hall):
                        continue
                    if begins:
                        door.begin_silence((planned, hall))
                    else:
                        door.end_silence((planned, hall))

    def _list(self, planned: Planned, kind: FaultKind, begins: bool) -> None:
        if kind in LIST_ANSWERS:
            self._list_answers(planned, kind, begins)
            return
        if kind is FaultKind.LIST_MOVES:
            self._move_list(begins)
            return
        if kind in (FaultKind.WATCH_SILENT, FaultKind.WATCH_RESET):
            if begins:  # once: what is open then ends, or is never answered
                ends = kind is FaultKind.WATCH_RESET
                self.registry.reset_watches() if ends else self.registry.silence_watches()
            return
        for agent in self.registry.agents.values():
            if kind is FaultKind.LIST_SILENT:
                (agent.begin_silence if begins else agent.end_silence)(planned)
            elif begins:
                agent.begin_lost(planned, [] if kind is FaultKind.LIST_EMPTY else self._absurd(agent.router))
            else:
                agent.end_lost(planned)

    def _list_answers(self, planned: Planned, kind: FaultKind, begins: bool) -> None:
        """The service that tells the list is crowded by others, late, or some of its answers are spoilt."""
        if begins:
            hard = planned.fault.hard
            self.registry.trouble(planned, kind, LIST_ANSWERS[kind] if hard is None else hard)
        else:
            self.registry.well(planned)

    def _move_list(self, begins: bool) -> None:
        """The list is told elsewhere from now on, nothing where it was, and routers are told so."""
        if begins:  # there is no way back: it moves once more with the next such fault
            for agent in self.registry.agents.values():
                agent.move()
                self.reconfigure(agent.router, agent.door.address)

    def _absurd(self, router: str) -> list[Row]:
        """A list of servers that never were, at addresses that are none."""
        draws = self.world.draws("absurd")
        return [
            Row(f"ghost-{n}", "nowhere", "cache", addresses={router: f"127.0.0.1:{draws.choice((0, 70000))}"})
            for n in range(ABSURD)
        ]

    def _hot_router(self, planned: Planned, begins: bool) -> None:
        for name in planned.victims:
            if begins:
                self.front.hot[planned, name] = name, hot_router_share(planned.fault)
            else:
                self.front.hot.pop((planned, name), None)

    def _router(self, name: str, fault: Fault, begins: bool) -> None:
        router, now, kind = self.routers[name], self.world.now(), fault.kind
        if kind is FaultKind.ROUTER_REPLACE:  # once it has begun it goes its own way
            if begins:
                self.replace_router(name)
        elif begins:
            number = {
                FaultKind.ROUTER_TERM: signal.SIGTERM,
                FaultKind.ROUTER_RESTART: signal.SIGTERM,
                FaultKind.ROUTER_KILL: signal.SIGKILL,
                FaultKind.ROUTER_STOP: signal.SIGSTOP,
            }[kind]
            if number is signal.SIGTERM:  # announced: the front hears of it sooner than of a death
                self.front.ending(name, now + (TERM_TOLD if fault.hard is None else fault.hard))
            else:
                self.spells.begin(name, now, f"{name} was sent {number.name}")
                self.front.died(name, now)
            router.signal(number, asked=kind is not FaultKind.ROUTER_STOP)
            if kind is FaultKind.ROUTER_RESTART:
                self.start_router(name, fault.lasts)
        elif kind is FaultKind.ROUTER_STOP:
            router.signal(signal.SIGCONT, asked=False)
            self.front.ready(name)
            self.recovered(name)
        elif kind is not FaultKind.ROUTER_RESTART:
            self.start_router(name, 0.0)

    def recovered(self, router: str) -> None:
        """It can answer again."""
        self.spells.end(router, self.world.now())

    def excuse(self, router: str, began: float, ended: float) -> str:
        """Why a router could not answer what it was sent then, or nothing."""
        return self.spells.why(router, began, ended)
