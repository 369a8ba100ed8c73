"""One target after another, an input at a time: what was raised, how long it took, what was said for it."""

from __future__ import annotations

import math
import random
import sys
import time
import traceback
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, ParamSpec, TypeVar

LEAST_WAIT = 0.002  # seconds between two wakes, as the driver has it
IDLE_WAKES, IDLE_SECONDS = 100, 2.0  # so many wakes with nothing heard must take so long at the least
EDGES = (0, 1, 2, 63, 64, 127, 128, 255, 256, 2**16 - 1, 2**16, 2**31, 2**32 - 1, 2**32, 2**48, 2**53, 2**62,
         2**62 + 1, 2**63 - 1, 2**63, 2**64 - 1)  # fmt: skip


P = ParamSpec("P")
T = TypeVar("T")


class Broken(AssertionError):
    """A promise was."""


class Attack(ABC):
    """Something under attack. `heard`, `said`: bytes so far; `slowest`: seconds of CPU for one input."""

    def __init__(self, draws: random.Random) -> None:
        self.draws, self.heard, self.said, self.slowest = draws, 0, 0, 0.0

    def timed(self, call: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        """Hand over one input."""
        began = time.thread_time()
        try:
            return call(*args, **kwargs)
        finally:
            self.slowest = max(self.slowest, time.thread_time() - began)

    @abstractmethod
    def step(self) -> None:
        """One input; raises Broken, or whatever should not have come out."""

    @abstractmethod
    def end(self) -> None:
        """After the last one: what must hold of all that is kept."""


Make = Callable[[random.Random], Attack]


@dataclass
class Figures:
    """Of one kind of target."""

    inputs: int = 0
    episodes: int = 0
    seconds: float = 0.0
    slowest: float = 0.0  # seconds of CPU for one input
    slowest_at: str = ""
    heard: int = 0
    said: int = 0
    found: dict[str, str] = field(default_factory=dict)  # what and where -> what it said, the first seed
    times: dict[str, int] = field(default_factory=dict)  # the same -> how often it came

    def row(self) -> str:
        ratio = f"{self.said / self.heard:.2f}" if self.heard else "-"
        return (
            f"{self.episodes:7} episodes {self.inputs:9} inputs {self.seconds:6.0f} s, slowest "
            f"{self.slowest * 1e3:.1f} ms ({self.slowest_at}), said/heard {ratio}, {len(self.found)} findings"
        )


def run(name: str, make: Make, seeds: Iterable[int], steps: int, until: float = float("inf")) -> Figures:
    """`until`: of `time.monotonic`, after which no other episode begins."""
    figures, began = Figures(), time.monotonic()
    for seed in seeds:
        if time.monotonic() >= until:
            break
        _episode(figures, name, make, seed, steps)
    figures.seconds = time.monotonic() - began
    return figures


def _episode(figures: Figures, name: str, make: Make, seed: int, steps: int) -> None:
    at, target = f"{name} --seed {seed}", None
    try:
        target = make(random.Random(f"{name} {seed}"))
        for _ in range(steps):
            figures.inputs += 1
            target.step()
        target.end()
    except Exception as error:  # noqa: BLE001 - that anything comes out is what is looked for
        last = traceback.extract_tb(error.__traceback__)[-1]
        what = f"{type(error).__name__}: {str(error)[:100]}"
        key = f"{type(error).__name__} {last.filename.rpartition('ironrail/')[2]}:{last.lineno}"
        key = key if not isinstance(error, Broken) else what.split(" = ", maxsplit=1)[0]
        figures.found.setdefault(key, f"{what} ({at})")
        figures.times[key] = figures.times.get(key, 0) + 1
    figures.episodes += 1
    if target is not None:
        if target.slowest > figures.slowest:
            figures.slowest, figures.slowest_at = target.slowest, at
        figures.heard += target.heard
        figures.said += target.said


def must(holds: bool, what: str) -> None:
    """Raise Broken if not; what comes behind " = " tells no two findings apart."""
    if not holds:
        raise Broken(what)


def idle(room: Any, now: float) -> float:
    """Wake a room when it wants it, with nothing heard; the time then. Its says are left for the caller."""
    began = now
    for _ in range(IDLE_WAKES):
        at = room.next_timer_at()
        must(not math.isnan(at), "wake_at is no time")
        if at == float("inf"):
            return now
        now = max(now + LEAST_WAIT, at)
        room.on_timer(now)
    must(now - began >= IDLE_SECONDS, f"wakes without end = {IDLE_WAKES} in {now - began:.3f} s")
    return now


def size_of(thing: object) -> int:
    """Bytes of an object and all that it holds, shared ones once."""
    seen: set[int] = set()
    stack, total = [thing], 0
    while stack:
        one = stack.pop()
        if id(one) in seen or isinstance(one, (type, type(sys), type(run))):
            continue
        seen.add(id(one))
        total += sys.getsizeof(one)
        if isinstance(one, dict):
            stack += [*one.keys(), *one.values()]
        elif isinstance(one, (list, tuple, set, frozenset)) or type(one).__name__ in ("deque", "OrderedDict"):
            stack += list(one)  # type: ignore[call-overload]
        else:
            stack += list(getattr(one, "__dict__", {}).values())
            for kind in type(one).__mro__:
                names = kind.__dict__.get("__slots__", ())
                names = (names,) if isinstance(names, str) else names
                stack += [getattr(one, slot) for slot in names if hasattr(one, slot)]
    return total
