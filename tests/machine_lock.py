"""Pytest plugin: a machine-wide lock for tests in real time, shared by all workers of all test runs.

Tests with the mark `sockets` run concurrently. A rehearsal without a verdict, because the machine was too
busy, is run again under an exclusive lock: no other such test runs meanwhile. Each run without a verdict is
printed at the end, with the load of the machine and the tests that ran at the same time.
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

MAX_RUNS = 4  # the first one concurrently with other tests, the others alone
MAX_BUSY_PERCENT = 60.0  # CPU use of all cores below which a run alone begins
CPU_SAMPLE_SECONDS = 0.5
MAX_IDLE_WAIT_SECONDS = 30.0  # after this time it begins in any case
NO_VERDICT = "no verdict"
# fields of the CPU times that do not count as busy; guest time is part of user time already
NOT_BUSY_FIELDS = {"idle", "iowait", "guest", "guest_nice"}

Result = TypeVar("Result")


class NoVerdictError(AssertionError):
    """No run of a rehearsal gave a verdict; the message has the reason of each."""


@dataclass(frozen=True, slots=True)
class RunWithoutVerdict:
    """A run without a verdict, and the load of the machine."""

    reason: str
    busy_share: float  # fraction of the CPU time of all cores during the run
    steal_share: float  # fraction that the hypervisor gave to other machines
    load_average: float
    concurrent_tests: tuple[str, ...]  # other tests that ran at its end

    def __str__(self) -> str:
        tests = ", ".join(self.concurrent_tests) or "nothing"
        return f"{self.reason} (CPU {self.busy_share:.0%} busy, load {self.load_average:.1f}, beside {tests})"


class MachineLock:
    """A lock with many shared holders or one exclusive one, by file locks that end with their process."""

    def __init__(self, folder: Path) -> None:
        self._running_folder = folder / "running"
        self._running_folder.mkdir(parents=True, exist_ok=True)
        # held while waiting for the lock, so that a waiting exclusive holder blocks new shared ones
        self._turnstile_file = (folder / "turnstile").open("w")
        self._lock_file = (folder / "room").open("w")

    @contextmanager
    def shared(self, test: str) -> Iterator[None]:
        """Hold the lock for a test that may run concurrently with others."""
        marker = self._running_folder / str(os.getpid())
        self._acquire(fcntl.LOCK_SH)
        marker.write_text(test)
        try:
            yield
        finally:
            marker.unlink(missing_ok=True)
            fcntl.flock(self._lock_file, fcntl.LOCK_UN)

    @contextmanager
    def exclusive(self) -> Iterator[None]:
        """Change the lock of a test that holds it to exclusive."""
        fcntl.flock(self._lock_file, fcntl.LOCK_UN)  # two tests that kept it would deadlock
        self._acquire(fcntl.LOCK_EX)
        try:
            yield
        finally:
            # without the turnstile, whose holder may be waiting for this lock
            fcntl.flock(self._lock_file, fcntl.LOCK_SH)

    def _acquire(self, operation: int) -> None:
        fcntl.flock(self._turnstile_file, fcntl.LOCK_EX)
        fcntl.flock(self._lock_file, operation)
        fcntl.flock(self._turnstile_file, fcntl.LOCK_UN)

    def concurrent_tests(self) -> tuple[str, ...]:
        """List the tests of other processes that hold the lock."""
        markers = [marker for marker in self._running_folder.iterdir() if marker.name != str(os.getpid())]
        return tuple(sorted(marker.read_text() for marker in markers if psutil.pid_exists(int(marker.name))))


MACHINE_LOCK = MachineLock(Path(tempfile.gettempdir()) / f"ironrail-machine-room-{os.getuid()}")
runs_without_verdict: list[RunWithoutVerdict] = []  # of the current test


class LoadMeter:
    """Measures the CPU use of all cores since its creation."""

    def __init__(self) -> None:
        self._before = psutil.cpu_times()

    def shares(self) -> tuple[float, float]:
        """Return the fractions of the CPU time that were busy, and stolen by the hypervisor."""
        now = psutil.cpu_times()
        spent = {name: getattr(now, name) - getattr(self._before, name) for name in now._fields}
        busy = sum(seconds for name, seconds in spent.items() if name not in NOT_BUSY_FIELDS)
        total = max(busy + spent["idle"] + spent["iowait"], 1e-9)
        return float(busy / total), float(spent["steal"] / total)


def wait_until_idle() -> None:
    """Wait until CPU use is low enough, for a limited time."""
    until = time.monotonic() + MAX_IDLE_WAIT_SECONDS
    while time.monotonic() < until and psutil.cpu_percent(CPU_SAMPLE_SECONDS) > MAX_BUSY_PERCENT:
        pass


def play_until_verdict(play: Callable[[], Result], why_no_verdict: Callable[[Result], str]) -> Result:
    """Run a rehearsal, and repeat it alone while the machine is too busy for a verdict.

    Raises:
        NoVerdictError: No run gave a verdict.
    """
    for attempt in range(MAX_RUNS):
        with MACHINE_LOCK.exclusive() if attempt else nullcontext():
            if attempt:
                wait_until_idle()
            meter = LoadMeter()
            result = play()
        reason = why_no_verdict(result)
        if not reason:
            return result
        run = RunWithoutVerdict(reason, *meter.shares(), os.getloadavg()[0], MACHINE_LOCK.concurrent_tests())
        runs_without_verdict.append(run)
    raise NoVerdictError(f"no verdict in {MAX_RUNS} runs: {'; '.join(map(str, runs_without_verdict))}")


@pytest.fixture(autouse=True)
def hold_machine_lock(request: pytest.FixtureRequest) -> Iterator[None]:
    """Hold the shared lock during each test in real time."""
    runs_without_verdict.clear()
    if request.node.get_closest_marker("sockets") is None:
        yield
        return
    with MACHINE_LOCK.shared(request.node.name):
        yield


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    call: pytest.CallInfo[None],
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Attach the runs without a verdict to the test's report, which a worker sends on."""
    report = yield
    if call.when == "call":
        report.user_properties += [(NO_VERDICT, str(run)) for run in runs_without_verdict]
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print each run without a verdict, also if its test passed."""
    for reports in terminalreporter.stats.values():
        for report in reports:
            for name, text in getattr(report, "user_properties", ()):
                if name == NO_VERDICT:
                    terminalreporter.write_line(f"NO VERDICT: {report.nodeid}: {text}")
