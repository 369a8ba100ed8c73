"""Each log event that the kit treats as a router defect is one that the router logs."""

from __future__ import annotations

from pathlib import Path

import pytest

from ironrail.rehearsal.virtual.runner import ALARM_EVENTS

NET = Path(__file__).parents[3] / "ironrail" / "net"
SOURCES = [path.read_text() for path in NET.rglob("*.py")]


@pytest.mark.parametrize("alarm", ALARM_EVENTS)
def test_each_alarm_is_an_event_that_the_daemon_logs(alarm: str) -> None:
    assert any(f"log.error({alarm}" in text or f"log.exception({alarm}" in text for text in SOURCES)
