"""What a ticket says of a version whose last step another router finished."""

from __future__ import annotations

import pytest

from ironrail.errors import IronrailError
from ironrail.peers.consensus import errors
from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus.proposal import Proposal, ProposalHandle, TargetState
from ironrail.peers.consensus.proposer import Proposer

VOTERS = (0, 1, 2)
BEFORE, MINE, LATER, LAST = (m.PolicyRef(n, bytes([n]) * 16, VOTERS) for n in (1, 3, 6, 7))
OTHER = (2, 12)  # the process that went on


@pytest.mark.parametrize(
    ("found", "ends"),
    [
        (m.RegisterState(9, MINE, tried=3), None),
        (m.RegisterState(10, MINE, LATER, 6, OTHER), None),  # in force, and a change was begun from it
        (
            m.RegisterState(11, LATER, tried=6),
            errors.OpenError,
        ),  # it may have been in force, or been taken back
        (m.RegisterState(12, LATER, LAST, 7, OTHER), errors.OpenError),
        (m.RegisterState(9, BEFORE, tried=3), errors.WithdrawnError),
    ],
)
def test_a_ticket_tells_right_of_a_version_that_others_went_on_from(
    found: m.RegisterState, ends: type[IronrailError] | None
) -> None:
    proposer, ticket = Proposer(4, 14, VOTERS, lambda: 0.0), ProposalHandle(MINE)
    proposer.begin(0.0, Proposal(TargetState.NEW, MINE, ticket, final_step_sent=True))
    assert proposer.change is not None
    ballot, seen = proposer.change.ballot, tuple((voter, 10 + voter) for voter in VOTERS)
    for voter in VOTERS[:2]:
        promise = m.Promise(ballot, m.AcceptorState(ballot, m.Ballot(), found), found.step, seen)
        proposer.promised(0.1, voter, 10 + voter, promise)
    assert not ticket.is_open and ticket.in_force == (ends is None)
    assert ticket.error is None if ends is None else isinstance(ticket.error, ends)
