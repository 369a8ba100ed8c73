"""The same verdict every run: hypothesis draws the same examples each time, and known failures are told of.

`KNOWN-RED.txt` at the root lists tests that fail for a fault that is not mended yet, one line each: test,
cause, issue, separated by `|`. They are run and must fail: one that passes is to be taken off the list.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST_KNOWN_RED = 3


@dataclass(frozen=True)
class KnownRed:
    """A test that is known to fail."""

    test: str  # its node id, or the part of it before `[`, which stands for all its cases
    cause: str
    issue: str


def read_known_red(text: str) -> list[KnownRed]:
    """The list, without blank lines and comments; ValueError where a line lacks a field."""
    rows = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    known = []
    for row in rows:
        fields = [field.strip() for field in row.split("|")]
        if len(fields) != 3 or not all(fields):
            raise ValueError(f"KNOWN-RED.txt: `test | cause | issue` wanted, not {row!r}")
        known.append(KnownRed(*fields))
    if len(known) > MOST_KNOWN_RED:
        raise ValueError(f"KNOWN-RED.txt: {len(known)} tests, {MOST_KNOWN_RED} at the most")
    return known


def known_red() -> list[KnownRed]:
    """What the file at the root lists; nothing where there is none."""
    return read_known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """A known failure has to fail: strict, so that a mended one is noticed."""
    for known in known_red():
        for item in items:
            if known.test in (item.nodeid, item.nodeid.partition("[")[0]):
                reason = f"{known.cause} ({known.issue})"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures, whatever the run's verdict."""
    for known in known_red():
        terminalreporter.write_line(f"KNOWN RED: {known.test}: {known.cause} ({known.issue})")
