"""What one router knows, and the lease it decides by. Pure."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable

import msgspec

from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.acceptor import Acceptor
from ironrail.peers.consensus.configuration import ConsensusConfig
from ironrail.peers.consensus.document_store import DocumentStore
from ironrail.peers.consensus.lease import LeaseHolder
from ironrail.peers.consensus.lease_routing import LeaseRouting
from ironrail.peers.consensus.lease_table import LeaseTable
from ironrail.peers.consensus.proposer import Proposer
from ironrail.peers.messages import Outgoing, Topic

LOST_AFTER = 3  # renewals without a lease: a lease's time after one ended, 2 s after a start
RENEWALS = 3  # in a lease: two in a row may be lost
SOON = 0.3  # seconds until what had no answer is asked again, doubled each time: round trips of 0.2 fit in
MOST_VAIN = 8  # doublings that are counted
APART = 0.2  # of a renewal by which it may come early, drawn: those that learn together mustn't keep step


class NodeState:
    """Voter (of the few that are), holder of a lease, proposer and library of one router."""

    def __init__(
        self,
        conf: ConsensusConfig,
        facts: p.Facts,
        floor: p.Policy,
        now: float,
        seed: int = 0,
        record: bytes | None = None,
    ) -> None:
        """`floor`: obeyed where nothing is decided by; `record`: what a voter kept before, if it did."""
        if error := p.check(floor, facts):
            raise error
        self.conf, self.library = conf, DocumentStore(facts, floor)
        self._seed, self._draws = seed, 0
        self.holder = LeaseHolder(conf.lease_seconds)
        self.path = LeaseRouting(conf, self._draw)
        self.lent = LeaseTable(conf.max_lease_seconds)  # to those that this router answers for
        me, start = conf.router, conf.start
        self.voter: Acceptor | None = None
        if me in conf.voters or record is not None:
            self.voter = Acceptor(
                me, start, conf.voters, now, conf.max_lease_seconds, record, conf.persists_records
            )
        self.bare = 0  # renewals in a row without a lease
        self.proposer = Proposer(me, start, conf.voters, self._draw)
        self.known: m.RegisterState | None = None  # the latest state that is decided, as far as heard
        self._accepted = 0  # step that this voter accepted last
        self._left_at = now  # since when something has been left unsettled or joint
        # routers that start together don't ask together
        self._renew_at = now + self._draw() * conf.lease_seconds / RENEWALS
        self._fetch_at = now
        self._vain = 0  # asks in a row that were not granted
        self.unusable = 0  # messages that made no sense
        self._awaited = b""  # digest of a document that was asked for before its state was accepted
        self._early: p.Policy | None = None  # the latest that came unasked: its state may be right behind it
        self._out: list[Outgoing] = []
        self._own: list[m.Message] = []

    def _draw(self) -> float:
        """From 0 to 1, the same for the same seed and place."""
        self._draws += 1
        text = f"{self._seed} {self.conf.router} {self.conf.start} {self._draws}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=6).digest()) / 2**48

    def _states(self) -> list[m.RegisterState | None]:
        """All that documents are needed for."""
        found = [self.known, self.holder.current, self.holder.target]
        return [*found, self.voter.vouched.accepted, self.voter.offer] if self.voter else found

    # sending, also to itself

    def _post(self, to: int, message: m.Message) -> None:
        if to == self.conf.router:
            self._own.append(message)
        else:
            self._out.append(Outgoing(to, Topic.CONSENSUS, m.encode(message), m.priority(message)))

    def _to_voters(self, message: m.Message) -> None:
        for voter in self.path.voters:
            self._post(voter, message)

    def _be_voter(self, now: float) -> None:
        """It was named as one: without a memory, and quiet for a lease's time like any that lost it."""
        if not self.voter:
            conf = self.conf
            self.voter = Acceptor(
                conf.router,
                conf.start,
                self.path.voters,
                now,
                conf.max_lease_seconds,
                None,
                conf.persists_records,
            )
            if self.known:
                self.voter.learned(self.known)

    # what is known

    def _learn(self, now: float, state: m.RegisterState) -> None:
        """A state that is decided. Its documents are mostly right behind it; else they are asked for."""
        if self.known and state.step <= self.known.step:
            return
        told = self._own_part(self.voter.grants.live_processes(now)) if self.voter else []
        self.known, self._left_at = state, now
        self.proposer.known, self.proposer.epoch = state, state.step // m.EPOCH
        self.holder.on_decided(state)
        self.path.follow(state.grantors)
        if self.conf.router in state.grantors:
            self._be_voter(now)
        if self.voter:
            self.voter.learned(state)
        self.library.keep_only(self._needed())
        self._fetch_at = now + SOON
        self._pass_on(state, told)

    def _needed(self) -> set[bytes]:
        """Digests of the documents that may not go."""
        change = self.proposer.change
        needed = {ref.digest for s in self._states() if s for ref in s.refs()}
        return needed | {change.ref.digest} if change and change.ref else needed

    def _have(self, policy: p.Policy) -> m.PolicyRef:
        """Keep a document. Whoever names many to a voter, or proposes many in vain, must not fill it up."""
        ref = self.library.add(policy)
        self.library.evict_beyond_limit(self._needed() | {ref.digest})
        return ref

    def _own_part(self, lives: Iterable[tuple[int, int]]) -> list[int]:
        """Of those that ask all voters, the ones that this voter tells: an even part, not each one thrice.

        By the voters of before: of new ones nobody has asked for a lease yet.
        """
        voters = self.path.voters
        return [router for router, _ in lives if voters[router % len(voters)] == self.conf.router]

    def _pass_on(self, state: m.RegisterState, routers: Iterable[int]) -> None:
        """Tell at once what they would learn by their next renewal, and a new document with it."""
        for router in {*routers} - {self.conf.router}:
            self._post(router, m.Decided(state))
            self._send_new(state, router)

    def _send_new(self, state: m.RegisterState, to: int) -> None:
        """The document that is new in it."""
        document = self.library.get(state.new.digest) if state.new else None
        if document and to != self.conf.router:
            self._post(to, m.Document(document))

    def _aim(self, now: float) -> None:
        """Go on to the state that is known, once its documents are here and can be worked by."""
        before = (self.holder.current, self.holder.target)
        if self.known is self.holder.current:
            return
        if (
            self.known
            and not self.library.missing([self.known])
            and not self.library.rejection_of(self.known)
        ):
            self.holder.move_towards(self.known, now)
        if before != (self.holder.current, self.holder.target):
            self._renew(now)

    def _renew(self, now: float) -> None:
        period = self.conf.lease_seconds / RENEWALS
        before, targets = self.path.place, self.path.targets(now)
        if self.path.place != before:
            self._vain = 0  # another head may be gone as well, and is found out as soon
        self._renew_at = now + min(period, SOON * 2**self._vain)
        self._vain = min(self._vain + 1, MOST_VAIN)
        others = self.lent.live_scoped_steps(now)
        ask = self.holder.next_request(now, self.known, others)
        if known := self.known:
            epoch = known.step // m.EPOCH * m.EPOCH
            refuses = self.lent.rejection_of(now, known.scope[-1])
            if refused := self.library.rejection_of(known):
                refuses = (self.conf.router, epoch + refused[0].version, str(refused[1])[:80])
            behind = self.lent.holders_against(now, known.scope[-1:]) if others else []
            ask = msgspec.structs.replace(ask, refuses=refuses, behind=behind[0] if behind else None)
        for to in targets:
            self._post(to, ask)
        self.bare = 0 if self.holder.valid_state(now) else self.bare + 1
        if self.bare > LOST_AFTER:  # the voters it knows may be gone: any router tells it who they are now
            # one at a time, drawn anew: in a fleet that lost its voters all ask, and none is asked by all
            self._post(int(self._draw() * self.conf.routers), m.StateQuery(known.step if known else 0))

    def _renewed(self, now: float) -> None:
        """The latest ask was granted: the next has time."""
        self._vain = 0
        self._renew_at = now + self.conf.lease_seconds / RENEWALS * (1 - APART * self._draw())

    def _lend(self, now: float, life: tuple[int, int], ask: m.LeaseRequest) -> None:
        """Another router asks for a part of this lease, as long as that lasts by the slower clock."""
        new = self.path.asked(now)
        until = min((self.holder.own_expiry(w.scope) for w in (ask.low, ask.high) if w), default=-math.inf)
        behind = self._behind(now)
        granted = self.lent.request(now, life, ask, 0, until)
        if granted is not None:
            lasts = (until - now) * self.conf.lease_seconds / self.conf.max_lease_seconds if granted else 0.0
            news = self.known if self.known and self.known.step > ask.knows else None
            self._post(life[0], m.LeaseReply(ask.sequence, granted, False, 0, news, lasts))
        if new or (behind and not self._behind(now)):
            self._renew(now)  # the voters hear at once that nobody here is behind any more

    def _behind(self, now: float) -> bool:
        """Whether one whom this router answers for may decide by what is apart from the latest policy."""
        return self.known is not None and bool(self.lent.holders_against(now, self.known.scope[-1:]))
