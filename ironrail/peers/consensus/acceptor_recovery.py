"""A voter's memory, and how it comes by it again when it was lost or never there. Pure.

Replies make a majority only if none of them was given by a process that another of them knows to be replaced
(Michael et al. 2017). Which sets have to report is told by the latest state that is reported itself.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus.lease_table import LeaseTable
from ironrail.peers.consensus.quorum import QuorumReply, find_quorum, majority_size

RECOVER_EVERY = 0.5  # seconds


class AcceptorRecovery:
    """What a voter holds: a promise, a vote, and which processes it heard."""

    def __init__(
        self, me: int, start: int, voters: m.Voters, now: float, wait: float, record: bytes | None
    ) -> None:
        """`voters`: of whom it first asks; `wait`: seconds that outlast any lease; `record`: as kept."""
        self.me = me
        self.home = voters  # the set whose majority decides, as far as known
        self.contacts = set(voters)  # who may know where things stand
        self.seen = dict.fromkeys(voters, 0) | {me: start}
        self.vouched = m.AcceptorState()
        self.standing = False
        self.grants = LeaseTable(wait)
        # leases that were granted before the start are forgotten and may last this long
        self.quiet_until = now + wait
        self.offer: m.RegisterState | None = None
        self.reports: dict[int, QuorumReply] = {}  # of other voters, for this nonce
        self.nonce, self.recover_at, self.lost = 0, now, 0
        self.decided: m.RegisterState | None = None  # the latest that the room knows to be
        self.epochs: dict[int, int] = {}  # of the other voters that stand
        self.out: m.Out = []
        if record is not None:
            self.vouched = _named(m.read_record(record), voters)
            self.standing = True

    @property
    def epoch(self) -> int:
        """Of the founding that this voter stands by."""
        return self.vouched.accepted.step // m.EPOCH if self.vouched.accepted else 0

    def seen_now(self, among: Iterable[int] = ()) -> m.Seen:
        """Of each voter, the start last heard from itself."""
        heard = [(voter, start) for voter, start in sorted(self.seen.items()) if start]
        return tuple(pair for pair in heard if not among or pair[0] in among)[: m.MOST_SEEN]

    def meet(self, among: Iterable[int]) -> None:
        """Those that are asked together have to have heard each other."""
        self.out += [(voter, m.RecoveryRequest(0)) for voter in among if not self.seen.get(voter)]

    def heard(self, sender: int, start: int, voter: bool) -> None:
        """A message came, and from a `voter` if it is one that only they send."""
        if voter or sender in self.seen:
            self.seen[sender] = start

    def learned(self, state: m.RegisterState) -> None:
        """A state that is decided."""
        self.decided, self.home = state, state.voters
        self.contacts |= set(state.named)

    # a memory that was lost

    def wake(self, now: float) -> None:
        """Ask on for what was lost."""
        if not self.standing and now >= self.recover_at:
            self.recover_at = now + RECOVER_EVERY
            if not self.nonce:
                self._draw()
            among = tuple(sorted(self.contacts | {self.me}))
            self.out += [(voter, m.RecoveryRequest(self.nonce, among)) for voter in among if voter != self.me]

    def _draw(self) -> None:
        """Each life of a voter and each loss has a nonce of its own: the start is random."""
        self.reports, self.nonce = {}, (self.seen[self.me] * 64 + self.lost % 64) % 2**62 + 1

    def recover(self, to: int, message: m.RecoveryRequest) -> None:
        """Another voter lost its memory."""
        self.meet(message.among)
        if self.standing:
            self._tell(to, m.RecoveryReport(message.nonce, True, self.seen_now(), self.vouched))
        else:
            self.out.append(
                (to, m.RecoveryReport(message.nonce, False, self.seen_now(), m.AcceptorState(), self.offer))
            )

    def report(self, sender: int, start: int, report: m.RecoveryReport) -> None:
        """Where things stand by another voter."""
        if self.standing or not self.nonce or report.nonce != self.nonce or sender == self.me:
            return
        self.reports[sender] = QuorumReply(start, report.seen, report)
        told = self._told(True)
        epoch = max((_vouched(r).promised.epoch for r in told.values()), default=0)
        latest = {v: r for v, r in told.items() if _vouched(r).promised.epoch == epoch}
        best = max((_vouched(r) for r in latest.values()), key=lambda v: v.ballot, default=m.AcceptorState())
        if best.accepted:
            self.contacts |= set(best.accepted.named)
            if find_quorum(latest, self._asked(best.accepted)):
                promised = max(_vouched(r).promised for r in latest.values())
                self._stand(m.AcceptorState(promised, best.ballot, best.accepted))
        if not self.standing and self.offer:
            self._found(self.offer)

    def _asked(self, state: m.RegisterState) -> tuple[m.Voters, ...]:
        """Who has to have reported for this to be the latest state that may be decided."""
        if self.decided and state.step <= self.decided.step:
            return (self.decided.voters,)
        return state.needed

    def _told(self, standing: bool) -> dict[int, QuorumReply]:
        told = {v: (r, r.message) for v, r in self.reports.items()}
        return {
            v: r
            for v, (r, word) in told.items()
            if isinstance(word, m.RecoveryReport) and word.standing == standing
        }

    def _found(self, offer: m.RegisterState) -> None:
        lost = self._told(False).items()
        same = {v: r for v, r in lost if isinstance(r.message, m.RecoveryReport) and r.message.offer == offer}
        seen = self.seen_now()
        same[self.me] = QuorumReply(
            self.seen[self.me], seen, m.RecoveryReport(self.nonce, False, seen, m.AcceptorState(), offer)
        )
        group = find_quorum(same, (offer.voters,))
        if self.me in group:
            message = m.Bootstrapped(offer, tuple((v, self.seen[v]) for v in group))
            self.out += [(voter, message) for voter in offer.voters if voter != self.me]
            self.founded(message)

    def offered(self, state: m.RegisterState) -> None:
        """By the operator's hand; nothing to a voter that stands, nor for another set than is in force."""
        known = self.decided
        if known and (known.grantors != known.voters or known.voters != state.voters):
            return
        if not self.standing and (self.offer is None or state.step >= self.offer.step):
            self.offer = state

    def founded(self, message: m.Bootstrapped) -> None:
        """Begin anew, if this very process was counted among those that lost their memory."""
        counted = (self.me, self.seen[self.me]) in message.starts
        if not self.standing and counted and self.offer == message.state:
            first = m.Ballot(message.state.step // m.EPOCH)
            self._stand(m.AcceptorState(first, first, message.state))

    def _stand(self, vouched: m.AcceptorState) -> None:
        self.standing, self.reports = True, {}
        self._change(vouched)

    def epoch_of(self, now: float, voter: int, standing: bool, epoch: int) -> None:
        """What another voter stands by; once most stand by a later founding, this one's memory is void."""
        self.epochs[voter] = epoch if standing else 0
        accepted = self.vouched.accepted
        if not self.standing or accepted is None:
            return
        voters = accepted.voters
        if sum(self.epochs.get(v, 0) > self.epoch for v in voters) >= majority_size(voters):
            self.standing, self.vouched, self.quiet_until = (
                False,
                m.AcceptorState(),
                now + self.grants.max_lease_seconds,
            )
            self.lost += 1
            self.offer, self.nonce, self.recover_at = None, 0, now

    def is_lost(self) -> bool:
        """Whether too many voters lost their memory for this one to learn where things stand."""
        lost = {self.me, *self._told(False)} & set(self.home)
        return not self.standing and self.me in lost and len(lost) > len(self.home) - majority_size(self.home)

    def _tell(self, to: int, message: m.Message) -> None:
        raise NotImplementedError

    def _change(self, vouched: m.AcceptorState) -> None:
        raise NotImplementedError


def _vouched(reply: QuorumReply) -> m.AcceptorState:
    assert isinstance(reply.message, m.RecoveryReport)
    return reply.message.vouched


def _named(vouched: m.AcceptorState, voters: m.Voters) -> m.AcceptorState:
    """Records of before there was a change of voters name none: it is the set of the operator's file."""
    state = vouched.accepted
    if state is None or state.voters:
        return vouched
    replace = msgspec.structs.replace
    old, new = (replace(ref, voters=voters) if ref else None for ref in (state.old, state.new))
    return replace(vouched, accepted=replace(state, old=old, new=new))
