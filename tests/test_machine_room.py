"""The room that tests in real time share, and runs without a verdict."""

from __future__ import annotations

import multiprocessing
from multiprocessing.synchronize import Event
from pathlib import Path

import pytest

from tests import machine_room
from tests.machine_room import TRIES, MachineRoom, NoVerdictError, play_until_verdict

SOON = 5.0  # seconds for another process to do something
NOT_YET = 0.2  # seconds in which it must not


def visit(folder: Path, came: Event, leave: Event) -> None:
    with MachineRoom(folder).shared("other"):
        came.set()
        leave.wait(SOON)


def test_who_is_alone_waits_for_others_and_lets_nobody_in(tmp_path: Path) -> None:
    """Guards against a repeated run into the load that made the first one late."""
    spawn = multiprocessing.get_context("spawn")
    first_came, second_came, leave = spawn.Event(), spawn.Event(), spawn.Event()
    room = MachineRoom(tmp_path)
    with room.shared("own"):
        first = spawn.Process(target=visit, args=(tmp_path, first_came, leave))
        first.start()
        assert first_came.wait(SOON) and room.tests_beside() == ("other",)
        leave.set()
        with room.alone():
            assert room.tests_beside() == ()
            second = spawn.Process(target=visit, args=(tmp_path, second_came, leave))
            second.start()
            assert not second_came.wait(NOT_YET)
        assert second_came.wait(SOON)
    first.join()
    second.join()


def test_a_run_without_a_verdict_is_played_again_alone_and_noted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(machine_room, "IDLE_PATIENCE_SECONDS", 0.0)
    reasons = iter(["late", "later", ""])
    with machine_room.ROOM.shared("own"):
        assert play_until_verdict(lambda: next(reasons), str) == ""
    assert [run.reason for run in machine_room.runs_without_verdict] == ["late", "later"]
    machine_room.runs_without_verdict.clear()  # this test's own are no news


def test_no_verdict_in_any_run_fails_with_every_reason(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a machine that is too busy being read as a fault of the router."""
    monkeypatch.setattr(machine_room, "IDLE_PATIENCE_SECONDS", 0.0)
    with machine_room.ROOM.shared("own"), pytest.raises(NoVerdictError, match=f"in {TRIES} runs: .*31 ms"):
        play_until_verdict(lambda: "one in a hundred sends was 31 ms late", str)
    assert all(0.0 <= run.busy_share <= 1.0 for run in machine_room.runs_without_verdict)
    machine_room.runs_without_verdict.clear()
