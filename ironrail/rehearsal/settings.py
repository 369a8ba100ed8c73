"""Builds the configuration that the platform would give each router of a scenario."""

from __future__ import annotations

from typing import Any

from ironrail.rehearsal.draws import token
from ironrail.rehearsal.scenario.model import Repeats, RequestClass, Scenario
from ironrail.rehearsal.standins.fleet import CACHE_KIND, ORIGIN_KIND

EFFECTS = {Repeats.SAFE: "free", Repeats.KEYED: "guarded", Repeats.NEVER: "single_shot"}
MAX_TRIES = 3


def _class(kind: RequestClass) -> dict[str, Any]:
    row: dict[str, Any] = {
        "name": kind.name,
        "aim": kind.wanted,
        "giveUp": kind.give_up,
        "effect": EFFECTS[kind.repeats],
        "value": kind.worth,
    }
    if kind.repeats is Repeats.KEYED:
        row |= {"group": "all", "repeatWindow": kind.window}
    return row


def settings_of(scenario: Scenario, number: int) -> dict[str, Any]:
    """Return the settings object of one router."""
    caches = scenario.caches
    return {
        "classes": [_class(kind) for kind in scenario.classes],
        "family": "cache",
        "familyInfo": {"mode": "aside", "originKind": 1},
        "skus": [CACHE_KIND, ORIGIN_KIND],
        "limits": {
            "mostTries": MAX_TRIES,
            "mayCancel": scenario.limits.may_cancel,
            "secondCopies": scenario.limits.second_copies,
            "dialTimeout": scenario.limits.dial,
            "connIdle": caches.idle if caches.idle_told is None else caches.idle_told,
            "multiplex": 100,
        },
        "membershipMode": "subscribe" if scenario.registry.asked else "automatic",
        "resolution": scenario.tick,
        "rules": {
            "coldFrom": caches.cold_share,
            "rampTime": caches.warm,
            "fallMultiple": caches.fall_multiple,
            "overloadFor": caches.fall_time,
            **({"mustAskIn": scenario.registry.must_ask} if scenario.registry.asked else {}),
        },
        "penalties": {"connection": 0.03},
        "me": number,
        "siblings": scenario.routers.count,
    }


def config_of(
    scenario: Scenario,
    seed: int,
    number: int,
    name: str,
    listen: str,
    discovery: str,
    rows: list[dict[str, Any]],
    operator: str,
) -> dict[str, Any]:
    """Return the complete configuration of one router, in the documented format."""
    return {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "operator": operator,
        "seed": token(seed, f"router.{number}"),
        "limits": {
            "cores": 1.0,
            "memory_mb": scenario.routers.memory // 1024**2,
            "sockets": scenario.routers.descriptors,
        },
        "known": {"version": 0, "full": True, "servers": rows},
        "settings": settings_of(scenario, number),
    }
