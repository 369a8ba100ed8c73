"""The four rules, each alone, and all of them under random legal sequences of events."""

from __future__ import annotations

import itertools
import math
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from ironrail.policy import balance
from ironrail.policy import interface as api
from ironrail.policy.balance import Router
from tests.driver import Driver, entry, settings

MAY_HAVE_RUN = [api.Status.ERROR, api.Status.RESET, api.Status.TIMEOUT, api.Status.CANCELLED]
NEVER_RAN = [api.Status.FULL, api.Status.CONNECT_FAILED, api.Status.MOOT]
ASIDE: dict[str, Any] = {"aside": True, "origin_kind": "origin"}


def fleet(*names: str) -> list[api.ServerEntry]:
    cells = enumerate(names)
    return [entry(n, zone="xy"[i % 2], cell=i % 2, kind="origin" if n == "o" else "std") for i, n in cells]


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_unsafe_is_never_resent_nor_refused_once_it_may_have_run(status: api.Status) -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b", "c"))
    d.request("r", request_class="once", write=True)
    assert d.end("r", status) is None
    assert d.ended["r"] == "failed"


@pytest.mark.parametrize("status", NEVER_RAN)
def test_unsafe_is_resent_when_proven_not_to_have_run(status: api.Status) -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b", "c"))
    first = d.request("r", request_class="once", write=True)
    assert d.end("r", status) not in (None, first)


def test_keyed_is_resent_within_its_window_and_not_after() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b", "c"))
    d.request("r", request_class="keyed", time_left=3.0)
    assert d.end("r", api.Status.RESET) is not None
    late = Driver(settings())
    late.list(*fleet("a", "b", "c"))
    late.request("r", request_class="keyed", time_left=3.0)
    late.now += 1.6
    assert late.end("r", api.Status.RESET) is None


@pytest.mark.parametrize("group", [api.Group.ZONE, api.Group.CELL])
def test_keyed_stays_within_its_group_and_is_then_failed(group: api.Group) -> None:
    kind = api.RequestClass("keyed", 2.0, api.Effect.KEYED, group, window=1.5)
    for key in map(str, range(20)):
        d = Driver(settings(classes={"keyed": kind}))
        d.list(*fleet("a", "b", "c", "d"))
        first = d.request("r", request_class="keyed", time_left=3.0, key=key)
        second = d.end("r", api.Status.RESET)
        assert second == first  # once more: it most likely still has the key
        third = d.end("r", api.Status.TIMEOUT)
        assert {first, third} in ({"a", "c"}, {"b", "d"})
        assert d.end("r", api.Status.TIMEOUT) is None
        assert d.ended["r"] == "failed"


def test_no_second_copy_where_the_settings_forbid_it() -> None:
    d = Driver(settings(second_copies=False))
    d.list(*fleet("a", "b", "c"))
    d.request("r")
    d.wait(1.9)
    outstanding = [i for i in range(len(d.sends["r"])) if d.state["r", i] is None]
    assert len(outstanding) <= 1


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


def test_a_server_lost_a_thousand_times_is_tried_again() -> None:
    d = Driver(settings())
    d.list(*fleet("a"))
    for n in range(1100):
        assert d.request(f"r{n}") == "a"
        d.end(f"r{n}", api.Status.CONNECT_FAILED)
        d.now += 2 * d.conf.ramp


def test_discovery_down_for_days_is_asked_again() -> None:
    d = Driver(settings(subscribe=True))
    for _ in range(1100):
        d.list(kind=api.ListKind.FAILED)
        pause = next(a.delay for a in d.last if isinstance(a, api.SetTimer))
        assert 0 < pause <= d.conf.ramp


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


def test_a_stream_that_began_is_left_alone() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    d.request("r")
    d.feed(api.Streaming("r", 0))
    d.feed(api.TimerFired("wait:r"))
    assert "r" in d.open and len(d.sends["r"]) == 1


def test_equal_events_give_equal_actions() -> None:
    def run() -> list[list[api.Action]]:
        d = Driver(settings(subscribe=True), seed=7)
        said = [d.list(*fleet("a", "b", "c"), kind=api.ListKind.SAVED), d.list(kind=api.ListKind.FAILED)]
        for n in range(30):
            d.request(f"r{n}", key=f"k{n}")
            said.append(d.last)
        return said

    assert run() == run()


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


def test_once_a_long_answer_has_begun_no_other_attempt_is_waited_for_or_sent() -> None:
    d = Driver(settings(aside=True, origin_kind="origin"))
    d.list(*fleet("a", "b", "c"), entry("o", kind="origin"))
    d.request("r")
    d.feed(api.TimerFired("late:r:0"))
    assert len(d.sends["r"]) == 2
    assert api.Cancel("r", 1) in d.feed(api.Streaming("r", 0))
    d.feed(api.Outcome("r", 1, api.Status.MISS))
    assert len(d.sends["r"]) == 2 and "r" in d.open
    d.finish("r", "gone")
    d.feed(api.Outcome("r", 0, api.Status.RESET, True))  # broken off: its client has seen that
    assert not [a for a in d.last if isinstance(a, (api.Send, api.Refuse, api.Fail))]


