"""Environments, real and virtual, whose links, clocks and disks can fail."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any, Protocol

from ironrail.net.discovery.endpoint_list import read_address
from ironrail.net.system import System
from ironrail.operator_file import OperatorSettings
from ironrail.rehearsal.account.record import RouterFacts
from ironrail.rehearsal.ground import Ground, OnExit, RealGround
from ironrail.rehearsal.links.datagrams import DatagramRelays
from ironrail.rehearsal.links.exchange import Exchange
from ironrail.rehearsal.links.launch import switch_path
from ironrail.rehearsal.links.relay import ClientRelay
from ironrail.rehearsal.links.switch import DriftingSystem, Switch
from ironrail.rehearsal.routers import RouterProcess
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import router_names
from ironrail.rehearsal.standins.listening_port import OpenPort
from ironrail.rehearsal.virtual.datagrams import Datagrams
from ironrail.rehearsal.virtual.environment import VirtualEnvironment, VirtualRouter
from ironrail.rehearsal.virtual.loop import VirtualLoop

LAUNCH = (sys.executable, "-B", "-m", "ironrail.rehearsal.links.launch")
PEER_PORT = 11311  # the same for all routers, as each has its own loopback address
BROADCAST_ADDRESS = f"127.63.0.1:{PEER_PORT}"  # only in virtual time


class Links:
    """The points at which faults are injected around the routers of a run."""

    def __init__(self, scenario: Scenario, seed: int, listen: OpenPort) -> None:
        self.names = router_names(scenario)
        self.exchange = Exchange(seed, self.names)
        self._listen = listen
        self.doors: dict[str, ClientRelay] = {}  # by router: relay through which clients reach it
        self.switches: dict[str, Switch] = {}

    def add_client_relay(self, router: RouterProcess | VirtualRouter) -> None:
        """Puts the client relay before a router; all processes of one router share it."""
        if router.name not in self.doors:
            self.doors[router.name] = ClientRelay(router.name, router.address, self._listen)
        router.address = read_address(self.doors[router.name].door.address)

    def close(self) -> None:
        for door in self.doors.values():
            door.close()
        for switch in self.switches.values():
            switch.close()


class LinkedGround(Ground, Protocol):
    """A ground with fault injection on its links."""

    links: Links

    def close(self) -> None:
        """Closes all sockets."""


class RealLinks(RealGround):
    """Routers as real processes on this machine. Must be created in the running loop."""

    def __init__(self, scenario: Scenario, seed: int, command: tuple[str, ...] = LAUNCH) -> None:
        super().__init__(command)
        self.links = Links(scenario, seed, self.listen)
        listens = {n: f"{self.address_of(i)}:{PEER_PORT}" for i, n in enumerate(self.links.names)}
        self.datagrams = DatagramRelays(self.links.exchange, listens)

    def make_router(
        self, name: str, config: dict[str, Any], folder: Path, facts: RouterFacts, on_exit: OnExit
    ) -> RouterProcess:
        if name not in self.links.switches:
            self.links.switches[name] = Switch.at(switch_path(folder / f"{name}.json"))
        config = config | self.datagrams.config_of(name)
        router = super().make_router(name, config, folder, facts, on_exit)
        self.links.add_client_relay(router)
        return router

    def close(self) -> None:
        self.datagrams.close()
        self.links.close()


class VirtualLinks(VirtualEnvironment):
    """Routers in virtual time."""

    def __init__(
        self, loop: VirtualLoop, scenario: Scenario, seed: int, *, operator: OperatorSettings, kept_lines: int
    ) -> None:
        super().__init__(loop, scenario, seed, operator=operator, kept_lines=kept_lines)
        self.links = Links(scenario, seed, self.listen)
        self._peers = [f"{self.address_of(i)}:{PEER_PORT}" for i, _ in enumerate(self.links.names)]
        addresses = {n: read_address(a) for n, a in zip(self.links.names, self._peers, strict=True)}
        loop.datagrams = Datagrams(loop, self.links.exchange, addresses, read_address(BROADCAST_ADDRESS))

    def make_router(
        self, name: str, config: dict[str, Any], folder: Path, facts: RouterFacts, on_exit: OnExit
    ) -> VirtualRouter:
        self.links.switches.setdefault(name, Switch())
        own = self._peers[self.links.names.index(name)]
        peers = {"peer_listen": own, "peers": self._peers, "peers_all": BROADCAST_ADDRESS}
        router = super().make_router(name, config | peers, folder, facts, on_exit)
        self.links.add_client_relay(router)
        return router

    def router_system(self, name: str) -> System:
        return DriftingSystem(self.system, self.links.switches[name])

    def close(self) -> None:
        self.links.close()
