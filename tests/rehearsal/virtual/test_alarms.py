"""The log events that the kit takes for a defect of the router are events that the router logs."""

from __future__ import annotations

from pathlib import Path

import pytest

from ironrail.rehearsal.virtual.runner import ALARMS

NET = Path(__file__).parents[3] / "ironrail" / "net"
SOURCES = [path.read_text() for path in NET.rglob("*.py")]


@pytest.mark.parametrize("alarm", ALARMS)
def test_each_alarm_is_an_event_that_the_daemon_logs(alarm: str) -> None:
    assert any(f"log.error({alarm}" in text or f"log.exception({alarm}" in text for text in SOURCES)
