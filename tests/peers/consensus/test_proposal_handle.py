"""Outcome of a proposal whose final step was finished by another router."""

from __future__ import annotations

import pytest

from ironrail.errors import IronrailError
from ironrail.peers.consensus import errors
from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus.proposal import Proposal, ProposalHandle, TargetState
from ironrail.peers.consensus.proposer import Proposer

VOTERS = (0, 1, 2)
OLD, OWN, LATER, LAST = (m.PolicyRef(n, bytes([n]) * 16, VOTERS) for n in (1, 3, 6, 7))
OTHER_PROCESS = (2, 12)  # the process that continued


@pytest.mark.parametrize(
    ("discovered", "expected_error"),
    [
        (m.RegisterState(9, OWN, max_tried_version=3), None),
        # in force, and a change was begun from it
        (m.RegisterState(10, OWN, LATER, 6, OTHER_PROCESS), None),
        (
            m.RegisterState(11, LATER, max_tried_version=6),
            errors.OpenError,
        ),  # it may have been in force, or been withdrawn
        (m.RegisterState(12, LATER, LAST, 7, OTHER_PROCESS), errors.OpenError),
        (m.RegisterState(9, OLD, max_tried_version=3), errors.WithdrawnError),
    ],
)
def test_the_handle_reports_the_outcome_after_others_continued(
    discovered: m.RegisterState, expected_error: type[IronrailError] | None
) -> None:
    proposer, handle = Proposer(4, 14, VOTERS, lambda: 0.0), ProposalHandle(OWN)
    proposer.begin(0.0, Proposal(TargetState.NEW, OWN, handle, final_step_sent=True))
    assert proposer.proposal is not None
    ballot, seen = proposer.proposal.ballot, tuple((voter, 10 + voter) for voter in VOTERS)
    for voter in VOTERS[:2]:
        promise = m.Promise(ballot, m.AcceptorState(ballot, m.Ballot(), discovered), discovered.step, seen)
        proposer.on_promise(0.1, voter, 10 + voter, promise)
    assert not handle.is_open and handle.in_force == (expected_error is None)
    assert handle.error is None if expected_error is None else isinstance(handle.error, expected_error)
