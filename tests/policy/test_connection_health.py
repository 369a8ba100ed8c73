"""Idle connections on which attempts are lost, and connects that fail."""

from __future__ import annotations

import math

import pytest

from ironrail.policy.actions import CloseIdleConnections, SendAttempt
from ironrail.policy.events import AttemptStatus
from tests.driver import Driver, settings
from tests.policy.fleets import fleet


def lose_idle_connections(d: Driver, lost: AttemptStatus, count: int) -> None:
    """Lose attempts on connections that were idle for 3 s, and answer the next ones."""
    for n in range(count):
        d.now += 3.0
        server = d.receive(f"old{n}", key="k")
        d.end_attempt(f"old{n}", lost, latency=0.6)
        d.router.servers[str(server)].ejected_until = d.now
        for m in range(2):
            if f"old{n}" in d.pending:
                d.succeed(f"old{n}")
            d.receive(f"new{n}-{m}", key="k", finish=True)


@pytest.mark.parametrize("lost", [AttemptStatus.RESET, AttemptStatus.TIMEOUT])
def test_idle_connections_that_lose_attempts_are_closed_before_use(lost: AttemptStatus) -> None:
    d = Driver(settings(max_attempts=1))
    d.update_endpoints(*fleet("a"))
    d.receive("r0", key="k", finish=True)
    lose_idle_connections(d, lost, 4)
    d.now += 3.0
    d.receive("r", key="k")
    assert [type(a) for a in d.last_actions[:2]] == [CloseIdleConnections, SendAttempt]


def test_losses_on_connections_in_use_leave_the_idle_survival_as_it_is() -> None:
    """Guards against two timeouts at a silent server causing a new connection for every other request."""
    d = Driver(settings(max_attempts=1))
    d.update_endpoints(*fleet("a"))
    for n in range(8):
        d.receive(f"r{n}", key="k", finish=True)
        d.now += 0.3
        server = d.receive(f"lost{n}", key="k")
        d.end_attempt(f"lost{n}", AttemptStatus.TIMEOUT, latency=0.6)
        d.router.servers[str(server)].ejected_until = d.now
    assert d.router.connection_health.idle_survival == math.inf


def test_idle_connections_that_work_stay_open() -> None:
    d = Driver(settings(max_attempts=1))
    d.update_endpoints(*fleet("a"))
    for n in range(20):
        d.now += 3.0
        d.receive(f"r{n}", key="k", finish=True)
    assert (
        not any(isinstance(a, CloseIdleConnections) for a in d.last_actions)
        and d.router.connection_health.idle_survival == math.inf
    )


def test_connections_are_closed_after_use_while_accept_queues_are_full() -> None:
    """Guards against idle connections of routers that fill accept queues: half of all connects failed."""
    d = Driver(settings(max_attempts=1))
    d.update_endpoints(*fleet("a"))
    for n in range(6):
        d.now += 20.0
        d.receive(f"r{n}", key=f"k{n}")
        d.end_attempt(f"r{n}", AttemptStatus.CONNECT_FAILED, latency=0.0)
        d.now += 20.0
        d.receive(f"s{n}", key=f"k{n}", finish=True)
    assert d.last_actions == [CloseIdleConnections("a")]


def test_connects_refused_by_stopped_servers_close_no_other_connections() -> None:
    """Guards against a new connection for each request while six of ten servers are replaced."""
    d = Driver(settings(max_attempts=1))
    names = [f"s{n}" for n in range(10)]
    d.update_endpoints(*fleet(*names))
    gone = set(names[:6])
    for n in range(60):
        d.now += 1.0
        server = d.receive(f"r{n}", key=f"k{n}")
        if server in gone:
            d.end_attempt(f"r{n}", AttemptStatus.CONNECT_FAILED, latency=0.0)
        else:
            d.succeed(f"r{n}")
            assert not any(isinstance(a, CloseIdleConnections) for a in d.last_actions)
    assert gone & {sent for sends in d.servers_sent_to.values() for sent in sends}
