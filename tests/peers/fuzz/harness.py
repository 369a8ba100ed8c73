"""Runs fuzz targets input by input, and records findings, CPU time and amplification."""

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

MIN_TIMER_SECONDS = 0.002  # between two timer calls, as in the driver
IDLE_TIMER_CALLS, MIN_IDLE_SECONDS = 100, 2.0  # without messages so many calls take at least so long
EDGES = (0, 1, 2, 63, 64, 127, 128, 255, 256, 2**16 - 1, 2**16, 2**31, 2**32 - 1, 2**32, 2**48, 2**53, 2**62,
         2**62 + 1, 2**63 - 1, 2**63, 2**64 - 1)  # fmt: skip


P = ParamSpec("P")
T = TypeVar("T")


class Broken(AssertionError):
    """A property of the target does not hold."""


class FuzzTarget(ABC):
    """A target with its generator of inputs.

    Attributes:
        rng: The random numbers of this episode.
        bytes_received: Bytes passed to the target.
        bytes_sent: Bytes that the target sent.
        slowest: Seconds of CPU of the slowest input.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.bytes_received, self.bytes_sent, self.slowest = rng, 0, 0, 0.0

    def timed(self, call: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        """Pass one input to the target and measure its CPU time."""
        began = time.thread_time()
        try:
            return call(*args, **kwargs)
        finally:
            self.slowest = max(self.slowest, time.thread_time() - began)

    @abstractmethod
    def step(self) -> None:
        """TargetFactory one input.

        Raises:
            Broken: A property does not hold; any other exception is a finding as well.
        """

    @abstractmethod
    def end(self) -> None:
        """Check the target's state after the last input."""


TargetFactory = Callable[[random.Random], FuzzTarget]


@dataclass
class Figures:
    """Results for one kind of target.

    Attributes:
        inputs: Inputs so far.
        episodes: Episodes so far, each with its own seed.
        seconds: How long they took.
        slowest: Seconds of CPU of the slowest input.
        slowest_at: The seed of its episode.
        bytes_received: Bytes passed to the target.
        bytes_sent: Bytes that the target sent.
        found: Message and seed of the first finding, by kind and place.
        times: How often each was found, by the same.
    """

    inputs: int = 0
    episodes: int = 0
    seconds: float = 0.0
    slowest: float = 0.0
    slowest_at: str = ""
    bytes_received: int = 0
    bytes_sent: int = 0
    found: dict[str, str] = field(default_factory=dict)
    times: dict[str, int] = field(default_factory=dict)

    def row(self) -> str:
        """Return the results as a line of text."""
        ratio = f"{self.bytes_sent / self.bytes_received:.2f}" if self.bytes_received else "-"
        return (
            f"{self.episodes:7} episodes {self.inputs:9} inputs {self.seconds:6.0f} s, slowest "
            f"{self.slowest * 1e3:.1f} ms ({self.slowest_at}), sent/received {ratio}, "
            f"{len(self.found)} findings"
        )


def run(
    name: str, make: TargetFactory, seeds: Iterable[int], steps: int, until: float = float("inf")
) -> Figures:
    """Run an episode for each seed; none starts after `until`, a time of `time.monotonic`."""
    figures, began = Figures(), time.monotonic()
    for seed in seeds:
        if time.monotonic() >= until:
            break
        _episode(figures, name, make, seed, steps)
    figures.seconds = time.monotonic() - began
    return figures


def _episode(figures: Figures, name: str, make: TargetFactory, seed: int, steps: int) -> None:
    at, target = f"{name} --seed {seed}", None
    try:
        target = make(random.Random(f"{name} {seed}"))
        for _ in range(steps):
            figures.inputs += 1
            target.step()
        target.end()
    except Exception as error:  # noqa: BLE001 - any exception is a finding
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
        figures.bytes_received += target.bytes_received
        figures.bytes_sent += target.bytes_sent


def must(holds: bool, what: str) -> None:
    """Raise Broken unless the property holds; text after " = " is not part of the finding's kind."""
    if not holds:
        raise Broken(what)


def idle(protocol: Any, now: float) -> float:
    """Call a protocol's timer when it is due, without messages; outgoing ones are left to the caller.

    Returns:
        The time of the last call.
    """
    began = now
    for _ in range(IDLE_TIMER_CALLS):
        at = protocol.next_timer_at()
        must(not math.isnan(at), "next_timer_at is no time")
        if at == float("inf"):
            return now
        now = max(now + MIN_TIMER_SECONDS, at)
        protocol.on_timer(now)
    must(
        now - began >= MIN_IDLE_SECONDS,
        f"timer calls without end = {IDLE_TIMER_CALLS} in {now - began:.3f} s",
    )
    return now


def size_of(thing: object) -> int:
    """Return the bytes of memory of an object and all that it refers to, shared ones once."""
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
