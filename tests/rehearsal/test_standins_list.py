"""The stand-in discovery on loopback: what routers receive of the endpoint list, and when."""

from __future__ import annotations

import asyncio
from typing import cast

from tests.peers import scenario, until
from tests.rehearsal.stage import R, ask, stage, wire


@scenario
async def test_a_watch_receives_a_change_and_the_record_has_it() -> None:
    async with stage() as s:
        agent = await wire(s.registry.agents[R].endpoint.address)
        whole = await ask(agent, "/api/targets")
        assert whole["full"] and len(whole["servers"]) == 3  # type: ignore[arg-type]
        watch = asyncio.ensure_future(ask(agent, f"/api/targets?index={whole['version']}&wait=5000"))
        await asyncio.sleep(0)
        s.fleet.begin_drain("cache-1", "a")
        answer = await watch
        (row,) = cast(list[dict[str, str]], answer["servers"])
        assert (row["id"], row["state"], answer["full"]) == ("cache-1", "terminating", False)
        assert [t.state for t in s.record.state_notices[R, "cache-1"]] == ["in_service", "terminating"]


@scenario
async def test_a_false_list_and_the_return_of_the_true_one_are_sent_whole_and_not_recorded() -> None:
    async with stage() as s:
        connection, agent = await wire(s.registry.agents[R].endpoint.address), s.registry.agents[R]
        version = (await ask(connection, "/api/targets"))["version"]
        agent.begin_false_list("f", [])
        false_list = await ask(connection, f"/api/targets?index={version}&wait=5000")
        assert (false_list["full"], false_list["servers"]) == (True, [])
        agent.end_false_list("f")
        back = await ask(connection, f"/api/targets?index={false_list['version']}&wait=5000")
        assert back["full"] and len(back["servers"]) == 3  # type: ignore[arg-type]
        assert [t.state for t in s.record.state_notices[R, "cache-1"]] == ["in_service"]


@scenario
async def test_changes_while_the_list_is_unreachable_are_applied_afterwards() -> None:
    async with stage() as s:
        agent = s.registry.agents[R]
        agent.begin_silence("f")
        s.fleet.begin_drain("cache-1", "a")
        await until(lambda: agent._missed)
        assert agent._rows["cache-1"].state == "in_service"
        agent.end_silence("f")
        assert agent._rows["cache-1"].state == "terminating"
