"""Policy changes among seven router processes: killed, stopped, cut off or with a full disk."""

from __future__ import annotations

from pathlib import Path

import pytest

from ironrail.rehearsal.links.consensus_rehearsal import ROUTERS, VOTERS
from ironrail.rehearsal.links.consensus_stage import Stage, play
from ironrail.rehearsal.links.plan import LinkFault, link_fault

ALL = [f"router-{n + 1}" for n in range(ROUTERS)]
MAX_WAIT_SECONDS = 30.0  # for what takes two or three; only a failing run comes near


def fault(kind: str, on: str, hard: float | None = None) -> LinkFault:
    """Returns a fault that the test begins and ends itself."""
    return link_fault(kind, on, 0.0, 1.0, hard)


AWAY = [fault("kill", "router-4"), fault("kill", "router-5"), fault("stop", "router-6")]
LOSS = fault("loss", "routers <> routers", 0.1)
FULL = fault("disk-full", "router-2")
CUT = fault("cut", "router-3 <> routers")


async def change_policy(stage: Stage, router: str, version: int, *there: str) -> float:
    status, said = await stage.propose(router, version)
    assert status == 202, said
    return await stage.wait_until(version, *there, within=MAX_WAIT_SECONDS)


@pytest.mark.sockets
def test_a_change_takes_hold_at_all_while_some_are_down_cut_off_or_have_no_room(tmp_path: Path) -> None:
    took: dict[str, float] = {}

    async def during_load(stage: Stage) -> None:
        await stage.bootstrap("router-1")
        took["none down"] = await change_policy(stage, "router-2", 2, *ALL)
        stage.begin(LOSS)
        away = [stage.begin(one) for one in AWAY]
        took["three away"] = await change_policy(
            stage, "router-7", 3, "router-1", "router-2", "router-3", "router-7"
        )
        for one in away:
            stage.end(one)
        took["back"] = await stage.wait_until(3, *ALL, within=MAX_WAIT_SECONDS)
        full = stage.begin(FULL)
        took["a voter's disk full"] = await change_policy(stage, "router-1", 4, *ALL)
        stage.end(full)
        cut = stage.begin(CUT)
        took["a voter cut off"] = await change_policy(
            stage, "router-2", 5, *(one for one in ALL if one != "router-3")
        )
        stage.end(cut)
        took["and back"] = await stage.wait_until(5, *ALL, within=MAX_WAIT_SECONDS)

    stage, result = play(tmp_path, [], 0.0, during_load, manual_faults=[*AWAY, LOSS, FULL, CUT])
    assert len(took) == 6, took
    assert stage.find_mixed() == []
    assert {d.versions for d in stage.seen} >= {(1,), (2,), (3,), (4,), (5,)}
    assert any(len(d.versions) == 2 for d in stage.seen)  # the joint state, in which both policies are obeyed
    assert result.no_verdict or not result.broken
    assert all((tmp_path / f"keep-{voter}" / "accord").stat().st_size > 0 for voter in VOTERS)


@pytest.mark.sockets
def test_voters_that_are_gone_for_good_were_replaced(tmp_path: Path) -> None:
    for new in (3, 4, 5):
        (tmp_path / f"keep-{new}").mkdir()
    gone = [f"router-{voter + 1}" for voter in VOTERS]
    kills = [fault("kill", name) for name in gone]
    took: dict[str, float] = {}

    async def during_load(stage: Stage) -> None:
        await stage.bootstrap("router-1")
        status, said = await stage.call("router-7", "/-/policy", "version = 2\nvoters = [3, 4, 5]\n")
        assert status == 202, said
        took["other voters"] = await stage.wait_until(2, *ALL, within=MAX_WAIT_SECONDS)
        assert (await stage.policy("router-1"))["voters"] == [[3, 4, 5]]
        begun = [stage.begin(one) for one in kills]
        took["the old ones gone"] = await change_policy(stage, "router-7", 3, *(set(ALL) - set(gone)))
        for one in begun:
            stage.end(one)
        # their operator files still name them as voters, and they have records from that time
        took["and back"] = await stage.wait_until(3, *ALL, within=MAX_WAIT_SECONDS)

    stage, _ = play(tmp_path, [], 0.0, during_load, manual_faults=kills)
    assert len(took) == 3, took
    assert stage.find_mixed() == []
    assert {d.versions for d in stage.seen} >= {(1,), (1, 2), (2,), (3,)}
    assert all((tmp_path / f"keep-{new}" / "accord").stat().st_size > 0 for new in (3, 4, 5))
