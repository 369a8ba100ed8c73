"""Policy changes under faults among twenty virtual routers, checked by the monitor from outside."""

from __future__ import annotations

from typing import Any

import pytest

from ironrail.peers.consensus.lease_table import LeaseTable
from ironrail.rehearsal.links.paths import Path
from ironrail.rehearsal.links.peer_group import VirtualPeerGroup
from ironrail.rehearsal.links.plan import Kind, link_fault
from ironrail.rehearsal.links.plan_generator import draw_plan

ROUTERS = 20
LONG = 600.0  # seconds of a fault that the test ends by hand or never
KINDS = [
    kind for kind in Kind if kind not in (Kind.STALL, Kind.RESET, Kind.TERM)
]  # kinds that a peer group supports


def make_group(seed: int, loss: float = 0.0) -> VirtualPeerGroup:
    group = VirtualPeerGroup(ROUTERS, seed)
    group.begin(link_fault(Kind.DELAY, "routers <> routers", 0.0, LONG, 0.001, 0.099))
    if loss:
        group.begin(link_fault(Kind.LOSS, "routers <> routers", 0.0, LONG, loss))
    assert group.bootstrap_all(60.0) is not None
    return group


def changed(group: VirtualPeerGroup, version: int, among: range, within: float = 20.0) -> float | None:
    """Proposes a change at the last of `among`; returns the seconds until all of them decide by it alone."""
    assert group.routers[among[-1]].propose(version).status == 202
    return group.wait_until(lambda: all(group.routers[n].versions() == (version,) for n in among), within)


def test_a_change_is_seen_at_every_router_first_joint_then_alone() -> None:
    with make_group(1) as group:
        assert changed(group, 2, range(ROUTERS)) is not None
        scopes = {scope for _, scope in group.monitor.adopted_at}
        first, second = 2**32 + 1, 2**32 + 2
        assert scopes == {(first,), (first, second), (second,)}
        assert len(group.monitor.adopted_at) == 3 * ROUTERS
        assert (group.monitor.mixed, group.monitor.conflicts) == (0, 0)


def test_who_is_cut_off_killed_or_stands_still_decides_by_nothing_old_and_comes_back_with_the_new() -> None:
    with make_group(2) as group:
        away = [(Kind.KILL, "router-4"), (Kind.STOP, "router-5"), (Kind.CUT, "router-6 <> routers")]
        faults = [link_fault(kind, on, 0.0, LONG) for kind, on in away]
        numbers = [group.begin(fault) for fault in faults]
        assert changed(group, 2, range(6, ROUTERS)) is not None
        assert group.routers[4].scope() == group.routers[5].scope() == ()  # also one that stands still
        for number, fault in zip(numbers, faults, strict=True):
            group.end(number, fault)
        assert group.wait_until(lambda: all(r.versions() == (2,) for r in group.routers), 20.0) is not None
        assert (group.monitor.mixed, group.monitor.conflicts) == (0, 0)


@pytest.mark.parametrize("seed", [3, 4])
def test_under_a_drawn_plan_of_faults_nobody_mixes(seed: int) -> None:
    with make_group(seed, loss=0.05) as group:
        drawn = group.scenario.model_copy(update={"length": 14.0})
        group.play(draw_plan(drawn, seed, 14, KINDS))
        for version in range(2, 6):
            ready = [r for r in group.routers if r.versions()]
            group.draws.choice(ready).propose(version)
            group.run(3.5)
        assert group.wait_until(lambda: len({r.versions() for r in group.routers}) == 1, 40.0) is not None
        assert group.monitor.num_checks > 2000
        assert (group.monitor.mixed, group.monitor.conflicts) == (0, 0), group.monitor.violations


def test_a_voter_that_forgets_its_leases_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """If voters don't wait for leases to end, a router that is cut off still decides by the old version."""
    with make_group(5) as group:
        fault = link_fault(Kind.CUT, "routers <> routers", 0.0, LONG)
        group.begin(fault, Path(frozenset(group.names[10:12]), frozenset(group.names), both=True))

        def none(table: LeaseTable, now: float, scope: Any) -> list[int]:
            return []

        monkeypatch.setattr(LeaseTable, "conflicting_holders", none)
        changed(group, 2, range(3), within=2.9)
        assert group.monitor.mixed > 0
        assert "decides by" in group.monitor.violations[0]
