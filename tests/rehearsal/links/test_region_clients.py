"""Six virtual routers: clients of a region whose latency to its zone grows are moved to another zone."""

from __future__ import annotations

from itertools import pairwise
from pathlib import Path

from ironrail.rehearsal.account.record import Outcome
from tests.rehearsal.links.region_rehearsal import Played, play
from tests.rehearsal.links.region_world import World

HALLS = ("hall-a", "hall-b", "hall-c")
HOME = dict(zip(("north", "east", "south"), HALLS, strict=True))
AT, LENGTH = 6.0, 46.0  # seconds: when the latency grows, and the end of the run
WANTED = 0.15


def slow(world: World) -> None:
    world.ways["north"]["hall-a"] = 0.120


def world() -> World:
    ways = {region: {h: 0.004 if home == h else 0.020 for h in HALLS} for region, home in HOME.items()}
    return World(HALLS, ways, HOME, dict.fromkeys(HOME, 1.0), 24.0, LENGTH, changes={AT: slow}, steer_every=5)


def older_after_newer(played: Played) -> list[tuple[str, int]]:
    """Returns routers that reported an old version alone after another had reported a newer one alone."""
    alone = [(s.at, s.at + s.duration, s.router, s.body["versions"][0]) for s in played.rehearsal.seen
             if s.status in (200, 503) and len(s.body["versions"]) == 1]  # fmt: skip
    return [(who, v) for asked, _, who, v in alone if any(told < asked and w > v for _, told, _, w in alone)]


def test_readers_whose_way_became_slow_are_moved_and_no_request_is_lost(tmp_path: Path) -> None:
    played = play(world(), 1, tmp_path)
    result = played.virtual.result
    assert not result.no_verdict and result.broken == [] and played.virtual.violations == []
    # rows were published, one version after another, the same at all routers
    rows = played.rows()
    assert len(rows) >= 2 and all(b[1][0] == a[1][0] + 1 for a, b in pairwise(rows))
    assert rows[-1][2]["north"].get("hall-a", 0.0) < 0.5 and older_after_newer(played) == []
    last = {s.router: s.body for s in played.rehearsal.seen if s.status == 200}
    assert len(last) == 6 and len({str((b["versions"], b["rows"])) for b in last.values()}) == 1
    # clients moved and were served
    assert played.let_go() >= 5 and played.rehearsal.crossed == 0
    tries = list(result.record.tries.values())
    assert {one.outcome for one in tries} <= {Outcome.SERVED, Outcome.REFUSED}
    moving = [one for one in tries if one.planned.at >= 20.0]  # caches are filled by then
    assert len(moving) > 300 and all(one.outcome is Outcome.SERVED for one in moving)
    before, after = played.served(AT + 2, 20.0, "north"), played.served(LENGTH - 5, LENGTH, "north")
    in_time = [sum(took <= WANTED for took in part) / len(part) for part in (before, after)]
    assert in_time[0] < 0.2 and in_time[1] > in_time[0] + 0.3
