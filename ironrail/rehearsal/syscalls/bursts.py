"""Draws bursts of failing system calls, one router each. No I/O."""

from __future__ import annotations

import errno
import random
from collections.abc import Sequence
from dataclasses import dataclass

from ironrail.rehearsal.syscalls.control import ALWAYS, SHORT, SystemCall

BURSTS_PER_ROUTER = 1.5  # mean
BURST_SECONDS = (0.1, 1.0)  # minimum and maximum
PROBABILITIES = (50, 300, ALWAYS)  # per thousand calls
# A socket that is ready does not go on refusing, a call is interrupted once for each signal, and a
# router that can't read at all hears nothing of drains either.
MAX_SPURIOUS = 300
NEAR_FRACTION = 0.5  # of the given moments that coincide with a burst


@dataclass(frozen=True, slots=True)
class FailingCall:
    """A call and one of its documented errors."""

    call: SystemCall
    error: int
    max_per_thousand: int = ALWAYS


FAILING_CALLS = (
    FailingCall(SystemCall.ACCEPT, errno.EMFILE),
    FailingCall(SystemCall.ACCEPT, errno.ENFILE),
    FailingCall(SystemCall.ACCEPT, errno.ENOMEM),
    FailingCall(SystemCall.ACCEPT, errno.ECONNABORTED),
    FailingCall(SystemCall.BIND, errno.ENOMEM),
    FailingCall(SystemCall.CONNECT, errno.EADDRNOTAVAIL),
    FailingCall(SystemCall.CONNECT, errno.EAGAIN),
    FailingCall(SystemCall.CONNECT, errno.ENETUNREACH),
    FailingCall(SystemCall.GETSOCKNAME, errno.ENOBUFS),
    FailingCall(SystemCall.IOCTL, errno.ENOMEM),
    FailingCall(SystemCall.LOG_WRITE, errno.EIO),
    FailingCall(SystemCall.LOG_WRITE, errno.ENOSPC),
    FailingCall(SystemCall.OPEN, errno.EMFILE),
    FailingCall(SystemCall.OPEN, errno.EIO),
    FailingCall(SystemCall.POLL, errno.ENOMEM),
    FailingCall(SystemCall.READ, SHORT),
    FailingCall(SystemCall.READ, errno.EAGAIN, MAX_SPURIOUS),
    FailingCall(SystemCall.READ, errno.EINTR, MAX_SPURIOUS),
    FailingCall(SystemCall.READ, errno.ENOMEM, MAX_SPURIOUS),
    FailingCall(SystemCall.SETSOCKOPT, errno.ENOBUFS),
    FailingCall(SystemCall.SHUTDOWN, errno.ENOBUFS),
    FailingCall(SystemCall.SOCKET, errno.EMFILE),
    FailingCall(SystemCall.SOCKET, errno.ENOBUFS),
    FailingCall(SystemCall.WAKE_UP, errno.EAGAIN),
    FailingCall(SystemCall.WRITE, SHORT),
    FailingCall(SystemCall.WRITE, errno.EAGAIN, MAX_SPURIOUS),
    FailingCall(SystemCall.WRITE, errno.EINTR, MAX_SPURIOUS),
    FailingCall(SystemCall.WRITE, errno.ENOBUFS, MAX_SPURIOUS),
)


@dataclass(frozen=True, slots=True)
class Burst:
    """A time in which a call of one router fails."""

    at: float  # seconds from the start of the load
    router: str
    failing: FailingCall
    per_thousand: int
    seconds: float

    def label(self) -> str:
        """Return the burst as text for the report of a run."""
        name = "SHORT" if self.failing.error == SHORT else errno.errorcode[self.failing.error]
        call = self.failing.call.name.lower()
        return (
            f"{self.at:.3f} s: {call} of {self.router} fails with {name}"
            f" ({self.per_thousand} in 1000) for {self.seconds:.3f} s"
        )


def draw_bursts(
    draws: random.Random, routers: Sequence[str], until: float, near: Sequence[tuple[float, str]]
) -> tuple[Burst, ...]:
    """Draw the bursts of one run.

    Args:
        draws: The source of randomness.
        routers: Names of the routers.
        until: Latest start, in seconds from the start of the load.
        near: Moments, each with a router, of which about half coincide with a burst.
    """
    moments = [(draws.uniform(0.0, until), draws.choice(routers)) for _ in _count(draws, routers)]
    for at, router in near:
        if draws.random() < NEAR_FRACTION:
            moments.append((max(0.0, at + draws.uniform(-0.3, 0.6)), router))
    return tuple(sorted((_draw(draws, at, router) for at, router in moments), key=lambda b: b.at))


def _count(draws: random.Random, routers: Sequence[str]) -> range:
    return range(max(1, round(draws.uniform(0.5, 1.5) * BURSTS_PER_ROUTER * len(routers))))


def _draw(draws: random.Random, at: float, router: str) -> Burst:
    failing = draws.choice(FAILING_CALLS)
    per_thousand = min(draws.choice(PROBABILITIES), failing.max_per_thousand)
    return Burst(at, router, failing, per_thousand, draws.uniform(*BURST_SECONDS))
