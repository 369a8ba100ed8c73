"""What a router keeps of each server, attempt and request. Times are seconds on the host's clock."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from ironrail.policy import interface as api

LIMIT_START = 4.0  # first guess of what one router may have out at a server; moves within seconds
SMOOTHING = 0.2  # of the latest sample in a mean; five answers or so are remembered
ANSWERED = (api.Status.OK, api.Status.MISS, api.Status.ERROR, api.Status.FULL)


@dataclass(slots=True, eq=False)
class Server:  # as this router sees it
    entry: api.ServerEntry
    cache: bool = True  # or the origin
    load: int = 0  # own attempts in flight
    work: float = 0.0  # expected, in them
    lingering: deque[tuple[float, float]] = field(default_factory=deque)  # given up: sent at, counted until
    limit: float = LIMIT_START  # of own attempts in flight
    cut_at: float = -math.inf
    rest_until: float = -math.inf
    latency: float = 0.0  # smoothed
    takes: float = 0.0  # the same without the link there, where that is known
    slowness: float = 0.0  # smoothed share of the target that answers take
    credit: float = 0.0  # of work that it may be sent while warming
    credit_at: float = -math.inf
    losses: int = 0  # in a row, of attempts that no answer came to
    trial_at: float = -math.inf  # passed over until then
    used_at: float = -math.inf  # latest sign of life on a connection to it
    lost_at: float = -math.inf  # when a connect to it last failed
    well_at: float = -math.inf  # when the latest attempt was sent that it served or missed
    refused: bool = False  # a connect to it, at once, since it last answered on a new connection


@dataclass(slots=True, eq=False)
class Attempt:  # one send of a request
    server: Server
    target: float  # slower than this means too many are out
    aim: float  # of its class
    cost: float  # expected work, 1 where no hint is given
    sent_at: float
    idle: float  # time its connection was unused, infinite if new; losses within an aim are the server's
    overdue: float  # seconds without an answer after which it may be lost
    link: float = 0.0  # seconds by which its answer may be later, as the link there is long
    trip: float = 0.0  # seconds there and back when it was sent, as far as known
    open: bool = True
    may_have_run: bool = True  # until an outcome proves the contrary
    broken: bool = False  # soon, by its connection: the same server most likely still has the key
    unheard: bool = False  # no answer came for long


@dataclass(slots=True, eq=False)
class Held:  # a request that is owed its final answer
    request: api.Request
    key: str
    request_class: api.RequestClass
    until: float  # no use in waiting for longer
    to_origin: bool
    skip: int = 0  # servers of its key to pass over, as others take their part of a popular key
    attempts: list[Attempt] = field(default_factory=list)
    paid: int = 1  # sends that need no budget: the first, and one for each miss
    waiting: bool = False  # for a place at the origin, or for any server at all
    streaming: bool = False

    def open_attempts(self) -> int:
        return sum(a.open for a in self.attempts)
