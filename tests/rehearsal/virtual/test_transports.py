"""One suite on uvloop and on the virtual loop: both behave the same where the daemon relies on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator

import pytest

from tests.rehearsal.virtual.transports import LOCAL, Peer, Run, Test, World, on_uvloop, on_virtual

BIG = 32 * 1024**2  # bytes: more than systems buffer


@pytest.fixture(params=[on_uvloop, on_virtual], ids=["uvloop", "virtual"])
def run(request: pytest.FixtureRequest) -> Iterator[Callable[[Test], None]]:
    yield request.param


def test_bytes_come_in_order_and_an_end_closes_both_sides(run: Run) -> None:
    async def test(world: World) -> None:
        near, far = await world.pair()
        for n in range(100):
            near.transport.write(b"%03d" % n)
        near.transport.close()
        await far.until("lost")
        assert bytes(far.data) == b"".join(b"%03d" % n for n in range(100))
        assert far.told[-2:] == ["eof", "lost"]
        await near.until("lost")
        assert near.told.count("lost") == 1

    run(test)


def test_a_half_closed_connection_still_answers(run: Run) -> None:
    async def test(world: World) -> None:
        world.keep_open = True
        near, far = await world.pair()
        near.transport.write(b"question")
        near.transport.write_eof()
        await far.until("eof")
        far.transport.write(b"answer")
        far.transport.close()
        await near.until("lost")
        assert bytes(near.data) == b"answer"

    run(test)


def test_high_water_at_0_pauses_writing_until_all_bytes_are_sent(run: Run) -> None:
    async def test(world: World) -> None:
        near, far = await world.pair()
        near.transport.set_write_buffer_limits(high=0)
        near.transport.write(b"small")
        await far.until_size(5)
        assert "pause" not in near.told
        far.transport.pause_reading()
        near.transport.write(b"x" * BIG)
        await near.until("pause")
        assert near.transport.get_write_buffer_size() > 0
        far.transport.resume_reading()
        await near.until("resume")
        assert near.transport.get_write_buffer_size() == 0
        await far.until_size(5 + BIG)

    run(test)


def test_close_sends_the_buffered_bytes(run: Run) -> None:
    async def test(world: World) -> None:
        near, far = await world.pair()
        near.transport.write(b"x" * BIG)
        near.transport.close()
        assert near.transport.is_closing()
        await far.until("lost")
        assert len(far.data) == BIG

    run(test)


def test_a_write_is_out_at_once_as_far_as_it_fits_and_abort_drops_the_rest(run: Run) -> None:
    async def test(world: World) -> None:
        near, far = await world.pair()
        far.transport.pause_reading()
        near.transport.write(b"sent")
        near.transport.write(b"x" * BIG)
        near.transport.abort()
        await near.until("lost")
        far.transport.resume_reading()
        await far.until("lost")
        assert far.data[:4] == b"sent" and len(far.data) < BIG
        assert near.told[-1] == "lost"

    run(test)


def test_an_end_with_bytes_unread_resets_the_other_side(run: Run) -> None:
    async def test(world: World) -> None:
        near, far = await world.pair()
        far.transport.pause_reading()
        near.transport.write(b"unread")
        unread = world.system.unread_check(far.transport)
        while not unread():
            await asyncio.sleep(0.001)
        far.transport.close()
        await near.until("lost")
        assert near.told[-1] == "lost ConnectionResetError"

    run(test)


def test_unread_bytes_are_visible_before_they_are_read(run: Run) -> None:
    async def test(world: World) -> None:
        near, far = await world.pair()
        unread = world.system.unread_check(near.transport)
        assert not unread()
        near.transport.pause_reading()
        far.transport.write(b"surplus")
        while not unread():
            await asyncio.sleep(0.001)
        near.transport.resume_reading()
        await near.until_size(7)
        assert not unread()

    run(test)


def test_a_connect_without_a_listener_is_refused(run: Run) -> None:
    async def test(world: World) -> None:
        world.loop.remove_reader(world.listener)
        world.listener.close()
        with pytest.raises(ConnectionRefusedError):
            await world.loop.create_connection(Peer, LOCAL, world.port)

    run(test)


def test_an_address_may_be_shared_and_connects_go_to_who_listens(run: Run) -> None:
    async def test(world: World) -> None:
        assert world.system.is_served((LOCAL, world.port))
        world.system.listen((LOCAL, world.port), 16).close()
        await world.pair()  # accepted by the remaining listener
        assert world.system.is_served((LOCAL, world.port))
        world.loop.remove_reader(world.listener)
        world.listener.close()
        assert not world.system.is_served((LOCAL, world.port))

    run(test)


def test_a_write_after_the_end_is_an_error_and_connection_lost_comes_once(run: Run) -> None:
    async def test(world: World) -> None:
        near, far = await world.pair()
        far.transport.abort()
        await near.until("lost")
        with pytest.raises(RuntimeError, match="closed"):
            near.transport.write(b"late")
        near.transport.close()
        near.transport.abort()
        await asyncio.sleep(0.01)
        assert sum(told.startswith("lost") for told in near.told) == 1

    run(test)
