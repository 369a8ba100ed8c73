"""Fleets in virtual time: equal seeds give equal counts, and routers that are harmful together fail."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import orjson
import pytest
from click.testing import CliRunner

from ironrail.policy.candidate_selection import CandidateSelection
from ironrail.policy.discovery_freshness import DiscoveryFreshness
from ironrail.policy.slow_start import SlowStart
from ironrail.policy.state import PendingRequest, Server
from ironrail.rehearsal.faults.plan import make_plan
from ironrail.rehearsal.fleet.command import counts_document, fleet, run_fleet
from ironrail.rehearsal.fleet.scenarios import FAULT_GENERATORS, fleet_scenario
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.virtual.network import FIRST_PORT, Network

ROUTERS, CACHES, LENGTH = 14, 14, 12.0


def world(trouble: str, seed: int = 1, length: float = LENGTH) -> Scenario:
    return fleet_scenario(trouble, seed, ROUTERS, CACHES, length)


def failed(scenario: Scenario, seed: int = 1) -> set[str]:
    played, _ = run_fleet(scenario, seed)
    return {verdict.name for verdict in played.result.verdicts if not verdict.kept}


@pytest.mark.parametrize("trouble", sorted(FAULT_GENERATORS))
def test_the_true_router_keeps_every_verdict(trouble: str) -> None:
    played, counts = run_fleet(world(trouble), 1)
    assert not [v for v in played.result.verdicts if not v.kept]
    assert not played.result.broken
    assert counts.first_tries > 1000 and counts.list_calls.total() >= ROUTERS


def test_one_seed_gives_one_set_of_counts_and_another_seed_another() -> None:
    first, second, other = (run_fleet(world("release", seed, 6.0), seed) for seed in (3, 3, 4))
    assert counts_document(first[1]) == counts_document(second[1]) != counts_document(other[1])
    assert first[0].result.digest == second[0].result.digest != other[0].result.digest


def test_routers_that_call_for_the_list_in_step_fail(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(DiscoveryFreshness, "initial_delay", lambda self, draws: 0.0)
    monkeypatch.setattr(DiscoveryFreshness, "on_failure", lambda self, now, how, draws: 0.05)
    assert "calls for the list in a second" in failed(world("release"))


def test_routers_without_a_budget_for_cold_caches_fail(monkeypatch: pytest.MonkeyPatch) -> None:
    choose = CandidateSelection.choose

    def eager(self: CandidateSelection, now: float, pending: PendingRequest) -> Server | None:
        servers = [self.servers[i] for i in self.ring.virtual_node_counts]
        cold = [s for s in servers if self.slow_start.capacity_fraction(now, s) < 1.0]
        return cold[0] if cold and not pending.attempts else choose(self, now, pending)

    monkeypatch.setattr(SlowStart, "admits", lambda *given: True)
    monkeypatch.setattr(CandidateSelection, "choose", eager)
    scenario = world("hall")
    told = scenario.registry.model_copy(
        update={"rate": 1000.0}
    )  # otherwise few routers would learn that the caches are cold
    assert "work sent to a cold cache by who knew" in failed(scenario.model_copy(update={"registry": told}))


# Generated scenarios


@pytest.mark.parametrize("trouble", sorted(FAULT_GENERATORS))
@pytest.mark.parametrize("size", [(1, 3), (3, 10), (40, 60), (1000, 400)])
def test_a_world_can_be_planned_at_any_size_and_is_the_same_each_time(
    trouble: str, size: tuple[int, int]
) -> None:
    drawn = fleet_scenario(trouble, 5, *size, 12.0)
    assert drawn == fleet_scenario(trouble, 5, *size, 12.0)
    plan = make_plan(drawn, 5)
    assert all(planned.ends <= 12.0 for planned in plan)


def test_six_in_ten_caches_are_replaced_within_seven_seconds_each_once() -> None:
    plan = make_plan(fleet_scenario("replaced", 2, 40, 60, 20.0), 2)
    gone = [p for p in plan if p.fault.kind is FaultKind.REPLACE]
    assert len({p.victims for p in gone}) == len(gone) == 36
    assert max(p.fault.at for p in gone) - min(p.fault.at for p in gone) < 7.0


def test_all_routers_restart_by_tenths_while_half_of_the_caches_drain_and_are_replaced() -> None:
    plan = make_plan(fleet_scenario("roll", 2, 40, 60, 20.0), 2)
    times = {p.victims[0]: p.fault.at for p in plan if p.fault.kind is FaultKind.ROUTER_RESTART}
    assert len(times) == 40 and max(Counter(times.values()).values()) == 4
    drains = {p.victims[0]: p for p in plan if p.fault.kind is FaultKind.DRAIN}
    gone = {p.victims[0]: p for p in plan if p.fault.kind is FaultKind.REPLACE}
    assert drains.keys() == gone.keys() and len(gone) == 30
    assert all(gone[name].fault.at < drains[name].ends < gone[name].ends for name in gone)


def test_each_listener_of_a_thousand_routers_before_four_hundred_caches_has_an_address() -> None:
    """With one host, ports ran out at 45,000 listeners: routers could not read the list or become ready."""
    places = {Network.host_and_port(number) for number in range(FIRST_PORT + 1, FIRST_PORT + 400_001)}
    assert len(places) == 400_000
    assert all(0 < port < 65536 for _, port in places)
    assert Network.host_and_port(FIRST_PORT + 1) == ("127.0.0.1", FIRST_PORT + 1)


# The command


def run(*arguments: str) -> Any:
    return CliRunner().invoke(fleet, list(arguments))


def test_a_world_that_was_written_down_plays_as_it_was_drawn(tmp_path: Path) -> None:
    path, told = tmp_path / "release.toml", tmp_path / "told.json"
    size = ["--routers", "6", "--caches", "6", "--length", "12", "--seed", "2"]
    assert run("release", *size, "--write", str(path)).exit_code == 0
    done = run(str(path), "--seed", "2", "--json", str(told))
    assert done.exit_code == 0, done.output
    assert "All routers together" in done.output
    report = orjson.loads(told.read_bytes())
    assert (report["format"], report["version"]) == ("ironrail-fleet", 1)
    drawn, counts = run_fleet(fleet_scenario("release", 2, 6, 6, 12.0), 2)
    assert report["rehearsal"]["digest"] == drawn.result.digest
    assert report["counts"] == counts_document(counts)


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ('summary = "x"\nlength = 3', "world.toml:2: length: a time needs its unit"),
        ('summary = "x"\nlength = "5 s"\n[registry]\nrate = 0', "world.toml:4: registry.rate: "),
        ('summary = "x"\nlength = "5 s"\n[routers]\ncount = 1001', "world.toml:4: routers.count: "),
        (
            'summary = "x"\nlength = "5 s"\n[[fault]]\nkind = "replace"\nwhom = "cache-99"\nat = "1 s"',
            "world.toml: fault 1 (replace): no caches are called 'cache-99'",
        ),
    ],
)
def test_bad_input_is_reported_in_one_line(text: str, said: str, tmp_path: Path) -> None:
    path = tmp_path / "world.toml"
    path.write_text(text)
    done = run(str(path))
    assert done.exit_code == 2
    (line,) = done.output.strip().splitlines()
    assert said in line


def test_an_unknown_fault_family_is_reported_with_the_known_ones() -> None:
    done = run("flood")
    assert done.exit_code == 2 and "flood: unknown fault family (calm, release, " in done.output
