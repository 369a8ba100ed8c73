"""Scenario files: each error is one message with the file, the line, the field and the problem."""

from __future__ import annotations

from pathlib import Path

import pytest

from ironrail.rehearsal.scenario.reader import ScenarioError, parse_scenario, read_scenario
from ironrail.rehearsal.scenario.units import read_size, read_time

HEAD = 'summary = "x"\nlength = "5 s"\n'
BROKEN = [
    ("", 1, "summary: Field required"),
    ('summary = "x"\n', 1, "length: Field required"),
    ('summary = "x"\nlength = 5\n', 2, "length: a time needs its unit, like '250 ms'"),
    ('summary = "x"\nlength = "5 h"\n', 2, "length: must be a time like '250 ms'"),
    ('summary = "x"\nlength = "0 s"\n', 2, "length: Input should be greater than 0"),
    ('summary = "x"\nlength = "9999 s"\n', 2, "length: Input should be less than or equal"),
    (HEAD + "colour = 3\n", 3, "colour: Extra inputs are not permitted"),
    (HEAD + "[load]\nrate = -1\n", 4, "load.rate: Input should be greater than 0"),
    (HEAD + "[load]\nrate = nan\n", 4, "load.rate: Input should be a finite number"),
    (HEAD + "[load]\n\n# note\nshape = 'round'\n", 6, "load.shape: String should match"),
    (HEAD + "[caches]\nmemory = '3 GB'\n", 4, "caches.memory: must be a size like '96 MB'"),
    (HEAD + "[caches]\ncount = 0\n", 4, "caches.count: Input should be greater than or equal to 1"),
    (HEAD + "[[fault]]\nkind = 'sleepy'\nat = '1 s'\n", 4, "fault.1.kind: Input should be"),
    (HEAD + "[[fault]]\nkind = 'stall'\nat = '1 s'\n[[fault]]\nkind = 'stall'\n", 6, "fault.2.at: Field"),
    (HEAD + "[[fault]]\nkind = 'stall'\nat = '6 s'\n", 1, "fault 1 (stall) begins after the end"),
    (HEAD + "[[class]]\nname = 'a'\nshare = 1\n[[class]]\nname = 'a'\nshare = 1\n", 1, "two classes"),
    (HEAD + "[halls]\nnames = ['a', 'a']\n", 1, "halls.names must hold different names"),
    (HEAD + "[bounds]\nservice = 1.2\n", 4, "bounds.service: Input should be less than"),
    (HEAD + "length = '6 s'\n", 3, "Cannot overwrite a value"),
    (HEAD + "[load\nrate = 3\n", 3, "Expected"),
    (HEAD + 'about = "not ended', 3, ""),
]  # fmt: skip


@pytest.mark.parametrize(("text", "line", "message"), BROKEN)
def test_a_broken_file_has_one_clear_message(text: str, line: int, message: str) -> None:
    with pytest.raises(ScenarioError) as e:
        parse_scenario(text, "mine.toml")
    assert str(e.value).startswith(f"mine.toml:{line}: ")
    assert message in str(e.value)
    assert "\n" not in str(e.value)


@pytest.mark.parametrize(
    ("data", "message"),
    [(b"\xff", ":1: not UTF-8"), (b"a = 1\n\xc3(", ":2: not UTF-8"), (b"#" * 2_000_000, "larger than"),
     (b"", ":1: summary"), (b"\0", ":1: ")],
)  # fmt: skip
def test_files_that_are_not_utf8_or_too_large(data: bytes, message: str, tmp_path: Path) -> None:
    path = tmp_path / "x.toml"
    path.write_bytes(data)
    with pytest.raises(ScenarioError) as e:
        read_scenario(str(path))
    assert message in str(e.value)


def test_missing_files() -> None:
    with pytest.raises(ScenarioError, match="no scenario of that name .*calm"):
        read_scenario("clam")
    with pytest.raises(ScenarioError, match="No such file"):
        read_scenario("nowhere/x.toml")


def test_units() -> None:
    assert [read_time(t) for t in ("250 ms", "1.5s", "2 min")] == [0.25, 1.5, 120.0]
    assert [read_size(s) for s in ("5 B", "2 KB", "1.5 MB")] == [5, 2048, 1572864]
    bad: object
    for bad in ("", "5", "ms", "-5 ms", "5  ms", "1e3 ms", True, None, [], "5 MS"):
        with pytest.raises(ValueError, match="time"):
            read_time(bad)
