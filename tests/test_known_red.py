"""The list of known failures: each line has test, command and seed, observation, and issue."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.conftest import KnownRed, KnownRedError, known_red, read_known_red

ROOT = Path(__file__).parent.parent
LINE = "tests/a.py::test_b | pytest tests/a.py, seed 7 | a timer fires late | issue 7\n"
TESTS = """
import pytest

@pytest.mark.parametrize("number", [1, 2])
def test_listed(number):
    assert number == 2

def test_not_listed():
    assert {other}
"""


def test_a_line_is_test_command_observation_and_issue() -> None:
    expected = KnownRed("tests/a.py::test_b", "pytest tests/a.py, seed 7", "a timer fires late", "issue 7")
    assert read_known_red(f"# comment\n\n{LINE}") == [expected]


@pytest.mark.parametrize(
    "text",
    [
        "tests/a.py::test_b",
        "tests/a.py::test_b | command | seen",
        "tests/a.py::test_b | command || issue 7",
        "tests/a.py::test_b | command | seen | issue 7 | more",
        "tests/a.py | command | seen | issue 7",
        "test_b | command | seen | issue 7",
        LINE * 2,
    ],
)
def test_a_line_that_is_incomplete_or_names_no_single_test_is_rejected(text: str) -> None:
    with pytest.raises(KnownRedError, match=r"KNOWN-RED\.txt"):
        read_known_red(text)


def test_the_list_itself_can_be_read_and_each_file_exists() -> None:
    assert all((ROOT / entry.test.partition("::")[0]).is_file() for entry in known_red())


def run_listed(folder: Path, other: str) -> subprocess.CompletedProcess[str]:
    """Run three tests in a project of their own; two of them are listed."""
    (folder / "tests").mkdir()
    conftest = (ROOT / "tests" / "conftest.py").read_text()
    (folder / "tests" / "conftest.py").write_text(conftest)
    (folder / "tests" / "test_a.py").write_text(TESTS.format(other=other))
    (folder / "KNOWN-RED.txt").write_text("tests/test_a.py::test_listed | command | seen | issue 7\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)


def test_listed_failures_pass_and_are_printed_with_their_results(tmp_path: Path) -> None:
    run = run_listed(tmp_path, "True")
    assert run.returncode == 0
    assert "KNOWN RED: tests/test_a.py::test_listed[1]: failed, as listed" in run.stdout
    assert "KNOWN RED: tests/test_a.py::test_listed[2]: PASSED this time" in run.stdout


def test_a_failure_that_is_not_listed_fails_the_run(tmp_path: Path) -> None:
    run = run_listed(tmp_path, "False")
    assert run.returncode == 1
    assert "FAILED tests/test_a.py::test_not_listed" in run.stdout
