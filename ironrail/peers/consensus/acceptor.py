"""Acceptor: a voter's part in the register, i.e. promises, accepts and granting leases. Pure.

The register is CASPaxos (Rystsov 2018) with a single value that each change replaces. A voter that
lost its state votes only after a majority of the others has reported theirs, see
`acceptor_recovery.py`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus.acceptor_recovery import AcceptorRecovery

RECORD_RETRY_SECONDS = 1.0  # until a record that could not be written is written again
# Messages that wait for the disk. Older ones are dropped, as if lost on the way: they are
# requested again.
MAX_DEFERRED_MESSAGES = 64


@dataclass(frozen=True, slots=True)
class PersistRecord:
    """A record to be written in order and synced to disk.

    `on_record_written(token)` is called after that.
    """

    token: int
    record: bytes


class Acceptor(AcceptorRecovery):
    """One of the few routers that store the register."""

    def __init__(
        self,
        own_index: int,
        incarnation: int,
        voters: m.Voters,
        now: float,
        wait: float,
        record: bytes | None,
        persists_records: bool,
    ) -> None:
        """Create the acceptor, with the state of its record if there is one."""
        super().__init__(own_index, incarnation, voters, now, wait, record)
        self.persists_records = persists_records
        self.records: list[PersistRecord] = []
        self.token = self.written_token = 0
        # token, destination, and what is sent once its record is written
        self._deferred_messages: list[tuple[int, int, m.Message]] = []
        self.retry_write_at = math.inf

    @property
    def is_write_failing(self) -> bool:
        """Whether the latest record could not be written."""
        return self.retry_write_at < math.inf

    def on_timer(self, now: float) -> None:
        """Request a lost state again, and write a record again that could not be written."""
        if now >= self.retry_write_at:
            self.retry_write_at = now + RECORD_RETRY_SECONDS
            self._persist()
        super().on_timer(now)

    # State must be written before any message that depends on it is sent.

    def _update_state(self, acceptor_state: m.AcceptorState) -> None:
        if acceptor_state == self.acceptor_state:
            return
        self.acceptor_state = acceptor_state
        if self.persists_records:
            self._persist()

    def _persist(self) -> None:
        self.token += 1
        self.records.append(PersistRecord(self.token, msgspec.msgpack.encode(self.acceptor_state)))

    def _send_when_persisted(self, to: int, message: m.Message) -> None:
        if self.is_write_failing:
            return
        if self.written_token < self.token:
            self._deferred_messages = [
                *self._deferred_messages[1 - MAX_DEFERRED_MESSAGES :],
                (self.token, to, message),
            ]
        else:
            self.outgoing.append((to, message))

    def on_record_written(self, token: int) -> None:
        """Send what waited for the record with this token, which also covers all earlier ones."""
        self.written_token = max(self.written_token, token)
        if self.written_token == self.token:
            self.retry_write_at = math.inf
        ready = [entry for entry in self._deferred_messages if entry[0] <= self.written_token]
        self._deferred_messages = [
            entry for entry in self._deferred_messages if entry[0] > self.written_token
        ]
        self.outgoing += [(to, message) for _, to, message in ready]

    def on_record_failed(self, now: float, token: int) -> None:
        """Drop the messages that waited for a record.

        The record may be on the disk or not, so no message may depend on it.
        """
        if token > self.written_token:
            self._deferred_messages, self.retry_write_at = [], now + RECORD_RETRY_SECONDS

    # register

    def on_prepare(self, now: float, to: int, message: m.Prepare) -> None:
        """Promise to accept nothing below this ballot."""
        accepted, ballot = self.acceptor_state.accepted, message.ballot
        if not self.is_voting or accepted is None:
            return
        if ballot < self.acceptor_state.promised or ballot.epoch != self.epoch:
            self._send_when_persisted(to, m.BallotRejected(ballot, self.acceptor_state.promised))
            return
        self._update_state(m.AcceptorState(ballot, self.acceptor_state.accepted_ballot, accepted))
        blocking_routers: list[int] = []
        rejection = None
        if accepted.new:
            blocking_routers = self.granted_leases.conflicting_holders(now, accepted.scope[1:])
            rejection = self.granted_leases.rejection_of(now, accepted.scope[1])
            if now < self.old_leases_expire_at:  # leases granted before the restart are unknown
                blocking_routers = blocking_routers or [self.own_index]
        self.contact_unseen_voters(message.asked_voters)
        seen, decided_step = (
            self.seen_incarnations(message.asked_voters),
            self.latest_decided.step if self.latest_decided else 0,
        )
        self._send_when_persisted(
            to,
            m.Promise(
                ballot,
                self.acceptor_state,
                decided_step,
                seen,
                tuple(blocking_routers[:4]),
                rejection,
            ),
        )

    def on_accept(
        self, now: float, to: int, ballot: m.Ballot, state: m.RegisterState, has_documents: bool
    ) -> None:
        """Accept a state, unless a lease conflicts with it or one of its documents is missing.

        Args:
            now: Time on this router's clock.
            to: The proposer.
            ballot: The ballot of the proposer.
            state: The state to accept.
            has_documents: Whether all documents of the state are stored.
        """
        if not self.is_voting:
            return
        if ballot < self.acceptor_state.promised or ballot.epoch != self.epoch:
            self._send_when_persisted(to, m.BallotRejected(ballot, self.acceptor_state.promised))
        elif (
            not has_documents
            or now < self.old_leases_expire_at
            or self.granted_leases.conflicting_holders(now, state.scope)
        ):
            self._send_when_persisted(to, m.AcceptBlocked(ballot))
        else:
            self._update_state(m.AcceptorState(ballot, ballot, state))
            self._send_when_persisted(
                to, m.Accepted(ballot, self.seen_incarnations(state.all_voters))
            )

    def on_lease_request(
        self,
        now: float,
        process: tuple[int, int],
        lease_request: m.LeaseRequest,
        latest_decided: m.RegisterState | None,
    ) -> None:
        """Handle a request for a lease.

        None is granted for a state older than the one before the state that this acceptor
        accepted.
        """
        accepted = self.acceptor_state.accepted
        can_grant = self.is_voting and accepted is not None and now >= self.old_leases_expire_at
        min_step = accepted.step - 1 if can_grant and accepted else 2**63
        granted = self.granted_leases.request(
            now, process, lease_request, min_step, now + self.granted_leases.max_lease_seconds
        )
        if granted is not None:
            newer_state = (
                latest_decided
                if latest_decided and latest_decided.step > lease_request.known_step
                else None
            )
            self.outgoing.append(
                (
                    process[0],
                    m.LeaseReply(
                        lease_request.sequence, granted, self.is_voting, self.epoch, newer_state
                    ),
                )
            )
