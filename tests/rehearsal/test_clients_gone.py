"""Clients that leave before connections to servers are up, where nothing that is sent may be cancelled."""

from __future__ import annotations

from typing import Any

import pytest

from ironrail.rehearsal import settings
from ironrail.rehearsal.account.record import CLIENT_LEFT
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import parse_scenario
from ironrail.rehearsal.virtual.play import play_virtual

GRANTED = 0.1  # seconds after a client's close in which an attempt may still begin
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
def test_nothing_begins_for_clients_that_have_left(copies: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    usual = settings.settings_of

    def changed(scenario: Scenario, number: int) -> dict[str, Any]:
        told = usual(scenario, number)
        told["limits"] |= {"mayCancel": False, "secondCopies": copies, "dialTimeout": 1.0}
        return told

    monkeypatch.setattr(settings, "settings_of", changed)
    played = play_virtual(parse_scenario(DAY, "x.toml"), 2)
    left = [
        t for t in played.result.record.tries.values() if t.excuse == CLIENT_LEFT and t.ended_at is not None
    ]
    late = [a for t in left for a in t.attempts if a.last_at > (t.ended_at or 0.0) + GRANTED]
    assert len(left) > 100 and not late
    assert not played.faults  # some seconds later every place is given back
