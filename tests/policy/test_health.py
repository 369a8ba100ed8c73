"""Lost servers, connections that break, and a fleet that is crowded."""

from __future__ import annotations

import itertools
import math

import pytest
from ironrail.policy import load_shedding
from ironrail.policy.actions import CloseIdleConnections, SendAttempt
from ironrail.policy.events import AttemptStatus

from tests.driver import Driver, settings
from tests.policy.fleets import fleet, order_of


def test_a_server_lost_a_thousand_times_is_tried_again() -> None:
    d = Driver(settings())
    d.list(*fleet("a"))
    for n in range(1100):
        assert d.request(f"r{n}") == "a"
        d.end(f"r{n}", AttemptStatus.CONNECT_FAILED)
        d.now += 2 * d.conf.slow_start_duration


def test_a_server_that_answers_nothing_is_tried_after_growing_pauses() -> None:
    d = Driver(settings(max_attempts=1))
    d.list(*fleet("a", "b"))
    first, second = order_of(d, "k")
    trials = []
    for n in range(300):
        d.now += 0.1
        if d.request(f"r{n}", key="k", finish=n < 20) == first and n >= 20:
            trials.append(d.now)
            d.now += 0.6
            d.end(f"r{n}", AttemptStatus.TIMEOUT, latency=0.6)
        elif n >= 20:
            d.ok(f"r{n}")
    gaps = [b - a for a, b in itertools.pairwise(trials)]
    assert 3 <= len(gaps) <= 12 and gaps[-1] > 2 * gaps[0]
    d.now += 20.0
    assert d.request("back", key="k", finish=True) == first
    assert d.request("more", key="k", finish=True) == first


def aged(d: Driver, lost: AttemptStatus, count: int) -> None:
    """Sends on connections that idled for three seconds are lost, and those after them are answered."""
    for n in range(count):
        d.now += 3.0
        server = d.request(f"old{n}", key="k")
        d.end(f"old{n}", lost, latency=0.6)
        d.router.servers[str(server)].ejected_until = d.now
        for m in range(2):
            if f"old{n}" in d.open:
                d.ok(f"old{n}")
            d.request(f"new{n}-{m}", key="k", finish=True)


@pytest.mark.parametrize("lost", [AttemptStatus.RESET, AttemptStatus.TIMEOUT])
def test_idle_connections_that_lose_what_is_sent_are_closed_before_use(lost: AttemptStatus) -> None:
    d = Driver(settings(max_attempts=1))
    d.list(*fleet("a"))
    d.request("r0", key="k", finish=True)
    aged(d, lost, 4)
    d.now += 3.0
    d.request("r", key="k")
    assert [type(a) for a in d.last[:2]] == [CloseIdleConnections, SendAttempt]


def test_losses_soon_after_use_are_no_sign_of_idle_connections_that_die() -> None:
    """Two time-outs at a silent server had a router open a new connection for every second request."""
    d = Driver(settings(max_attempts=1))
    d.list(*fleet("a"))
    for n in range(8):
        d.request(f"r{n}", key="k", finish=True)
        d.now += 0.3
        server = d.request(f"lost{n}", key="k")
        d.end(f"lost{n}", AttemptStatus.TIMEOUT, latency=0.6)
        d.router.servers[str(server)].ejected_until = d.now
    assert d.router.connection_health.idle_survival == math.inf


def test_idle_connections_that_work_are_kept() -> None:
    d = Driver(settings(max_attempts=1))
    d.list(*fleet("a"))
    for n in range(20):
        d.now += 3.0
        d.request(f"r{n}", key="k", finish=True)
    assert (
        not any(isinstance(a, CloseIdleConnections) for a in d.last)
        and d.router.connection_health.idle_survival == math.inf
    )


def test_connections_are_let_go_after_use_while_connects_are_refused() -> None:
    """Idle connections of other routers filled the tables of servers, and half of all connects failed."""
    d = Driver(settings(max_attempts=1))
    d.list(*fleet("a"))
    for n in range(6):
        d.now += 20.0
        d.request(f"r{n}", key=f"k{n}")
        d.end(f"r{n}", AttemptStatus.CONNECT_FAILED, latency=0.0)
        d.now += 20.0
        d.request(f"s{n}", key=f"k{n}", finish=True)
    assert d.last == [CloseIdleConnections("a")]


def test_connects_refused_by_processes_that_are_gone_close_no_other_connection() -> None:
    """While six in ten servers were replaced, all routers opened a connection for each request."""
    d = Driver(settings(max_attempts=1))
    names = [f"s{n}" for n in range(10)]
    d.list(*fleet(*names))
    gone = set(names[:6])
    for n in range(60):
        d.now += 1.0
        server = d.request(f"r{n}", key=f"k{n}")
        if server in gone:
            d.end(f"r{n}", AttemptStatus.CONNECT_FAILED, latency=0.0)
        else:
            d.ok(f"r{n}")
            assert not any(isinstance(a, CloseIdleConnections) for a in d.last)
    assert gone & {sent for sends in d.sends.values() for sent in sends}


def test_requests_are_shed_when_few_are_answered_in_time() -> None:
    """Each router sent all it had into an overload, and hardly any of it was answered in time."""
    d = Driver(settings(max_attempts=1))
    d.list(*fleet("a", "b"))
    for n in range(400):
        d.now += 0.05
        if d.request(f"r{n}", key=f"k{n}"):
            d.end(f"r{n}", AttemptStatus.OK, latency=0.1 if n % 5 == 0 else 1.5)
    late = [n for n in range(200, 400) if f"r{n}" not in d.sends]
    assert 80 <= len(late) <= 190
    for n in range(400, 1500):
        d.now += 0.05
        d.request(f"r{n}", key=f"k{n}", finish=f"r{n}" in d.sends)
        if f"r{n}" in d.open:
            d.ok(f"r{n}")
    assert all(f"r{n}" in d.sends for n in range(1400, 1500))


def test_shedding_holds_until_most_answers_are_in_time() -> None:
    """The share shed fell as it worked: a crowd had to stay, half of it late, for any shedding to go on."""
    d = Driver(settings(max_attempts=1))
    d.list(*fleet("a", "b"))
    sent = 0
    for n in range(600):  # a fleet that answers every second send in time, whatever is shed
        d.now += 0.05
        if d.request(f"r{n}", key=f"k{n}"):
            sent += n >= 300
            d.end(f"r{n}", AttemptStatus.OK, latency=0.1 if n % 2 else 1.5)
    assert 0.5 * 300 >= sent >= 0.6 * (1 - load_shedding.MAX_SHED_FRACTION) * 300
