"""Routers are replaced by a new process while they serve, in virtual time."""

from __future__ import annotations

import pytest

from ironrail.net.lifecycle.handover import Handover
from ironrail.rehearsal.scenario.reader import read_scenario
from ironrail.rehearsal.virtual.runner import run_virtual


def test_every_router_is_replaced_and_nobody_notices() -> None:
    played = run_virtual(read_scenario("replace"), 3)
    assert played.result.kept, [v for v in played.result.verdicts if not v.kept]
    again = run_virtual(read_scenario("replace"), 3)
    assert again.result.logs == played.result.logs  # byte for byte, including timestamps
    ended = [facts.stop_code for facts in played.result.record.routers.values()]
    assert ended == [0, 0, 0]
    for log in played.result.logs.values():  # the log of the process that serves at the end
        assert '"waiting_for_endpoint_list"' in log


def test_a_process_that_never_takes_over_fails_the_kit(monkeypatch: pytest.MonkeyPatch) -> None:
    async def never(self: Handover) -> None:
        """Never take over."""

    monkeypatch.setattr(Handover, "_take_over", never)
    played = run_virtual(read_scenario("replace"), 3)
    assert [v.name for v in played.result.verdicts if not v.kept] == ["routers crashed"]
