"""Clock drift and disk faults that are set from outside at run time."""

from __future__ import annotations

import errno
import random
from pathlib import Path

import pytest

from ironrail.net.system import REAL
from ironrail.rehearsal.links.disk import FaultyStore
from ironrail.rehearsal.links.switch import DriftingClock, DriftingSystem, Slot, Switch


class Files:
    """A minimal store; a half-written file is never read."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def write(self, name: str, data: bytes) -> None:
        half = self._folder / f"{name}.half"
        with half.open("wb", buffering=0) as file:
            view = memoryview(data)
            while view:
                view = view[file.write(view) :]
        half.replace(self._folder / name)

    def read(self, name: str) -> bytes:
        return (self._folder / name).read_bytes()


def faulty(folder: Path) -> tuple[FaultyStore, Switch, list[float]]:
    """Returns the store as the router process has it, the switch as the rehearsal has it, and the pauses."""
    path, pauses = folder / "r.switch", list[float]()
    store = FaultyStore(Files(folder), Switch.at(path), random.Random(1), pauses.append)
    return store, Switch.at(path), pauses


@pytest.mark.parametrize(
    ("slot", "number"),
    [(Slot.DISK_FULL, errno.ENOSPC), (Slot.DISK_READ_ONLY, errno.EROFS), (Slot.DISK_FAILING, errno.EIO)],
)
def test_a_disk_that_refuses_keeps_what_was_there(slot: Slot, number: int, tmp_path: Path) -> None:
    store, switch, _ = faulty(tmp_path)
    store.write("policy", b"old")
    switch[slot] = 1.0
    with pytest.raises(OSError) as caught:
        store.write("policy", b"n" * 1000)
    assert caught.value.errno == number
    assert (tmp_path / "policy").read_bytes() == b"old"
    if slot is Slot.DISK_FULL:  # as on a full disk, a part was written
        assert (tmp_path / "policy.half").stat().st_size == 500
    if slot is not Slot.DISK_FAILING:
        assert store.read("policy") == b"old"
    switch[slot] = 0.0
    store.write("policy", b"n" * 1000)
    assert store.read("policy") == b"n" * 1000


def test_a_slow_disk_holds_up_and_a_share_fails(tmp_path: Path) -> None:
    store, switch, pauses = faulty(tmp_path)
    store.write("a", b"1")
    switch[Slot.DISK_SLOW] = 0.3
    assert store.read("a") == b"1" and pauses == [0.3]
    switch[Slot.DISK_FAILING] = 0.25
    failed = 0
    for _ in range(400):
        try:
            store.read("a")
        except OSError:
            failed += 1
    assert 70 < failed < 130


def test_a_clock_drifts_only_while_it_is_told_to_and_never_goes_back() -> None:
    true, switch = [100.0], Switch()
    clock = DriftingClock(lambda: true[0], switch)
    shown = []
    for more, seconds in ((0.0, 10.0), (0.05, 10.0), (0.0, 10.0)):
        switch[Slot.CLOCK] = more
        shown.append(clock())  # the clock reads the new drift
        true[0] += seconds
        shown.append(clock())
    assert shown == pytest.approx([100.0, 110.0, 110.0, 120.5, 120.5, 130.5])


def test_the_switch_is_seen_by_who_opened_it_before_and_after(tmp_path: Path) -> None:
    path = tmp_path / "r.switch"
    before, rig = Switch.at(path), Switch.at(path)
    rig[Slot.CLOCK], rig[Slot.DISK_SLOW] = 0.01, 2.0
    for switch in (before, Switch.at(path)):
        assert [switch[slot] for slot in Slot] == [0.01, 0.0, 0.0, 0.0, 2.0]


def test_a_drifting_system_is_the_machine_else() -> None:
    system = DriftingSystem(REAL, Switch())
    assert abs(system.now() - REAL.now()) < 1.0 and abs(system.wall() - REAL.wall()) < 1.0
    listener = system.listen(("127.0.0.1", 0), 1)
    assert system.is_served(listener.getsockname())
    listener.close()