@pytest.mark.parametrize("hits", [1, 10])
def test_a_cold_server_gets_its_share_soon_after_a_start_and_where_most_keys_are_new(hits: int) -> None:
    """The little that this router has served by then is no measure of what the fleet carries."""
    d = Driver(settings(ramp=10.0, cold_share=0.3, fall_multiple=2.0, fall_window=1.0, max_attempts=1))
    d.list(entry("a"), entry("b"), entry("c"), entry("d", since=d.now - 7.0))  # nearly warm
    for n in range(300):
        name = f"r{n}"
        if d.request(name, key=f"k{n}") is not None:
            d.end(name, api.Status.OK if n % hits == 0 else api.Status.MISS)
        d.now += 0.01
    cold = sum(s == ["d"] for s in d.sends.values())
    assert 300 / 4 * 0.5 < cold < 300 / 4 * 1.4


def test_warming_server_gets_its_share_and_not_more() -> None:
    """A surge of a thousand requests in a second just after a start: not the full arcs."""
    d = Driver(settings(ramp=10.0, cold_share=0.3, fall_multiple=2.0, fall_window=1.0))
    d.list(entry("a"), entry("b"), entry("c"))
    for n in range(4000):
        if n == 3000:
            d.list(entry("a"), entry("b"), entry("c"), entry("d", since=d.now))
        d.now += 0.01 if n < 3000 else 0.001
        d.request(f"r{n}", key=f"k{n}", finish=True)
    cold = sum(s == ["d"] for s in d.sends.values())
    assert 5 < cold < 1000 / 4 * 0.45


def test_budget_of_a_cold_server_does_not_grow_with_requests_that_fail() -> None:
    """Client retries in an overload multiplied what was asked for, and with it the budget."""
    d = Driver(settings(ramp=10.0, cold_share=0.3, fall_multiple=2.0, fall_window=1.0, max_attempts=1))
    d.list(entry("a"), entry("b", since=d.now + 2.0))
    for n in range(3000):
        d.now += 0.001
        if d.request(f"r{n}", key=f"k{n}") is not None:
            d.end(f"r{n}", api.Status.OK if n % 10 == 0 else api.Status.ERROR)
    cold = sum(s == ["b"] and d.sent_at[n][0] > 102.0 for n, s in d.sends.items())
    # 100 a second are served: half of the rule's 2 times 0.3 to 0.4 of half of these
    assert 1 <= cold <= 25


def test_many_quiet_routers_do_not_push_over_a_cold_server_together() -> None:
    """Each of hundreds of routers might send one request in any window, and all together did."""
    sent = 0
    for seed in range(200):
        d = Driver(settings(ramp=10.0, cold_share=0.3, fall_multiple=2.0, fall_window=1.0), seed)
        d.list(entry("a"), entry("b"))
        for n in range(50):  # two a second
            if n == 40:
                d.list(entry("a"), entry("b", since=d.now))
            d.now += 0.5
            d.request(f"r{n}", key=f"k{seed}-{n}", finish=True)
        sent += sum(s == ["b"] and d.sent_at[n][0] > 120.0 for n, s in d.sends.items())
    # a warm server was sent 200 a second; from 0.3 to 0.65 of that in 5 s, once as much for chance
    assert 50 < sent < 200 * 5 * 0.65


def sent_to_a_cold_server(routers: int, takes: float, answers: bool) -> list[float]:
    """When so many routers sent to one that takes so long, in 4 s from its start; the others are crowded."""
    sent: list[float] = []
    for seed in range(routers):
        conf = settings(ramp=10.0, cold_share=0.3, fall_multiple=2.0, fall_window=1.0, max_attempts=1)
        d = Driver(conf, seed)
        warm = [entry(f"s{n}") for n in range(9)]
        d.list(*warm)
        out: list[tuple[float, str]] = []
        for n in range(500):  # six seconds, and four more in which it is there
            if n == 300:
                d.list(*warm, entry("cold", since=d.now))
            d.now += 0.02
            while out and out[0][0] <= d.now - takes:
                d.end(out.pop(0)[1], api.Status.MISS if answers else api.Status.TIMEOUT, latency=takes)
            if d.request(f"r{n}", key=f"k{seed}-{n}") == "cold":
                sent.append(d.now - 106.0)
                out.append((d.now, f"r{n}"))
            elif d.sends.get(f"r{n}"):
                d.end(f"r{n}", api.Status.OK, latency=0.35)
    return sent


