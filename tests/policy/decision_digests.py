"""Digests of all that a router answers in the worlds of `streams.py`: by names, and by values alone.

Where a change of decisions is meant, `python -m tests.policy.decision_digests` writes new ones.
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

FILE = Path(__file__).with_name("decisions.txt")  # a seed and its digest a line
VALUES_FILE = Path(__file__).with_name("decision_values.txt")  # the same of values alone, without names
SEEDS = range(24)

# the name and the code under which the digests know each action, whatever its class is called
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


def written(action: Action) -> str:
    """With nine digits of numbers: the last ones are the machine's."""
    given = [value_of(getattr(action, field.name)) for field in fields(action)]
    return " ".join([RECORDED_NAMES[type(action)][0], *given])


def value_of(value: object) -> str:
    """A field's value, without the names of types; a timer as its context on the simulator's wire."""
    if isinstance(value, Timer):
        return encode_timer(value)
    return f"{value:.9g}" if isinstance(value, float) else str(value)


def values(action: Action) -> str:
    """The code of an action and the values of its fields, in order."""
    if isinstance(action, LogMessage):
        return f"{RECORDED_NAMES[LogMessage][1]} {re.findall('[0-9]+', action.text)}"
    given = [value_of(getattr(action, field.name)) for field in fields(action)]
    return " ".join([str(RECORDED_NAMES[type(action)][1]), *given])


def digest(seed: int, make: type[Router] = Router, form: Callable[[Action], str] = written) -> str:
    """Of all that a router answers in the world of a seed, in order."""
    text = hashlib.sha256()
    for _, _, actions in World(seed, make).steps():
        text.update("".join(f"{form(action)}\n" for action in actions).encode() + b".\n")
    return text.hexdigest()[:32]


def value_digest(seed: int, make: type[Router] = Router) -> str:
    """A digest that a renaming of types and fields leaves as it is."""
    return digest(seed, make, values)


if __name__ == "__main__":
    FILE.write_text("".join(f"{seed} {digest(seed)}\n" for seed in SEEDS))
    VALUES_FILE.write_text("".join(f"{seed} {value_digest(seed)}\n" for seed in SEEDS))
