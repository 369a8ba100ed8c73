"""Checks the daemon's internal state once a run is idle.

With no requests left and every fault over, no request, attempt or budget may still be held, and each load
counter must equal the actual load.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from ironrail.diagnostics.invariants import InvariantGuard
from ironrail.net.lifecycle.node import Node
from ironrail.net.upstream.connection_pool import ConnectionPool


@dataclass(frozen=True, slots=True)
class InvariantViolation:
    """A violated invariant of a router's internal state."""

    kind: str
    what: str


def find_violations(routers: Iterable[Any]) -> list[InvariantViolation]:
    """All invariant violations of the running, idle routers."""
    found: list[InvariantViolation] = []
    for router in routers:
        if router.running and router.node is not None:
            found += [
                InvariantViolation(kind, f"{router.name}: {what}")
                for kind, what in _node_violations(router.node)
            ]
            found += [
                InvariantViolation(kind, f"{router.name}: {what}")
                for kind, what in _descriptor_violations(router)
            ]
    return found


def _node_violations(node: Node) -> Iterator[tuple[str, str]]:
    host, clients = node._dispatcher, node._client_listener
    policy = host.driver.router
    yield from _guard_violations(host.diagnostics.invariants)
    if host.requests.by_id:
        yield (
            "held",
            f"{len(host.requests.by_id)} requests still held by the host: {list(host.requests.by_id)[:3]}",
        )
    room = host.memory_budget
    if room.free_bytes != room.total_bytes or room.waiting_count:
        yield (
            "room",
            f"{room.total_bytes - room.free_bytes} bytes lent out for long values, {room.waiting_count} wait",
        )
    if host.attempts:
        of_requests = [entry.attempt.request_id for entry in host.attempts][:3]
        yield "attempts", f"{len(host.attempts)} attempts without an outcome: {of_requests}"
    if pending := policy.pending_requests:
        yield ("held", f"{len(pending)} requests still held by the module: {list(pending)[:3]}")
    if out := policy.attempts_in_flight:
        yield "attempts", f"{len(out)} attempts open in the module: {list(out)[:3]}"
    for name, server in policy.servers.items():
        if server.in_flight:
            yield "load", f"the module believes {server.in_flight} at {name} where nothing is out"
    if load := policy.attempts_in_flight.cache_count:
        yield "load", f"the module believes {load} on its ring where nothing is out"
    for name, pool in host.pools.items():
        yield from _pool_violations(name, pool)
    placed = set(clients.sessions)
    if lost := placed - clients.context.connections.keys():
        yield "places", f"{len(lost)} places of connections that are none"
    for session, connection in clients.context.connections.items():
        if (session in placed) is (
            connection in clients.context.lingering
        ) and not connection.transport.is_closing():
            yield (
                "places",
                f"a connection is {'placed and' if session in placed else 'neither placed nor'} shut",
            )


def _guard_violations(guard: InvariantGuard) -> Iterator[tuple[str, str]]:
    for violation, count in guard.violations.items():
        if count:
            yield "invariant", f"{violation}: {count}"


def _pool_violations(name: str, pool: ConnectionPool) -> Iterator[tuple[str, str]]:
    state = pool.manager.state
    if state.waiting:
        yield "attempts", f"{len(state.waiting)} attempts wait for {name}"
    out = sum(attempt.is_open for link in state.connected for attempt in link.in_flight)
    if out:
        yield "attempts", f"{out} attempts out at {name}"
    known = set(pool._connections)
    if lost := [link for link in state.connected if link not in known]:
        yield "connections", f"{len(lost)} connections to {name} that are none"
    if len(state.connecting) != len(pool.connector.tasks):
        yield (
            "connections",
            f"{len(state.connecting)} dials to {name} decided, {len(pool.connector.tasks)} made",
        )
    if len(state) > max(state.max_connections, state.wanted_connections):
        yield "connections", f"{len(state)} connections to {name}, {state.max_connections} allowed"


def _descriptor_violations(router: Any) -> Iterator[tuple[str, str]]:
    """Open sockets of the process that none of its components tracks."""
    node = router.node
    host, clients = node._dispatcher, node._client_listener
    known = len(clients.context.connections) + len(clients._opening)
    known += sum(len(pool._connections) + len(pool.connector.tasks) for pool in host.pools.values())
    there = len(router.process.sockets)
    slack = 4  # two listeners, and discovery, which may be between two connections
    if there > known + slack:
        yield "descriptors", f"{there} sockets open, {known} known to its parts and {slack} of its own"
