"""Watches of the endpoint list go silent while a cache drains, with pushed and with polled lists."""

from __future__ import annotations

import pytest

from ironrail.net.discovery import http_client
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import parse_scenario
from ironrail.rehearsal.virtual.runner import run_virtual
from tests.mutants import keeps_silent_watch

SILENT = """
summary = "all watches fall silent, and a cache drains"
length = "{length} s"
warm_up = "500 ms"
[load]
rate = 40
[routers]
count = 2
[caches]
count = 4
[registry]
notice = "300 ms"
spread = "50 ms"
{registry}
[[fault]]
kind = "watch-silent"
at = "1 s"
[[fault]]
kind = "drain"
whom = "cache-1"
at = "{at} s"
lasts = "{length} s"
"""
ASKED = "asked = true\nrate = 20.0"
WORLDS = [("", 12, 0.5), ("", 12, 1.5), ("", 12, 6.0), (ASKED, 28, 1.5), (ASKED, 28, 21.0)]


def world(registry: str, length: int, at: float) -> Scenario:
    return parse_scenario(SILENT.format(registry=registry, length=length, at=at), "silent.toml")


@pytest.mark.parametrize(("registry", "length", "at"), WORLDS)
def test_routers_open_a_silent_watch_anew_in_time(registry: str, length: int, at: float) -> None:
    played = run_virtual(world(registry, length, at), 1)
    assert not played.result.broken and not played.violations
    assert played.result.service.whole.share > 0.98
    for router in played.result.record.routers:
        told = [
            t.at for t in played.result.record.state_notices[router, "cache-1"] if t.state == "terminating"
        ]
        assert told and told[0] < length - 2


def test_a_router_that_waits_for_good_breaks_the_rule_on_drains_where_it_asks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        http_client.DiscoveryClient, "get", http_client.DiscoveryClient.get
    )  # so that monkeypatch restores it
    keeps_silent_watch.break_it()
    assert {b.rule for b in run_virtual(world(ASKED, 28, 1.5), 1).result.broken} == {"drains"}
