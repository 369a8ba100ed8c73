"""Routers that poll one slow service, unreachable for seconds, while caches drain."""

from __future__ import annotations

import pytest

from ironrail.policy.discovery_freshness import DiscoveryFreshness
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import parse_scenario
from ironrail.rehearsal.standins.agent import Agent
from ironrail.rehearsal.standins.delivery import FAILED_CALL_GRACE_SECONDS, DeliveryTracker, StateChange
from ironrail.rehearsal.standins.fleet import Fleet
from ironrail.rehearsal.virtual.runner import VirtualRun, run_virtual

OUTAGE = """
summary = "the list is out of reach, then crowded, and caches drain"
length = "24 s"
warm_up = "500 ms"
[load]
rate = 120
[routers]
count = 16
[caches]
count = 6
[registry]
asked = true
rate = 1.0
must_ask = "10 s"
[[fault]]
kind = "list-silent"
at = "1 s"
lasts = "2 s"
[[fault]]
kind = "drain"
whom = "cache-1"
at = "{first}"
lasts = "24 s"
[[fault]]
kind = "drain"
whom = "cache-2"
at = "6 s"
lasts = "24 s"
"""


def world(first: str) -> Scenario:
    return parse_scenario(OUTAGE.format(first=first), "outage.toml")


def play(first: str, monkeypatch: pytest.MonkeyPatch) -> VirtualRun:
    """The stand-in counts news as told 6 s after the service had it, whatever became of a router's calls.

    And when the service goes down watches end, and a cache that drains turns away what is new.
    """
    schedule, silent, drain = DeliveryTracker._schedule_delivery, Agent.begin_silence, Fleet.begin_drain

    def counts(self: DeliveryTracker, change: StateChange, delay: float) -> None:
        schedule(self, change, delay)
        self._loop.call_later(FAILED_CALL_GRACE_SECONDS, self._deliver, change)

    def ends(self: Agent, cause: object) -> None:
        silent(self, cause)
        self.endpoint.reset_all()

    def turns_away(self: Fleet, name: str, cause: object) -> None:
        drain(self, name, cause)
        self.caches[name].draining = True

    monkeypatch.setattr(Fleet, "begin_drain", turns_away)
    monkeypatch.setattr(DeliveryTracker, "_schedule_delivery", counts)
    monkeypatch.setattr(Agent, "begin_silence", ends)
    return run_virtual(world(first), 1)


@pytest.mark.parametrize("first", ["1500 ms", "3500 ms"])
def test_routers_whose_calls_fail_send_nothing_to_draining_servers(
    first: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    played = play(first, monkeypatch)
    assert not played.result.broken and not played.violations
    assert played.result.service.whole.share > 0.9


def test_trusting_the_latest_list_by_its_age_alone_breaks_the_rule_on_drains(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(DiscoveryFreshness, "require_success_since", lambda self, now: float("-inf"))
    assert {b.rule for b in play("1500 ms", monkeypatch).result.broken} == {"drains"}
