"""The virtual loop: its clock, the order of simultaneous timers, and frozen, resumed and ended processes."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

import pytest

from ironrail.rehearsal.virtual.loop import LOOP_START_SECONDS, SimulationStalledError, VirtualLoop
from ironrail.rehearsal.virtual.process import Process


def play(work: Coroutine[Any, Any, Any], seed: int = 1) -> VirtualLoop:
    loop = VirtualLoop(seed)
    loop.run_until_complete(work)
    return loop


def test_an_hour_passes_at_once_and_exactly() -> None:
    async def test() -> None:
        await asyncio.sleep(3600.0)
        assert asyncio.get_running_loop().time() == LOOP_START_SECONDS + 3600.0

    play(test())


def test_simultaneous_timers_fire_in_an_order_drawn_from_the_seed() -> None:
    def order(seed: int) -> list[int]:
        seen: list[int] = []

        async def test() -> None:
            loop = asyncio.get_running_loop()
            for n in range(6):
                loop.call_at(LOOP_START_SECONDS + 1.0, seen.append, n)
            await asyncio.sleep(2.0)

        play(test(), seed)
        return seen

    assert order(1) == order(1)
    assert len({tuple(order(seed)) for seed in range(20)}) > 10


def test_callbacks_of_one_iteration_keep_their_order() -> None:
    seen: list[int] = []

    async def test() -> None:
        for n in range(50):
            asyncio.get_running_loop().call_soon(seen.append, n)
        await asyncio.sleep(0.0)
        await asyncio.sleep(0.0)

    play(test())
    assert seen == list(range(50))


def test_a_simulation_with_nothing_scheduled_raises() -> None:
    async def test() -> None:
        await asyncio.Event().wait()

    with pytest.raises(SimulationStalledError, match="nothing is scheduled"):
        play(test())


def test_a_simulation_stuck_at_one_instant_raises(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ironrail.rehearsal.virtual.loop.MAX_ITERATIONS_PER_INSTANT", 1000)

    async def test() -> None:
        while True:
            await asyncio.sleep(0.0)

    with pytest.raises(SimulationStalledError, match="turns at"):
        play(test())


def test_many_cancelled_timers_leave_the_heap() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        for _ in range(50_000):
            loop.call_later(1000.0, print).cancel()
            if _ % 1000 == 0:
                await asyncio.sleep(0.0)
        assert len(loop._scheduled) < 2000  # type: ignore[attr-defined]

    play(test())


class Beat:
    """A process that counts every 10 ms and records the signals it receives."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.count, self.codes, self.told = 0, list[int](), 0
        self.process = Process("beat", loop, self.codes.append)
        self.task = loop.start(self._run(), self.process)

    async def _run(self) -> None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, self._tell)
        while True:
            await asyncio.sleep(0.01)
            self.count += 1

    def _tell(self) -> None:
        self.told += 1


def test_a_frozen_process_runs_missed_callbacks_when_resumed() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        beat = Beat(loop)
        await asyncio.sleep(0.105)
        assert beat.count == 10
        beat.process.deliver(signal.SIGSTOP)
        await asyncio.sleep(1.0)
        beat.process.deliver(signal.SIGTERM)  # delivered when the process resumes
        assert (beat.count, beat.told) == (10, 0)
        beat.process.deliver(signal.SIGCONT)
        await asyncio.sleep(0.105)
        assert 20 <= beat.count <= 22 and beat.told == 1

    play(test())


def test_a_killed_process_never_runs_again_and_its_end_is_reported_once() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        beat = Beat(loop)
        await asyncio.sleep(0.05)
        count = beat.count
        beat.process.deliver(signal.SIGKILL)
        beat.process.deliver(signal.SIGKILL)
        await asyncio.sleep(1.0)
        assert (beat.count, beat.codes) == (count, [-signal.SIGKILL])
        loop.unwind()
        beat.task.cancel()

    play(test())


def test_process_timers_have_millisecond_resolution_like_uvloop_and_may_fire_early() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        due: list[float] = []

        async def work() -> None:
            await asyncio.sleep(0.0)
            asyncio.get_running_loop().call_later(0.0104, lambda: due.append(loop.time()))
            asyncio.get_running_loop().call_later(0.0004, lambda: due.append(loop.time()))
            await asyncio.sleep(1.0)

        await asyncio.sleep(0.0007)
        loop.start(work(), Process("p", loop, lambda code: None))
        await asyncio.sleep(0.5)
        assert due == pytest.approx([LOOP_START_SECONDS + 0.0007, LOOP_START_SECONDS + 0.010])

    play(test())


def test_a_process_that_exits_reports_its_exit_code() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        codes: list[int] = []
        process = Process("p", loop, codes.append)

        def leave() -> None:
            raise SystemExit(3)

        loop.call_soon(leave, context=process.context)
        await asyncio.sleep(0.1)
        assert codes == [3] and not process.alive

    play(test())
