"""A proposed change of policy: its target state, its progress, and the handle of its proposer. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from ironrail.errors import IronrailError
from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus.quorum import QuorumReply


class TargetState(Enum):
    """The state that the next step of the register is to bring about."""

    JOINT = "both"  # from the old policy to the joint state
    NEW = "new"  # from the joint state to the new policy
    OLD = "old"  # from the joint state to the old policy
    UNCHANGED = "as it is"  # the same state, for certain


@dataclass(slots=True)
class ProposalHandle:
    """A caller's handle on a proposal. It ends once, with `in_force` or with the error that says why not."""

    ref: m.PolicyRef
    in_force: bool = False
    error: IronrailError | None = None

    @property
    def is_open(self) -> bool:
        """Whether it hasn't ended."""
        return not self.in_force and self.error is None


@dataclass(slots=True)
class Proposal:
    """Progress of one change of the register."""

    target: TargetState
    ref: m.PolicyRef | None = None
    handle: ProposalHandle | None = None
    began_at: float = 0.0
    deadline: float = math.inf  # of the ticket
    final_step_sent: bool = False  # the step to the new policy was sent out
    withdrawal_cause: IronrailError | None = None  # it is taken back
    may_restart_at_once: bool = True  # of the ballots that voters know: it comes again at once, but only once
    refusal: tuple[int, int, str] | None = None  # of any voter's promise
    unacknowledged: tuple[int, ...] = ()  # routers that didn't acknowledge, as last told
    ballot: m.Ballot = m.Ballot()
    asked_voters: m.Voters = ()  # who is asked at this ballot
    discovered_voters: m.Voters = ()  # named by a state that was found, and not known before
    value: m.RegisterState | None = None  # that is to be accepted at this ballot
    value_is_target: bool = False  # the value is the goal's, not one that another left half done
    replies: dict[int, QuorumReply] = field(default_factory=dict)
    retry_at: float = math.inf
    new_voters: m.Voters = ()  # that are to take the place of those in force; none: they stay
