"""Routers that are replaced while they serve, in virtual time."""

from __future__ import annotations

import pytest

from ironrail.net.lifecycle.handover import Handover
from ironrail.rehearsal.scenario.reader import read_scenario
from ironrail.rehearsal.virtual.runner import play_virtual


def test_every_router_is_replaced_and_nobody_notices() -> None:
    played = play_virtual(read_scenario("replace"), 3)
    assert played.result.kept, [v for v in played.result.verdicts if not v.kept]
    again = play_virtual(read_scenario("replace"), 3)
    assert again.result.logs == played.result.logs  # to the byte, times too
    ended = [facts.stop_code for facts in played.result.record.routers.values()]
    assert ended == [0, 0, 0]
    for log in played.result.logs.values():  # of the process that serves at the end
        assert '"waiting_for_endpoint_list"' in log


def test_a_process_that_never_takes_over_fails_the_kit(monkeypatch: pytest.MonkeyPatch) -> None:
    async def never(self: Handover) -> None:
        """It waits for a list that it does not take."""

    monkeypatch.setattr(Handover, "_take_over", never)
    played = play_virtual(read_scenario("replace"), 3)
    assert [v.name for v in played.result.verdicts if not v.kept] == ["routers crashed"]
