"""The promises over all that can happen within bounds, over walks, and with mistakes planted."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import pytest

from ironrail.peers.consensus import message_handler
from tests.peers.consensus import mistakes, runs
from tests.peers.consensus.explorer import Bounds, Explorer
from tests.peers.consensus.still import EVERY_TICK
from tests.peers.consensus.votes import Votes
from tests.peers.consensus.walk import walk
from tests.peers.consensus.watching import Broken


@pytest.fixture
def ticks(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Whatever a room does from time to time, it does at each tick."""
    for (module, name), value in EVERY_TICK.items():
        monkeypatch.setattr(module, name, value)
    yield


# bounds, and states that were there when this was written: far fewer would mean that nothing is looked at
VOTES: list[tuple[dict[str, Any], int]] = [
    ({"again": 1, "crashes": 0}, 3_171),
    ({"again": 0, "crashes": 1, "victims": (2,)}, 17_373),
    ({"again": 0, "crashes": 1, "victims": (0,), "askers": (0,)}, 19_687),
]
ROOMS: list[tuple[dict[str, Any], int]] = [
    ({"faults": 1}, 22_070),
    ({"faults": 0, "slips": 1}, 24_640),
    ({"faults": 1, "disk": True, "kinds": "crash forget"}, 5_000),
]


@pytest.mark.parametrize(("bounds", "states"), VOTES)
def test_register_decides_once(bounds: dict[str, Any], states: int) -> None:
    assert Votes(**bounds).run() > 0.8 * states


@pytest.mark.usefixtures("ticks")
@pytest.mark.parametrize(("bounds", "states"), ROOMS)
def test_never_old_beside_new(bounds: dict[str, Any], states: int) -> None:
    explorer = Explorer(Bounds(**bounds))
    assert explorer.run() > 0.8 * states
    assert explorer.ended["in force"] and explorer.ended["BusyError"]


@pytest.mark.parametrize("seed", range(12))
def test_walks(seed: int) -> None:
    walk(seed)


@pytest.mark.parametrize("seed", range(3))
def test_walks_of_five_voters(seed: int) -> None:
    walk(seed, voters=(0, 1, 2, 3, 4))


def followed(plan: str, disk: bool = False) -> Callable[[], object]:
    return lambda: Votes(0, 1, askers=(3, 4), disk=disk).follow(plan)


def explored(**bounds: Any) -> Callable[[], object]:
    return lambda: Explorer(Bounds(**bounds)).run()


def left_soon() -> object:
    """The voters come before the proposer, which was cut off, is back."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(message_handler, "LEFT_BEHIND", 0.15)
        return Explorer(Bounds(kinds="cut", deadline=2.0)).run()


FOUND: list[tuple[Callable[[pytest.MonkeyPatch], None], Callable[[], object]]] = [
    (mistakes.votes_after_amnesia, followed(runs.AMNESIA)),
    (mistakes.told_before_kept, followed(runs.UNKEPT, disk=True)),
    (mistakes.believes_replaced, followed(runs.REPLACED)),
    (mistakes.ballot_again, followed(runs.BALLOT)),
    (mistakes.lower_ballot, lambda: Votes(1, 0).run()),
    (mistakes.lease_kept_over_pause, explored(kinds="cut stop")),
    (mistakes.no_acknowledgements, explored(kinds="cut stop")),
    (mistakes.others_go_forward, left_soon),
    (mistakes.no_meet, lambda: walk(0)),
    (mistakes.skips_joint, lambda: walk(0)),
    (mistakes.moves_without_grant, lambda: walk(0)),
    (mistakes.lease_from_answer, lambda: walk(0)),
    (mistakes.wait_without_drift, lambda: walk(24)),
    (mistakes.forgets_leases, lambda: walk(4)),
    (mistakes.old_life_replaced, lambda: walk(0)),
    (mistakes.old_grants_kept, lambda: walk(56)),
    (mistakes.head_forgets_members, lambda: walk(5)),
    (mistakes.head_lends_whole_lease, lambda: walk(7)),
]


@pytest.mark.usefixtures("ticks")
@pytest.mark.parametrize(("mistake", "run"), FOUND[:8], ids=lambda x: getattr(x, "__name__", ""))
def test_mistake_is_found(mistake: Any, run: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    mistake(monkeypatch)
    with pytest.raises(Broken):
        run()


@pytest.mark.parametrize(("mistake", "run"), FOUND[8:], ids=lambda x: getattr(x, "__name__", ""))
def test_mistake_is_found_on_a_walk(mistake: Any, run: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    mistake(monkeypatch)
    with pytest.raises(Broken):
        run()


def test_runs_do_no_harm_without_the_mistake() -> None:
    for plan, disk in (
        (runs.AMNESIA, False),
        (runs.UNKEPT, True),
        (runs.REPLACED, False),
        (runs.BALLOT, False),
    ):
        followed(plan, disk)()


def test_no_mistake_is_left_out() -> None:
    assert [mistake for mistake, _ in FOUND] and {mistake for mistake, _ in FOUND} == set(mistakes.ALL)
