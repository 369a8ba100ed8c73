"""Answers of the stand-in discovery agent that are corrupted, stop short or are indented."""

from __future__ import annotations

import json
from types import SimpleNamespace

import pytest

from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.standins.endpoint_list import EndpointRow, encode_list
from tests.rehearsal.list_stage import ASKED, ListStage, on_stage
from tests.rehearsal.test_list_clock import DRAINS


@pytest.mark.parametrize("kind", [FaultKind.LIST_CUT, FaultKind.LIST_SPOILT])
def test_the_content_of_a_corrupted_answer_counts_as_delivered_six_seconds_later(kind: FaultKind) -> None:
    async def test(s: ListStage) -> None:
        _, answer = await s.watch(60.0)
        answer.cancel()
        s.agent.begin_answer_fault("f", kind, 1.0)
        await s.at(1.0)
        s.learn(DRAINS)
        await s.at(20.0)
        assert s.told() == [(7.0, DRAINS)]

    on_stage(test)
    on_stage(test, ASKED)


def test_an_answer_that_stops_short_counts_as_a_muted_call() -> None:
    async def test(s: ListStage) -> None:
        _, answer = await s.watch(60.0)
        s.agent._draws = SimpleNamespace(random=lambda: 0.9)  # type: ignore[assignment]
        s.agent.begin_answer_fault("f", FaultKind.LIST_CUT, 1.0)
        await s.at(1.0)
        s.learn(DRAINS)
        await s.at(1.5)
        s.learn("terminated")
        await s.at(20.0)
        assert s.told() == [(7.0, "terminated")] and not answer.done()

    on_stage(test)


def test_answers_are_on_one_line_or_indented_depending_on_the_seed() -> None:
    forms: list[list[bool]] = []

    async def test(s: ListStage) -> None:
        connection, is_indented = await s.connect(), []
        for _ in range(12):
            connection.writer.write(b"GET /api/targets HTTP/1.1\r\nHost: a\r\n\r\n")
            _, body = await connection.response()
            assert len(json.loads(body)["servers"]) == 3
            is_indented.append(b"\n" in body)
        forms.append(is_indented)

    on_stage(test)
    on_stage(test)
    assert set(forms[0]) == {True, False} and forms[0] == forms[1]
    row = EndpointRow("a", "", "cache", addresses={"r": "127.0.0.1:1"})
    assert json.loads(encode_list(1, True, [row], "r", True)) == json.loads(
        encode_list(1, True, [row], "r", False)
    )
