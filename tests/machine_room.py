"""Pytest plugin: room on the machine for rehearsals in real time, shared by all workers of all test runs.

Tests with the mark `sockets` run beside each other. One whose run gave no verdict, as the machine was too
busy, runs again alone: no other such test is on the machine meanwhile. Each run without a verdict is printed
at the end, with the load of the machine and what ran beside it.
"""

from __future__ import annotations

import fcntl
import os
import tempfile
import time
from collections.abc import Callable, Generator, Iterator
from contextlib import contextmanager, nullcontext
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import psutil
import pytest

TRIES = 4  # the first beside others, the rest alone
MAX_BUSY_PERCENT = 60.0  # of all cores, at which a run alone begins
LOOK_SECONDS = 0.5
IDLE_PATIENCE_SECONDS = 30.0  # after which it begins all the same
NO_VERDICT = "no verdict"
NOT_LISTED = {"idle", "iowait", "guest", "guest_nice"}  # parts of the CPU time in which nothing ran

Played = TypeVar("Played")


class NoVerdictError(AssertionError):
    """No run of a rehearsal gave a verdict; the message has the reason of each."""


@dataclass(frozen=True, slots=True)
class RunWithoutVerdict:
    """One run that told nothing, and what the machine was doing."""

    reason: str
    busy_share: float  # of all cores, over the run
    steal_share: float  # the part of it that the host gave to others
    load_average: float
    beside: tuple[str, ...]  # tests that ran at its end

    def __str__(self) -> str:
        beside = ", ".join(self.beside) or "nothing"
        return (
            f"{self.reason} (CPU {self.busy_share:.0%} busy, load {self.load_average:.1f}, beside {beside})"
        )


class MachineRoom:
    """Locks on files, which end with their process: many shared holders, or one exclusive one."""

    def __init__(self, folder: Path) -> None:
        self._running = folder / "running"
        self._running.mkdir(parents=True, exist_ok=True)
        # who waits for all of the room holds this one, so that nobody new is let in before
        self._turnstile = (folder / "turnstile").open("w")
        self._room = (folder / "room").open("w")

    @contextmanager
    def shared(self, test: str) -> Iterator[None]:
        """Run a test beside others."""
        note = self._running / str(os.getpid())
        self._enter(fcntl.LOCK_SH)
        note.write_text(test)
        try:
            yield
        finally:
            note.unlink(missing_ok=True)
            fcntl.flock(self._room, fcntl.LOCK_UN)

    @contextmanager
    def alone(self) -> Iterator[None]:
        """Go on alone; for a test that is in the room."""
        fcntl.flock(self._room, fcntl.LOCK_UN)  # two that both wait would never get in
        self._enter(fcntl.LOCK_EX)
        try:
            yield
        finally:
            fcntl.flock(
                self._room, fcntl.LOCK_SH
            )  # not by the turnstile, where the next one may wait for this

    def _enter(self, how: int) -> None:
        fcntl.flock(self._turnstile, fcntl.LOCK_EX)
        fcntl.flock(self._room, how)
        fcntl.flock(self._turnstile, fcntl.LOCK_UN)

    def tests_beside(self) -> tuple[str, ...]:
        """List the tests of other processes that are in the room."""
        notes = [note for note in self._running.iterdir() if note.name != str(os.getpid())]
        return tuple(sorted(note.read_text() for note in notes if psutil.pid_exists(int(note.name))))


ROOM = MachineRoom(Path(tempfile.gettempdir()) / f"ironrail-machine-room-{os.getuid()}")
runs_without_verdict: list[RunWithoutVerdict] = []  # of the present test


class LoadMeter:
    """What all cores did since the meter was made."""

    def __init__(self) -> None:
        self._before = psutil.cpu_times()

    def shares(self) -> tuple[float, float]:
        """Return the shares of the time that were busy, and of that taken by the host."""
        now = psutil.cpu_times()
        spent = {name: getattr(now, name) - getattr(self._before, name) for name in now._fields}
        busy = sum(seconds for name, seconds in spent.items() if name not in NOT_LISTED)
        total = max(busy + spent["idle"] + spent["iowait"], 1e-9)
        return float(busy / total), float(spent["steal"] / total)


def wait_until_idle() -> None:
    """Wait until the machine has room, for a bounded time."""
    until = time.monotonic() + IDLE_PATIENCE_SECONDS
    while time.monotonic() < until and psutil.cpu_percent(LOOK_SECONDS) > MAX_BUSY_PERCENT:
        pass


def play_until_verdict(play: Callable[[], Played], why_no_verdict: Callable[[Played], str]) -> Played:
    """Play a rehearsal, and again alone where the machine was too busy for a verdict.

    Raises:
        NoVerdictError: No try gave a verdict.
    """
    for attempt in range(TRIES):
        with ROOM.alone() if attempt else nullcontext():
            if attempt:
                wait_until_idle()
            meter = LoadMeter()
            played = play()
        reason = why_no_verdict(played)
        if not reason:
            return played
        run = RunWithoutVerdict(reason, *meter.shares(), os.getloadavg()[0], ROOM.tests_beside())
        runs_without_verdict.append(run)
    raise NoVerdictError(f"no verdict in {TRIES} runs: {'; '.join(map(str, runs_without_verdict))}")


@pytest.fixture(autouse=True)
def machine_room(request: pytest.FixtureRequest) -> Iterator[None]:
    """Hold a place in the room for each test in real time."""
    runs_without_verdict.clear()
    if request.node.get_closest_marker("sockets") is None:
        yield
        return
    with ROOM.shared(request.node.name):
        yield


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    call: pytest.CallInfo[None],
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Pass on what was noted of the test's runs, also from a worker."""
    report = yield
    if call.when == "call":
        report.user_properties += [(NO_VERDICT, str(run)) for run in runs_without_verdict]
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print each run without a verdict, whatever became of its test."""
    for reports in terminalreporter.stats.values():
        for report in reports:
            for name, text in getattr(report, "user_properties", ()):
                if name == NO_VERDICT:
                    terminalreporter.write_line(f"NO VERDICT: {report.nodeid}: {text}")
