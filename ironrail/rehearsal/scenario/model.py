"""The data model of a scenario, whose defaults describe a typical fleet without faults.

Times and sizes have units in a file. Here times are in seconds, sizes in bytes, and work in seconds of one
core of speed 1.
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

NAME = r"^[!-+.-<>-~-]{1,64}$"  # of a class or a title: the protocol sends it in a list of names and values
MAX_SOCKET_RATE = 5000.0  # first tries per second on real sockets: the limit of one core of the kit
MAX_SOCKET_ROUTERS = 64  # on real sockets, each on a loopback network of its own
MAX_VIRTUAL_RATE = 50_000.0  # in virtual time, where a second may take longer to compute
MAX_VIRTUAL_ROUTERS = 1000  # in virtual time: more, beside 400 caches, don't fit into a few GB of memory
MAX_LENGTH_SECONDS = 3600.0  # bounds every load loop


class Repeats(StrEnum):
    """Whether requests of a class may be repeated: always, with a key within a window, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    NEVER = "never"


class RequestClass(Table):
    """A request class: its share of the load, its deadlines and the worth of serving it."""

    name: Annotated[str, Field(pattern=NAME)]
    share: Positive
    work: Seconds = 0.11  # mean, on one core
    spread: Annotated[float, Field(ge=0.0, le=3.0)] = (
        0.8  # standard deviation of the work, relative to the mean
    )
    wanted: Seconds = 0.8  # later answers have lost most of their worth
    give_up: Seconds = 1.5  # how long a client waits at most, including its retries
    worth: Positive = 3.0  # of one request of mean work
    late_worth: Share = 0.3  # fraction of the worth for an answer between `wanted` and `give_up`
    repeats: Repeats = Repeats.SAFE
    window: Seconds = 2.5  # in which servers drop a repeat with the same key
    write: bool = False


class Title(Table):
    """A title (tenant). Its requests beyond its share of the fleet's capacity are worth less."""

    name: Annotated[str, Field(pattern=NAME)]
    share: Positive
    usage: Positive = 1.0  # load that it requests, relative to its share


class Load(Table):
    """The load of clients, an open loop: it doesn't depend on the routers' answers."""

    rate: Annotated[float, Field(gt=0.0, le=MAX_VIRTUAL_RATE)] = (
        240.0  # first tries per second over all zones
    )
    shape: Annotated[str, Field(pattern="^(steady|bursty|ramp)$")] = "steady"
    swing: Share = 0.25  # relative amplitude of the rate, unless the shape is steady
    keys: Annotated[int, Field(ge=1, le=1_000_000)] = 600
    popularity: Annotated[float, Field(ge=0.0, le=3.0)] = 1.0  # the exponent of Zipf's law
    value: Bytes = 600  # typical size of a value
    over_share_worth: Share = 0.2


class Clients(Table):
    """The behaviour of clients."""

    retries: Annotated[int, Field(ge=0, le=10)] = 3
    try_share: Annotated[float, Field(gt=0.0, le=1.0)] = (
        0.58  # fraction of the give-up time that one try waits
    )
    wait: Seconds = 0.1  # before a retry
    honour: Share = 0.5  # fraction of refusals whose retry time clients respect
    new_connections: Share = 0.02  # fraction of tries on a connection of their own, not used again
    pipelined: Share = 0.0  # fraction of tries sent on a connection while an earlier one waits there
    stay: Share = 0.0  # fraction of clients that keep using open connections to a router after its SIGTERM
    leave: Share = 0.0  # fraction of safely repeatable tries that clients abandon before the announced time


class Halls(Table):
    """The zones and the latency between them."""

    names: list[Annotated[str, Field(pattern="^[a-z0-9-]{1,32}$")]] = ["hall-a", "hall-b", "hall-c"]
    between: Seconds = 0.002  # one way
    skew: Share = 0.15  # fraction of the traffic that moves from the last zone to the first


class Routers(Table):
    """The routers under test."""

    count: Annotated[int, Field(ge=1, le=MAX_VIRTUAL_ROUTERS)] = 3
    descriptors: Annotated[int, Field(ge=128, le=4096)] = 384
    memory: Bytes = 96 * 1024**2
    front_notice: Seconds = 1.5  # in which the front still sends clients to a crashed router


class Caches(Table):
    """The stand-ins of cache servers."""

    count: Count = 8
    cores: Count = 6
    speed: Positive = 1.0
    uneven: Share = 0.4  # relative deviation from `speed` of the fastest and the slowest cache
    slots: Count = 60  # requests processed concurrently
    queue: Annotated[int, Field(ge=0, le=10_000)] = 100  # requests that wait for a slot
    memory: Bytes = 400 * 1024
    cold_share: Positive = 0.35  # fraction of its capacity right after a start
    warm: Seconds = 5.0  # from a start until full capacity
    fall_multiple: Positive = 2.5  # of its cold capacity: more load, for `fall_time`, stops it for good
    fall_time: Seconds = 1.0
    connections: Count = 95
    handshake: Seconds = 0.03  # of work for a new connection
    idle: Seconds = 60.0  # after which it closes an unused connection
    idle_told: Seconds | None = None  # the value announced to routers, by default `idle`


class Archive(Table):
    """The origin of all values, which is slow."""

    concurrency: Count = 48
    time: Seconds = 0.12  # of a typical fetch
    queue: Annotated[int, Field(ge=0, le=10_000)] = 120
    fall_multiple: Annotated[float, Field(ge=0.0)] = (
        0.0  # of its capacity: more load, for a second, stops it; 0 is never
    )
    fall_for: Seconds = 3.0


class Registry(Table):
    """The service discovery of caches, which notifies routers with a delay."""

    notice: Seconds = 1.2  # delay for a process that ended or drains
    silent_notice: Seconds = 4.0  # delay for a machine that stops responding
    add: Seconds = 0.6  # delay for a new cache
    spread: Seconds = 0.3  # maximum difference between routers
    grace: Seconds = 1.0  # after a notice, in which new attempts may still be sent
    asked: bool = False  # one service that all routers poll; otherwise an agent beside each notifies it
    rate: Positive = 2.6  # calls per second that the polled service handles
    patience: Seconds = 2.0  # that a call waits there before it is refused
    # a router that doesn't call for so long counts as notified; four times that after a failure
    must_ask: Seconds = 10.0


class Network(Table):
    """The simulated network of a run in virtual time; real sockets use the machine's network."""

    latency: Seconds = 0.0003  # one way
    jitter: Annotated[float, Field(ge=0.0, le=100.0)] = 0.5  # random addition to each latency, relative to it
    bandwidth: Positive = 1e9  # bytes per second on each connection
    split: Share = 0.05  # fraction of writes that arrive in two pieces
    refused: Share = 0.0  # fraction of connects that are reset even though a server listens
    unheard: Share = 0.0  # fraction of connects that get no response
    window: Bytes = 512 * 1024  # maximum of unread bytes in transit on a connection
    destroys: Share = 0.5  # fraction of resets that discard data not yet read


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
    """A complete scenario: components, load, faults and bounds."""

    summary: str
    about: str = ""
    length: Annotated[Seconds, Field(gt=0.0, le=MAX_LENGTH_SECONDS)]  # of the measured load
    warm_up: Annotated[Seconds, Field(ge=0.0, le=60.0)] = (
        3.0  # of load before it that fills the caches and is not measured
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
