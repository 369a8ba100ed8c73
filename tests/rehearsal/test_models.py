"""The models of a cache server: cores, warm-up and store."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.rehearsal.standins.cores import Cores
from ironrail.rehearsal.standins.store import ITEM_OVERHEAD_BYTES, Store
from ironrail.rehearsal.standins.warm_up import BURST_TOLERANCE_FACTOR, WarmUp


def test_jobs_up_to_the_cores_go_on_at_full_pace() -> None:
    cores = Cores[str](2, 2.0, now=10.0)
    cores.add("long", 4.0)
    cores.add("short", 1.0)
    assert cores.next_end() == 10.5
    assert cores.advance(10.5) == ["short"]
    assert cores.advance(11.9) == []
    assert cores.advance(12.0) == ["long"]


def test_more_jobs_than_cores_share_them() -> None:
    cores = Cores[int](1, 1.0, now=0.0)
    for n in range(4):
        cores.add(n, 1.0)
    assert cores.next_end() == 4.0
    assert cores.advance(3.999) == []
    assert cores.advance(4.001) == [0, 1, 2, 3]


def test_a_later_job_slows_down_running_jobs() -> None:
    cores = Cores[str](1, 1.0, now=0.0)
    cores.add("a", 1.0)
    cores.advance(0.5)
    cores.add("b", 0.25)  # both at half speed: b ends at 1.0; a then has 0.25 left on a whole core
    assert cores.advance(1.0) == ["b"]
    assert cores.next_end() == pytest.approx(1.25)


def test_frozen_cores_make_no_progress_and_lose_no_work() -> None:
    cores = Cores[str](1, 1.0, now=0.0)
    cores.add("a", 1.0)
    cores.advance(0.5)
    cores.freeze(True)
    assert cores.next_end() is None and cores.capacity == 0.0
    assert cores.advance(100.0) == []
    cores.freeze(False)
    assert cores.next_end() == pytest.approx(100.5)


JOBS = st.lists(st.tuples(st.floats(0, 5), st.floats(0, 3)), max_size=30)


@given(JOBS, st.integers(1, 6), st.floats(0.1, 4))
def test_every_job_ends_once_and_work_is_conserved(
    jobs: list[tuple[float, float]], count: int, speed: float
) -> None:
    cores = Cores[int](count, speed, now=0.0)
    ended: list[int] = []
    now, work = 0.0, 0.0
    for n, (pause, size) in enumerate(jobs):
        now += pause
        ended += cores.advance(now)
        cores.add(n, size)
        work += size
    while (end := cores.next_end()) is not None:
        now = max(now, end) + 1e-9
        ended += cores.advance(now)
    assert sorted(ended) == list(range(len(jobs)))
    assert len(cores) == 0
    assert now * count * speed >= work - 1e-6  # never faster than all cores


def test_a_cold_server_warms_up_evenly() -> None:
    warm_up = WarmUp(capacity=10.0, cold=0.4, ramp=6.0, multiple=2.0, window=1.0)
    assert warm_up.capacity_fraction(5.0) == 1.0  # started long ago
    warm_up.start(5.0)
    assert [round(warm_up.capacity_fraction(at), 3) for at in (5.0, 8.0, 11.0, 12.0)] == [0.4, 0.7, 1.0, 1.0]


def test_more_than_the_multiple_within_the_window_stops_a_cold_server() -> None:
    warm_up = WarmUp(capacity=10.0, cold=0.5, ramp=1000.0, multiple=2.0, window=1.0)
    warm_up.start(0.0)
    allowed = 2.0 * 10.0 * 0.5
    sent = 0.0
    for n in range(100):
        fall = warm_up.record_work(n * 0.005, 0.2)
        sent += 0.2
        if fall is not None:
            break
    assert fall is not None and fall.sent > BURST_TOLERANCE_FACTOR * allowed
    assert sent == pytest.approx(BURST_TOLERANCE_FACTOR * allowed + 0.4, abs=0.21)


def test_the_same_load_over_a_longer_time_does_not_stop_it() -> None:
    warm_up = WarmUp(capacity=10.0, cold=0.5, ramp=1000.0, multiple=2.0, window=1.0)
    warm_up.start(0.0)
    assert all(warm_up.record_work(n * 0.021, 0.2) is None for n in range(1000))


def test_a_warm_server_tolerates_any_load() -> None:
    warm_up = WarmUp(capacity=1.0, cold=0.5, ramp=5.0, multiple=2.0, window=1.0)
    warm_up.start(0.0)
    assert all(warm_up.record_work(6.0, 100.0) is None for _ in range(10))


def test_a_single_heavy_request_does_not_stop_a_cold_server() -> None:
    warm_up = WarmUp(capacity=1.0, cold=0.1, ramp=5.0, multiple=2.0, window=1.0)
    warm_up.start(0.0)
    assert warm_up.record_work(0.1, 50.0) is None


OPS = st.lists(st.tuples(st.sampled_from(["put", "get", "drop"]), st.integers(0, 9), st.integers(0, 200)))


@given(OPS, st.integers(0, 600))
def test_a_store_never_outgrows_its_memory(ops: list[tuple[str, int, int]], memory: int) -> None:
    store = Store(memory)
    for op, n, size in ops:
        key = str(n)
        if op == "put":
            store.put(key, size)
            assert (store.get(key) == size) is (size + ITEM_OVERHEAD_BYTES <= memory)
        elif op == "drop":
            store.drop(key)
            assert store.get(key) is None
        else:
            store.get(key)
        assert 0 <= store.used <= memory
        assert (store.used == 0) is (len(store) == 0)


def test_the_least_recently_used_goes_first() -> None:
    store = Store(3 * (10 + ITEM_OVERHEAD_BYTES))
    for key in "abc":
        store.put(key, 10)
    store.get("a")
    store.put("d", 10)
    assert [store.get(key) for key in "abcd"] == [10, None, 10, 10]