def test_what_all_routers_have_out_at_a_cold_server_is_bounded() -> None:
    """One that was slow besides had nearly five times what it could do, within the budget of each router."""
    quick, slow = (sent_to_a_cold_server(15, takes, True) for takes in (0.02, 0.8))
    assert len(quick) > 80  # its budget
    in_a_window = max(sum(t - 1.0 < u <= t for u in slow) for t in slow)
    assert in_a_window <= 1.5 * 15  # one each, most of them answered


def test_a_cold_server_that_does_not_answer_is_left_for_a_while_though_others_are_crowded() -> None:
    answering, silent = (sent_to_a_cold_server(15, 0.8, answers) for answers in (True, False))
    assert 0 < sum(t > 1.0 for t in silent) < 0.5 * sum(t > 1.0 for t in answering)


def test_a_fleet_all_cold_is_not_left_idle() -> None:
    """With nothing served yet there is no guide to a budget, and none would ever come."""
    d = Driver(settings(ramp=10.0, cold_share=0.3))
    d.list(entry("a", since=d.now), entry("b", since=d.now))
    assert d.request("r0", key="k0", finish=True) in ("a", "b")


def test_a_fleet_all_cold_is_not_flooded_before_its_first_answer() -> None:
    """Each cold server gets one request; the others of the first moment are refused at once."""
    d = Driver(settings(ramp=10.0, cold_share=0.3))
    d.list(entry("a", since=d.now), entry("b", since=d.now))
    chosen = [d.request(f"r{n}", key=f"k{n}") for n in range(40)]
    assert sorted(name for name in chosen if name is not None) == ["a", "b"]


def test_warm_server_gets_all_its_arcs_again() -> None:
    d = Driver(settings(ramp=10.0, cold_share=0.3))
    d.list(entry("a"), entry("b", since=d.now))
    d.now += 10.0
    sent = [d.request(f"r{n}", key=f"k{n}", finish=True) for n in range(400)]
    assert sent.count("b") > 120


@pytest.mark.parametrize("hints", [False, True])
def test_a_burst_on_one_key_does_not_push_over_a_cold_server(hints: bool) -> None:
    d = Driver(settings(ramp=10.0, cold_share=0.3, fall_multiple=2.0, fall_window=1.0))
    d.list(entry("a"), entry("b"), entry("c"), entry("d", since=d.now))
    for n in range(200):
        d.now += 0.01
        d.request(f"p{n}", key=f"k{n}", finish=True)
    key = next(f"k{n[1:]}" for n, s in d.sends.items() if s == ["d"])
    before = len(d.sends)
    for n in range(100):
        d.request(f"r{n}", key=key, hint=0.1 if hints else None)
    sent = [s for name, s in d.sends.items() if name.startswith("r")]
    assert before and sum(s == ["d"] for s in sent) <= 10


class Random(Driver):
    """Random legal events, chosen by hypothesis."""

    def step(self, data: st.DataObject, n: int) -> None:
        move = data.draw(st.sampled_from(["request"] * 4 + ["end"] * 5 + ["wait"] * 2 + ["list", "gone"]))
        outstanding = [k for k, s in self.state.items() if s is None]
        if move == "request":
            names = sorted(self.conf.classes)
            self.request(
                f"r{n}",
                request_class=data.draw(st.sampled_from(names)),
                time_left=data.draw(st.sampled_from([0.0, 0.01, 0.8, 2.0])),
                key=data.draw(st.sampled_from([None, "k1", "k2", "k3"])),
                write=data.draw(st.booleans()),
                hint=data.draw(st.sampled_from([None, 0.0, 0.2])),
            )
        elif move == "end" and outstanding:
            name, number = data.draw(st.sampled_from(outstanding))
            self.end(name, data.draw(st.sampled_from(list(api.Status))), number)
        elif move == "wait":
            self.wait(data.draw(st.sampled_from([0.0, 0.05, 0.4, 1.0])))
        elif move == "list":
            self.random_list(data)
        elif move == "gone" and self.open:
            name = data.draw(st.sampled_from(sorted(self.open)))
            self.finish(name, "gone")
            self.feed(api.ClientGone(name))

    def random_list(self, data: st.DataObject) -> None:
        kind = data.draw(st.sampled_from(list(api.ListKind)))
        names = data.draw(st.lists(st.sampled_from("abcdo"), unique=True))
        states = st.sampled_from([api.State.READY, api.State.READY, api.State.DRAINING, api.State.GONE])
        since = st.sampled_from([0.0, self.now])
        rows = [
            entry(n, state=data.draw(states), kind="origin" if n == "o" else "std", since=data.draw(since))
            for n in names
        ]
        if kind in (
            api.ListKind.FAILED,
            api.ListKind.SPOILT,
            api.ListKind.SILENT,
            api.ListKind.MOVED,
        ):  # none brings entries
            self.feed(api.ServerList(kind))
        else:
            self.list(*rows, kind=kind)


