"""Runs one rehearsal in virtual time from start to end."""

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
from ironrail.rehearsal.virtual.environment import ProcessLog, VirtualEnvironment
from ironrail.rehearsal.virtual.invariants import InvariantViolation, find_violations
from ironrail.rehearsal.virtual.loop import LOOP_START_SECONDS, SimulationStalledError, VirtualLoop
from ironrail.rehearsal.virtual.task_interruption import TaskInterrupter

UNWIND_SECONDS = 1.0  # simulated; for cancelled tasks to end
DAEMON_LOGGER = logging.getLogger("ironrail")


@dataclass(slots=True)
class VirtualRun:
    """The outcome of a run in virtual time."""

    result: Result
    violations: list[InvariantViolation]  # of the routers' internal state
    lines: list[str] = field(default_factory=list)  # the latest trace events
    seconds: float = 0.0  # simulated
    events: int = 0
    awaits: int = 0  # of the tasks that the scenario interrupts
    decided: dict[str, Decided] = field(default_factory=dict)  # what each policy module decided, by request


@contextmanager
def route_logs_to_processes() -> Iterator[None]:
    """Send the daemon's log only to the simulated process that emits each line."""
    handler = ProcessLog()
    form = json_formatter()
    form.converter = time.gmtime  # independent of the local time zone
    handler.setFormatter(form)
    before = DAEMON_LOGGER.propagate, DAEMON_LOGGER.level
    DAEMON_LOGGER.propagate = False
    DAEMON_LOGGER.setLevel(logging.INFO)
    DAEMON_LOGGER.addHandler(handler)
    try:
        yield
    finally:
        DAEMON_LOGGER.removeHandler(handler)
        DAEMON_LOGGER.propagate = before[0]
        DAEMON_LOGGER.setLevel(before[1])


def run_virtual(
    scenario: Scenario,
    seed: int,
    *,
    operator: OperatorSettings = NO_OPERATOR_FILE,
    progress: Progress = lambda at, text: None,
    kept_lines: int = 0,
    schedule: list[Planned] | None = None,
    make_environment: Callable[..., VirtualEnvironment] = VirtualEnvironment,
    make_rehearsal: Callable[..., Rehearsal] = Rehearsal,
) -> VirtualRun:
    """Run a scenario. The same scenario and seed produce the same events, byte for byte.

    Args:
        scenario: what to run.
        seed: the seed of all random draws.
        operator: settings of the operator file.
        progress: called with the time and a text as the run proceeds.
        kept_lines: number of trace lines to keep.
        schedule: requests to send instead of the scenario's own load.
        make_environment: creates the environment, for runs that need a subclass.
        make_rehearsal: creates the rehearsal, for runs that need a subclass.

    Raises:
        SimulationStalledError: the simulation cannot advance.
    """
    loop = VirtualLoop(seed)
    environment = make_environment(loop, scenario, seed, operator=operator, kept_lines=kept_lines)
    cutter = TaskInterrupter(loop, environment, scenario.cut) if scenario.cut is not None else None
    violations: list[InvariantViolation] = []
    errors: list[str] = []

    async def look_at_rest() -> None:
        violations.extend(find_violations(environment.routers))

    with route_logs_to_processes():
        try:
            rehearsal = make_rehearsal(
                scenario, seed, ground=environment, progress=progress, at_rest=look_at_rest, schedule=schedule
            )
            result = loop.run_until_complete(rehearsal.run())
            errors += loop.errors
            result.laid = lay(
                result.service.losses, result.record, scenario, environment.decided, result.began
            )
        except SimulationStalledError as e:
            raise SimulationStalledError(f"seed {seed}: {e}") from e
        finally:
            _close_loop(loop)
    violations += [InvariantViolation("unhandled", text) for text in errors]
    violations += [
        InvariantViolation("log", line) for router in environment.routers for line in _alarms(router.log)
    ]
    note = "; ".join(dict.fromkeys(fault.kind for fault in violations))
    result.verdicts.append(Verdict("the routers' own books", not violations, 0, len(violations), note=note))
    awaits = cutter.awaits if cutter is not None else 0
    lines = list(environment.trace.lines)
    seconds, events = loop.time() - LOOP_START_SECONDS, environment.trace.events
    return VirtualRun(result, violations, lines, seconds, events, awaits, environment.decided)


ALARM_EVENTS = ('"policy_failed"', '"request_dropped_by_policy"', '"endpoint_list_call_crashed"')


def _alarms(log: bytes) -> list[str]:
    """Log lines that report a defect of the router."""
    lines = log.decode(errors="replace").splitlines()
    return [line for line in lines if any(alarm in line for alarm in ALARM_EVENTS)]


def _close_loop(loop: VirtualLoop) -> None:
    """End all remaining tasks and close the loop, so that nothing leaks into the next run.

    Tasks of a killed process never end by themselves.
    """
    loop.unwind()
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks, timeout=UNWIND_SECONDS))
    loop._ready.clear()  # type: ignore[attr-defined]
    loop._scheduled.clear()  # type: ignore[attr-defined]
    loop.close()
    gc.collect(0)
