"""A router on loopback that tells regions apart; the policy in force is as a test has it."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from ironrail.net.downstream.client_connection import ClientConnection
from ironrail.net.peers import readers as driver
from ironrail.operator_file import OperatorSettings, PeerSettings
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.consensus_node import EffectivePolicy
from ironrail.peers.steering.carried import place
from ironrail.peers.steering.expected import Hall
from tests.net.lifecycle.test_handover import AdministeredWorld
from tests.peers import LOCAL, Client

NORTH = [f"127.0.1.{n}" for n in range(1, 60)]
ROW = {"here": 0.5, "there": 0.5}
AWAY = next(a for a in NORTH if place(ROW, a) == "there")
HERE = next(a for a in NORTH if place(ROW, a) == "here")


class Read(AdministeredWorld):
    """One of two routers; the policy in force and halls' load are as a test has them."""

    def __init__(self, folder: Path, **peers: Any) -> None:
        (folder / "key").write_bytes(b"a key of all routers")
        conf = PeerSettings({1: str(folder / "key")}, 1, ("here", "there"), **peers)
        super().__init__(operator=OperatorSettings(peers=conf, regions={"north": ["127.0.1.0/24"]}))

    def config(self) -> Any:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind((LOCAL, 0))
            own = f"{LOCAL}:{probe.getsockname()[1]}"
        tier = {"peer_listen": own, "peers": [own, f"{LOCAL}:9"]}
        return replace(super().config(), peer_table=tier)

    async def client_at(self, address: str) -> Client:
        return Client(*await asyncio.open_connection(*self.address, local_addr=(address, 0)))

    @property
    def readers(self) -> driver.Readers:
        assert self.node.peer_runtime is not None and self.node.peer_runtime.readers is not None
        return self.node.peer_runtime.readers

    def connections(self) -> list[ClientConnection]:
        return self.node._client_listener.open_connections()

    async def served(self, client: Client, name: str) -> None:
        client.get(name)
        (await self.cache.next()).reply_value(b"v")
        assert await client.value(name) == b"v"

    def put_in_force(
        self, monkeypatch: pytest.MonkeyPatch, rows: Any, load: float = 1.0, version: int = 7
    ) -> None:
        """These rows are in force; the other hall has this load of a room of 10."""
        decided = EffectivePolicy((version,), p.Policy(version, steering=rows))

        class InForce:
            def in_force(self) -> EffectivePolicy:
                return decided

        halls = {"here": Hall(10.0, 1.0), "there": Hall(10.0, load)}
        self.readers._policies = InForce()  # type: ignore[assignment]
        monkeypatch.setattr(driver, "halls_now", lambda *_: halls)