def groups(group: api.Group) -> dict[str, api.RequestClass]:
    keyed = api.RequestClass("keyed", 1.0, api.Effect.KEYED, group, window=0.5, worth=5.0)
    once = api.RequestClass("once", 1.0, api.Effect.UNSAFE, worth=5.0)
    late = api.RequestClass("late", 0.5)
    return {c.name: c for c in (api.RequestClass("read", 1.0), keyed, once, late)}


def drive(data: st.DataObject, make: type[Router] = Router) -> None:
    conf = settings(
        classes=groups(data.draw(st.sampled_from(list(api.Group)))),
        second_copies=data.draw(st.booleans()),
        may_cancel=data.draw(st.booleans()),
        max_attempts=data.draw(st.sampled_from([1, 3, 6])),
        subscribe=data.draw(st.booleans()),
        budget=data.draw(st.sampled_from([None, api.Budget(2, 0.1, 0.9), api.Budget(0, 0.5, 2.0)])),
        **(ASIDE if data.draw(st.booleans()) else {}),
    )
    d = Random(conf, make=make)
    d.list(*fleet("a", "b", "c", "d", "o"), kind=api.ListKind.SAVED)
    for n in range(data.draw(st.integers(5, 40))):
        d.step(data, n)
    d.wait(10.0)
    assert not d.open, "rule 1: left without an answer"
    assert not d.router.held, "something is still held"


CHECKS = hypothesis_settings(
    derandomize=True,
    max_examples=150,
    deadline=None,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


@CHECKS
@given(st.data())
def test_rules_hold_under_random_events(data: st.DataObject) -> None:
    drive(data)


class Resender(Router):
    """Broken on purpose: sends anything again."""

    def _permits(self, held: Any, server: Any) -> bool:
        return True


class Forgetter(Router):
    """Broken on purpose: sets no timer for what it holds."""

    def _wait(self, held: Any) -> None:
        held.waiting = True


class Spender(Router):
    """Broken on purpose: knows no budget of further attempts."""

    def _affords(self, held: Any) -> bool:
        return True


@pytest.mark.parametrize("broken", [Resender, Forgetter, Spender])
def test_the_property_test_catches_a_broken_module(broken: type[Router]) -> None:
    @CHECKS
    @given(st.data())
    def attempt(data: st.DataObject) -> None:
        drive(data, broken)

    with pytest.raises(AssertionError):
        attempt()


def test_a_server_slow_under_our_load_gets_less_of_it() -> None:
    """Servers driven past what they bear answered late or not at all, and nothing held us back."""
    d = Driver(settings())
    d.list(entry("a"))
    for n in range(40):
        d.request(f"s{n}")
        d.now += 0.6
        d.end(f"s{n}", api.Status.OK, latency=0.9)
    sent = [d.request(f"r{n}") for n in range(10)]
    assert sent.count("a") == 1 and sent.count(None) == 9
    assert [d.ended[f"r{n}"] for n in range(1, 10)] == ["refused"] * 9


def test_retries_are_bounded_by_what_was_taken() -> None:
    """Full servers made every request into a dozen attempts and fed the overload."""
    d = Driver(settings())
    d.list(*fleet("a", "b", "c", "d"))
    for n in range(200):
        d.request(f"r{n}", key=f"k{n}")
        while f"r{n}" in d.sends and d.state[f"r{n}", len(d.sends[f"r{n}"]) - 1] is None:
            d.end(f"r{n}", api.Status.FULL)
        d.now += 0.01
    assert sum(map(len, d.sends.values())) <= 200 * 1.2 + 11


def missed(d: Driver, *names: str, key: str = "k") -> None:
    for name in names:
        d.request(name, key=key)
        d.end(name, api.Status.MISS)


@pytest.mark.parametrize("how", ["gone", "failed"])
def test_a_lost_fetch_does_not_strand_those_waiting(how: str) -> None:
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].limit = 1.0
    missed(d, "r1", "r2", "r3")
    assert [d.sends[n] for n in ("r1", "r2", "r3")] == [["a", "o"], ["a"], ["a"]]
    if how == "gone":
        d.finish("r1", "gone")
        d.feed(api.ClientGone("r1"))
    d.end("r1", api.Status.RESET)
    assert [d.sends[n] for n in ("r2", "r3")] == [["a", "o"], ["a"]]
    d.wait(3.0)
    assert not d.open


def crowd(d: Driver, *names: str) -> None:
    for name in names:
        d.router.servers[name].limit = 0.0


