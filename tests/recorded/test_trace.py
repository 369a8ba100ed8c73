"""Trace files: whole or not there, and never taken for what they are not."""

from __future__ import annotations

import os
from pathlib import Path

import pyarrow as pa
import pyarrow.parquet as pq
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.recorded import trace as form
from ironrail.recorded.entry import Entry
from ironrail.recorded.trace import Trace, TraceError, TraceWriter, write_trace
from tests.recorded.samples import START, entry

text = st.text(st.characters(codec="utf-8"), max_size=12)
entries = st.lists(
    st.builds(
        Entry,
        at=st.integers(0, 2**41).map(lambda us: us / 1e6),
        kind=text,
        title=text,
        key=text,
        size=st.integers(0, 2**31 - 1),
        method=text,
        status=st.integers(0, 999),
        took=st.integers(0, 10**9).map(lambda us: us / 1e6),
        client=text,
        idempotency=text,
        write=st.booleans(),
        work=st.floats(0, 100),
    ),
    max_size=20,
).map(lambda rows: sorted(rows, key=lambda row: row.at))


@given(entries)
def test_what_is_written_is_read(tmp_path_factory: pytest.TempPathFactory, rows: list[Entry]) -> None:
    path = tmp_path_factory.mktemp("trace") / "t.trace"
    assert write_trace(path, rows) == len(rows)
    with Trace(path) as read:
        assert list(read.entries()) == rows and len(read) == len(rows)


def test_a_stretch_is_read_without_the_rest(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(form, "GROUP", 10)
    write_trace(tmp_path / "t.trace", [entry(n) for n in range(100)])
    with Trace(tmp_path / "t.trace") as read:
        groups: list[int] = []
        read_group = read._file.read_row_group

        def counted(number: int) -> pa.Table:
            groups.append(number)
            return read_group(number)

        monkeypatch.setattr(read._file, "read_row_group", counted)
        assert read.span() == (START, START + 99)
        assert [e.at - START for e in read.entries(START + 55, START + 63)] == list(range(55, 63))
        assert groups == [5, 6]


def test_other_programs_read_it_too(tmp_path: Path) -> None:
    write_trace(tmp_path / "t.trace", [entry(n) for n in range(5)])
    assert pq.read_table(tmp_path / "t.trace")["kind"].to_pylist() == ["grid-read"] * 5


def test_every_cut_is_noticed(tmp_path: Path) -> None:
    path = tmp_path / "t.trace"
    write_trace(path, [entry(n, key=f"k{n}") for n in range(50)])
    whole = path.read_bytes()
    # shorter each time, not written anew: some disks take 70 ms over a file that is emptied and written
    for length in reversed(range(0, len(whole), 37)):
        os.truncate(path, length)
        with pytest.raises(TraceError, match="no whole trace"):
            Trace(path)


def test_every_spoilt_byte_is_noticed(tmp_path: Path) -> None:
    """Before the library sees it: in the head of a page one ended the process in its C++."""
    path = tmp_path / "t.trace"
    write_trace(path, [entry(n, key=f"k{n % 9}") for n in range(30)])
    whole = path.read_bytes()
    with path.open("r+b", buffering=0) as file:  # in place, for the same reason
        for at in range(len(whole)):
            os.pwrite(file.fileno(), bytes([whole[at] ^ 0x41]), at)
            with pytest.raises(TraceError, match="no whole trace"):
                Trace(path)
            os.pwrite(file.fileno(), whole[at : at + 1], at)
    with Trace(path) as trace:
        assert len(list(trace.entries())) == 30


def test_half_a_trace_is_left_by_nobody(tmp_path: Path) -> None:
    with pytest.raises(ValueError, match="in order of time"), TraceWriter(tmp_path / "t.trace") as writer:
        writer.add(entry(2))
        writer.add(entry(1))
    assert not list(tmp_path.iterdir())


def test_other_parquet_is_no_trace(tmp_path: Path) -> None:
    pq.write_table(pa.table({"at": [1]}), tmp_path / "x.parquet")
    with pytest.raises(TraceError, match="but no trace"):
        Trace(tmp_path / "x.parquet")


@pytest.mark.parametrize(
    ("schema", "why"),
    [
        (form.SCHEMA.with_metadata({form.MARK: b"9"}), "of version 9; this program reads 1"),
        (form.SCHEMA.set(0, pa.field("at", pa.string())), "other columns than version 1"),
    ],
)
def test_a_trace_of_another_kind_says_so(
    tmp_path: Path, schema: pa.Schema, why: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    with pq.ParquetWriter(tmp_path / "x.trace", schema):
        pass
    form._seal(tmp_path / "x.trace")
    with pytest.raises(TraceError, match=why):
        Trace(tmp_path / "x.trace")


def test_a_file_that_is_not_there_is_named(tmp_path: Path) -> None:
    with pytest.raises(TraceError, match=r"nowhere\.trace"):
        Trace(tmp_path / "nowhere.trace")
