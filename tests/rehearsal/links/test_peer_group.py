"""Twenty routers in virtual time: a change of policy under faults, looked at from outside."""

from __future__ import annotations

from typing import Any

import pytest

from ironrail.peers.consensus.lease_table import LeaseTable
from ironrail.rehearsal.links.paths import Path
from ironrail.rehearsal.links.peer_group import Tier
from ironrail.rehearsal.links.plan import Kind, link_fault
from ironrail.rehearsal.links.plan_generator import draw_plan

ROUTERS = 20
LONG = 600.0  # seconds of a fault that nobody ends
KINDS = [kind for kind in Kind if kind not in (Kind.STALL, Kind.RESET, Kind.TERM)]  # of what a tier has


def tier_of(seed: int, loss: float = 0.0) -> Tier:
    tier = Tier(ROUTERS, seed)
    tier.begin(link_fault(Kind.DELAY, "routers <> routers", 0.0, LONG, 0.001, 0.099))
    if loss:
        tier.begin(link_fault(Kind.LOSS, "routers <> routers", 0.0, LONG, loss))
    assert tier.founded(60.0) is not None
    return tier


def changed(tier: Tier, version: int, among: range, within: float = 20.0) -> float | None:
    """A change asked of the last of these."""
    assert tier.routers[among[-1]].propose(version).status == 202
    return tier.until(lambda: all(tier.routers[n].versions() == (version,) for n in among), within)


def test_a_change_is_seen_at_every_router_first_joint_then_alone() -> None:
    with tier_of(1) as tier:
        assert changed(tier, 2, range(ROUTERS)) is not None
        scopes = {scope for _, scope in tier.watch.began}
        first, second = 2**32 + 1, 2**32 + 2
        assert scopes == {(first,), (first, second), (second,)}
        assert len(tier.watch.began) == 3 * ROUTERS
        assert (tier.watch.mixed, tier.watch.conflicts) == (0, 0)


def test_who_is_cut_off_killed_or_stands_still_decides_by_nothing_old_and_comes_back_with_the_new() -> None:
    with tier_of(2) as tier:
        away = [(Kind.KILL, "router-4"), (Kind.STOP, "router-5"), (Kind.CUT, "router-6 <> routers")]
        faults = [link_fault(kind, on, 0.0, LONG) for kind, on in away]
        numbers = [tier.begin(fault) for fault in faults]
        assert changed(tier, 2, range(6, ROUTERS)) is not None
        assert tier.routers[4].scope() == tier.routers[5].scope() == ()  # also one that stands still
        for number, fault in zip(numbers, faults, strict=True):
            tier.end(number, fault)
        assert tier.until(lambda: all(r.versions() == (2,) for r in tier.routers), 20.0) is not None
        assert (tier.watch.mixed, tier.watch.conflicts) == (0, 0)


@pytest.mark.parametrize("seed", [3, 4])
def test_under_a_drawn_plan_of_faults_nobody_mixes(seed: int) -> None:
    with tier_of(seed, loss=0.05) as tier:
        drawn = tier.scenario.model_copy(update={"length": 14.0})
        tier.play(draw_plan(drawn, seed, 14, KINDS))
        for version in range(2, 6):
            ready = [r for r in tier.routers if r.versions()]
            tier.draws.choice(ready).propose(version)
            tier.run(3.5)
        assert tier.until(lambda: len({r.versions() for r in tier.routers}) == 1, 40.0) is not None
        assert tier.watch.looks > 2000
        assert (tier.watch.mixed, tier.watch.conflicts) == (0, 0), tier.watch.words


def test_a_voter_that_forgets_its_leases_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without their wait a router that is cut off decides by the old one when others have the new."""
    with tier_of(5) as tier:
        fault = link_fault(Kind.CUT, "routers <> routers", 0.0, LONG)
        tier.begin(fault, Path(frozenset(tier.names[10:12]), frozenset(tier.names), both=True))

        def none(table: LeaseTable, now: float, scope: Any) -> list[int]:
            return []

        monkeypatch.setattr(LeaseTable, "conflicting_holders", none)
        changed(tier, 2, range(3), within=2.9)
        assert tier.watch.mixed > 0
        assert "decides by" in tier.watch.words[0]
