"""Mistakes to plant in a change of voters, and the schedules that reveal them."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus.acceptor_recovery import AcceptorRecovery
from ironrail.peers.consensus.lease import LeaseHolder
from ironrail.peers.consensus.node_state import NodeState
from ironrail.peers.consensus.proposal import Proposal
from ironrail.peers.consensus.proposer import Proposer

Patch = pytest.MonkeyPatch


def requires_new_majority_only(patch: Patch) -> None:
    """The step to the new voters needs only a majority of those."""
    patch.setattr(m.RegisterState, "required_voter_sets", property(lambda self: (self.old.voters,)))


def counts_all_voters_as_one_set(patch: Patch) -> None:
    """Old and new voters are counted as one set."""
    patch.setattr(
        m.RegisterState,
        "required_voter_sets",
        property(lambda self: (self.all_voters if self.previous_voters else self.old.voters,)),
    )


def counts_removed_voters(patch: Patch) -> None:
    """Promise of the voters in the operator's file count like those of the voters in force."""
    original = Proposer._required_voter_sets

    def asked(self: Proposer, change: Proposal, best: m.RegisterState | None) -> list[m.Voters]:
        old = len(change.replies.keys() & set(self.voters)) > len(self.voters) // 2
        return [self.voters] if old else original(self, change, best)

    patch.setattr(Proposer, "_required_voter_sets", asked)


def ignores_discovered_voters(patch: Patch) -> None:
    """A proposer asks the voters that it knows, even if it discovers other ones."""

    def asked(self: Proposer, change: Proposal, best: m.RegisterState | None) -> list[m.Voters]:
        return [self.latest_decided.voters if self.latest_decided else self.voters]

    patch.setattr(Proposer, "_required_voter_sets", asked)


def joint_lease_from_new_voters_only(patch: Patch) -> None:
    """In the joint state only the new voters grant leases."""
    patch.setattr(
        LeaseHolder,
        "own_expiry",
        lambda self, scope: self._majority_expiry(self.voters_by_version.get(scope[-1], ()), scope),
    )


def joint_lease_from_old_voters_only(patch: Patch) -> None:
    """In the joint state only the old voters grant leases."""
    patch.setattr(
        LeaseHolder,
        "own_expiry",
        lambda self, scope: self._majority_expiry(self.voters_by_version.get(scope[0], ()), scope),
    )


def new_voter_votes_without_recovery(patch: Patch) -> None:
    """A router that is named as a voter votes at once, from the state that it knows."""
    original = NodeState._become_voter

    def be_voter(self: NodeState, now: float) -> None:
        new = not self.acceptor
        original(self, now)
        if new and self.acceptor and self.latest_decided:
            ballot = m.Ballot(self.latest_decided.step // m.STEPS_PER_EPOCH)
            self.acceptor._start_voting(m.AcceptorState(ballot, ballot, self.latest_decided))

    patch.setattr(NodeState, "_become_voter", be_voter)


def recovers_from_configured_voters(patch: Patch) -> None:
    """A voter without its state recovers from the voters in its operator's file."""
    patch.setattr(AcceptorRecovery, "_required_voter_sets", lambda self, state: ((0, 1, 2),))


DECIDED_BY_3_AND_4 = (
    "6>3 Prepare, 6>4 Prepare, 3>6 Promise, 4>6 Promise, 6>3 Accept, 6>4 Accept, 3>6 Accepted, 4>6 Accepted"
)
# the new voters and one of the old ones accept the final step, the other old ones the step back
COMPETING_STEPS = (
    "6>0 Prepare, 6>1 Prepare, 6>3 Prepare, 6>4 Prepare, 0>6 Promise, 1>6 Promise, 3>6 Promise, 4>6 Promise, "
    "6>2 Accept, 6>3 Accept, 6>4 Accept, 6>5 Accept, 2>6 Accepted, 3>6 Accepted, 4>6 Accepted, 5>6 Accepted, "
    "7>0 Prepare, 7>1 Prepare, 0>7 Promise, 1>7 Promise, 7>0 Accept, 7>1 Accept, 0>7 Accepted, 1>7 Accepted"
)
# an old voter that knows only the joint state repeats the final step, over the step after it
REPEATED_FINAL_STEP = (
    f"{DECIDED_BY_3_AND_4}, 0 again, 0>1 Prepare, 1>0 Promise, 0>3 Accept, 0>4 Accept, 7 again, "
    "7>3 Prepare, 7>4 Prepare, 3>7 Promise, 4>7 Promise, 7>3 Accept, 7>4 Accept, 3>7 Accepted, 4>7 Accepted"
)
# promises of voters that were removed
REMOVED_VOTERS = (
    f"{DECIDED_BY_3_AND_4}, 7>0 Prepare, 7>1 Prepare, 0>7 Promise, 1>7 Promise, 7>4 Accept, 7>5 Accept, "
    "4>7 Accepted, 5>7 Accepted"
)
# a new voter loses what it accepted, and recovers from old ones and a new one that did not accept
# it
RESTARTED_NEW_VOTER = (
    f"{DECIDED_BY_3_AND_4}, 3 crash, 3>0 RecoveryRequest, 3>1 RecoveryRequest, 3>5 RecoveryRequest, "
    "0>3 RecoveryReport, 1>3 RecoveryReport, "
    "5>3 RecoveryReport, 7>3 Prepare, 7>5 Prepare, 3>7 Promise, 5>7 Promise, 7>3 Accept, 7>5 Accept, "
    "3>7 Accepted, 5>7 Accepted"
)
ALL: list[Callable[[Patch], None]] = [
    requires_new_majority_only,
    counts_all_voters_as_one_set,
    counts_removed_voters,
    ignores_discovered_voters,
    joint_lease_from_new_voters_only,
    joint_lease_from_old_voters_only,
    new_voter_votes_without_recovery,
    recovers_from_configured_voters,
]
