"""The machine-wide lock of tests in real time, and the repetition of runs without a verdict."""

from __future__ import annotations

import multiprocessing
from multiprocessing.synchronize import Event
from pathlib import Path

import pytest

from tests import machine_lock
from tests.machine_lock import MAX_RUNS, MachineLock, NoVerdictError, play_until_verdict

MAX_WAIT_SECONDS = 5.0  # within this time another process must act
BLOCKED_SECONDS = 0.2  # within this time it must not


def hold_shared(folder: Path, entered: Event, leave: Event) -> None:
    with MachineLock(folder).shared("other"):
        entered.set()
        leave.wait(MAX_WAIT_SECONDS)


def test_the_exclusive_holder_waits_for_others_and_blocks_new_ones(tmp_path: Path) -> None:
    """Guards against repeating a run under the same load that made the first one late."""
    spawn = multiprocessing.get_context("spawn")
    first_entered, second_entered, leave = spawn.Event(), spawn.Event(), spawn.Event()
    lock = MachineLock(tmp_path)
    with lock.shared("own"):
        first = spawn.Process(target=hold_shared, args=(tmp_path, first_entered, leave))
        first.start()
        assert first_entered.wait(MAX_WAIT_SECONDS) and lock.concurrent_tests() == ("other",)
        leave.set()
        with lock.exclusive():
            assert lock.concurrent_tests() == ()
            second = spawn.Process(target=hold_shared, args=(tmp_path, second_entered, leave))
            second.start()
            assert not second_entered.wait(BLOCKED_SECONDS)
        assert second_entered.wait(MAX_WAIT_SECONDS)
    first.join()
    second.join()


def test_a_run_without_a_verdict_is_repeated_alone_and_recorded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(machine_lock, "MAX_IDLE_WAIT_SECONDS", 0.0)
    reasons = iter(["late", "later", ""])
    with machine_lock.MACHINE_LOCK.shared("own"):
        assert play_until_verdict(lambda: next(reasons), str) == ""
    assert [run.reason for run in machine_lock.runs_without_verdict] == ["late", "later"]
    machine_lock.runs_without_verdict.clear()  # so that they are not printed


def test_no_verdict_in_any_run_fails_with_every_reason(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against taking a busy machine for a fault of the router."""
    monkeypatch.setattr(machine_lock, "MAX_IDLE_WAIT_SECONDS", 0.0)
    with (
        machine_lock.MACHINE_LOCK.shared("own"),
        pytest.raises(NoVerdictError, match=f"in {MAX_RUNS} runs: .*31 ms"),
    ):
        play_until_verdict(lambda: "one in a hundred sends was 31 ms late", str)
    assert all(0.0 <= run.busy_share <= 1.0 for run in machine_lock.runs_without_verdict)
    machine_lock.runs_without_verdict.clear()
