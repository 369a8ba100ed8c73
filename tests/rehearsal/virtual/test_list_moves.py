"""Discovery moves to another address, and routers are notified by SIGHUP."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ironrail.net.lifecycle.node import Node
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import parse_scenario
from ironrail.rehearsal.virtual.runner import run_virtual

MOVES = """
summary = "the list moves, and only the new place tells of a drain"
length = "4 s"
warm_up = "500 ms"
[load]
rate = 60
[caches]
count = 4
[[fault]]
kind = "list-moves"
at = "500 ms"
lasts = "100 ms"
[[fault]]
kind = "drain"
whom = "cache-1"
at = "1 s"
lasts = "2 s"
"""


def world(text: str = MOVES) -> Scenario:
    return parse_scenario(text, "moves.toml")


def test_routers_follow_the_list_to_its_new_address() -> None:
    played = run_virtual(world(), 1)
    assert not played.result.broken and not played.violations
    assert played.result.service.whole.share > 0.99
    for log in played.result.logs.values():
        assert log.count('"discovery_address_changed"') == 1


def test_a_router_that_stays_where_the_list_was_breaks_the_rule_on_drains(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reread = Node.__init__

    def deaf(self: Node, config: object, *others: object) -> None:
        reread(self, config, *others)  # type: ignore[arg-type]
        self._reloader._read = lambda: replace(self._reloader.config)

    monkeypatch.setattr(Node, "__init__", deaf)
    # the old address sends nothing: updates it would have sent count as notified some seconds later
    text = MOVES.replace('length = "4 s"', 'length = "11 s"').replace('lasts = "2 s"', 'lasts = "9 s"')
    assert {b.rule for b in run_virtual(world(text), 1).result.broken} == {"drains"}


@pytest.mark.parametrize(
    "kind", ["router-stop", "router-kill", "router-replace", "list-silent", "list-empty"]
)
def test_the_list_moves_while_something_else_goes_on(kind: str) -> None:
    whom = 'whom = "router-1"\n' if kind.startswith("router") else ""
    other = f'[[fault]]\nkind = "{kind}"\nat = "450 ms"\nlasts = "800 ms"\n{whom}'
    played = run_virtual(world(MOVES + other), 1)
    assert not played.result.broken and not played.violations
    assert played.result.service.whole.share > 0.9
    assert not any(facts.crashed for facts in played.result.record.routers.values())
    assert all(facts.stop_code == 0 for facts in played.result.record.routers.values())