def order_of(d: Driver, key: str) -> list[str]:
    """The servers clockwise from a key, each once."""
    r = d.router
    r._build_ring()
    start = next((i for i, (p, _) in enumerate(r.ring) if p >= balance.ring_hash(key)), 0)
    return list(dict.fromkeys(name for _, name in r.ring[start:] + r.ring[:start]))


def test_a_key_goes_no_further_than_the_third_crowded_server() -> None:
    """Crowded servers sent keys on to servers that lack them; with two many were refused beside idle ones."""
    d = Driver(settings())
    d.list(*fleet("a", "b", "c", "d"))
    first, second, third, fourth = order_of(d, "k")
    crowd(d, first)
    assert d.request("r1", key="k") == second
    crowd(d, second)
    assert d.request("r2", key="k") == third
    crowd(d, third)
    assert d.request("r3", key="k") is None and d.ended["r3"] == "refused"
    assert d.router.servers[fourth].load == 0


def test_what_a_limit_at_the_origin_grows_by_at_first_is_shared_by_all_routers() -> None:
    """200 routers grew from 4 fetches each to 16 before one of them cut: it turned away 413 in a second."""
    limits = {}
    for routers in (1, 40, 200):
        d = Driver(settings(aside=True, origin_kind="o", routers=routers))
        d.list(*fleet("a"), entry("o", kind="o"))
        for n in range(12):
            d.request(f"r{n}", request_class="once", write=True)
        for n in range(8):
            if f"r{n}" in d.sends:
                d.ok(f"r{n}")
        limits[routers] = d.router.servers["o"].limit
    assert limits == {1: 11.0, 40: pytest.approx(10.4), 200: 6.0}


def test_a_limit_starts_with_steps_that_a_restart_under_load_can_wait_for() -> None:
    """The limit at the origin took seconds from its start to what the load needs, and most were refused."""
    d = Driver(settings(aside=True, origin_kind="o"))
    d.list(*fleet("a"), entry("o", kind="o"))
    for n in range(40):
        d.request(f"r{n}", request_class="once", write=True)
    for n in range(36):  # as many as it takes for all that wait to be out
        if f"r{n}" in d.sends:
            d.ok(f"r{n}")
    assert d.router.servers["o"].limit >= 20.0
    d.router.servers["o"].cut_at = d.now  # what one learns after a cut is learnt slowly
    before = d.router.servers["o"].limit
    d.ok("r39")
    assert d.router.servers["o"].limit - before < 0.2


def test_lost_servers_are_passed_without_being_counted() -> None:
    """Servers behind a cut used up those that a key may pass, and their keys were refused."""
    d = Driver(settings())
    d.list(*fleet("a", "b", "c", "d"))
    first, second, third, _ = order_of(d, "k")
    for name in (first, second):
        d.router.servers[name].trial_at = d.now + 1.0
    assert d.request("r1", key="k") == third


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
            d.end(f"r{n}", api.Status.TIMEOUT, latency=0.6)
        elif n >= 20:
            d.ok(f"r{n}")
    gaps = [b - a for a, b in itertools.pairwise(trials)]
    assert 3 <= len(gaps) <= 12 and gaps[-1] > 2 * gaps[0]
    d.now += 20.0
    assert d.request("back", key="k", finish=True) == first
    assert d.request("more", key="k", finish=True) == first


def test_with_all_servers_lost_one_is_tried_all_the_same() -> None:
    d = Driver(settings(max_attempts=1))
    d.list(*fleet("a", "b"))
    for name in "ab":
        d.router.servers[name].trial_at = d.now + 9.0
    assert d.request("r1", key="k") == order_of(d, "k")[0]


@pytest.mark.parametrize("copies", [True, False])
def test_an_overdue_attempt_is_overtaken(copies: bool) -> None:
    """A server that takes work and answers nothing took the request with it until the client gave up."""
    d = Driver(settings(second_copies=copies))
    d.list(*fleet("a", "b"))
    first = d.request("r", key="k")
    d.wait(0.51)
    if not copies:
        assert d.last == [api.Cancel("r", 0)]
        d.end("r", api.Status.CANCELLED, 0, latency=0.51)
    assert len(d.sends["r"]) == 2 and d.sends["r"][1] != first


def test_nothing_is_overtaken_in_a_crowd_nor_what_must_not_run_twice() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    d.request("once", key="k", request_class="once")
    for n in range(60):
        d.request(f"w{n}", key=f"k{n}")
        d.end(f"w{n}", api.Status.OK, latency=0.6)
    d.request("r", key="k")
    d.wait(0.7)
    assert len(d.sends["once"]) == len(d.sends["r"]) == 1


