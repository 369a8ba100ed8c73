"""Plays many worlds, each drawn from its seed, and keeps what fails: shrunk and ready to be replayed."""

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
from ironrail.rehearsal.virtual.loop import Standstill
from ironrail.rehearsal.virtual.play import Virtual, play_virtual
from ironrail.rehearsal.virtual.shrink import MOST_RUNS, shrink
from ironrail.rehearsal.virtual.worlds import QUIET_END, draw_world

AHEAD = 4  # seeds in hand for each job: none idles, and none is drawn for nothing
SETTLED = 1.5  # seconds before the end: what was sent since then has to be answered as on a quiet day
LEAST_SETTLED = 10  # requests, or they tell nothing
SERVED_AGAIN = 0.5  # of those: worlds may be too weak for their load, but not for half of it
WELL = 0.9  # service of the same world without a fault, below which nothing is asked of it after one


@dataclass(frozen=True, slots=True)
class Finding:
    """What a world showed."""

    seed: int
    kind: str
    what: str
    scenario: Scenario
    digest: str = ""
    trace: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Report:
    """What an exploration came to."""

    seeds: int = 0
    simulated: float = 0.0  # seconds
    wall: float = 0.0
    events: int = 0
    requests: int = 0
    findings: list[Finding] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Played:
    """One world, as a worker tells of it."""

    seed: int
    simulated: float
    events: int
    requests: int
    findings: list[Finding]


def findings_of(scenario: Scenario, seed: int, played: Virtual) -> Iterator[tuple[str, str]]:
    """All that must never be: broken rules, crashes, faults of the books, service that does not come back."""
    for fault in played.faults:
        yield fault.kind, fault.what
    for broken in played.result.broken:
        yield f"rule {broken.rule}", f"{broken.what}: {broken.request}"
    for one, attempt in attempts_after_departure(
        played.result.record, 0.0
    ):  # a run may have two, a world has none
        after = attempt.first_at - (one.left_at or 0.0)
        yield "left", f"sent to {attempt.server} {after:.3f} s after its client had gone: {one.request}"
    for name, facts in played.result.record.routers.items():
        if facts.crashed:
            yield "crash", f"{name}: {facts.crashed}"
        if not facts.ready:
            yield "ready", f"{name} never became ready"
        if facts.ready and not facts.crashed and facts.stop_code != 0:
            yield "stop", f"{name} did not end on SIGTERM"
    yield from _service(scenario, seed, played)


def _service(scenario: Scenario, seed: int, played: Virtual) -> Iterator[tuple[str, str]]:
    """Liveness: once the last fault is over for some time, requests are served as without any."""
    last = max((p.ends for p in played.result.plan), default=0.0)
    since = max(last + QUIET_END - SETTLED, scenario.length - SETTLED)
    fallen = (
        played.result.record.collapses
    )  # for good: pushed by routers that could not know, or a rule broke
    if not scenario.faults or fallen or since > scenario.length - 0.5:
        return
    share, count = _served(played, since)
    if count < LEAST_SETTLED or share >= SERVED_AGAIN:
        return
    quiet = play_virtual(scenario.model_copy(update={"faults": []}), seed)
    if _served(quiet, since)[0] >= WELL:
        yield "liveness", f"{share:.0%} of {count} requests were served from {since:.1f} s on"


def _served(played: Virtual, since: float) -> tuple[float, int]:
    tries = [t for t in played.result.record.tries.values() if t.planned.at >= since and t.number == 0]
    return sum(t.outcome is Outcome.SERVED for t in tries) / max(1, len(tries)), len(tries)


def look_at(scenario: Scenario, seed: int, kept_lines: int = 0) -> tuple[Played, Virtual | None]:
    """Play one world and say what it shows."""
    try:
        played = play_virtual(scenario, seed, kept_lines=kept_lines)
    except Standstill as e:
        return Played(seed, 0.0, 0, 0, [Finding(seed, "standstill", str(e), scenario)]), None
    kinds: dict[str, str] = {}
    for kind, what in findings_of(scenario, seed, played):
        kinds.setdefault(kind, what)
    digest = played.result.digest
    found = [Finding(seed, kind, what, scenario, digest) for kind, what in kinds.items()]
    requests = len(played.result.record.tries)
    return Played(seed, played.seconds, played.events, requests, found), played


def play_seed(seed: int) -> Played:
    """The world of a seed, as a worker plays it."""
    return look_at(draw_world(seed), seed)[0]


def shrunk(finding: Finding, most: int = MOST_RUNS) -> Finding:
    """The same failure in a smaller world, with the end of its trace; plays so many worlds at the most."""

    def fails(world: Scenario) -> bool:
        return any(f.kind == finding.kind for f in look_at(world, finding.seed)[0].findings)

    small = shrink(finding.scenario, fails, most)
    played, virtual = look_at(small, finding.seed, kept_lines=400)
    same = next((f for f in played.findings if f.kind == finding.kind), finding)
    trace = virtual.lines if virtual is not None else []
    return Finding(finding.seed, finding.kind, same.what, small, same.digest, trace)


def write_finding(finding: Finding, folder: Path) -> Path:
    """A scenario file that `ironrail rehearse FILE --virtual --seed N` replays, and its trace beside it."""
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


def explore(seeds: range, jobs: int, minutes: float | None, told: Callable[[Report, Played], None]) -> Report:
    """Play the worlds of all these seeds, or as many as time allows, in so many processes."""
    report, began = Report(), time.monotonic()
    ahead = iter(seeds)
    with ProcessPoolExecutor(jobs) as pool:
        in_hand: set[Future[Played]] = set()
        while True:
            over = minutes is not None and time.monotonic() - began > 60 * minutes
            while not over and len(in_hand) < jobs * AHEAD and (seed := next(ahead, None)) is not None:
                in_hand.add(pool.submit(play_seed, seed))
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
                told(report, played)
    report.findings.sort(key=lambda finding: (finding.kind, finding.seed))
    return report
