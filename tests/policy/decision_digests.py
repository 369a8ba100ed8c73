"""Digests of a router's actions on the event streams of `streams.py`, with names or only of values.

After an intended change of decisions, `python -m tests.policy.decision_digests` writes new ones.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path

from ironrail.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpointList,
    LogMessage,
    RejectRequest,
    SendAttempt,
    SetTimer,
)
from ironrail.policy.router import Router
from ironrail.policy.timers import Timer
from ironrail.simulator_wire import encode_timer
from tests.policy.streams import World

FILE = Path(__file__).with_name("decisions.txt")  # one line for each seed: seed and digest
VALUES_FILE = Path(__file__).with_name("decision_values.txt")  # the same, of values without names
SEEDS = range(24)

# the name and the code of each action in the digests, independent of the name of its class
RECORDED_NAMES: dict[type, tuple[str, int]] = {
    SendAttempt: ("Send", 1),
    RejectRequest: ("Refuse", 2),
    FailRequest: ("Fail", 3),
    CancelAttempt: ("Cancel", 4),
    CloseIdleConnections: ("CloseIdle", 5),
    SetTimer: ("SetTimer", 6),
    FetchEndpointList: ("Subscribe", 7),
    LogMessage: ("Log", 8),
}


def format_with_names(action: Action) -> str:
    """Format an action; floats have nine digits, as the last ones depend on the machine."""
    given = [format_value(getattr(action, field.name)) for field in fields(action)]
    return " ".join([RECORDED_NAMES[type(action)][0], *given])


def format_value(value: object) -> str:
    """Format a field's value without names of types; a timer as its context on the simulator's wire."""
    if isinstance(value, Timer):
        return encode_timer(value)
    return f"{value:.9g}" if isinstance(value, float) else str(value)


def format_values(action: Action) -> str:
    """Format the code of an action and the values of its fields, in order."""
    if isinstance(action, LogMessage):
        return f"{RECORDED_NAMES[LogMessage][1]} {re.findall('[0-9]+', action.text)}"
    given = [format_value(getattr(action, field.name)) for field in fields(action)]
    return " ".join([str(RECORDED_NAMES[type(action)][1]), *given])


def digest(
    seed: int, router_class: type[Router] = Router, format_action: Callable[[Action], str] = format_with_names
) -> str:
    """Return the digest of all actions of a router on the event stream of a seed."""
    text = hashlib.sha256()
    for _, _, actions in World(seed, router_class).steps():
        text.update("".join(f"{format_action(action)}\n" for action in actions).encode() + b".\n")
    return text.hexdigest()[:32]


def value_digest(seed: int, router_class: type[Router] = Router) -> str:
    """Return a digest that does not change if types or fields are renamed."""
    return digest(seed, router_class, format_values)


if __name__ == "__main__":
    FILE.write_text("".join(f"{seed} {digest(seed)}\n" for seed in SEEDS))
    VALUES_FILE.write_text("".join(f"{seed} {value_digest(seed)}\n" for seed in SEEDS))