def aged(d: Driver, lost: api.Status, count: int) -> None:
    """Sends on connections that idled for three seconds are lost, and those after them are answered."""
    for n in range(count):
        d.now += 3.0
        server = d.request(f"old{n}", key="k")
        d.end(f"old{n}", lost, latency=0.6)
        d.router.servers[str(server)].trial_at = d.now
        for m in range(2):
            if f"old{n}" in d.open:
                d.ok(f"old{n}")
            d.request(f"new{n}-{m}", key="k", finish=True)


@pytest.mark.parametrize("lost", [api.Status.RESET, api.Status.TIMEOUT])
def test_idle_connections_that_lose_what_is_sent_are_closed_before_use(lost: api.Status) -> None:
    d = Driver(settings(max_attempts=1))
    d.list(*fleet("a"))
    d.request("r0", key="k", finish=True)
    aged(d, lost, 4)
    d.now += 3.0
    d.request("r", key="k")
    assert [type(a) for a in d.last[:2]] == [api.CloseIdle, api.Send]


def test_losses_soon_after_use_are_no_sign_of_idle_connections_that_die() -> None:
    """Two time-outs at a silent server had a router open a new connection for every second request."""
    d = Driver(settings(max_attempts=1))
    d.list(*fleet("a"))
    for n in range(8):
        d.request(f"r{n}", key="k", finish=True)
        d.now += 0.3
        server = d.request(f"lost{n}", key="k")
        d.end(f"lost{n}", api.Status.TIMEOUT, latency=0.6)
        d.router.servers[str(server)].trial_at = d.now
    assert d.router.keep == math.inf


def test_idle_connections_that_work_are_kept() -> None:
    d = Driver(settings(max_attempts=1))
    d.list(*fleet("a"))
    for n in range(20):
        d.now += 3.0
        d.request(f"r{n}", key="k", finish=True)
    assert not any(isinstance(a, api.CloseIdle) for a in d.last) and d.router.keep == math.inf


def test_connections_are_let_go_after_use_while_connects_are_refused() -> None:
    """Idle connections of other routers filled the tables of servers, and half of all connects failed."""
    d = Driver(settings(max_attempts=1))
    d.list(*fleet("a"))
    for n in range(6):
        d.now += 20.0
        d.request(f"r{n}", key=f"k{n}")
        d.end(f"r{n}", api.Status.CONNECT_FAILED, latency=0.0)
        d.now += 20.0
        d.request(f"s{n}", key=f"k{n}", finish=True)
    assert d.last == [api.CloseIdle("a")]


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
            d.end(f"r{n}", api.Status.CONNECT_FAILED, latency=0.0)
        else:
            d.ok(f"r{n}")
            assert not any(isinstance(a, api.CloseIdle) for a in d.last)
    assert gone & {sent for sends in d.sends.values() for sent in sends}


def test_open_connections_go_first_while_connects_are_in_vain() -> None:
    d = Driver(settings(max_attempts=1))
    d.list(*fleet(*"abcdefgh"))
    first, second = order_of(d, "k")[:2]
    d.router.servers[second].used_at = d.now
    assert d.request("r0", key="k", finish=True) == first
    d.router.servers[first].used_at = -math.inf
    d.router.signs["vain"] = 0.3
    assert d.request("r1", key="k") == second


def test_requests_are_shed_when_few_are_answered_in_time() -> None:
    """Each router sent all it had into an overload, and hardly any of it was answered in time."""
    d = Driver(settings(max_attempts=1))
    d.list(*fleet("a", "b"))
    for n in range(400):
        d.now += 0.05
        if d.request(f"r{n}", key=f"k{n}"):
            d.end(f"r{n}", api.Status.OK, latency=0.1 if n % 5 == 0 else 1.5)
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
            d.end(f"r{n}", api.Status.OK, latency=0.1 if n % 2 else 1.5)
    assert 0.5 * 300 >= sent >= 0.6 * (1 - balance.MOST_SHED) * 300


def test_one_slow_answer_does_not_cut_a_limit() -> None:
    """A single heavy request cut the limit of a server that was well."""
    d = Driver(settings())
    d.list(*fleet("a"))
    for n in range(20):
        d.request(f"r{n}", key="k")
        d.end(f"r{n}", api.Status.OK, latency=0.9 if n == 10 else 0.05)
    assert d.router.servers["a"].limit >= balance.LIMIT_START


def test_no_fetch_is_sent_that_cannot_be_back_in_time() -> None:
    """With a slow origin, fetches were sent that came back after the aim, and kept others out."""
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].limit = 2.0
    d.router.servers["o"].latency = 0.45
    for n in "123":
        missed(d, f"r{n}", key=f"k{n}")
    assert d.sends["r2"] == ["a", "o"] and d.sends["r3"] == ["a"]
    d.now += 0.5
    d.ok("r1")
    assert d.sends["r3"] == ["a"] and d.ended["r3"] == "refused"


