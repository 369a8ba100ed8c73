"""Processes that play runs, so many at once, each in the tree of a variant."""

from __future__ import annotations

import contextlib
import os
import subprocess
import sys
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait
from pathlib import Path
from typing import Any

import orjson

from ironrail.rehearsal.experiments.plan import Run
from ironrail.rehearsal.experiments.store import Outcome
from ironrail.rehearsal.routers import end_with_parent

AHEAD = 2  # runs in hand for each job
LONGEST = 300.0  # seconds of one run, after which it hangs
LAST = 5.0  # seconds for a process to end once its input has


class Worker:
    """One process."""

    def __init__(self, variant: str, tree: Path, operator: str, longest: float) -> None:
        self.variant, self._longest = variant, longest
        self._hung = False
        self._process = subprocess.Popen(
            [sys.executable, "-B", "-m", "ironrail.rehearsal.experiments.worker", operator],
            cwd=tree,
            env={**os.environ, "PYTHONPATH": str(tree), "PYTHONHASHSEED": "0"},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            preexec_fn=end_with_parent,  # noqa: PLW1509 - it makes one system call
        )

    def play(self, world: dict[str, Any], seed: int) -> Outcome:
        """Play one run. A process that ends or hangs over it has failed it."""
        assert self._process.stdin is not None and self._process.stdout is not None
        guard = threading.Timer(self._longest, self._kill)
        guard.start()
        try:
            self._process.stdin.write(orjson.dumps({"world": world, "seed": seed}) + b"\n")
            self._process.stdin.flush()
            line = self._process.stdout.readline()
        except OSError:
            line = b""
        finally:
            guard.cancel()
        if not line.endswith(b"\n"):
            code = self._process.wait()
            why = f"hung for {self._longest:.0f} s" if self._hung else f"its process ended with {code}"
            return Outcome(None, failed=why)
        told = orjson.loads(line)
        return Outcome(None, failed=told["failed"]) if "failed" in told else Outcome(**told)

    @property
    def alive(self) -> bool:
        return self._process.poll() is None

    def _kill(self) -> None:
        self._hung = True
        self._process.kill()

    def close(self) -> None:
        assert self._process.stdin is not None and self._process.stdout is not None
        with contextlib.suppress(BrokenPipeError):  # it died with something unread
            self._process.stdin.close()
        try:
            self._process.wait(LAST)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._process.stdout.close()


class Crew:
    """As many workers as jobs. Each keeps to a variant as long as there is work for it."""

    def __init__(
        self, trees: dict[str, Path], operators: dict[str, str], jobs: int, longest: float = LONGEST
    ) -> None:
        self._trees, self._operators, self._jobs, self._longest = trees, operators, jobs, longest
        self._mine = threading.local()
        self._all: set[Worker] = set()
        self._stopped = False

    def play(self, runs: Iterable[tuple[Run, dict[str, Any]]], told: Callable[[Run, Outcome], None]) -> None:
        """Play all; `told` hears of each here, in the order in which they end."""
        ahead = iter(runs)
        with ThreadPoolExecutor(self._jobs) as pool:
            in_hand: dict[Future[Outcome], Run] = {}
            try:
                while True:
                    while len(in_hand) < AHEAD * self._jobs and (more := next(ahead, None)) is not None:
                        in_hand[pool.submit(self._one, *more)] = more[0]
                    if not in_hand:
                        break
                    done, _ = wait(in_hand, return_when=FIRST_COMPLETED)
                    for future in done:
                        told(in_hand.pop(future), future.result())
            finally:
                self._stopped = True
                for future in in_hand:
                    future.cancel()
                self.close()
                self._stopped = False

    def _one(self, run: Run, world: dict[str, Any]) -> Outcome:
        worker: Worker | None = getattr(self._mine, "worker", None)
        if worker is None or worker.variant != run.variant or not worker.alive or worker not in self._all:
            if worker in self._all:
                self._all.discard(worker)
                worker.close()
            if self._stopped:
                return Outcome(None, failed="interrupted")
            worker = Worker(
                run.variant, self._trees[run.variant], self._operators[run.variant], self._longest
            )
            self._mine.worker = worker
            self._all.add(worker)
        return worker.play(world, run.seed)

    def close(self) -> None:
        """End all processes: what they had in hand is lost, and played again on a resume."""
        while self._all:
            self._all.pop().close()
