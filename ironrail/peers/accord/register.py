"""A voter's part in the register: ballots, promises and accepts, with a memory that may be lost. Pure.

The register is CASPaxos (Rystsov 2018) with one state that each change replaces. A voter without a memory
votes only after a majority of the others told it, with a nonce, where things stand; replies make a majority
only if none of them was given by a process that another of them knows to be replaced (Michael et al. 2017).
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from ironrail.peers.accord import messages as m
from ironrail.peers.accord.grants import Grants
from ironrail.peers.accord.quorum import Reply, sound

RECOVER_EVERY = 0.5  # seconds
KEEP_EVERY = 1.0  # seconds until a record that couldn't be kept is tried again
MOST_HELD = 64  # words that wait for the disk: older ones count as lost on the way, and are asked for again


@dataclass(frozen=True, slots=True)
class Keep:
    """To be written, in order, and synced to the disk before `kept(token)` is told."""

    token: int
    record: bytes


class Voter:
    """One of the few that keep the register."""

    def __init__(
        self,
        me: int,
        start: int,
        voters: tuple[int, ...],
        now: float,
        wait: float,
        record: bytes | None,
        disk: bool,
    ) -> None:
        """`wait`: seconds that outlast any lease; `record`: as it was kept, if any; `disk`: keep records."""
        self.me, self.voters, self.disk = me, voters, disk
        self.need = len(voters) // 2 + 1
        self.seen = dict.fromkeys(voters, 0) | {me: start}
        self.vouched = m.Vouched()
        self.standing = False
        self.grants = Grants(wait)
        # leases that were granted before the start are forgotten and may last this long
        self.quiet_until = now + wait
        self.offer: m.State | None = None
        self.reports: dict[int, Reply] = {}  # of other voters, for this nonce
        self.nonce, self.recover_at, self.lost = 0, now, 0
        self.decided_step = 0  # the highest that the room knows to be decided
        self.epochs: dict[int, int] = {}  # of the other voters that stand
        self.out: m.Out = []
        self.keeps: list[Keep] = []
        self.token = self.kept_token = 0
        self._held: list[tuple[int, int, m.Message]] = []  # token, to, what is told once it is kept
        self.keep_again = math.inf
        if record is not None:
            self.vouched = m.read_record(record)
            self.standing = True

    @property
    def epoch(self) -> int:
        """Of the founding that this voter stands by."""
        return self.vouched.accepted.step // m.EPOCH if self.vouched.accepted else 0

    @property
    def failing(self) -> bool:
        """Whether the latest record couldn't be kept."""
        return self.keep_again < math.inf

    def seen_now(self) -> m.Seen:
        """Of each voter, the start last heard from itself."""
        return tuple(self.seen[voter] for voter in self.voters)

    # what changes must be kept before anything that rests on it is told

    def _change(self, vouched: m.Vouched) -> None:
        if vouched == self.vouched:
            return
        self.vouched = vouched
        if self.disk:
            self._keep()

    def _keep(self) -> None:
        self.token += 1
        self.keeps.append(Keep(self.token, msgspec.msgpack.encode(self.vouched)))

    def _tell(self, to: int, message: m.Message) -> None:
        if self.failing:
            return
        if self.kept_token < self.token:
            self._held = [*self._held[1 - MOST_HELD :], (self.token, to, message)]
        else:
            self.out.append((to, message))

    def kept(self, token: int) -> None:
        """The record of this token, and those before, outlast the process now."""
        self.kept_token = max(self.kept_token, token)
        if self.kept_token == self.token:
            self.keep_again = math.inf
        ready = [held for held in self._held if held[0] <= self.kept_token]
        self._held = [held for held in self._held if held[0] > self.kept_token]
        self.out += [(to, message) for _, to, message in ready]

    def keep_failed(self, now: float, token: int) -> None:
        """It may be there or not: nothing is told that rests on it."""
        if token > self.kept_token:
            self._held, self.keep_again = [], now + KEEP_EVERY

    # the register

    def prepare(self, now: float, to: int, ballot: m.Ballot) -> None:
        """Promise to accept nothing below this ballot."""
        accepted = self.vouched.accepted
        if not self.standing or accepted is None:
            return
        if ballot < self.vouched.promised or ballot.epoch != self.epoch:
            self._tell(to, m.Outvoted(ballot, self.vouched.promised))
            return
        self._change(m.Vouched(ballot, self.vouched.ballot, accepted))
        held: list[int] = []
        refusal = None
        if accepted.new:
            held = self.grants.against(now, accepted.scope[1:])
            refusal = self.grants.refusal(now, accepted.scope[1])
            if now < self.quiet_until:  # it doesn't know whom it granted what
                held = held or [self.me]
        seen = self.seen_now()
        self._tell(to, m.Promise(ballot, self.vouched, self.decided_step, seen, tuple(held[:4]), refusal))

    def accept(self, now: float, to: int, ballot: m.Ballot, state: m.State, ready: bool) -> None:
        """Accept a state, unless leases stand against it or a document of it is missing (`ready`)."""
        if not self.standing:
            return
        if ballot < self.vouched.promised or ballot.epoch != self.epoch:
            self._tell(to, m.Outvoted(ballot, self.vouched.promised))
        elif not ready or now < self.quiet_until or self.grants.against(now, state.scope):
            self._tell(to, m.Blocked(ballot))
        else:
            self._change(m.Vouched(ballot, ballot, state))
            self._tell(to, m.Accepted(ballot, self.seen_now()))

    def ask(self, now: float, life: tuple[int, int], ask: m.Ask, decided: m.State | None) -> None:
        """A router wants a lease; older ones than the state before its own aren't granted."""
        accepted = self.vouched.accepted
        able = self.standing and accepted is not None and now >= self.quiet_until
        least = accepted.step - 1 if able and accepted else 2**63
        granted = self.grants.ask(now, life, ask, least, now + self.grants.wait)
        if granted is not None:
            news = decided if decided and decided.step > ask.knows else None
            self.out.append((life[0], m.Answer(ask.sequence, granted, self.standing, self.epoch, news)))

    # a memory that was lost

    def wake(self, now: float) -> None:
        """Ask on for what was lost; keep again what couldn't be kept."""
        if now >= self.keep_again:
            self.keep_again = now + KEEP_EVERY
            self._keep()
        if not self.standing and now >= self.recover_at:
            self.recover_at = now + RECOVER_EVERY
            if not self.nonce:
                self._draw()
            others = (voter for voter in self.voters if voter != self.me)
            self.out += [(voter, m.Recover(self.nonce)) for voter in others]

    def _draw(self) -> None:
        """Each life of a voter and each loss has a nonce of its own: the start is random."""
        self.reports, self.nonce = {}, (self.seen[self.me] * 64 + self.lost % 64) % 2**62 + 1

    def recover(self, to: int, nonce: int) -> None:
        """Another voter lost its memory."""
        if self.standing:
            self._tell(to, m.Report(nonce, True, self.seen_now(), self.vouched))
        else:
            self.out.append((to, m.Report(nonce, False, self.seen_now(), m.Vouched(), self.offer)))

    def report(self, sender: int, start: int, report: m.Report) -> None:
        """Where things stand by another voter."""
        if self.standing or report.nonce != self.nonce or sender == self.me:
            return
        self.reports[sender] = Reply(start, report.seen, report)
        told = self._told(True)
        epoch = max((_vouched(r).promised.epoch for r in told.values()), default=0)
        latest = {v: r for v, r in told.items() if _vouched(r).promised.epoch == epoch}
        group = sound(latest, self.voters, self.need)
        if group:
            best = max((_vouched(told[v]) for v in group), key=lambda v: v.ballot)
            promised = max(_vouched(told[v]).promised for v in group)
            self._stand(m.Vouched(promised, best.ballot, best.accepted))
        elif self.offer:
            self._found(self.offer)

    def _told(self, standing: bool) -> dict[int, Reply]:
        told = {v: (r, r.message) for v, r in self.reports.items()}
        return {
            v: r for v, (r, word) in told.items() if isinstance(word, m.Report) and word.standing == standing
        }

    def _found(self, offer: m.State) -> None:
        lost = self._told(False).items()
        same = {v: r for v, r in lost if isinstance(r.message, m.Report) and r.message.offer == offer}
        seen = self.seen_now()
        same[self.me] = Reply(self.seen[self.me], seen, m.Report(self.nonce, False, seen, m.Vouched(), offer))
        group = sound(same, self.voters, self.need)
        if self.me in group:
            message = m.Founded(offer, tuple(self.seen[v] if v in group else 0 for v in self.voters))
            self.out += [(voter, message) for voter in self.voters if voter != self.me]
            self.founded(message)

    def offered(self, state: m.State) -> None:
        """By the operator's hand; nothing to a voter that stands."""
        if not self.standing and (self.offer is None or state.step >= self.offer.step):
            self.offer = state

    def founded(self, message: m.Founded) -> None:
        """Begin anew, if this very process was counted among those that lost their memory."""
        starts = dict(zip(self.voters, message.starts, strict=False))
        if not self.standing and starts.get(self.me) == self.seen[self.me] and self.offer == message.state:
            first = m.Ballot(message.state.step // m.EPOCH)
            self._stand(m.Vouched(first, first, message.state))

    def _stand(self, vouched: m.Vouched) -> None:
        self.standing, self.reports = True, {}
        self._change(vouched)

    def epoch_of(self, now: float, voter: int, standing: bool, epoch: int) -> None:
        """What another voter stands by; once most stand by a later founding, this one's memory is void."""
        self.epochs[voter] = epoch if standing else 0
        later = sum(other > self.epoch for other in self.epochs.values())
        if self.standing and later >= self.need:
            self.standing, self.vouched, self.quiet_until = False, m.Vouched(), now + self.grants.wait
            self.lost += 1
            self.offer, self.nonce, self.recover_at = None, 0, now

    def is_lost(self) -> bool:
        """Whether too many voters lost their memory for this one to learn where things stand."""
        return not self.standing and 1 + len(self._told(False)) > len(self.voters) - self.need


def _vouched(reply: Reply) -> m.Vouched:
    assert isinstance(reply.message, m.Report)
    return reply.message.vouched