def test_a_fetch_needs_twice_the_usual_latency() -> None:
    """A third of fetches were given up midway by their clients, and so were not even stored."""
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].latency = 0.4
    missed(d, "r1", key="k1")
    d.request("r2", key="k2", time_left=0.7)
    assert d.end("r2", api.Status.MISS) is None and d.ended["r2"] == "refused"
    d.request("r3", key="k3", time_left=0.9)
    assert d.end("r3", api.Status.MISS) == "o"


def test_a_write_needs_the_usual_latency_but_once() -> None:
    """With an origin somewhat slow every booking was failed at once, though most would have been in time."""
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "o"))
    d.request("r0", key="k0", write=True)
    d.router.servers["o"].latency = 0.6
    assert d.request("r1", key="k1", write=True) == "o"
    d.router.servers["o"].latency = 1.1
    assert d.request("r2", key="k2", write=True) is None and d.ended["r2"] == "refused"


def test_worth_goes_first_at_the_origin() -> None:
    """Bookings waited behind the misses of reads when the origin was slow."""
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].limit = 1.0
    missed(d, "r1", key="k1")
    missed(d, "r2", key="k2")
    d.request("w", request_class="keyed", key="k3", write=True)
    d.end("r1", api.Status.RESET)
    assert d.sends.get("w") == ["o"] and d.sends["r2"] == ["a"]


def test_what_was_given_up_counts_as_out_until_a_later_answer_or_an_aim() -> None:
    """Servers go on with it: 200 routers kept old ones full of it, and next to nothing came."""
    d = Driver(settings(max_attempts=1, second_copies=False, routers=balance.CROWD))
    d.list(*fleet("a"))
    d.router.servers["a"].limit = 3.0
    assert [d.request(f"r{n}", key="k") for n in range(4)] == ["a", "a", "a", None]
    d.end("r0", api.Status.TIMEOUT, latency=0.1)
    d.end("r1", api.Status.CANCELLED, latency=0.1)
    assert d.request("early", key="k") is None  # one out, two given up
    d.end("r2", api.Status.FULL, latency=0.1)  # tells nothing of those before it
    d.router.servers["a"].limit = 3.0
    assert d.request("r4", key="k") == "a" and d.request("more", key="k") is None
    d.ok("r4")  # sent after them
    assert [d.request(f"s{n}", key="k") for n in range(4)] == ["a", "a", "a", None]
    d.end("s0", api.Status.TIMEOUT, latency=0.1)
    assert d.request("at once", key="k") is None
    d.now += 1.1  # longer than its aim: whether the server still lives has to be learned
    assert d.request("later", key="k") == "a"


@pytest.mark.parametrize(
    ("status", "limit"), [(api.Status.ERROR, 2 * balance.LIMIT_CUT), (api.Status.TIMEOUT, 1.0)]
)
def test_where_routers_are_many_a_limit_is_cut_from_what_is_out(status: api.Status, limit: float) -> None:
    """Limits of nine, grown while all was well, took eight cuts to bound the three that were out."""
    found = []
    for routers in (1, balance.CROWD):
        d = Driver(settings(max_attempts=1, second_copies=False, routers=routers))
        d.list(*fleet("a"))
        d.router.servers["a"].limit = 9.0
        for n in range(3):
            d.request(f"r{n}", key="k")
        for n in range(2):
            d.end(f"r{n}", status, latency=0.9)
        found.append(d.router.servers["a"].limit)
    assert found == [9.0 * balance.LIMIT_CUT, limit]  # two out of which one has ended, or one left


def test_a_full_server_shows_what_it_bears() -> None:
    """Limits fell a quarter a round while small servers turned two attempts in three away."""
    d = Driver(settings())
    d.list(*fleet("a"))
    d.router.servers["a"].limit = 9.0
    for n in range(6):
        d.request(f"r{n}", key="k")
    d.end("r5", api.Status.FULL)
    assert d.router.servers["a"].limit == 5.0


def test_a_restarted_server_is_learned_anew() -> None:
    """What an earlier process bore, and its silence, say nothing of its successor."""
    d = Driver(settings())
    d.list(*fleet("a"))
    d.router.servers["a"].limit = 1.0
    d.request("r1")
    d.list(entry("a", since=d.now), kind=api.ListKind.DELTA)
    assert d.router.servers["a"].limit == balance.LIMIT_START
    d.ok("r1")
    assert d.router.servers["a"].load == 0 and d.router.ring_load == 0


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
    assert not r.held and not r.attempts and r.ring_load == 0
    assert len(r.servers) <= 5 and len(r.queue) < 100
    assert len(r.recent) == balance.RECENT


