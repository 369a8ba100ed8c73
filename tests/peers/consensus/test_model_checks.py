"""The invariants: in all states within bounds, on random walks, and with planted mistakes."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import pytest

from ironrail.peers.consensus import message_handler
from tests.peers.consensus import mistakes, schedules
from tests.peers.consensus.deterministic_nodes import TICK_CONSTANTS
from tests.peers.consensus.explorer import Bounds, Explorer
from tests.peers.consensus.invariants import InvariantViolation
from tests.peers.consensus.random_walk import walk
from tests.peers.consensus.register_explorer import RegisterExplorer


@pytest.fixture
def ticks(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Make all periodic actions happen at each tick."""
    for (module, name), value in TICK_CONSTANTS.items():
        monkeypatch.setattr(module, name, value)
    yield


# bounds, and the known number of states: far fewer would mean that the search covers too little
REGISTER_BOUNDS: list[tuple[dict[str, Any], int]] = [
    ({"max_retries": 1, "max_crashes": 0}, 3_171),
    ({"max_retries": 0, "max_crashes": 1, "crashing_routers": (2,)}, 17_373),
    ({"max_retries": 0, "max_crashes": 1, "crashing_routers": (0,), "proposers": (0,)}, 19_687),
]
NODE_BOUNDS: list[tuple[dict[str, Any], int]] = [
    ({"faults": 1}, 22_070),
    ({"faults": 0, "message_faults": 1}, 24_640),
    ({"faults": 1, "persists_records": True, "fault_kinds": "crash forget"}, 5_000),
]


@pytest.mark.parametrize(("bounds", "states"), REGISTER_BOUNDS)
def test_register_decides_once(bounds: dict[str, Any], states: int) -> None:
    assert RegisterExplorer(**bounds).run() > 0.8 * states


@pytest.mark.usefixtures("ticks")
@pytest.mark.parametrize(("bounds", "states"), NODE_BOUNDS)
def test_no_router_decides_by_the_old_policy_beside_the_new_one(bounds: dict[str, Any], states: int) -> None:
    explorer = Explorer(Bounds(**bounds))
    assert explorer.run() > 0.8 * states
    assert explorer.outcomes["in force"] and explorer.outcomes["BusyError"]


@pytest.mark.parametrize("seed", range(12))
def test_invariants_hold_on_random_walks(seed: int) -> None:
    walk(seed)


@pytest.mark.parametrize("seed", range(3))
def test_invariants_hold_on_random_walks_with_five_voters(seed: int) -> None:
    walk(seed, voters=(0, 1, 2, 3, 4))


def schedule_run(schedule: str, persists_records: bool = False) -> Callable[[], object]:
    return lambda: RegisterExplorer(
        0, 1, proposers=(3, 4), persists_records=persists_records
    ).follow_schedule(schedule)


def exploration(**bounds: Any) -> Callable[[], object]:
    return lambda: Explorer(Bounds(**bounds)).run()


def explore_with_early_withdrawal() -> object:
    """Explore with voters that withdraw a change before its disconnected proposer is back."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(message_handler, "ABANDONED_DEADLINE_FACTOR", 0.15)
        return Explorer(Bounds(fault_kinds="cut", deadline=2.0)).run()


FOUND: list[tuple[Callable[[pytest.MonkeyPatch], None], Callable[[], object]]] = [
    (mistakes.votes_without_recovery, schedule_run(schedules.RESTARTED_VOTER)),
    (
        mistakes.sends_before_record_is_written,
        schedule_run(schedules.UNWRITTEN_RECORD, persists_records=True),
    ),
    (mistakes.accepts_replies_of_replaced_processes, schedule_run(schedules.REPLACED_PROCESS)),
    (mistakes.reuses_ballots, schedule_run(schedules.REUSED_BALLOT)),
    (mistakes.forgets_promise_on_accept, lambda: RegisterExplorer(1, 0).run()),
    (mistakes.keeps_lease_over_pause, exploration(fault_kinds="cut stop")),
    (mistakes.ignores_conflicting_leases, exploration(fault_kinds="cut stop")),
    (mistakes.completes_abandoned_change, explore_with_early_withdrawal),
    (mistakes.uses_new_policy_in_joint_state, lambda: walk(0)),
    (mistakes.skips_joint_state, lambda: walk(0)),
    (mistakes.moves_without_grant, lambda: walk(0)),
    (mistakes.counts_lease_from_reply, lambda: walk(0)),
    (mistakes.ignores_clock_drift, lambda: walk(24)),
    (mistakes.forgets_leases_on_restart, lambda: walk(4)),
    (mistakes.drops_lease_of_replaced_process, lambda: walk(0)),
    (mistakes.keeps_grants_of_dropped_scopes, lambda: walk(56)),
    (mistakes.head_forgets_members, lambda: walk(5)),
    (mistakes.head_grants_full_lease, lambda: walk(7)),
]


@pytest.mark.usefixtures("ticks")
@pytest.mark.parametrize(("mistake", "run"), FOUND[:8], ids=lambda x: getattr(x, "__name__", ""))
def test_mistake_is_found(mistake: Any, run: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    mistake(monkeypatch)
    with pytest.raises(InvariantViolation):
        run()


@pytest.mark.parametrize(("mistake", "run"), FOUND[8:], ids=lambda x: getattr(x, "__name__", ""))
def test_mistake_is_found_on_a_random_walk(mistake: Any, run: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    mistake(monkeypatch)
    with pytest.raises(InvariantViolation):
        run()


def test_schedules_pass_without_the_mistake() -> None:
    for schedule, persists_records in (
        (schedules.RESTARTED_VOTER, False),
        (schedules.UNWRITTEN_RECORD, True),
        (schedules.REPLACED_PROCESS, False),
        (schedules.REUSED_BALLOT, False),
    ):
        schedule_run(schedule, persists_records)()


def test_each_mistake_has_a_test() -> None:
    assert [mistake for mistake, _ in FOUND] and {mistake for mistake, _ in FOUND} == set(mistakes.ALL)
