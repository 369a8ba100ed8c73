"""Records on disk are written as a whole or not at all, and a corrupt one is detected."""

from __future__ import annotations

import asyncio
import os
import resource
import threading
from pathlib import Path

import pytest

from ironrail.net.peers.record_store import FolderStore, RecordError, RecordWriter
from tests.peers import scenario

OLD, NEW = b"an old record", b"a newer record, and longer"


def test_the_record_last_written_is_read(tmp_path: Path) -> None:
    store = FolderStore(tmp_path)
    assert store.read("accord") is None
    for record in (OLD, NEW, b""):
        store.write("accord", record)
        assert store.read("accord") == record
    assert os.listdir(tmp_path) == ["accord"]


def test_a_record_truncated_or_changed_at_any_byte_is_detected(tmp_path: Path) -> None:
    store, path = FolderStore(tmp_path), tmp_path / "accord"
    store.write("accord", NEW)
    whole = path.read_bytes()
    for at in range(len(whole)):
        for corrupt in (whole[:at], whole[:at] + bytes([whole[at] ^ 1]) + whole[at + 1 :]):
            path.write_bytes(corrupt)
            with pytest.raises(RecordError) as e:
                store.read("accord")
            assert e.value.location == str(path) and "move the file away" in e.value.with_advice()


def test_a_crash_before_the_rename_leaves_the_old_record(tmp_path: Path) -> None:
    store = FolderStore(tmp_path)
    store.write("accord", OLD)
    (tmp_path / "accord.half").write_bytes(b"half of a n")
    assert store.read("accord") == OLD


def test_a_full_disk_leaves_the_old_record_and_no_temporary_file(tmp_path: Path) -> None:
    store = FolderStore(tmp_path)
    store.write("accord", OLD)
    before = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (20, before[1]))
    try:
        with pytest.raises(OSError):
            store.write("accord", NEW * 10)
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, before)
    assert store.read("accord") == OLD and os.listdir(tmp_path) == ["accord"]


@scenario
async def test_the_last_waiting_record_is_written_and_errors_are_reported_without_blocking_the_loop() -> None:
    permitted_writes = threading.Semaphore(0)

    class SlowStore:
        written: list[bytes] = []

        def write(self, name: str, data: bytes) -> None:
            permitted_writes.acquire()
            if data == b"2":
                raise OSError("no room")
            self.written.append(data)

        def read(self, name: str) -> bytes | None:
            return None

    results: asyncio.Queue[tuple[int, OSError | None]] = asyncio.Queue()
    writer = RecordWriter(
        store := SlowStore(), "accord", lambda token, error: results.put_nowait((token, error))
    )
    for token in (1, 8, 9, 2):  # while the disk hangs only the last one waits
        writer.enqueue(token, b"%d" % token)
    permitted_writes.release(2)
    reported = [await results.get() for _ in range(2)]
    writer.enqueue(3, b"3")
    permitted_writes.release()
    reported.append(await results.get())
    assert [token for token, _ in reported] == [1, 2, 3]
    assert [error is None for _, error in reported] == [True, False, True] and store.written == [b"1", b"3"]
    writer.stop()
