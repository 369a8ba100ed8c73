"""What the operator's file says of a router's place. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from ironrail.errors import InputError
from ironrail.peers.consensus.errors import VotersError
from ironrail.peers.messages import MAX_ROUTERS

LEASE = 3.0  # seconds: a router that is cut off decides for as long, and a change waits as long for it
DRIFT = 0.01  # that no clock's rate is off by more: crystals are within 0.0002, a slewed clock within 0.0005
DIRECT = 32  # routers: in a larger tier not every one of them asks the voters itself, see `path.py`
DEADLINE = 20.0  # seconds for a change: stages take 2 each, a lease that has to run out 3.1, documents 10


def check_voters(voters: tuple[int, ...], routers: int) -> None:
    """Raises VotersError unless these can be voters."""
    if len(voters) not in (3, 5, 7) or len(set(voters)) < len(voters):
        raise VotersError("must be 3, 5 or 7 different numbers", "voters")
    if not all(0 <= voter < routers for voter in voters):
        raise VotersError("names a router that isn't there", "voters")


@dataclass(frozen=True, slots=True)
class ConsensusConfig:
    """A router's place, as the operator's file has it."""

    router: int
    start: int  # of this process, as on the wire: drawn at random, never again
    routers: int
    voters: tuple[int, ...]  # 3, 5 or 7 of the routers
    lease_seconds: float = LEASE
    max_clock_drift: float = DRIFT
    max_direct_routers: int = DIRECT
    persists_records: bool = False  # voters keep their record
    starts_on_fallback: bool = False  # a router that knows nothing yet acts by the floor; else it isn't ready

    def __post_init__(self) -> None:
        """Raises InputError, with the field."""
        if not 0 <= self.router < self.routers <= MAX_ROUTERS:
            raise InputError("is no router's number", "me")
        check_voters(self.voters, self.routers)
        if not (self.lease_seconds > 0 and 0 <= self.max_clock_drift < 0.5):
            raise InputError("must be above 0, and the drift below 0.5", "lease")

    @property
    def max_lease_seconds(self) -> float:
        """Seconds by any clock in which a lease has run out by any other: one may be slow, the other fast."""
        return self.lease_seconds * (1 + self.max_clock_drift) / (1 - self.max_clock_drift)
