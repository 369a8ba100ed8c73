"""Selection of the connections that are migrated."""

from hypothesis import given
from hypothesis import strategies as st

from ironrail.peers.steering.migration import (
    MAX_MIGRATION_BURST,
    MIGRATIONS_PER_SECOND,
    MigrationCandidate,
    MigrationSelector,
    assign_zone,
)

ROWS = {"north": {"here": 0.25, "there": 0.75}}
CLIENTS = [f"10.0.{n // 250}.{n % 250}" for n in range(2000)]


def test_shares_are_kept_and_only_clients_of_zones_that_lost_share_move() -> None:
    before = [assign_zone({"here": 0.5, "there": 0.5}, c) for c in CLIENTS]
    after = [assign_zone(ROWS["north"], c) for c in CLIENTS]
    assert abs(after.count("there") / len(CLIENTS) - 0.75) < 0.04
    assert not any(b == "there" and a == "here" for b, a in zip(before, after, strict=True))
    partial = [assign_zone({"here": 0.5}, c) for c in CLIENTS]
    assert abs(partial.count(None) / len(CLIENTS) - 0.5) < 0.04


CANDIDATES = st.builds(
    MigrationCandidate, st.integers(0, 10_000), st.sampled_from(["north", "other"]),
    st.sampled_from(CLIENTS), st.booleans(), st.floats(0, 100),
)  # fmt: skip


@given(
    st.lists(CANDIDATES, max_size=40, unique_by=lambda c: c.number),
    st.lists(st.floats(0, 30), min_size=1, max_size=5),
    st.booleans(),
)
def test_only_idle_clients_of_other_zones_are_selected_at_a_limited_rate(
    candidates: list[MigrationCandidate], waits: list[float], accepts: bool
) -> None:
    selector, now, migrated = MigrationSelector("here", 0.0), 0.0, 0
    assert selector.select(0.0, ROWS, candidates, {"there": True}) == []  # no burst at the start
    for wait in waits:
        now += wait
        for number in selector.select(now, ROWS, candidates, {"there": accepts}):
            candidate = next(c for c in candidates if c.number == number)
            assert (
                accepts
                and not candidate.is_busy
                and candidate.region == "north"
                and assign_zone(ROWS["north"], candidate.client) == "there"
            )
            migrated += 1
            candidates = [c for c in candidates if c.number != number]
        assert migrated <= now * MIGRATIONS_PER_SECOND + 1e-6
    if accepts and now * MIGRATIONS_PER_SECOND >= MAX_MIGRATION_BURST:
        left = [c for c in candidates if not c.is_busy and c.region == "north"]
        assert migrated >= 1 or all(assign_zone(ROWS["north"], c.client) == "here" for c in left)


def test_longest_idle_connections_are_selected_first() -> None:
    away = [c for c in CLIENTS if assign_zone(ROWS["north"], c) == "there"][:30]
    candidates = [MigrationCandidate(n, "north", c, False, float(n)) for n, c in enumerate(away)]
    assert MigrationSelector("here", 0.0).select(1.0, ROWS, candidates, {"there": True}) == [29, 28]
    assert (
        len(MigrationSelector("here", 0.0).select(100.0, ROWS, candidates, {"there": True}))
        == MAX_MIGRATION_BURST
    )
