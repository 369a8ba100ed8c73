"""A change of policy among seven processes: some are down, stopped, cut off, or have no room on a disk."""

from __future__ import annotations

from pathlib import Path

import pytest

from ironrail.rehearsal.links.consensus_rehearsal import ROUTERS, VOTERS
from ironrail.rehearsal.links.consensus_stage import Stage, play
from ironrail.rehearsal.links.plan import LinkFault, link_fault

ALL = [f"router-{n + 1}" for n in range(ROUTERS)]
WITHIN = 30.0  # seconds for what takes two or three: only a failing run comes near


def fault(kind: str, on: str, hard: float | None = None) -> LinkFault:
    """To be begun and ended by hand."""
    return link_fault(kind, on, 0.0, 1.0, hard)


AWAY = [fault("kill", "router-4"), fault("kill", "router-5"), fault("stop", "router-6")]
LOSS = fault("loss", "routers <> routers", 0.1)
FULL = fault("disk-full", "router-2")
CUT = fault("cut", "router-3 <> routers")


async def changed(stage: Stage, router: str, version: int, *there: str) -> float:
    status, said = await stage.propose(router, version)
    assert status == 202, said
    return await stage.until(version, *there, within=WITHIN)


@pytest.mark.sockets
def test_a_change_takes_hold_at_all_while_some_are_down_cut_off_or_have_no_room(tmp_path: Path) -> None:
    took: dict[str, float] = {}

    async def meanwhile(stage: Stage) -> None:
        await stage.found("router-1")
        took["none down"] = await changed(stage, "router-2", 2, *ALL)
        stage.begin(LOSS)
        away = [stage.begin(one) for one in AWAY]
        took["three away"] = await changed(
            stage, "router-7", 3, "router-1", "router-2", "router-3", "router-7"
        )
        for one in away:
            stage.end(one)
        took["back"] = await stage.until(3, *ALL, within=WITHIN)
        full = stage.begin(FULL)
        took["a voter's disk full"] = await changed(stage, "router-1", 4, *ALL)
        stage.end(full)
        cut = stage.begin(CUT)
        took["a voter cut off"] = await changed(
            stage, "router-2", 5, *(one for one in ALL if one != "router-3")
        )
        stage.end(cut)
        took["and back"] = await stage.until(5, *ALL, within=WITHIN)

    stage, result = play(tmp_path, [], 0.0, meanwhile, foreseen=[*AWAY, LOSS, FULL, CUT])
    assert len(took) == 6, took
    assert stage.mixed() == []
    assert {d.versions for d in stage.seen} >= {(1,), (2,), (3,), (4,), (5,)}
    assert any(len(d.versions) == 2 for d in stage.seen)  # the joint state, in which the meet holds
    assert result.no_verdict or not result.broken
    assert all((tmp_path / f"keep-{voter}" / "accord").stat().st_size > 0 for voter in VOTERS)


@pytest.mark.sockets
def test_voters_that_are_gone_for_good_were_replaced(tmp_path: Path) -> None:
    for new in (3, 4, 5):
        (tmp_path / f"keep-{new}").mkdir()
    gone = [f"router-{voter + 1}" for voter in VOTERS]
    kills = [fault("kill", name) for name in gone]
    took: dict[str, float] = {}

    async def meanwhile(stage: Stage) -> None:
        await stage.found("router-1")
        status, said = await stage.call("router-7", "/-/policy", "version = 2\nvoters = [3, 4, 5]\n")
        assert status == 202, said
        took["other voters"] = await stage.until(2, *ALL, within=WITHIN)
        assert (await stage.policy("router-1"))["voters"] == [[3, 4, 5]]
        begun = [stage.begin(one) for one in kills]
        took["the old ones gone"] = await changed(stage, "router-7", 3, *(set(ALL) - set(gone)))
        for one in begun:
            stage.end(one)
        # with files that name themselves, and records of when they were voters
        took["and back"] = await stage.until(3, *ALL, within=WITHIN)

    stage, _ = play(tmp_path, [], 0.0, meanwhile, foreseen=kills)
    assert len(took) == 3, took
    assert stage.mixed() == []
    assert {d.versions for d in stage.seen} >= {(1,), (1, 2), (2,), (3,)}
    assert all((tmp_path / f"keep-{new}" / "accord").stat().st_size > 0 for new in (3, 4, 5))