def test_an_origin_that_stopped_is_tried_now_and_then() -> None:
    """A fetch each from hundreds of routers and retries at once: eight attempts a request, none connected."""
    d = Driver(settings(**ASIDE, routers=10 * balance.ORIGIN_CROWD))
    d.list(*fleet("a", "o"))
    tries = 0
    for n in range(800):
        missed(d, f"r{n}", key=f"k{n}")
        d.wait(0.05)
        for name in [n for n in d.open if d.sends[n][-1] == "o"]:
            while d.sends[name][-1] == "o" and d.state[name, len(d.sends[name]) - 1] is None:
                stopped = n < 400
                tries += 200 <= n < 400
                d.end(
                    name,
                    api.Status.CONNECT_FAILED if stopped else api.Status.OK,
                    latency=0.002 if stopped else 0.05,
                )
    assert tries <= 20  # of 200 that missed in ten seconds
    assert d.router.servers["o"].limit >= 1.0  # it came back


def test_a_cut_that_shuts_out_caches_is_no_crowd_at_them() -> None:
    """Failed connects through a cut lowered limits, and a few routers did not get them up again in time."""
    d = Driver(settings())
    d.list(*fleet("a"))
    for n in range(5):
        d.request(f"r{n}", key="k")
        if f"r{n}" in d.open:
            d.end(f"r{n}", api.Status.CONNECT_FAILED)
        d.wait(1.0)
    assert d.router.servers["a"].limit == balance.LIMIT_START


def test_an_origin_behind_a_cut_is_not_taken_for_one_that_refuses() -> None:
    """Connects that took long to fail lowered the limit, and fetches stayed few long after the cut."""
    d = Driver(settings(**ASIDE, routers=10 * balance.ORIGIN_CROWD))
    d.list(*fleet("a", "o"))
    for n in range(20):
        missed(d, f"r{n}", key=f"k{n}")
        if d.sends[f"r{n}"][-1] == "o":
            d.end(f"r{n}", api.Status.CONNECT_FAILED, latency=0.25)
        d.wait(1.0)
    assert d.router.servers["o"].limit >= 1.0


def test_few_routers_never_pause_at_the_origin() -> None:
    """Three routers lost a third of what the origin could do with each pause of one."""
    d = Driver(settings(**ASIDE, routers=3))
    d.list(*fleet("a", "o"))
    for n in range(20):
        missed(d, f"r{n}", key=f"k{n}")
        if d.sends[f"r{n}"][-1] == "o":
            d.end(f"r{n}", api.Status.FULL)
        d.wait(1.0)
    assert d.router.servers["o"].limit == 1.0


def test_the_queue_for_the_origin_stays_bounded() -> None:
    """Reads long ended lay behind a steady flow of writes of more worth."""
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].limit = 1.0
    for n in range(2000):
        missed(d, f"r{n}", key=f"k{n}")
        d.router.servers["o"].limit = 1.0
        d.wait(0.05)
    assert len(d.router.queue) < 200 and len(d.router.held) < 100


def test_further_attempts_keep_to_the_stated_budget() -> None:
    """Two saved up and a tenth of what was taken, in any five seconds; misses pay for their own fetch."""
    d = Driver(settings(budget=api.Budget(2, 0.1, 5.0)))
    d.list(*fleet("a", "b", "c", "d"))
    for n in range(200):
        d.now += 0.05
        if d.request(f"r{n}", key=f"k{n}") and d.end(f"r{n}", api.Status.ERROR):
            d.ok(f"r{n}")
    retried = sum(len(s) > 1 for s in d.sends.values())
    assert 20 <= retried <= 2 * (2 + 10)  # ten seconds hold two spans


def test_a_miss_pays_for_its_fetch() -> None:
    d = Driver(settings(**ASIDE, budget=api.Budget(0, 0.0, 5.0)))
    d.list(*fleet("a", "b", "o"))
    d.request("r", key="k")
    assert d.end("r", api.Status.MISS) == "o"
    d.end("r", api.Status.FULL)
    assert d.ended["r"] == "refused"


def test_after_a_failure_at_a_cache_the_origin_is_next() -> None:
    """The next attempt went to a cache that mostly lacked the key, and took the budget and the time."""
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "b", "o"))
    d.request("r", key="k")
    assert d.end("r", api.Status.TIMEOUT) == "o"


@pytest.mark.parametrize("status", [api.Status.RESET, api.Status.ERROR, api.Status.CANCELLED])
def test_what_a_broken_connection_loses_goes_to_the_same_cache_again(status: api.Status) -> None:
    """Each spoilt reply and reset went to the origin, which bears few, and its server was passed over."""
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "b", "o"))
    first = d.request("r", key="k")
    assert d.end("r", status) == first
    assert d.request("r2", key="k") == first
    assert d.end("r", api.Status.MISS) == "o"
    assert d.end("r2", status, latency=0.9) == "o"  # after a long wait it is no connection's fault
