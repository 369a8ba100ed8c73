"""Configuration of a router's part in the consensus. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from ironrail.errors import InputError
from ironrail.peers.consensus.errors import VotersError
from ironrail.peers.messages import MAX_ROUTERS

# A disconnected router keeps deciding for this long, and a change of policy waits as long for it.
DEFAULT_LEASE_SECONDS = 3.0
# Bound on the error of any clock's rate: crystals are within 0.0002, a slewed clock within 0.0005.
DEFAULT_MAX_CLOCK_DRIFT_RATIO = 0.01
# In a larger peer group not every router asks the voters for its lease itself, see
# `lease_routing.py`.
DEFAULT_MAX_DIRECT_ROUTERS = 32
# For a whole change: a stage takes up to 2 s, waiting for a lease to expire 3.1 s, documents 10 s.
DEFAULT_DEADLINE_SECONDS = 20.0


def check_voters(voters: tuple[int, ...], routers: int) -> None:
    """Check that these routers can form a set of voters.

    Raises:
        VotersError: Not 3, 5 or 7 different routers, or one that does not exist.
    """
    if len(voters) not in (3, 5, 7) or len(set(voters)) < len(voters):
        raise VotersError("must be 3, 5 or 7 different numbers", "voters")
    if not all(0 <= voter < routers for voter in voters):
        raise VotersError("names a router that doesn't exist", "voters")


@dataclass(frozen=True, slots=True)
class ConsensusConfig:
    """Configuration of one router, from the operator's file."""

    own_index: int
    incarnation: int  # of this process, as on the wire; random, never reused
    routers: int
    voters: tuple[int, ...]  # 3, 5 or 7 of the routers
    lease_seconds: float = DEFAULT_LEASE_SECONDS
    max_clock_drift_ratio: float = DEFAULT_MAX_CLOCK_DRIFT_RATIO
    max_direct_routers: int = DEFAULT_MAX_DIRECT_ROUTERS
    persists_records: bool = False  # whether voters keep their record on disk
    # whether a router that knows no state yet acts on the fallback policy, or is not ready
    starts_on_fallback: bool = False

    def __post_init__(self) -> None:
        """Check the fields.

        Raises:
            InputError: A field is out of range; `location` names the setting.
        """
        if not 0 <= self.own_index < self.routers <= MAX_ROUTERS:
            raise InputError("is not the number of a router", "me")
        check_voters(self.voters, self.routers)
        if not (self.lease_seconds > 0 and 0 <= self.max_clock_drift_ratio < 0.5):
            raise InputError("must be above 0, and the drift below 0.5", "lease")

    @property
    def max_lease_seconds(self) -> float:
        """Time on any clock after which a lease has expired on every other clock.

        Assumes the worst case of `max_clock_drift_ratio`: one clock runs slow, the other fast.
        """
        return (
            self.lease_seconds * (1 + self.max_clock_drift_ratio) / (1 - self.max_clock_drift_ratio)
        )
