"""Parallel runs never share a port, not even while a stand-in of one of them is down."""

from __future__ import annotations

import asyncio
import socket

import pytest

from ironrail.rehearsal.faults.injector import FaultInjector
from ironrail.rehearsal.faults.plan import Step
from ironrail.rehearsal.ground import FIRST_ROUTER_NETWORK, RealGround
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.standins.listening_port import LOOPBACK_HOST
from ironrail.rehearsal.virtual.runner import run_virtual
from tests.peers import scenario


def host_of(address: str) -> str:
    return address.rpartition(":")[0]


@scenario
async def test_the_port_of_a_stand_in_that_is_down_is_not_given_to_another_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ground = RealGround(("false",))
    stand_in = ground.listen(0, lambda connection, late: None)
    port, host = stand_in.port, host_of(stand_in.address)
    stand_in.close()
    monkeypatch.setattr("os.getpid", lambda: 77)  # another run
    other = RealGround(("false",)).listen(port, lambda connection, late: None)
    assert other.port == port and host_of(other.address) != host
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(host, port)
    other.close()


@scenario
async def test_the_port_of_a_stand_in_that_is_down_is_not_given_to_another_one() -> None:
    """Guards against a restarted stand-in that finds its port in use, which stops the plan of faults."""
    ground = RealGround(("false",))
    ports = set()
    for _ in range(2000):
        stand_in = ground.listen(0, lambda connection, late: None)
        ports.add(stand_in.port)
        stand_in.close()
    assert len(ports) == 2000


def test_runs_of_neighbouring_process_ids_have_different_addresses(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against two runs that connect to each other's caches."""
    hosts = set()
    for pid in range(0x2BF0, 0x2D10):
        monkeypatch.setattr("os.getpid", lambda pid=pid: pid)
        hosts.add(RealGround(("false",)).address_of(0))
    assert len(hosts) == 0x2D10 - 0x2BF0
    with socket.create_server(("127.64.44.0", 0)) as server, socket.create_connection(server.getsockname()):
        pass  # an address that ends with 0 is usable


@scenario
async def test_stand_ins_and_routers_of_one_run_have_different_addresses() -> None:
    ground = RealGround(("false",))
    stand_in = ground.listen(0, lambda connection, late: None)
    assert host_of(stand_in.address) not in (LOOPBACK_HOST, ground.address_of(0), ground.address_of(1))
    assert ground.address_of(0).split(".")[1] == str(FIRST_ROUTER_NETWORK)
    with socket.create_connection((host_of(stand_in.address), stand_in.port)):
        stand_in.close()


def test_an_error_in_a_fault_ends_the_run_with_that_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a run that silently plays fewer faults than planned."""

    def fail(self: FaultInjector, step: Step) -> None:
        raise OSError("Address already in use")

    monkeypatch.setattr(FaultInjector, "apply", fail)
    fault = {"kind": "stall", "whom": "cache-1", "at": "500 ms", "lasts": "500 ms"}
    world = {"summary": "x", "length": "2 s", "warm_up": "0 s", "load": {"rate": 20.0}, "fault": [fault]}
    with pytest.raises(OSError, match="Address already in use"):
        run_virtual(Scenario.model_validate(world), 1)
