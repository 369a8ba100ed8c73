"""A proposed change of policy: its target, its progress, and its caller's handle. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from ironrail.errors import IronrailError
from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus.quorum import QuorumReply


class TargetState(Enum):
    """The state that the next step of the register shall produce."""

    JOINT = "both"  # from the old policy to the joint state
    NEW = "new"  # from the joint state to the new policy
    OLD = "old"  # from the joint state back to the old policy
    UNCHANGED = "as it is"  # the same state, known to be decided


@dataclass(slots=True)
class ProposalHandle:
    """A caller's handle on a proposal.

    It ends once: with `in_force`, or with the error that says why not.
    """

    ref: m.PolicyRef
    in_force: bool = False
    error: IronrailError | None = None

    @property
    def is_open(self) -> bool:
        """Whether the proposal has not ended yet."""
        return not self.in_force and self.error is None


@dataclass(slots=True)
class Proposal:
    """Progress of one change of the register."""

    target: TargetState
    ref: m.PolicyRef | None = None
    handle: ProposalHandle | None = None
    began_at: float = 0.0
    deadline: float = math.inf  # of the handle
    final_step_sent: bool = False  # whether the step to the new policy was sent
    withdrawal_cause: IronrailError | None = None  # why the change is withdrawn, if it is
    may_restart_at_once: bool = True  # restarts at once after the first rejected ballot, only then
    rejection: tuple[int, int, str] | None = None  # from any voter's promise
    unacknowledged: tuple[int, ...] = ()  # routers that have not acknowledged, as last reported
    ballot: m.Ballot = m.Ballot()
    asked_voters: m.Voters = ()  # who is asked at this ballot
    discovered_voters: m.Voters = ()  # named by a state that was discovered, and not known before
    value: m.RegisterState | None = None  # to be accepted at this ballot
    # whether the value is this proposal's own, not one that another proposer left unfinished
    value_is_target: bool = False
    replies: dict[int, QuorumReply] = field(default_factory=dict)
    retry_at: float = math.inf
    new_voters: m.Voters = ()  # replace those in force; empty: these stay
