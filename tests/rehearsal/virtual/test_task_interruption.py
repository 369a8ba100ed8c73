"""A router's task is interrupted at each await in turn; no request or resource is lost and it continues."""

from __future__ import annotations

import pytest

from ironrail.rehearsal.scenario.faults import Cut, CutKind
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import parse_scenario
from ironrail.rehearsal.virtual.explore import run_and_check
from ironrail.rehearsal.virtual.runner import VirtualRun, run_virtual

WORLD = parse_scenario(
    """
summary = "connections end and are dialled anew"
length = "1200 ms"
warm_up = "0 ms"
[load]
rate = 40
[routers]
count = 1
[caches]
count = 2
[[fault]]
kind = "restart"
whom = "cache-1"
at = "300 ms"
lasts = "200 ms"
[[fault]]
kind = "reset"
whom = "cache-2"
at = "400 ms"
lasts = "200 ms"
""",
    "cuts.toml",
)
CUTS = [
    ("Discovery._run", CutKind.MOVES, 4),
    ("Pool._open", CutKind.TIME_UP, 20),
    ("Discovery._run", CutKind.TIME_UP, 4),
    ("Discovery._run", CutKind.TERM, 4),
    ("VirtualRouter._run", CutKind.TERM, 4),
]
STARTING = 1  # first await, before the process runs the daemon: the signal's default action applies


def cut(task: str, nth: int, how: CutKind, woken: bool = False) -> Scenario:
    return WORLD.model_copy(update={"cut": Cut(task=task, nth=nth, how=how, woken=woken)})


def awaits_of(task: str, how: CutKind) -> int:
    return run_virtual(cut(task, 0, how), 1).awaits


def made(played: VirtualRun, how: CutKind) -> bool:
    return any(f" {how}" in line and " cut " in line for line in played.lines)


@pytest.mark.parametrize(("task", "how", "least"), CUTS)
@pytest.mark.parametrize("woken", [False, True])
def test_an_interruption_at_every_await_loses_nothing(
    task: str, how: CutKind, least: int, woken: bool
) -> None:
    count, cuts = awaits_of(task, how), 0
    assert count >= least
    for nth in range(1 + STARTING * (task == "VirtualRouter._run"), count + 1):
        played, virtual = run_and_check(cut(task, nth, how, woken), 1, kept_lines=20_000)
        assert virtual is not None
        cuts += made(virtual, how)
        found = {f.kind for f in played.findings} - ({"ready"} if how is CutKind.TERM else set())
        assert not found, (nth, played.findings)
    assert cuts >= least - 2  # a task that never resumes can't be interrupted on resuming


def test_the_list_is_watched_again_after_an_interruption() -> None:
    for nth in range(1, awaits_of("Discovery._run", CutKind.MOVES) + 1):
        virtual = run_virtual(cut("Discovery._run", nth, CutKind.MOVES), 1, kept_lines=20_000)
        at = next(i for i, line in enumerate(virtual.lines) if " cut " in line)
        asked = [line for line in virtual.lines[at:] if "GET /api/targets?index" in line]
        assert asked, f"no watch after a cut at await {nth}"


def test_a_router_that_leaks_a_timed_out_connect_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """A router that treats a timed-out connect as still pending."""
    from ironrail.connections.upstream.pool_manager import UpstreamPoolManager  # noqa: PLC0415

    monkeypatch.setattr(UpstreamPoolManager, "on_connect_failed", lambda self, now, link: [])
    found = run_and_check(cut("Pool._open", 1, CutKind.TIME_UP), 1)[0].findings
    assert {f.kind for f in found} & {"connections", "attempts", "held"}
