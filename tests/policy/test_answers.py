"""Each request has one answer in time, and nothing is kept of it after."""

from __future__ import annotations

import pytest

from ironrail.policy import balance
from ironrail.policy import interface as api
from tests.driver import Driver, entry, settings
from tests.policy.fleets import ASIDE, fleet


def test_held_requests_are_answered_in_time_without_any_server() -> None:
    d = Driver(settings())
    d.request("r")
    assert not d.sends
    d.wait(3.0)
    assert d.ended["r"] == "refused"


def test_held_requests_go_out_when_a_server_is_listed() -> None:
    d = Driver(settings())
    d.request("r")
    d.now += 0.2
    d.list(*fleet("a"))
    assert d.sends["r"] == ["a"]


@pytest.mark.parametrize("time_left", [0.0, 0.001])
def test_a_budget_of_nothing_is_refused_at_once(time_left: float) -> None:
    d = Driver(settings())
    d.list(*fleet("a"))
    d.request("r", time_left=time_left)
    assert d.ended["r"] == "refused"


@pytest.mark.parametrize("kind", ["read", "once"])
def test_what_waits_when_time_is_up_is_refused_at_once_whatever_its_own_timer_does(kind: str) -> None:
    """Its timer came due within the same millisecond as the host's, which failed it for want of an answer."""
    d = Driver(settings(**ASIDE, tick=0.001))
    d.list(*fleet("a", "o"))
    for n in range(40):  # more than the origin is sent at first
        d.request(f"r{n}", request_class=kind, write=True)
    waiting = [name for name in d.open if not d.sends.get(name)]
    assert waiting
    for name in waiting:
        d.feed(api.TimeUp(name))
        assert d.ended[name] == "refused"
    d.feed(api.TimeUp("nobody"))


def test_reads_that_wait_for_the_origin_are_answered_in_time() -> None:
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "o"))
    for n in range(60):
        d.request(f"r{n}", key=f"k{n}")
        d.end(f"r{n}", api.Status.MISS)
    d.wait(3.0)
    assert len(d.ended) == 60


def test_days_of_service_overflow_nothing() -> None:
    d = Driver(settings())
    d.list(*fleet("a"))
    d.now += 30 * 86400.0
    assert d.request("r", finish=True) == "a"


def test_client_gone_ends_everything_for_it() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    d.request("r")
    d.finish("r", "gone")
    assert d.feed(api.ClientGone("r")) == [api.Cancel("r", 0)]
    assert d.end("r", api.Status.CANCELLED) is None
    assert d.feed(api.ClientGone("r")) == []


def test_unknown_things_are_passed_over() -> None:
    d = Driver(settings())
    for event in (
        api.Outcome("x", 0, api.Status.OK, True),
        api.ClientGone("x"),
        api.TimerFired("wait:x"),
        api.TimerFired("odd"),
        api.Streaming("x", 0),
        api.ServerList(api.ListKind.DELTA, (entry("a", state=api.State.GONE),)),
        api.ServerList(api.ListKind.FULL, ()),
    ):
        assert [a for a in d.feed(event) if not isinstance(a, api.SetTimer)] == []
    assert d.router.handle(d.now, api.Request("r", "unheard-of", 1.0)) == [api.Refuse("r", d.conf.tick)]


def test_equal_events_give_equal_actions() -> None:
    def run() -> list[list[api.Action]]:
        d = Driver(settings(subscribe=True), seed=7)
        said = [d.list(*fleet("a", "b", "c"), kind=api.ListKind.SAVED), d.list(kind=api.ListKind.FAILED)]
        for n in range(30):
            d.request(f"r{n}", key=f"k{n}")
            said.append(d.last)
        return said

    assert run() == run()


def test_a_long_run_holds_bounded_memory() -> None:
    """Many keys, servers and requests pass through; what is kept follows what is in hand."""
    d = Driver(settings(**ASIDE))
    for n in range(3000):
        if n % 20 == 0:
            d.list(*fleet(*(f"s{n // 20 + i}" for i in range(4)), *["o"] * (n % 40 > 0)))
        if n % 500 == 480:
            d.list()
        name = f"r{n}"
        if d.request(name, key=f"k{n}") is not None:
            d.end(name, api.Status.MISS if n % 3 else api.Status.OK)
        if d.sends.get(name, [""])[-1] == "o":
            d.ok(name)
        d.wait(0.05)
    d.wait(5.0)
    r = d.router
    assert not r.held and not r.attempts.out and r.attempts.ring_load == 0
    assert len(r.servers) <= 5 and len(r.queue) < 100
    assert len(r.ring.recent) == balance.RECENT
