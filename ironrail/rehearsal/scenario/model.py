"""The form of a scenario. What a file leaves out is as the defaults here have it: a calm, usual fleet.

A file writes times and sizes with their units. Here times are seconds, sizes bytes, and work is seconds of
one core of speed 1.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Self

from pydantic import Field, model_validator

from ironrail.rehearsal.scenario.base import Count, Positive, Share, Table
from ironrail.rehearsal.scenario.bounds import Bounds
from ironrail.rehearsal.scenario.faults import Cut, Fault
from ironrail.rehearsal.scenario.limits import Limits
from ironrail.rehearsal.scenario.units import Bytes, Seconds

NAME = r"^[!-+.-<>-~-]{1,64}$"  # of a class or a title: the protocol puts it into a list of names and values
MAX_SOCKET_RATE = 5000.0  # first tries a second on real sockets: one core of the kit drives no more
MAX_SOCKET_ROUTERS = 64  # the same, each at a loopback network of its own
MAX_VIRTUAL_RATE = 50_000.0  # in virtual time, where a second takes as long as it has to
MAX_VIRTUAL_ROUTERS = 1000  # the same: more than a few GB of memory hold beside 400 caches
MAX_LENGTH_SECONDS = 3600.0  # seconds: every load loop is bounded


class Repeats(StrEnum):
    """What repeating a request of a class may do."""

    SAFE = "safe"
    KEYED = "keyed"
    NEVER = "never"


class RequestClass(Table):
    """A class of requests, what its clients want, and what serving it is worth."""

    name: Annotated[str, Field(pattern=NAME)]
    share: Positive
    work: Seconds = 0.11  # of one core, on average
    spread: Annotated[float, Field(ge=0.0, le=3.0)] = 0.8  # standard deviation of the work, as a share of it
    wanted: Seconds = 0.8  # an answer after this has lost most of its worth
    give_up: Seconds = 1.5  # no client waits longer, its own retries included
    worth: Positive = 3.0  # of one request of usual work
    late_worth: Share = 0.3  # of that, for an answer between the two
    repeats: Repeats = Repeats.SAFE
    window: Seconds = 2.5  # in which a keyed repeat is dropped
    write: bool = False


class Title(Table):
    """Whose traffic it is. Beyond its share of what the fleet can do it is worth less."""

    name: Annotated[str, Field(pattern=NAME)]
    share: Positive
    usage: Positive = 1.0  # of its share that it asks for


class Load(Table):
    """What clients ask for, whatever the routers make of it: an open loop."""

    rate: Annotated[float, Field(gt=0.0, le=MAX_VIRTUAL_RATE)] = (
        240.0  # first tries a second, all halls together
    )
    shape: Annotated[str, Field(pattern="^(steady|bursty|ramp)$")] = "steady"
    swing: Share = 0.25  # of the rate, up and down, where the shape is not steady
    keys: Annotated[int, Field(ge=1, le=1_000_000)] = 600
    popularity: Annotated[float, Field(ge=0.0, le=3.0)] = 1.0  # the exponent of Zipf's law
    value: Bytes = 600  # of a usual value
    over_share_worth: Share = 0.2


class Clients(Table):
    """How clients behave."""

    retries: Annotated[int, Field(ge=0, le=10)] = 3
    try_share: Annotated[float, Field(gt=0.0, le=1.0)] = 0.58  # of the give-up time that one try waits
    wait: Seconds = 0.1  # before a retry
    honour: Share = 0.5  # of refusals that name a time are followed
    new_connections: Share = 0.02  # of tries come on a connection of their own, which then stays unused
    pipelined: Share = 0.0  # of tries are written behind one that waits, on its connection
    stay: Share = 0.0  # of a router's clients keep to connections that stay open once it was told to end
    leave: Share = 0.0  # of tries that are safe to repeat are left before the time told is up


class Halls(Table):
    """Where things stand, and how far apart."""

    names: list[Annotated[str, Field(pattern="^[a-z0-9-]{1,32}$")]] = ["hall-a", "hall-b", "hall-c"]
    between: Seconds = 0.002  # one way
    skew: Share = 0.15  # of the traffic that moves from the last hall to the first


class Routers(Table):
    """The routers under rehearsal: real processes."""

    count: Annotated[int, Field(ge=1, le=MAX_VIRTUAL_ROUTERS)] = 3
    descriptors: Annotated[int, Field(ge=128, le=4096)] = 384
    memory: Bytes = 96 * 1024**2
    front_notice: Seconds = 1.5  # for which the front goes on sending clients to a dead one


class Caches(Table):
    """The grid caches' stand-ins."""

    count: Count = 8
    cores: Count = 6
    speed: Positive = 1.0
    uneven: Share = 0.4  # the fastest is so much faster than usual, the slowest so much slower
    slots: Count = 60  # requests in work at once
    queue: Annotated[int, Field(ge=0, le=10_000)] = 100  # waiting beyond those
    memory: Bytes = 400 * 1024
    cold_share: Positive = 0.35  # of its capacity when it has just started
    warm: Seconds = 5.0  # until it has all of it
    fall_multiple: Positive = 2.5  # of what it can do when cold: more, for `fall_time`, and it stays down
    fall_time: Seconds = 1.0
    connections: Count = 95
    handshake: Seconds = 0.03  # of its work, for a new connection
    idle: Seconds = 60.0  # after which it closes a connection
    idle_told: Seconds | None = None  # what routers are told of that; the truth where left out


