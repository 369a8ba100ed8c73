"""The daemon's own books, looked at from within once all is quiet: what it believes, and what it still keeps.

Nobody asks anything any more and every fault is over, so nothing may be held, nothing out, and each belief
about load must equal what is there.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from ironrail.diagnostics.invariants import InvariantGuard
from ironrail.net.lifecycle.node import Node


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that must never be."""

    kind: str
    what: str


def faults_at_rest(routers: Iterable[Any]) -> list[Fault]:
    """All that is wrong in routers that run and have nothing to do."""
    found: list[Fault] = []
    for router in routers:
        if router.running and router.node is not None:
            found += [Fault(kind, f"{router.name}: {what}") for kind, what in _of_node(router.node)]
            found += [Fault(kind, f"{router.name}: {what}") for kind, what in _descriptors(router)]
    return found


def _of_node(node: Node) -> Iterator[tuple[str, str]]:
    host, clients = node._host, node._clients
    policy = host._router
    yield from _of_guard(host.diagnostics.guard)
    if host._held:
        yield "held", f"{len(host._held)} requests still held by the host: {list(host._held)[:3]}"
    room = host.room
    if room.free_bytes != room.total_bytes or room.waiting_count:
        yield (
            "room",
            f"{room.total_bytes - room.free_bytes} bytes lent out for long values, {room.waiting_count} wait",
        )
    if host._open:
        yield "attempts", f"{len(host._open)} attempts without an outcome: {list(host._open)[:3]}"
    if pending := policy.pending_requests:
        yield ("held", f"{len(pending)} requests still held by the module: {list(pending)[:3]}")
    if out := policy.attempts_in_flight:
        yield "attempts", f"{len(out)} attempts open in the module: {list(out)[:3]}"
    for name, server in policy.servers.items():
        if server.in_flight:
            yield "load", f"the module believes {server.in_flight} at {name} where nothing is out"
    if load := policy.attempts_in_flight.cache_count:
        yield "load", f"the module believes {load} on its ring where nothing is out"
    for name, pool in host._pools.items():
        yield from _of_pool(name, pool)
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


def _of_guard(guard: InvariantGuard) -> Iterator[tuple[str, str]]:
    for violation, count in guard.violations.items():
        if count:
            yield "invariant", f"{violation}: {count}"


def _of_pool(name: str, pool: Any) -> Iterator[tuple[str, str]]:
    upstream = pool.upstream
    if upstream._waiting:
        yield "attempts", f"{len(upstream._waiting)} attempts wait for {name}"
    out = sum(attempt.open for link in upstream._all for attempt in link.out)
    if out:
        yield "attempts", f"{out} attempts out at {name}"
    known = set(pool._connections)
    if lost := [link for link in upstream._all if link not in known]:
        yield "connections", f"{len(lost)} connections to {name} that are none"
    if len(upstream._dialling) != len(pool._dialling):
        yield "connections", f"{len(upstream._dialling)} dials to {name} decided, {len(pool._dialling)} made"
    if len(upstream) > max(upstream.most, upstream.wanted):
        yield "connections", f"{len(upstream)} connections to {name}, {upstream.most} allowed"


def _descriptors(router: Any) -> Iterator[tuple[str, str]]:
    """What the process has open beyond what its parts know of."""
    node = router.node
    host, clients = node._host, node._clients
    known = len(clients.context.connections) + len(clients._opening)
    known += sum(len(pool._connections) + len(pool._dialling) for pool in host._pools.values())
    there = len(router.process.sockets)
    slack = 4  # two listeners, and discovery, which may be between two connections
    if there > known + slack:
        yield "descriptors", f"{there} sockets open, {known} known to its parts and {slack} of its own"
