"""A router on loopback that distinguishes regions; a test sets the policy in force."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from ironrail.net.downstream.client_connection import ClientConnection
from ironrail.net.peers import client_steering as driver
from ironrail.operator_file import OperatorSettings, PeerSettings
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.consensus_node import EffectivePolicy
from ironrail.peers.steering.cost_model import ZoneState
from ironrail.peers.steering.migration import assign_zone
from tests.net.lifecycle.test_handover import AdministeredWorld
from tests.peers import LOCAL, Client

NORTH = [f"127.0.1.{n}" for n in range(1, 60)]
ROW = {"here": 0.5, "there": 0.5}
AWAY = next(a for a in NORTH if assign_zone(ROW, a) == "there")
HERE = next(a for a in NORTH if assign_zone(ROW, a) == "here")


class SteeringWorld(AdministeredWorld):
    """One of two routers, in the zones `here` and `there`, and a cache."""

    def __init__(self, folder: Path, **peers: Any) -> None:
        (folder / "key").write_bytes(b"a key of all routers")
        conf = PeerSettings({1: str(folder / "key")}, 1, ("here", "there"), **peers)
        super().__init__(operator=OperatorSettings(peers=conf, regions={"north": ["127.0.1.0/24"]}))

    def config(self) -> Any:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind((LOCAL, 0))
            own = f"{LOCAL}:{probe.getsockname()[1]}"
        table = {"peer_listen": own, "peers": [own, f"{LOCAL}:9"]}
        return replace(super().config(), peer_table=table)

    async def client_at(self, address: str) -> Client:
        return Client(*await asyncio.open_connection(*self.address, local_addr=(address, 0)))

    @property
    def steering(self) -> driver.ClientSteering:
        assert self.node.peer_runtime is not None and self.node.peer_runtime.steering is not None
        return self.node.peer_runtime.steering

    def connections(self) -> list[ClientConnection]:
        return self.node._client_listener.open_connections()

    async def serve(self, client: Client, name: str) -> None:
        """Let a client get a value from the cache."""
        client.get(name)
        (await self.cache.next()).reply_value(b"v")
        assert await client.value(name) == b"v"

    def put_in_force(
        self, monkeypatch: pytest.MonkeyPatch, rows: Any, load: float = 1.0, version: int = 7
    ) -> None:
        """Put rows in force, with this load of the other zone, whose capacity is 10."""
        decided = EffectivePolicy((version,), p.Policy(version, steering=rows))

        class InForce:
            def in_force(self) -> EffectivePolicy:
                return decided

        zones = {"here": ZoneState(10.0, 1.0), "there": ZoneState(10.0, load)}
        self.steering._policies = InForce()  # type: ignore[assignment]
        monkeypatch.setattr(driver, "zone_states", lambda *_: zones)