class Archive(Table):
    """The one slow source of all grids."""

    concurrency: Count = 48
    time: Seconds = 0.12  # of a usual fetch
    queue: Annotated[int, Field(ge=0, le=10_000)] = 120
    fall_multiple: Annotated[float, Field(ge=0.0)] = (
        0.0  # of its capacity, for a second: it stops; 0 is never
    )
    fall_for: Seconds = 3.0


class Registry(Table):
    """Where routers hear of the caches, seconds late."""

    notice: Seconds = 1.2  # of a process that ended or drains
    silent_notice: Seconds = 4.0  # of a machine that says nothing
    add: Seconds = 0.6  # of one that came
    spread: Seconds = 0.3  # between the routers, at the most
    grace: Seconds = 1.0  # after being told, in which something new may still go out
    asked: bool = False  # one service for all routers, which have to ask; else an agent beside each tells it
    rate: Positive = 2.6  # calls a second that it works through, where it is asked
    patience: Seconds = 2.0  # that a call waits there before it is refused
    # without a call for so long, news counts as told; four times that after a failure
    must_ask: Seconds = 10.0


class Network(Table):
    """The network of a run in virtual time; on real sockets it is the machine's own."""

    latency: Seconds = 0.0003  # one way
    jitter: Annotated[float, Field(ge=0.0, le=100.0)] = 0.5  # of the latency, drawn each time, on top
    bandwidth: Positive = 1e9  # bytes a second on each connection
    split: Share = 0.05  # of writes that come in two pieces
    refused: Share = 0.0  # of connects that are reset, whoever listens
    unheard: Share = 0.0  # of connects that nothing answers
    window: Bytes = 512 * 1024  # bytes under way and unread on a connection at once
    destroys: Share = 0.5  # of resets take along what was not yet read


DEFAULT_CLASSES = [
    RequestClass.model_validate(row)
    for row in (
        {"name": "grid-read", "share": 0.93},
        {
            "name": "prize-entry",
            "share": 0.04,
            "work": "200 ms",
            "wanted": "1500 ms",
            "give_up": "3 s",
            "worth": 8,
            "late_worth": 0.25,
            "repeats": "never",
            "write": True,
        },
        {
            "name": "hint-spend",
            "share": 0.03,
            "work": "200 ms",
            "wanted": "1 s",
            "give_up": "4 s",
            "worth": 8,
            "late_worth": 0.2,
            "repeats": "keyed",
            "write": True,
        },
    )
]
DEFAULT_TITLES = [
    Title(name="daily", share=0.42),
    Title(name="weekly", share=0.3),
    Title(name="regional", share=0.18),
    Title(name="junior", share=0.1),
]


class Scenario(Table):
    """One rehearsal."""

    summary: str
    about: str = ""
    length: Annotated[Seconds, Field(gt=0.0, le=MAX_LENGTH_SECONDS)]  # of the load that counts
    warm_up: Annotated[Seconds, Field(ge=0.0, le=60.0)] = (
        3.0  # of load before it: the caches fill, nothing counts
    )
    tick: Seconds = 0.005
    load: Load = Load()
    classes: Annotated[list[RequestClass], Field(alias="class", min_length=1)] = DEFAULT_CLASSES
    titles: Annotated[list[Title], Field(alias="title", min_length=1)] = DEFAULT_TITLES
    clients: Clients = Clients()
    halls: Halls = Halls()
    routers: Routers = Routers()
    caches: Caches = Caches()
    archive: Archive = Archive()
    registry: Registry = Registry()
    limits: Limits = Limits()
    network: Network = Network()
    faults: Annotated[list[Fault], Field(alias="fault")] = []
    bounds: Bounds = Bounds()
    cut: Cut | None = None

    @model_validator(mode="after")
    def _fits(self) -> Self:
        names = [c.name for c in self.classes]
        if len(set(names)) < len(names):
            raise ValueError("two classes have one name")
        if not self.halls.names or len(set(self.halls.names)) < len(self.halls.names):
            raise ValueError("halls.names must hold different names")
        for number, fault in enumerate(self.faults):
            if fault.at >= self.length:
                raise ValueError(f"fault {number + 1} ({fault.kind}) begins after the end")
        return self

    def beyond_sockets(self) -> str:
        """Return which limit of real sockets the scenario exceeds, empty if none."""
        if self.routers.count > MAX_SOCKET_ROUTERS:
            return (
                f"routers.count: {self.routers.count} are more than {MAX_SOCKET_ROUTERS},"
                " the most on real sockets"
            )
        if self.load.rate > MAX_SOCKET_RATE:
            return (
                f"load.rate: {self.load.rate:g} are more than {MAX_SOCKET_RATE:g}, the most on real sockets"
            )
        return ""

    def class_of(self, name: str) -> RequestClass:
        return next(c for c in self.classes if c.name == name)
