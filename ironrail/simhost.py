"""Hosts routers for the simulator: reads and writes lines of JSON, makes no decisions itself."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import Any

import orjson

from ironrail.policy.events import Event
from ironrail.policy.router import Router
from ironrail.settings import SettingsError, read_settings
from ironrail.simulator_wire import EVENT_READERS, WireError, WireObject, write_action

ROUTER_STARTED = "Born"
ROUTER_KILLED = "Kill"
IGNORED_EVENTS = {"Pong", "Heard"}  # belong to commands that no router here sends
MAX_EXCERPT_CHARS = 200  # of a malformed event, in the error message


@dataclass(slots=True, frozen=True)
class Batch:
    """The events of one line, which all happened at the same time."""

    now: float  # seconds
    events: list[Any]


def _read_batch(line: bytes) -> Batch:
    try:
        batch = orjson.loads(line)
        now = float(batch["t"])
        events = batch["news"]
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        raise WireError(f"not a batch: {error!r}") from error
    if not isinstance(events, list):
        raise WireError("not a batch: TypeError('news is not a list')")
    return Batch(now, events)


class SimulatorHost:
    """Hosts the routers of the simulator, one for each id; they share nothing."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}  # by the simulator's id

    def answer_batch(self, line: bytes) -> bytes:
        """Pass the events of one line to their routers and return the line of their commands.

        Raises:
            WireError: The line or one of its events is malformed.
        """
        batch = _read_batch(line)
        commands: list[WireObject] = []
        for event in batch.events:
            self.handle_event(batch.now, event, commands)
        return orjson.dumps({"cmds": commands}) + b"\n"

    def handle_event(self, now: float, event: Any, commands: list[WireObject]) -> None:
        """Pass one event to its router and append the resulting commands.

        Raises:
            WireError: The event is malformed.
        """
        try:
            router_id = event["routerId"]
            router_event = self._read_event(now, router_id, event)
            router = self.routers.get(router_id)
        except SettingsError as error:
            print(f"ironrail: {error}", file=sys.stderr)
            commands.append({"op": "InternalError", "routerId": router_id, "line": str(error)})
            return
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            excerpt = str(event)[:MAX_EXCERPT_CHARS]
            raise WireError(f"malformed event: {error!r} in {excerpt}") from error
        if router is None or router_event is None:
            return
        for action in router.handle(now, router_event):
            command = write_action(action)
            command["routerId"] = router_id
            commands.append(command)

    def _read_event(self, now: float, router_id: int, event: WireObject) -> Event | None:
        """Start or kill a router, or read an event for it; None if there is none to pass on."""
        operation = event["op"]
        if operation == ROUTER_STARTED:
            settings = read_settings(event["conf"])
            self.routers[router_id] = Router(settings, event["initSeed"], now)
            return None
        if operation == ROUTER_KILLED:
            self.routers.pop(router_id, None)
            return None
        if operation in IGNORED_EVENTS:
            return None
        return EVENT_READERS[operation](event)


def main() -> int:
    """Answer line by line until the end of input."""
    host = SimulatorHost()
    for line in sys.stdin.buffer:
        try:
            reply = host.answer_batch(line)
        except WireError as error:
            print(f"ironrail: {error}", file=sys.stderr)
            return 2
        sys.stdout.buffer.write(reply)
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
