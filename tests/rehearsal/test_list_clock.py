"""When a router counts as notified of a list change, pushed or polled, in the stand-in's record."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from tests.rehearsal.list_stage import ASKED, ListStage, on_stage
from tests.rehearsal.stage import Wire, ask

DRAINS = "terminating"


def test_without_a_watch_news_at_an_agent_counts_at_once() -> None:
    async def test(s: ListStage) -> None:
        await s.at(1.0)
        s.learn(DRAINS)
        assert s.told() == [(1.0, DRAINS)]

    on_stage(test)


def test_in_an_outage_an_agent_gets_no_news_and_its_list_counts_for_a_new_process() -> None:
    async def test(s: ListStage) -> None:
        s.learn(DRAINS)
        await s.at(1.0)
        s.agent.begin_silence("outage")
        await s.at(2.0)
        s.starts()
        s.learn("terminated")
        assert s.told()[1:] == [(2.0, "in_service"), (2.0, DRAINS)]
        await s.at(20.0)
        s.agent.end_silence("outage")
        assert s.told()[3:] == [(20.0, "terminated")]
        s.starts()
        assert s.told()[4:] == [(20.0, "in_service"), (20.0, "terminated")]

    on_stage(test)


def test_after_a_move_news_counts_after_four_seconds_or_a_call_at_the_new_address() -> None:
    async def test(s: ListStage) -> None:
        _, old = await s.watch(60.0)
        await s.at(1.0)
        s.agent.move()
        await s.at(2.0)
        s.learn(DRAINS)
        await s.at(6.0)
        assert s.told() == [(5.0, DRAINS)]
        s.learn("in_service")
        assert s.told()[1:] == [(6.0, "in_service")]
        s.agent.move()
        await s.at(7.0)
        s.learn(DRAINS)
        await s.watch(60.0)
        await s.at(12.0)
        assert s.told()[2:] == [(7.0, DRAINS)]
        assert not old.done()
        s.agent.move()
        s.starts()  # the new process reads the current address of the list
        s.learn("terminated")
        assert s.told()[-1] == (12.0, "terminated")

    on_stage(test)


@pytest.mark.parametrize("text", ["", ASKED], ids=["pushed", "asked"])
@pytest.mark.parametrize("wait", [3.0, 20.0, 90.0])
def test_news_missed_by_a_silent_watch_counts_after_the_same_time_in_both_modes(
    text: str, wait: float
) -> None:
    async def test(s: ListStage) -> None:
        connection, answer = await s.watch(wait)
        began = s.world.now() - 0.05
        await s.at(2.0)
        s.registry.mute_open_calls()
        await s.at(2.5)
        s.learn(DRAINS)
        await s.at(100.0)
        due = max(2.0 + 6.0, began + min(wait, 60.0) + 2.0)
        ((when, state),) = s.told()
        assert state == DRAINS and abs(when - due) < 0.11
        assert not answer.done() and not connection.reader.at_eof()
        s.learn("in_service")  # past the limit, news counts even without a new call
        await s.at(100.1)
        assert s.told()[1:] == [(100.0, "in_service")]

    on_stage(test, text)


@pytest.mark.parametrize("text", ["", ASKED], ids=["pushed", "asked"])
def test_a_silent_connection_stays_silent_and_a_new_one_is_answered(text: str) -> None:
    async def test(s: ListStage) -> None:
        connection, answer = await s.watch(1.0)
        s.registry.mute_open_calls()
        s.learn(DRAINS)
        await s.at(3.0)
        connection.writer.write(b"GET /api/targets HTTP/1.1\r\nHost: a\r\n\r\n")
        again = await s.connect()
        whole = await ask(again, "/api/targets")
        states = {row["id"]: row["state"] for row in whole["servers"]}  # type: ignore[attr-defined]
        assert states["cache-1"] == DRAINS
        told = s.told()
        assert [state for _, state in told] == [DRAINS] and 3.0 <= told[0][0] <= 3.6
        await s.at(20.0)
        assert not answer.done() and s.told() == told

    on_stage(test, text)


def test_a_closed_silent_watch_no_longer_delays_news() -> None:
    async def test(s: ListStage) -> None:
        connection, answer = await s.watch(60.0)
        s.registry.mute_open_calls()
        answer.cancel()
        connection.writer.close()
        await s.at(1.0)
        s.learn(DRAINS)
        assert s.told() == [(1.0, DRAINS)]

    on_stage(test)


def test_a_call_silenced_while_it_is_served_misses_its_news() -> None:
    async def test(s: ListStage) -> None:
        s.learn(DRAINS)
        connection = await s.connect()
        answer = asyncio.ensure_future(ask(connection, "/api/targets"))
        await s.at(0.1)
        s.registry.mute_open_calls()
        await s.at(50.0)
        assert s.told() == [(6.1, DRAINS)] and not answer.done()

    on_stage(test, ASKED)


def test_a_closed_silent_watch_counts_as_a_failed_call_until_its_close() -> None:
    async def test(s: ListStage) -> None:
        connection, answer = await s.watch(60.0)
        s.registry.mute_open_calls()
        await s.at(30.0)
        answer.cancel()
        connection.writer.close()
        await s.at(31.0)
        s.learn(DRAINS)
        await s.at(90.0)
        assert s.told() == [
            (37.0, DRAINS)
        ]  # 6 s after the news, not 40 s after the failure, as the news was available

    on_stage(test, ASKED)


async def ended(connection: Wire, answer: asyncio.Task[dict[str, object]]) -> None:
    """Wait until a reset watch has ended."""
    with pytest.raises((OSError, EOFError)):
        await answer
    with contextlib.suppress(OSError):
        await connection.writer.wait_closed()


def test_after_a_reset_watch_news_counts_six_seconds_after_it_was_available() -> None:
    async def test(s: ListStage) -> None:
        connection, answer = await s.watch(60.0)
        await s.at(8.0)
        s.registry.reset_watches()
        await ended(connection, answer)
        await s.at(8.5)
        s.agent.begin_silence("outage")
        s.learn(DRAINS)
        await s.at(20.0)
        assert s.told() == []  # the agent is unreachable
        s.agent.end_silence("outage")
        await s.at(90.0)
        assert s.told() == [(26.0, DRAINS)]

    on_stage(test, ASKED)


def test_a_call_in_time_after_a_reset_delivers_the_news() -> None:
    async def test(s: ListStage) -> None:
        connection, answer = await s.watch(60.0)
        s.registry.reset_watches()
        await ended(connection, answer)
        await s.at(1.0)
        s.learn(DRAINS)
        await s.at(4.0)
        again = await s.watch(60.0)
        await s.at(30.0)
        assert not again[1].done()
        ((when, state),) = s.told()
        assert state == DRAINS and 4.0 < when < 6.0

    on_stage(test, ASKED)


def test_no_news_counts_while_the_registry_has_lost_its_list() -> None:
    async def test(s: ListStage) -> None:
        s.agent.begin_false_list("f", [])
        s.learn(DRAINS)
        await s.at(20.0)
        assert s.told() == []
        s.agent.end_false_list("f")
        assert s.told() == [(20.0, DRAINS)]

    on_stage(test)
