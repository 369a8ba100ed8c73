"""A voter's part in the register: ballots, promises and accepts. Pure.

The register is CASPaxos (Rystsov 2018) with one state that each change replaces. A voter without a memory
votes only after a majority of the others told it, with a nonce, where things stand: see `memory.py`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus.acceptor_recovery import AcceptorRecovery

KEEP_EVERY = 1.0  # seconds until a record that couldn't be kept is tried again
MOST_HELD = 64  # words that wait for the disk: older ones count as lost on the way, and are asked for again


@dataclass(frozen=True, slots=True)
class PersistRecord:
    """To be written, in order, and synced to the disk before `kept(token)` is told."""

    token: int
    record: bytes


class Acceptor(AcceptorRecovery):
    """One of the few that keep the register."""

    def __init__(
        self, me: int, start: int, voters: m.Voters, now: float, wait: float, record: bytes | None, disk: bool
    ) -> None:
        """As of a memory; `disk`: keep records."""
        super().__init__(me, start, voters, now, wait, record)
        self.disk = disk
        self.records: list[PersistRecord] = []
        self.token = self.written_token = 0
        self._held: list[tuple[int, int, m.Message]] = []  # token, to, what is told once it is kept
        self.retry_write_at = math.inf

    @property
    def write_is_failing(self) -> bool:
        """Whether the latest record couldn't be kept."""
        return self.retry_write_at < math.inf

    def wake(self, now: float) -> None:
        """Ask on for what was lost; keep again what couldn't be kept."""
        if now >= self.retry_write_at:
            self.retry_write_at = now + KEEP_EVERY
            self._keep()
        super().wake(now)

    # what changes must be kept before anything that rests on it is told

    def _change(self, vouched: m.AcceptorState) -> None:
        if vouched == self.vouched:
            return
        self.vouched = vouched
        if self.disk:
            self._keep()

    def _keep(self) -> None:
        self.token += 1
        self.records.append(PersistRecord(self.token, msgspec.msgpack.encode(self.vouched)))

    def _tell(self, to: int, message: m.Message) -> None:
        if self.write_is_failing:
            return
        if self.written_token < self.token:
            self._held = [*self._held[1 - MOST_HELD :], (self.token, to, message)]
        else:
            self.out.append((to, message))

    def on_record_written(self, token: int) -> None:
        """The record of this token, and those before, outlast the process now."""
        self.written_token = max(self.written_token, token)
        if self.written_token == self.token:
            self.retry_write_at = math.inf
        ready = [held for held in self._held if held[0] <= self.written_token]
        self._held = [held for held in self._held if held[0] > self.written_token]
        self.out += [(to, message) for _, to, message in ready]

    def on_record_failed(self, now: float, token: int) -> None:
        """It may be there or not: nothing is told that rests on it."""
        if token > self.written_token:
            self._held, self.retry_write_at = [], now + KEEP_EVERY

    # the register

    def prepare(self, now: float, to: int, message: m.Prepare) -> None:
        """Promise to accept nothing below this ballot."""
        accepted, ballot = self.vouched.accepted, message.ballot
        if not self.standing or accepted is None:
            return
        if ballot < self.vouched.promised or ballot.epoch != self.epoch:
            self._tell(to, m.BallotRejected(ballot, self.vouched.promised))
            return
        self._change(m.AcceptorState(ballot, self.vouched.ballot, accepted))
        held: list[int] = []
        refusal = None
        if accepted.new:
            held = self.grants.holders_against(now, accepted.scope[1:])
            refusal = self.grants.rejection_of(now, accepted.scope[1])
            if now < self.quiet_until:  # it doesn't know whom it granted what
                held = held or [self.me]
        self.meet(message.among)
        seen, decided = self.seen_now(message.among), self.decided.step if self.decided else 0
        self._tell(to, m.Promise(ballot, self.vouched, decided, seen, tuple(held[:4]), refusal))

    def accept(self, now: float, to: int, ballot: m.Ballot, state: m.RegisterState, ready: bool) -> None:
        """Accept a state, unless leases stand against it or a document of it is missing (`ready`)."""
        if not self.standing:
            return
        if ballot < self.vouched.promised or ballot.epoch != self.epoch:
            self._tell(to, m.BallotRejected(ballot, self.vouched.promised))
        elif not ready or now < self.quiet_until or self.grants.holders_against(now, state.scope):
            self._tell(to, m.AcceptBlocked(ballot))
        else:
            self._change(m.AcceptorState(ballot, ballot, state))
            self._tell(to, m.Accepted(ballot, self.seen_now(state.named)))

    def ask(
        self, now: float, life: tuple[int, int], ask: m.LeaseRequest, decided: m.RegisterState | None
    ) -> None:
        """A router wants a lease; older ones than the state before its own aren't granted."""
        accepted = self.vouched.accepted
        able = self.standing and accepted is not None and now >= self.quiet_until
        least = accepted.step - 1 if able and accepted else 2**63
        granted = self.grants.request(now, life, ask, least, now + self.grants.max_lease_seconds)
        if granted is not None:
            news = decided if decided and decided.step > ask.knows else None
            self.out.append((life[0], m.LeaseReply(ask.sequence, granted, self.standing, self.epoch, news)))
