"""Injects planned faults into the stand-ins and the routers."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from dataclasses import dataclass, field

from ironrail.rehearsal.faults.outages import OutageLog
from ironrail.rehearsal.faults.plan import Planned, Step
from ironrail.rehearsal.ground import Router
from ironrail.rehearsal.load.schedule import hot_router_share
from ironrail.rehearsal.scenario.faults import Fault, FaultKind
from ironrail.rehearsal.standins.endpoint_list import EndpointRow
from ironrail.rehearsal.standins.fleet import Fleet
from ironrail.rehearsal.standins.load_balancer import LoadBalancer
from ironrail.rehearsal.standins.origin_server import OriginServer
from ironrail.rehearsal.standins.registry import Registry
from ironrail.rehearsal.standins.world import World

REPLY_FAULTS = (
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
DEFAULT_LIST_ANSWER_SEVERITY = {  # used where a fault leaves out `hard`
    FaultKind.LIST_CROWDED: 10.0,
    FaultKind.LIST_CUT: 0.2,
    FaultKind.LIST_SPOILT: 0.2,
    FaultKind.LIST_LATE: 3.0,
}
LIST_FAULTS = (
    FaultKind.LIST_SILENT,
    FaultKind.LIST_EMPTY,
    FaultKind.LIST_ABSURD,
    FaultKind.WATCH_SILENT,
    FaultKind.WATCH_RESET,
    FaultKind.LIST_MOVES,
    *DEFAULT_LIST_ANSWER_SEVERITY,
)
ARCHIVE_FAULTS = (FaultKind.ARCHIVE_SLOW, FaultKind.ARCHIVE_DOWN, FaultKind.ARCHIVE_UNSIZED)
ROUTER_FAULTS = (
    FaultKind.ROUTER_TERM,
    FaultKind.ROUTER_KILL,
    FaultKind.ROUTER_STOP,
    FaultKind.ROUTER_REPLACE,
    FaultKind.ROUTER_RESTART,
)
TERM_NOTICE_SECONDS = 0.3  # in which the front still sends new clients after SIGTERM, unless `hard` says
NUM_ABSURD_SERVERS = 40  # non-existent servers in an absurd list


@dataclass(slots=True)
class FaultInjector:
    """Applies each fault's begin and end to the components that it affects."""

    world: World
    fleet: Fleet
    archive: OriginServer
    registry: Registry
    front: LoadBalancer
    routers: dict[str, Router]
    start_router: Callable[[str, float], object]  # after its end, or after so many seconds and a kill
    replace_router: Callable[[str], object]
    reconfigure: Callable[[str, str], None]  # sets the list's address of a router
    leave: Callable[[float], None]  # makes this share of the waiting clients disconnect
    outages: OutageLog = field(default_factory=OutageLog)
    stalls: dict[Planned, asyncio.TimerHandle] = field(default_factory=dict)

    def apply(self, step: Step) -> None:
        """Begin or end a fault."""
        kind, planned = step.planned.fault.kind, step.planned
        if kind in REPLY_FAULTS:
            self._inject_reply_fault(planned, kind, step.begins)
        elif kind is FaultKind.HALL_CUT:
            self._cut_zones(planned, step.begins)
        elif kind in ARCHIVE_FAULTS:
            self._inject_archive_fault(planned, kind, step.begins)
        elif kind is FaultKind.CLIENTS_LEAVE:
            self._inject_departures(planned.fault, step.begins)
        elif kind in LIST_FAULTS:
            self._inject_list_fault(planned, kind, step.begins)
        elif kind is FaultKind.STALL:
            self._inject_stall(planned, step.begins)
        elif kind is FaultKind.HOT_ROUTER:
            self._inject_hot_router(planned, step.begins)
        elif kind in ROUTER_FAULTS:
            for name in planned.victims:
                self._inject_router_fault(name, planned.fault, step.begins)
        elif kind is not FaultKind.HOT_KEYS:  # hot keys are part of the load schedule
            self._inject_cache_fault(planned, kind, step.begins)

    def _inject_reply_fault(self, planned: Planned, kind: FaultKind, begins: bool) -> None:
        for name in planned.victims:
            victim = self.archive if name == self.archive.name else self.fleet.caches[name]
            if begins:
                victim.begin_fault(planned, kind, planned.fault.hard)
            else:
                victim.end_fault(planned)

    def _inject_archive_fault(self, planned: Planned, kind: FaultKind, begins: bool) -> None:
        if begins:
            self.archive.begin_fault(planned, kind, planned.fault.hard)
        else:
            self.archive.end_fault(planned)

    def _inject_departures(self, fault: Fault, begins: bool) -> None:
        if begins:  # a single event: its end changes nothing
            self.leave(1.0 if fault.hard is None else fault.hard)

    def _inject_cache_fault(self, planned: Planned, kind: FaultKind, begins: bool) -> None:
        begin, end = {
            FaultKind.VANISH: (self.fleet.vanish, self.fleet.end_outage),
            FaultKind.RESTART: (self.fleet.stop, self.fleet.end_outage),
            FaultKind.DRAIN: (self.fleet.begin_drain, self.fleet.end_drain),
            FaultKind.REPLACE: (self.fleet.stop, self.fleet.replace_machine),
            FaultKind.HANG: (self.fleet.begin_hang, self.fleet.end_hang),
        }[kind]
        for name in planned.victims:
            (begin if begins else end)(name, planned)

    def _inject_stall(self, planned: Planned, begins: bool) -> None:
        if begins:
            self._toggle_stall(planned, True)
            return
        self.stalls.pop(planned).cancel()
        for name in planned.victims:
            self.fleet.freeze(name, planned, False)

    def _toggle_stall(self, planned: Planned, frozen: bool) -> None:
        for name in planned.victims:
            self.fleet.freeze(name, planned, frozen)
        fault = planned.fault
        delay = fault.pause if frozen else max(0.0, fault.every - fault.pause)
        loop = asyncio.get_running_loop()
        self.stalls[planned] = loop.call_later(delay, self._toggle_stall, planned, not frozen)

    def _cut_zones(self, planned: Planned, begins: bool) -> None:
        """Block traffic in both directions between a zone and the others; the archive is in no zone."""
        zones = self.world.zones
        for zone in planned.victims:
            for cache in self.fleet.caches.values():
                for router, door in cache.endpoints.items():
                    if (cache.zone == zone) is (zones[router] == zone):
                        continue
                    if begins:
                        door.begin_silence((planned, zone))
                    else:
                        door.end_silence((planned, zone))

    def _inject_list_fault(self, planned: Planned, kind: FaultKind, begins: bool) -> None:
        if kind in DEFAULT_LIST_ANSWER_SEVERITY:
            self._inject_list_answer_fault(planned, kind, begins)
            return
        if kind is FaultKind.LIST_MOVES:
            self._move_list(begins)
            return
        if kind in (FaultKind.WATCH_SILENT, FaultKind.WATCH_RESET):
            if begins:  # a single event: open watches are closed or never answered
                ends = kind is FaultKind.WATCH_RESET
                self.registry.reset_watches() if ends else self.registry.mute_open_calls()
            return
        for agent in self.registry.agents.values():
            if kind is FaultKind.LIST_SILENT:
                (agent.begin_silence if begins else agent.end_silence)(planned)
            elif begins:
                agent.begin_false_list(
                    planned, [] if kind is FaultKind.LIST_EMPTY else self._absurd_rows(agent.router)
                )
            else:
                agent.end_false_list(planned)

    def _inject_list_answer_fault(self, planned: Planned, kind: FaultKind, begins: bool) -> None:
        """Overload or delay the endpoint list service, or corrupt some of its answers."""
        if begins:
            hard = planned.fault.hard
            self.registry.begin_fault(
                planned, kind, DEFAULT_LIST_ANSWER_SEVERITY[kind] if hard is None else hard
            )
        else:
            self.registry.end_fault(planned)

    def _move_list(self, begins: bool) -> None:
        """Serve the list at a new address, nothing at the old one, and reconfigure the routers."""
        if begins:  # the move is permanent; the next such fault moves the list again
            for agent in self.registry.agents.values():
                agent.move()
                self.reconfigure(agent.router, agent.endpoint.address)

    def _absurd_rows(self, router: str) -> list[EndpointRow]:
        """Return a list of servers that don't exist, at unusable addresses."""
        draws = self.world.draws("absurd")
        return [
            EndpointRow(
                f"ghost-{n}", "nowhere", "cache", addresses={router: f"127.0.0.1:{draws.choice((0, 70000))}"}
            )
            for n in range(NUM_ABSURD_SERVERS)
        ]

    def _inject_hot_router(self, planned: Planned, begins: bool) -> None:
        for name in planned.victims:
            if begins:
                self.front.hot[planned, name] = name, hot_router_share(planned.fault)
            else:
                self.front.hot.pop((planned, name), None)

    def _inject_router_fault(self, name: str, fault: Fault, begins: bool) -> None:
        router, now, kind = self.routers[name], self.world.now(), fault.kind
        if kind is FaultKind.ROUTER_REPLACE:  # the replacement, once begun, needs no end
            if begins:
                self.replace_router(name)
        elif begins:
            number = {
                FaultKind.ROUTER_TERM: signal.SIGTERM,
                FaultKind.ROUTER_RESTART: signal.SIGTERM,
                FaultKind.ROUTER_KILL: signal.SIGKILL,
                FaultKind.ROUTER_STOP: signal.SIGSTOP,
            }[kind]
            if number is signal.SIGTERM:  # announced, so the front learns of it sooner than of a crash
                self.front.mark_terminating(
                    name, now + (TERM_NOTICE_SECONDS if fault.hard is None else fault.hard)
                )
            else:
                self.outages.begin(name, now, f"{name} was sent {number.name}")
                self.front.mark_dead(name, now)
            router.signal(number, asked=kind is not FaultKind.ROUTER_STOP)
            if kind is FaultKind.ROUTER_RESTART:
                self.start_router(name, fault.lasts)
        elif kind is FaultKind.ROUTER_STOP:
            router.signal(signal.SIGCONT, asked=False)
            self.front.mark_ready(name)
            self.recovered(name)
        elif kind is not FaultKind.ROUTER_RESTART:
            self.start_router(name, 0.0)

    def recovered(self, router: str) -> None:
        """Note that a router can answer again."""
        self.outages.end(router, self.world.now())

    def excuse(self, router: str, began: float, ended: float) -> str:
        """Return why a router could not answer during an interval, empty if it could."""
        return self.outages.reason(router, began, ended)
