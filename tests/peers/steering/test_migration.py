"""Connections that are let go."""

from hypothesis import given
from hypothesis import strategies as st

from ironrail.peers.steering.migration import BURST, PACE, Carrier, Resting, place

ROWS = {"north": {"here": 0.25, "there": 0.75}}
CLIENTS = [f"10.0.{n // 250}.{n % 250}" for n in range(2000)]


def test_shares_are_kept_and_only_those_move_whose_hall_lost() -> None:
    before = [place({"here": 0.5, "there": 0.5}, c) for c in CLIENTS]
    after = [place(ROWS["north"], c) for c in CLIENTS]
    assert abs(after.count("there") / len(CLIENTS) - 0.75) < 0.04
    assert not any(b == "there" and a == "here" for b, a in zip(before, after, strict=True))
    rest = [place({"here": 0.5}, c) for c in CLIENTS]
    assert abs(rest.count(None) / len(CLIENTS) - 0.5) < 0.04


RESTING = st.builds(
    Resting, st.integers(0, 10_000), st.sampled_from(["north", "other"]), st.sampled_from(CLIENTS),
    st.booleans(), st.floats(0, 100),
)  # fmt: skip


@given(
    st.lists(RESTING, max_size=40, unique_by=lambda c: c.number),
    st.lists(st.floats(0, 30), min_size=1, max_size=5),
    st.booleans(),
)
def test_whom_it_lets_go(resting: list[Resting], waits: list[float], takes: bool) -> None:
    carrier, now, gone = Carrier("here", 0.0), 0.0, 0
    assert carrier.let_go(0.0, ROWS, resting, {"there": True}) == []  # no burst at a start
    for wait in waits:
        now += wait
        for number in carrier.let_go(now, ROWS, resting, {"there": takes}):
            one = next(c for c in resting if c.number == number)
            assert (
                takes
                and not one.owed
                and one.region == "north"
                and place(ROWS["north"], one.client) == "there"
            )
            gone += 1
            resting = [c for c in resting if c.number != number]
        assert gone <= now * PACE + 1e-6
    if takes and now * PACE >= BURST:
        left = [c for c in resting if not c.owed and c.region == "north"]
        assert gone >= 1 or all(place(ROWS["north"], c.client) == "here" for c in left)


def test_the_longest_idle_goes_first() -> None:
    away = [c for c in CLIENTS if place(ROWS["north"], c) == "there"][:30]
    resting = [Resting(n, "north", c, False, float(n)) for n, c in enumerate(away)]
    assert Carrier("here", 0.0).let_go(1.0, ROWS, resting, {"there": True}) == [29, 28]
    assert len(Carrier("here", 0.0).let_go(100.0, ROWS, resting, {"there": True})) == BURST
