"""One rehearsal in virtual time, from start to end."""

from __future__ import annotations

import asyncio
import gc
import logging
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from ironrail.logs import json_formatter
from ironrail.net.lifecycle.node import NO_OPERATOR_FILE
from ironrail.operator_file import OperatorSettings
from ironrail.rehearsal.load.schedule import Planned
from ironrail.rehearsal.losses.lay import lay
from ironrail.rehearsal.losses.tap import Decided
from ironrail.rehearsal.run import Progress, Rehearsal, Result
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.verdicts import Verdict
from ironrail.rehearsal.virtual.environment import ProcessLog, VirtualGround
from ironrail.rehearsal.virtual.invariants import Fault, faults_at_rest
from ironrail.rehearsal.virtual.loop import START, Standstill, VirtualLoop
from ironrail.rehearsal.virtual.task_interruption import Cutter

UNWINDING = 1.0  # simulated seconds for what is left to end once it is cancelled
DAEMON = logging.getLogger("ironrail")


@dataclass(slots=True)
class Virtual:
    """What came of a run in virtual time."""

    result: Result
    faults: list[Fault]  # what the daemon's own books say against it
    lines: list[str] = field(default_factory=list)  # the latest events
    seconds: float = 0.0  # simulated
    events: int = 0
    awaits: int = 0  # of the tasks that the scenario would cut
    decided: dict[str, Decided] = field(default_factory=dict)  # by each module, by request


@contextmanager
def logs_to_processes() -> Iterator[None]:
    """The daemon's log goes to the process that writes it, and nowhere else."""
    handler = ProcessLog()
    form = json_formatter()
    form.converter = time.gmtime  # the same everywhere
    handler.setFormatter(form)
    before = DAEMON.propagate, DAEMON.level
    DAEMON.propagate = False
    DAEMON.setLevel(logging.INFO)
    DAEMON.addHandler(handler)
    try:
        yield
    finally:
        DAEMON.removeHandler(handler)
        DAEMON.propagate = before[0]
        DAEMON.setLevel(before[1])


def play_virtual(
    scenario: Scenario,
    seed: int,
    *,
    operator: OperatorSettings = NO_OPERATOR_FILE,
    progress: Progress = lambda at, text: None,
    kept_lines: int = 0,
    schedule: list[Planned] | None = None,
    ground_of: Callable[..., VirtualGround] = VirtualGround,
    rehearsal_of: Callable[..., Rehearsal] = Rehearsal,
) -> Virtual:
    """Play a scenario. The same scenario and seed give the same events, byte for byte.

    `ground_of`, `rehearsal_of`: what makes either where it is more than a plain one.
    """
    loop = VirtualLoop(seed)
    ground = ground_of(loop, scenario, seed, operator=operator, kept_lines=kept_lines)
    cutter = Cutter(loop, ground, scenario.cut) if scenario.cut is not None else None
    faults: list[Fault] = []
    errors: list[str] = []

    async def look_at_rest() -> None:
        faults.extend(faults_at_rest(ground.routers))

    with logs_to_processes():
        try:
            rehearsal = rehearsal_of(
                scenario, seed, ground=ground, progress=progress, at_rest=look_at_rest, schedule=schedule
            )
            result = loop.run_until_complete(rehearsal.run())
            errors += loop.errors
            result.laid = lay(result.service.losses, result.record, scenario, ground.decided, result.began)
        except Standstill as e:
            raise Standstill(f"seed {seed}: {e}") from e
        finally:
            _put_away(loop)
    faults += [Fault("unhandled", text) for text in errors]
    faults += [Fault("log", line) for router in ground.routers for line in _alarms(router.log)]
    note = "; ".join(dict.fromkeys(fault.kind for fault in faults))
    result.verdicts.append(Verdict("the routers' own books", not faults, 0, len(faults), note=note))
    awaits = cutter.awaits if cutter is not None else 0
    lines = list(ground.trace.lines)
    seconds, events = loop.time() - START, ground.trace.events
    return Virtual(result, faults, lines, seconds, events, awaits, ground.decided)


ALARMS = ('"policy_failed"', '"request_dropped_by_policy"', '"endpoint_list_call_crashed"')


def _alarms(log: bytes) -> list[str]:
    """Lines that a router never writes while it is well."""
    lines = log.decode(errors="replace").splitlines()
    return [line for line in lines if any(alarm in line for alarm in ALARMS)]


def _put_away(loop: VirtualLoop) -> None:
    """Nothing of a world may reach the next: what a process that was killed had begun never ends."""
    loop.unwind()
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks, timeout=UNWINDING))
    loop._ready.clear()  # type: ignore[attr-defined]
    loop._scheduled.clear()  # type: ignore[attr-defined]
    loop.close()
    gc.collect(0)
