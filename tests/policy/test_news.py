"""The list of servers: when it is asked for, and what is learned anew."""

from __future__ import annotations

from ironrail.policy import balance
from ironrail.policy import interface as api
from tests.driver import Driver, entry, settings
from tests.policy.fleets import fleet


def test_discovery_down_for_days_is_asked_again() -> None:
    d = Driver(settings(subscribe=True))
    for _ in range(1100):
        d.list(kind=api.ListKind.FAILED)
        pause = next(a.delay for a in d.last if isinstance(a, api.SetTimer))
        assert 0 < pause <= d.conf.ramp


def test_subscribes_and_backs_off_after_failures() -> None:
    d = Driver(settings(subscribe=True))
    assert api.Subscribe() in d.list(*fleet("a"), kind=api.ListKind.SAVED)
    pauses = []
    for _ in range(6):
        timer, log = d.feed(api.ServerList(api.ListKind.FAILED))
        assert isinstance(log, api.Log) and "out of reach" in log.text
        assert isinstance(timer, api.SetTimer)
        pauses.append(timer.delay)
        d.timers.clear()
        assert d.feed(api.TimerFired(timer.token)) == [api.Subscribe()]
    assert pauses[-1] > pauses[0]


def test_many_routers_do_not_ask_for_the_list_together() -> None:
    delays = []
    for seed in range(40):
        d = Driver(settings(subscribe=True, routers=14, ramp=8.9, must_ask=3.0), seed)
        timer = next(a for a in d.list(*fleet("a"), kind=api.ListKind.SAVED) if isinstance(a, api.SetTimer))
        assert d.feed(api.TimerFired(timer.token)) == [api.Subscribe()]
        delays.append(timer.delay)
        for _ in range(9):
            (again,) = [a for a in d.list(kind=api.ListKind.FAILED) if isinstance(a, api.SetTimer)]
            assert 1.0 < again.delay < 4 * 3.0  # after the interval the old list may not be used any more
    assert max(delays) < 3.0  # nor at the start
    assert max(delays) - min(delays) > 1.5


def test_a_restarted_server_is_learned_anew() -> None:
    """What an earlier process bore, and its silence, say nothing of its successor."""
    d = Driver(settings())
    d.list(*fleet("a"))
    d.router.servers["a"].limit = 1.0
    d.request("r1")
    d.list(entry("a", since=d.now), kind=api.ListKind.DELTA)
    assert d.router.servers["a"].limit == balance.LIMIT_START
    d.ok("r1")
    assert d.router.servers["a"].load == 0 and d.router.attempts.ring_load == 0
