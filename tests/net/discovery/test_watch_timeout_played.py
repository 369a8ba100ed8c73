"""Watches that time out early, late, twice, at a relocation, before a drain: in virtual time."""

from __future__ import annotations

import pytest

from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import parse_scenario
from ironrail.rehearsal.standins.fleet import Fleet
from ironrail.rehearsal.virtual.runner import run_virtual

WORLD = """
summary = "watches fall silent, and a cache drains"
length = "{length} s"
warm_up = "500 ms"
[load]
rate = 40
[routers]
count = 3
[caches]
count = 4
[registry]
notice = "100 ms"
spread = "50 ms"
{registry}
"""
FAULT = """
[[fault]]
kind = "{kind}"
whom = "{whom}"
at = "{at} s"
lasts = "{lasts} s"
"""
ASKED = 'asked = true\nrate = 20.0\nmust_ask = "10 s"'
LONGEST = 30.0 + 2.0 + 2.0  # seconds until what a silent watch missed counts, and two more
SILENCES = [(0.1,), (13.0,), (1.0, 4.0), (1.0, 8.0)]


def fault(kind: str, at: float, lasts: float, whom: str = "") -> str:
    text = FAULT.format(kind=kind, whom=whom, at=round(at, 3), lasts=round(lasts, 3))
    return text if whom else text.replace('whom = ""\n', "")


def world(registry: str, silences: tuple[float, ...], moves: float | None) -> Scenario:
    last = max((*silences, moves or 0.0))
    length = round(last + (LONGEST if registry else 10.0))
    text = WORLD.format(registry=registry, length=length)
    text += "".join(fault("watch-silent", at, 0.1) for at in silences)
    text += fault("drain", last + 0.3, length, "cache-1")
    if moves is not None:
        text += fault("list-moves", moves, 0.1)
    return parse_scenario(text, "silences.toml")


@pytest.mark.parametrize("moves", [None, -0.05, 0.05], ids=["stays", "before", "after"])
@pytest.mark.parametrize("silences", SILENCES, ids=str)
@pytest.mark.parametrize("registry", ["", ASKED], ids=["pushed", "asked"])
def test_every_router_is_updated_in_time_or_sends_nothing_to_draining_servers(
    registry: str, silences: tuple[float, ...], moves: float | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    drain = Fleet.begin_drain

    def turns_away(self: Fleet, name: str, cause: object) -> None:
        drain(self, name, cause)
        self.caches[name].draining = True

    monkeypatch.setattr(Fleet, "begin_drain", turns_away)
    played = run_virtual(world(registry, silences, None if moves is None else silences[-1] + moves), 1)
    assert not played.result.broken and not played.violations
    assert played.result.service.whole.share > 0.97
    for router in played.result.record.routers:
        states = [told.state for told in played.result.record.state_notices[router, "cache-1"]]
        assert "terminating" in states
