"""Mistakes to be planted in a change of voters: each turns one line of the argument off."""

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


def forward_by_new_alone(patch: Patch) -> None:
    """Only a majority of the new set is asked for the step to it."""
    patch.setattr(m.RegisterState, "needed", property(lambda self: (self.old.voters,)))


def majority_of_all(patch: Patch) -> None:
    """Old and new voters are counted as one set."""
    patch.setattr(
        m.RegisterState, "needed", property(lambda self: (self.named if self.left else self.old.voters,))
    )


def removed_still_counted(patch: Patch) -> None:
    """Promises of the voters that the operator's file names are as good as those in force."""
    before = Proposer._asked

    def asked(self: Proposer, change: Proposal, best: m.RegisterState | None) -> list[m.Voters]:
        old = len(change.replies.keys() & set(self.voters)) > len(self.voters) // 2
        return [self.voters] if old else before(self, change, best)

    patch.setattr(Proposer, "_asked", asked)


def found_state_not_heeded(patch: Patch) -> None:
    """A proposer asks the voters that it knows, also where it finds that there are others by now."""

    def asked(self: Proposer, change: Proposal, best: m.RegisterState | None) -> list[m.Voters]:
        return [self.known.voters if self.known else self.voters]

    patch.setattr(Proposer, "_asked", asked)


def old_grants_forgotten(patch: Patch) -> None:
    """In the joint state only the new voters grant leases."""
    patch.setattr(
        LeaseHolder, "own_expiry", lambda self, scope: self._end_by(self.voters.get(scope[-1], ()), scope)
    )


def new_grants_forgotten(patch: Patch) -> None:
    """In the joint state only the old voters grant leases."""
    patch.setattr(
        LeaseHolder, "own_expiry", lambda self, scope: self._end_by(self.voters.get(scope[0], ()), scope)
    )


def votes_before_it_holds(patch: Patch) -> None:
    """A router that is named as a voter takes the state that it knows for what it voted."""
    before = NodeState._be_voter

    def be_voter(self: NodeState, now: float) -> None:
        new = not self.voter
        before(self, now)
        if new and self.voter and self.known:
            ballot = m.Ballot(self.known.step // m.EPOCH)
            self.voter._stand(m.AcceptorState(ballot, ballot, self.known))

    patch.setattr(NodeState, "_be_voter", be_voter)


def asks_the_file(patch: Patch) -> None:
    """A voter without a memory is content with the voters of its file."""
    patch.setattr(AcceptorRecovery, "_asked", lambda self, state: ((0, 1, 2),))


DECIDED_BY_3_AND_4 = (
    "6>3 Prepare, 6>4 Prepare, 3>6 Promise, 4>6 Promise, 6>3 Accept, 6>4 Accept, 3>6 Accepted, 4>6 Accepted"
)
# the new voters, and one that was old, accept the step to the new ones, the other old ones the step back
OLD_BESIDE_NEW = (
    "6>0 Prepare, 6>1 Prepare, 6>3 Prepare, 6>4 Prepare, 0>6 Promise, 1>6 Promise, 3>6 Promise, 4>6 Promise, "
    "6>2 Accept, 6>3 Accept, 6>4 Accept, 6>5 Accept, 2>6 Accepted, 3>6 Accepted, 4>6 Accepted, 5>6 Accepted, "
    "7>0 Prepare, 7>1 Prepare, 0>7 Promise, 1>7 Promise, 7>0 Accept, 7>1 Accept, 0>7 Accepted, 1>7 Accepted"
)
# an old voter that knows only of the joint state brings the step to the new ones again, over their next one
SETTLED_AGAIN = (
    f"{DECIDED_BY_3_AND_4}, 0 again, 0>1 Prepare, 1>0 Promise, 0>3 Accept, 0>4 Accept, 7 again, "
    "7>3 Prepare, 7>4 Prepare, 3>7 Promise, 4>7 Promise, 7>3 Accept, 7>4 Accept, 3>7 Accepted, 4>7 Accepted"
)
# promises of voters that were removed
REMOVED = (
    f"{DECIDED_BY_3_AND_4}, 7>0 Prepare, 7>1 Prepare, 0>7 Promise, 1>7 Promise, 7>4 Accept, 7>5 Accept, "
    "4>7 Accepted, 5>7 Accepted"
)
# a new voter forgets what it voted, and hears of the old ones, and of a new one that didn't vote
FORGOTTEN = (
    f"{DECIDED_BY_3_AND_4}, 3 crash, 3>0 RecoveryRequest, 3>1 RecoveryRequest, 3>5 RecoveryRequest, "
    "0>3 RecoveryReport, 1>3 RecoveryReport, "
    "5>3 RecoveryReport, 7>3 Prepare, 7>5 Prepare, 3>7 Promise, 5>7 Promise, 7>3 Accept, 7>5 Accept, "
    "3>7 Accepted, 5>7 Accepted"
)
ALL: list[Callable[[Patch], None]] = [
    forward_by_new_alone, majority_of_all, removed_still_counted,
    found_state_not_heeded, old_grants_forgotten, new_grants_forgotten, votes_before_it_holds, asks_the_file,
]  # fmt: skip
