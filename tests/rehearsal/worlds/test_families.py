"""Scenario families: reproducible, each with its own faults, each property drawn independently."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.faults.plan import make_plan
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.settings import settings_of
from ironrail.rehearsal.virtual.runner import run_virtual
from ironrail.rehearsal.worlds import FAMILIES, family_scenario
from ironrail.rehearsal.worlds.families import (
    LENGTH_SECONDS,
    MAX_LOAD,
    MIN_LOAD,
    QUIET_SECONDS,
    READ_WORK_SECONDS,
)


@settings(max_examples=60, deadline=None)
@given(st.sampled_from(sorted(FAMILIES)), st.integers(0, 10**9))
def test_every_seed_gives_a_valid_reproducible_scenario(family: str, seed: int) -> None:
    world = family_scenario(family, seed)
    assert world == family_scenario(family, seed)
    table = world.model_dump(mode="json", by_alias=True, exclude_defaults=True)
    assert Scenario.model_validate(table) == world
    for planned in make_plan(world, seed):
        assert planned.fault.at >= QUIET_SECONDS and planned.ends <= LENGTH_SECONDS - QUIET_SECONDS + 0.2
    capacity = world.caches.count * world.caches.cores * world.caches.speed
    load = world.load.rate * READ_WORK_SECONDS / capacity
    assert MIN_LOAD * 0.6 <= load <= MAX_LOAD * 1.6  # tolerance: cores are rounded to whole numbers


@pytest.mark.parametrize("family", sorted(FAMILIES))
def test_no_world_breaks_a_rule(family: str) -> None:
    played = run_virtual(family_scenario(family, 1), 1)
    assert not played.result.broken and not played.violations
    assert played.result.laid is not None


def test_another_property_moves_no_draw(monkeypatch: pytest.MonkeyPatch) -> None:
    before = family_scenario("resets", 8)

    def other_places(seed: int, name: str) -> random.Random:
        return stream(seed + 2 if name.endswith(".places") else seed, name)

    monkeypatch.setattr("ironrail.rehearsal.worlds.families.stream", other_places)
    after = family_scenario("resets", 8)
    assert after != before
    places = {"connections": before.caches.connections}
    assert after.model_copy(update={"caches": after.caches.model_copy(update=places)}) == before


def test_routers_are_told_another_idle_time_than_the_true_one() -> None:
    world = family_scenario("resets", 3)
    assert settings_of(world, 0)["limits"]["connIdle"] == 15.0 > world.caches.idle


@pytest.mark.parametrize(
    ("family", "holds"),
    [
        ("resets", lambda world: {"reset", "vanish"} == kinds(world)),
        ("spoilt", lambda world: {"spoilt", "surplus", "hall-cut"} == kinds(world)),
        ("stalls", lambda world: {"stall", "hot-keys"} == kinds(world)),
        ("calm", lambda world: not kinds(world)),
        ("misses", lambda world: world.load.keys >= 5000),
        ("restarts", lambda world: world.routers.count >= 2 and "list-moves" in kinds(world)),
    ],
)
def test_a_family_has_its_own_trouble(family: str, holds: Callable[[Scenario], bool]) -> None:
    assert all(holds(family_scenario(family, seed)) for seed in range(20))


def kinds(world: Scenario) -> set[str]:
    return {str(fault.kind) for fault in world.faults}
