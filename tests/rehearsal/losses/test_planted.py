"""A cause that was planted is named for nine in ten of what it cost, and looking changes nothing."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from ironrail.policy.actions import Action
from ironrail.policy.concurrency_limit import ConcurrencyLimiter
from ironrail.policy.events import AttemptEnded
from ironrail.policy.router import Router
from ironrail.policy.settings import RetryBudgetSettings, Settings
from ironrail.policy.state import Attempt
from ironrail.rehearsal.losses.lay import Causes, Laid
from ironrail.rehearsal.losses.tap import Why
from ironrail.rehearsal.scenario.reader import parse_scenario
from ironrail.rehearsal.virtual import environment
from ironrail.rehearsal.virtual.runner import run_virtual

SMALL = """
summary = "small"
length = "6 s"
warm_up = "2 s"
[load]
rate = 80
keys = 40
[routers]
count = 1
[[class]]
name = "grid-read"
share = 1
work = "50 ms"
spread = 0.2
"""
CALM = SMALL + "[caches]\ncount = 3\ncores = 4\n"

# what is out at a server that says nothing also fills the limit of its router
SWALLOWED: set[str] = {Causes.SILENT, Causes.DIAL, Why.REST, Why.LIMIT}


def laid(text: str, seed: int = 1) -> Laid:
    found = run_virtual(parse_scenario(text, "planted.toml"), seed).result.laid
    assert found is not None
    return found


def fault(kind: str, **fields: str) -> str:
    rows = {"kind": kind, "at": "1 s", "lasts": "4 s", **fields}
    hard = rows.pop("hard", "")
    text = "".join(f'{name} = "{value}"\n' for name, value in rows.items())
    return f"[[fault]]\n{text}" + (f"hard = {hard}\n" if hard else "")


def held_at_one(patch: pytest.MonkeyPatch) -> None:
    learn = ConcurrencyLimiter.on_attempt_ended

    def stuck(
        self: ConcurrencyLimiter, now: float, attempt: Attempt, event: AttemptEnded, out: list[Action]
    ) -> None:
        learn(self, now, attempt, event, out)
        attempt.server.concurrency_limit = 1.0

    patch.setattr(ConcurrencyLimiter, "on_attempt_ended", stuck)


def without_budget(patch: pytest.MonkeyPatch) -> None:
    make = Router.__init__

    def poor(self: Router, settings: Settings, seed: int, now: float) -> None:
        make(self, settings, seed, now)
        self.retry_budget.settings = RetryBudgetSettings(0.0, 0.0, settings.slow_start_duration)

    patch.setattr(Router, "__init__", poor)


def nothing(patch: pytest.MonkeyPatch) -> None:
    """The world alone is to blame."""


@pytest.mark.parametrize(
    ("text", "plant", "causes"),
    [
        (CALM.replace("rate = 80", "rate = 150"), held_at_one, {Why.LIMIT}),
        (
            CALM + "[clients]\nretries = 0\n" + fault("reset", whom="all", hard="0.6"),
            without_budget,
            {Why.BUDGET},
        ),
        (CALM + fault("vanish", whom="all", lasts="6 s"), nothing, SWALLOWED),
        (CALM + fault("router-kill", whom="router-1"), nothing, {Causes.ROUTER_DOWN, Causes.PLACE}),
        (
            SMALL.replace("keys = 40", "keys = 100000\npopularity = 0.0") + "[caches]\ncount = 3\n"
            + fault("archive-slow", hard="20"),
            nothing,
            {Causes.ARCHIVE, Causes.ARCHIVE_WAIT, Why.ARCHIVE},
        ),
        (SMALL + "[caches]\ncount = 1\ncores = 8\nspeed = 0.03\nuneven = 0.0\n", nothing, {Causes.HEAVY}),
    ],
    ids=["limit-1", "no-budget", "swallows", "killed", "archive", "slow-host"],
)  # fmt: skip
def test_what_was_planted_is_named(
    text: str, plant: Callable[[pytest.MonkeyPatch], None], causes: set[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    found = laid(text)
    named = sum(found.requests.get(str(cause), 0) for cause in causes)
    assert sum(found.requests.values()) >= 20
    assert named >= 0.9 * sum(found.requests.values()), found.largest_first()


def test_without_the_plant_little_is_lost() -> None:
    assert sum(laid(CALM).requests.values()) <= 3


def test_looking_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    text = CALM + "[clients]\nretries = 0\n" + fault("reset", whom="all", hard="0.6")
    scenario = parse_scenario(text, "planted.toml")
    seen = run_virtual(scenario, 3).result
    monkeypatch.setattr(environment, "Tap", lambda router, decided: router)
    blind = run_virtual(scenario, 3).result
    assert blind.digest == seen.digest
    assert blind.laid is not None and seen.laid is not None
    assert blind.laid.causes != seen.laid.causes  # nobody looked
