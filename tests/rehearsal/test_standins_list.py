"""The stand-in discovery on loopback: who is told of what, and when."""

from __future__ import annotations

import asyncio
from typing import cast

from tests.peers import scenario, until
from tests.rehearsal.stage import R, ask, stage, wire


@scenario
async def test_a_watch_is_told_of_a_change_and_so_is_the_record() -> None:
    async with stage() as s:
        agent = await wire(s.registry.agents[R].door.address)
        whole = await ask(agent, "/api/targets")
        assert whole["full"] and len(whole["servers"]) == 3  # type: ignore[arg-type]
        watch = asyncio.ensure_future(ask(agent, f"/api/targets?index={whole['version']}&wait=5000"))
        await asyncio.sleep(0)
        s.fleet.drain("cache-1", "a")
        news = await watch
        (row,) = cast(list[dict[str, str]], news["servers"])
        assert (row["id"], row["state"], news["full"]) == ("cache-1", "terminating", False)
        assert [t.state for t in s.record.state_notices[R, "cache-1"]] == ["in_service", "terminating"]


@scenario
async def test_a_lost_list_is_told_whole_and_so_is_its_return_and_neither_is_news() -> None:
    async with stage() as s:
        connection, agent = await wire(s.registry.agents[R].door.address), s.registry.agents[R]
        version = (await ask(connection, "/api/targets"))["version"]
        agent.begin_lost("f", [])
        lost = await ask(connection, f"/api/targets?index={version}&wait=5000")
        assert (lost["full"], lost["servers"]) == (True, [])
        agent.end_lost("f")
        back = await ask(connection, f"/api/targets?index={lost['version']}&wait=5000")
        assert back["full"] and len(back["servers"]) == 3  # type: ignore[arg-type]
        assert [t.state for t in s.record.state_notices[R, "cache-1"]] == ["in_service"]


@scenario
async def test_while_the_list_is_out_of_reach_nothing_is_told_and_afterwards_all_of_it() -> None:
    async with stage() as s:
        agent = s.registry.agents[R]
        agent.begin_silence("f")
        s.fleet.drain("cache-1", "a")
        await until(lambda: agent._missed)
        assert agent._rows["cache-1"].state == "in_service"
        agent.end_silence("f")
        assert agent._rows["cache-1"].state == "terminating"
