"""The roll, herd and join fleet scenarios, and broken routers that they detect."""

from __future__ import annotations

import pytest

from ironrail.net.protocol.meta_codec import FramingError
from ironrail.net.upstream.cache_connection import CacheConnection
from ironrail.rehearsal.faults.plan import Planned, make_plan
from ironrail.rehearsal.fleet.scenarios import fleet_scenario
from ironrail.rehearsal.scenario.faults import FaultKind
from tests.rehearsal.fleet.test_fleet import failed, world

KIND = FaultKind


def plan_of(trouble: str) -> dict[FaultKind, list[Planned]]:
    plan: dict[FaultKind, list[Planned]] = {}
    for planned in make_plan(fleet_scenario(trouble, 2, 40, 64, 20.0), 2):
        plan.setdefault(planned.fault.kind, []).append(planned)
    return plan


def test_one_in_twenty_caches_hangs_while_routers_restart_and_clients_stay() -> None:
    plan, drawn = plan_of("roll"), fleet_scenario("roll", 2, 40, 64, 20.0)
    hung = {p.victims[0] for p in plan[KIND.HANG]}
    assert len(hung) == 3 and not hung & {p.victims[0] for p in plan[KIND.REPLACE]}
    told = [p.fault.hard for p in plan[KIND.ROUTER_RESTART]]
    assert len(set(told)) == 40 and all(hard is not None and 0.2 <= hard <= 0.4 for hard in told)
    assert drawn.clients.stay == 1.0 and drawn.clients.pipelined > 0.0


def test_the_list_is_out_of_reach_into_a_release_while_most_routers_are_killed() -> None:
    plan = plan_of("herd")
    (silent,), (killed,) = plan[KIND.LIST_SILENT], plan[KIND.ROUTER_KILL]
    assert silent.fault.lasts == 8.0 and len(killed.victims) == 28
    assert silent.fault.at < killed.fault.at < silent.ends
    drained, gone = ({p.victims[0] for p in plan[kind]} for kind in (KIND.DRAIN, KIND.REPLACE))
    assert len(drained) == 32 and drained == gone
    times = [p.fault.at for p in plan[KIND.DRAIN]]
    assert len(set(times)) == 5 and silent.fault.at < min(times) < silent.ends
    bad = [p.victims[0] for kind in (KIND.ERRORS, KIND.LOST) for p in plan.get(kind, [])]
    assert len(set(bad)) == len(bad) == 8 and not gone & set(bad)


def test_most_caches_are_replaced_while_others_come_up_late_or_answer_twice_and_clients_leave() -> None:
    plan, drawn = plan_of("join"), fleet_scenario("join", 2, 40, 64, 20.0)
    times = [p.fault.at for p in plan[KIND.REPLACE]]
    assert len({p.victims for p in plan[KIND.REPLACE]}) == len(times) == 38
    assert max(times) - min(times) < 7.0
    assert len(plan[KIND.LATE_CONNECT]) == len(plan[KIND.SECOND_ANSWER]) == 13
    assert drawn.clients.leave > 0.0


def test_a_router_that_takes_any_reply_for_its_own_fails_where_caches_answer_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def trusting(self: CacheConnection, request_id: bytes | None, position: int) -> None:
        if len(self.in_flight) <= position:
            raise FramingError("a reply without a request")

    monkeypatch.setattr(CacheConnection, "_check_id", trusting)
    # a second reply must coincide with another command on its connection, as in about one seed of four
    assert any("rule own-value" in failed(world("join", seed)) for seed in (3, 1, 2, 4))
