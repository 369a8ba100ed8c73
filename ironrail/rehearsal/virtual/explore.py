"""Runs many random scenarios, one per seed, and keeps the failures, shrunk and ready to be replayed."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass, field
from pathlib import Path

import tomli_w

from ironrail.rehearsal.account.leaving import attempts_after_departure
from ironrail.rehearsal.account.record import Outcome
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.virtual.loop import SimulationStalledError
from ironrail.rehearsal.virtual.random_scenarios import RECOVERY_SECONDS, random_scenario
from ironrail.rehearsal.virtual.runner import VirtualRun, run_virtual
from ironrail.rehearsal.virtual.shrink import MAX_RUNS, shrink

MAX_PENDING_PER_JOB = 4  # keeps every job busy without queueing much unneeded work
RECOVERED_WINDOW_SECONDS = 1.5  # before the end; requests sent since then must be served normally
MIN_RECOVERED_REQUESTS = 10  # fewer are not significant
MIN_RECOVERED_FRACTION = 0.5  # a scenario may be too weak for its load, but not for half of it
MIN_FAULT_FREE_FRACTION = 0.9  # below it without faults, liveness is not checked


@dataclass(frozen=True, slots=True)
class Finding:
    """A failure found in one scenario."""

    seed: int
    kind: str
    what: str
    scenario: Scenario
    digest: str = ""
    trace: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Report:
    """Totals and findings of an exploration."""

    seeds: int = 0
    simulated: float = 0.0  # seconds
    wall: float = 0.0
    events: int = 0
    requests: int = 0
    findings: list[Finding] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class SeedResult:
    """The result of one seed, as returned by a worker process."""

    seed: int
    simulated: float
    events: int
    requests: int
    findings: list[Finding]


def detect_failures(scenario: Scenario, seed: int, played: VirtualRun) -> Iterator[tuple[str, str]]:
    """Yield kind and text of each failure: broken rules, crashes, violated invariants, lost liveness."""
    for fault in played.violations:
        yield fault.kind, fault.what
    for broken in played.result.broken:
        yield f"rule {broken.rule}", f"{broken.what}: {broken.request}"
    for one, attempt in attempts_after_departure(
        played.result.record, 0.0
    ):  # tolerated up to two times in a rehearsal, never here
        after = attempt.first_at - (one.left_at or 0.0)
        yield "left", f"sent to {attempt.server} {after:.3f} s after the client disconnected: {one.request}"
    for name, facts in played.result.record.routers.items():
        if facts.crashed:
            yield "crash", f"{name}: {facts.crashed}"
        if not facts.ready:
            yield "ready", f"{name} never became ready"
        if facts.ready and not facts.crashed and facts.stop_code != 0:
            yield "stop", f"{name} did not end on SIGTERM"
    yield from _liveness_failures(scenario, seed, played)


def _liveness_failures(scenario: Scenario, seed: int, played: VirtualRun) -> Iterator[tuple[str, str]]:
    """Check liveness: some time after the last fault, requests are served again."""
    last = max((p.ends for p in played.result.plan), default=0.0)
    since = max(
        last + RECOVERY_SECONDS - RECOVERED_WINDOW_SECONDS, scenario.length - RECOVERED_WINDOW_SECONDS
    )
    fallen = (
        played.result.record.collapses
    )  # never recover: overloaded by routers that could not know, or by a broken rule
    if not scenario.faults or fallen or since > scenario.length - 0.5:
        return
    share, count = _served_fraction(played, since)
    if count < MIN_RECOVERED_REQUESTS or share >= MIN_RECOVERED_FRACTION:
        return
    quiet = run_virtual(scenario.model_copy(update={"faults": []}), seed)
    if _served_fraction(quiet, since)[0] >= MIN_FAULT_FREE_FRACTION:
        yield "liveness", f"{share:.0%} of {count} requests were served from {since:.1f} s on"


def _served_fraction(played: VirtualRun, since: float) -> tuple[float, int]:
    tries = [t for t in played.result.record.tries.values() if t.planned.at >= since and t.number == 0]
    return sum(t.outcome is Outcome.SERVED for t in tries) / max(1, len(tries)), len(tries)


def run_and_check(scenario: Scenario, seed: int, kept_lines: int = 0) -> tuple[SeedResult, VirtualRun | None]:
    """Run one scenario and return its result, and the run itself unless it stalled."""
    try:
        played = run_virtual(scenario, seed, kept_lines=kept_lines)
    except SimulationStalledError as e:
        return SeedResult(seed, 0.0, 0, 0, [Finding(seed, "standstill", str(e), scenario)]), None
    kinds: dict[str, str] = {}
    for kind, what in detect_failures(scenario, seed, played):
        kinds.setdefault(kind, what)
    digest = played.result.digest
    found = [Finding(seed, kind, what, scenario, digest) for kind, what in kinds.items()]
    requests = len(played.result.record.tries)
    return SeedResult(seed, played.seconds, played.events, requests, found), played


def run_seed(seed: int) -> SeedResult:
    """Run the random scenario of a seed; called in a worker process."""
    return run_and_check(random_scenario(seed), seed)[0]


def shrink_finding(finding: Finding, max_runs: int = MAX_RUNS) -> Finding:
    """Shrink a finding's scenario in at most `max_runs` runs, and attach the end of its trace."""

    def fails(world: Scenario) -> bool:
        return any(f.kind == finding.kind for f in run_and_check(world, finding.seed)[0].findings)

    small = shrink(finding.scenario, fails, max_runs)
    played, virtual = run_and_check(small, finding.seed, kept_lines=400)
    same = next((f for f in played.findings if f.kind == finding.kind), finding)
    trace = virtual.lines if virtual is not None else []
    return Finding(finding.seed, finding.kind, same.what, small, same.digest, trace)


def write_finding(finding: Finding, folder: Path) -> Path:
    """Write a scenario file that `ironrail rehearse FILE --virtual --seed N` replays, and its trace."""
    folder.mkdir(parents=True, exist_ok=True)
    name = f"{finding.kind.replace(' ', '-')}-{finding.seed}"
    table = finding.scenario.model_dump(mode="json", by_alias=True, exclude_defaults=True)
    table["summary"] = f"{finding.kind}: {finding.what}"[:200]
    table["about"] = f"Found with seed {finding.seed}; play it with that one."
    path = folder / f"{name}.toml"
    path.write_text(tomli_w.dumps(table))
    if finding.trace:
        (folder / f"{name}.trace").write_text("\n".join(finding.trace) + "\n")
    return path


def explore(
    seeds: range, jobs: int, minutes: float | None, on_result: Callable[[Report, SeedResult], None]
) -> Report:
    """Run the scenarios of the seeds in `jobs` processes, starting none after `minutes`."""
    report, began = Report(), time.monotonic()
    ahead = iter(seeds)
    with ProcessPoolExecutor(jobs) as pool:
        in_hand: set[Future[SeedResult]] = set()
        while True:
            over = minutes is not None and time.monotonic() - began > 60 * minutes
            while (
                not over
                and len(in_hand) < jobs * MAX_PENDING_PER_JOB
                and (seed := next(ahead, None)) is not None
            ):
                in_hand.add(pool.submit(run_seed, seed))
            if not in_hand:
                break
            done, in_hand = wait(in_hand, return_when=FIRST_COMPLETED)
            for future in done:
                played = future.result()
                report.seeds += 1
                report.simulated += played.simulated
                report.events += played.events
                report.requests += played.requests
                report.findings += played.findings
                report.wall = time.monotonic() - began
                on_result(report, played)
    report.findings.sort(key=lambda finding: (finding.kind, finding.seed))
    return report
