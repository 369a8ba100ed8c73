"""Records on a disk: whole or not at all, whatever is torn, full or gone."""

from __future__ import annotations

import asyncio
import os
import resource
import threading
from pathlib import Path

import pytest

from ironrail.net.peers.record_store import FolderStore, RecordWriter, RecordError
from tests.peers import scenario

OLD, NEW = b"an old record", b"a newer record, and longer"


def test_what_was_kept_is_read_and_nothing_else(tmp_path: Path) -> None:
    store = FolderStore(tmp_path)
    assert store.read("accord") is None
    for record in (OLD, NEW, b""):
        store.write("accord", record)
        assert store.read("accord") == record
    assert os.listdir(tmp_path) == ["accord"]


def test_a_record_torn_at_any_byte_or_changed_in_any_is_told_as_such(tmp_path: Path) -> None:
    store, path = FolderStore(tmp_path), tmp_path / "accord"
    store.write("accord", NEW)
    whole = path.read_bytes()
    for cut in range(len(whole)):
        for torn in (whole[:cut], whole[:cut] + bytes([whole[cut] ^ 1]) + whole[cut + 1 :]):
            path.write_bytes(torn)
            with pytest.raises(RecordError) as e:
                store.read("accord")
            assert e.value.location == str(path) and "move the file away" in e.value.with_advice()


def test_a_crash_before_the_rename_leaves_the_old_one(tmp_path: Path) -> None:
    store = FolderStore(tmp_path)
    store.write("accord", OLD)
    (tmp_path / "accord.half").write_bytes(b"half of a n")
    assert store.read("accord") == OLD


def test_a_full_disk_leaves_the_old_one_and_no_half(tmp_path: Path) -> None:
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
async def test_of_records_that_wait_the_last_is_kept_and_failures_are_told_while_the_loop_goes_on() -> None:
    go = threading.Semaphore(0)

    class Slow:
        kept: list[bytes] = []

        def write(self, name: str, data: bytes) -> None:
            go.acquire()
            if data == b"2":
                raise OSError("no room")
            self.kept.append(data)

        def read(self, name: str) -> bytes | None:
            return None

    told: asyncio.Queue[tuple[int, OSError | None]] = asyncio.Queue()
    keeper = RecordWriter(store := Slow(), "accord", lambda token, failed: told.put_nowait((token, failed)))
    for token in (1, 8, 9, 2):  # a disk that hangs gathers no more than one
        keeper.enqueue(token, b"%d" % token)
    go.release(2)
    got = [await told.get() for _ in range(2)]
    keeper.enqueue(3, b"3")
    go.release()
    got.append(await told.get())
    assert [token for token, _ in got] == [1, 2, 3]
    assert [failed is None for _, failed in got] == [True, False, True] and store.kept == [b"1", b"3"]
    keeper.stop()
