"""Clients that disconnect while connections to servers are being opened and attempts can't be cancelled."""

from __future__ import annotations

from typing import Any

import pytest

from ironrail.rehearsal import settings
from ironrail.rehearsal.account.record import CLIENT_LEFT
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import parse_scenario
from ironrail.rehearsal.virtual.runner import run_virtual

ATTEMPT_GRACE_SECONDS = 0.1  # after a client's close, in which an attempt may still begin
DAY = """
summary = "clients leave while connections to caches come up late"
length = "3 s"
warm_up = "500 ms"
[load]
rate = 300
keys = 50
[routers]
count = 2
[clients]
retries = 1
new_connections = 0.0
leave = 0.7
[[fault]]
kind = "late-connect"
whom = "4 caches"
at = "0 s"
lasts = "3 s"
hard = 1.0
[[fault]]
kind = "hang"
whom = "2 caches"
at = "1 s"
lasts = "7 s"
"""


@pytest.mark.parametrize("copies", [True, False])
def test_no_attempt_begins_for_clients_that_have_disconnected(
    copies: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    original = settings.settings_of

    def changed(scenario: Scenario, number: int) -> dict[str, Any]:
        changed_settings = original(scenario, number)
        changed_settings["limits"] |= {"mayCancel": False, "secondCopies": copies, "dialTimeout": 1.0}
        return changed_settings

    monkeypatch.setattr(settings, "settings_of", changed)
    played = run_virtual(parse_scenario(DAY, "x.toml"), 2)
    left = [
        t for t in played.result.record.tries.values() if t.excuse == CLIENT_LEFT and t.ended_at is not None
    ]
    late = [a for t in left for a in t.attempts if a.last_at > (t.ended_at or 0.0) + ATTEMPT_GRACE_SECONDS]
    assert len(left) > 100 and not late
    assert not played.violations  # no capacity is still in use some seconds later
