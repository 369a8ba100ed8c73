"""The list of known failures is short, and each line says test, cause and issue."""

from __future__ import annotations

import pytest

from tests.conftest import KnownRed, known_red, read_known_red


def test_a_line_is_test_cause_and_issue() -> None:
    text = "# comment\n\ntests/a.py::test_b | a timer is late | issue 7\n"
    assert read_known_red(text) == [KnownRed("tests/a.py::test_b", "a timer is late", "issue 7")]


@pytest.mark.parametrize("text", ["tests/a.py::test_b", "a | b", "a || c", "a | b | c\n" * 4])
def test_what_is_incomplete_or_too_long_is_refused(text: str) -> None:
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt"):
        read_known_red(text)


def test_the_list_itself_can_be_read() -> None:
    assert len(known_red()) <= 3
