"""What the room does on each message and at each time: the public part stands in `room.py`. Pure."""

from __future__ import annotations

import math

from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.acceptor import Acceptor
from ironrail.peers.consensus.configuration import DEADLINE
from ironrail.peers.consensus.errors import PolicyError
from ironrail.peers.consensus.node_state import NodeState
from ironrail.peers.consensus.proposal import Proposal, TargetState

FETCH_EVERY = 0.5  # seconds
LEFT_BEHIND = 2.5  # times the deadline after which voters take back a joint state, one after the other
UNSETTLED = 4.0  # seconds after which a voter finishes what it accepted and never heard decided


class MessageHandler(NodeState):
    """Parts that hear one another: voter, proposer, library."""

    _pending: tuple[int, m.Prepare | m.Accept] | None = None  # the latest that couldn't be answered in full
    _pending_at = math.inf  # when it can be, if nothing is heard

    def _settle(self, now: float) -> None:
        """Carry on until nothing follows any more from what came."""
        while True:
            self._aim(now)
            for part in (self.voter, self.proposer):
                if part:
                    out, part.out = part.out, []
                    for to, message in out:
                        self._post(to, message)
                        if isinstance(message, m.Accept):
                            self._send_new(message.state, to)
            decided, self.proposer.decided = self.proposer.decided, []
            for state in decided:
                self._learn(now, state)
            if not self._own and not self._go_back(now):
                break
            own, self._own = self._own, []
            for message in own:
                self._take(now, self.conf.router, self.conf.start, message)
        if self.voter:
            accepted = self.voter.vouched.accepted
            step = accepted.step if accepted else 0
            if step != self._accepted:
                self._accepted, self._left_at = step, now

    def _fetch(self, now: float) -> None:
        """Ask again for documents; who told of a state was asked for them before."""
        self._fetch_at = now + FETCH_EVERY
        sources = self.path.sources(now)
        for digest in self.library.missing(self._states()):
            if sources:
                self._post(sources[int(self._draw() * len(sources))], m.DocumentRequest(digest))

    # what a voter was asked and couldn't answer yet

    def _hindered(self, now: float, voter: Acceptor, message: m.Prepare | m.Accept) -> float:
        """Until when at the latest, if nothing is heard, something stands against its full answer."""
        if isinstance(message, m.Accept):
            if self.library.missing([message.state]):
                return math.inf
            scope = message.state.scope
        else:
            accepted = voter.vouched.accepted
            if accepted is None or accepted.new is None:
                return -math.inf
            scope = accepted.scope[1:]
        return max(voter.quiet_until, voter.grants.last_expiry_against(now, scope))

    def _answer_later(self, now: float, sender: int, message: m.Prepare | m.Accept) -> None:
        if self.voter:
            hindered = self._hindered(now, self.voter, message)
            self._pending = (sender, message) if hindered > now else None
            self._pending_at = hindered if hindered > now else math.inf

    def _go_back(self, now: float) -> bool:
        """Answer what couldn't be answered when it was asked; whether there was something."""
        if not self.voter or not self._pending:
            return False
        sender, message = self._pending
        self._pending_at = self._hindered(now, self.voter, message)
        if self._pending_at > now:
            return False
        self._pending, self._pending_at = None, math.inf
        if message.ballot < self.voter.vouched.promised:
            return False  # whoever asked has asked again, or is outvoted
        self._vote(now, self.voter, sender, 0, message)
        return True

    # what was left behind

    def _tend_at(self) -> float:
        """When this voter sees to what others left half done, each voter at another time."""
        voter = self.voter
        if not voter or not voter.standing or self.proposer.change:
            return math.inf
        accepted, me = voter.vouched.accepted, self.conf.router
        if accepted and self._accepted > (self.known.step if self.known else 0):
            left, voters = UNSETTLED, accepted.named
        elif self.known and self.known.new:
            left, voters = LEFT_BEHIND * DEADLINE, self.known.voters
        else:
            return math.inf
        return self._left_at + left + UNSETTLED * voters.index(me) if me in voters else math.inf

    def _tend(self, now: float) -> None:
        if self.voter:
            self.proposer.epoch = self.voter.epoch
            goal = (
                TargetState.UNCHANGED
                if self._accepted > (self.known.step if self.known else 0)
                else TargetState.OLD
            )
            self.proposer.begin(now, Proposal(goal))

    # what is heard

    def _take(self, now: float, sender: int, start: int, message: m.Message) -> None:
        voter, proposer = self.voter, self.proposer
        named = message.among if isinstance(message, m.Prepare) else ()
        if self.conf.router in named:
            self._be_voter(now)
            voter = self.voter
        if voter:
            voter.heard(sender, start, isinstance(message, (m.RecoveryRequest, m.RecoveryReport)))
        match message:
            case m.LeaseReply():
                self._answered(now, sender, message)
            case m.Promise():
                proposer.promised(now, sender, start, message)
            case m.Accepted():
                proposer.accepted(now, sender, start, message)
            case m.BallotRejected():
                proposer.outvoted(now, message.promised)
            case m.Decided():
                self._learn(now, message.state)
                self._take_early()
            case _ if voter and (not isinstance(message, m.LeaseRequest) or self._grants()):
                self._vote(now, voter, sender, start, message)
            case m.LeaseRequest():
                self._lend(now, (sender, start), message)
            case _:
                pass
        self._serve(sender, message)

    def _serve(self, sender: int, message: m.Message) -> None:
        """What any router tells any other."""
        match message:
            case m.DocumentRequest():
                if found := self.library.get(message.digest):
                    self._post(sender, m.Document(found))
            case m.Document():
                self._document(message.data)
            case m.StateQuery():
                if self.known and self.known.step > message.knows:
                    self._post(sender, m.Decided(self.known))
            case _:
                pass

    def _grants(self) -> bool:
        """Whether it is asked as a voter; else for a part of its own lease."""
        return not self.known or self.conf.router in self.known.grantors

    def _vote(self, now: float, voter: Acceptor, sender: int, start: int, message: m.Message) -> None:
        match message:
            case m.LeaseRequest():
                voter.ask(now, (sender, start), message, self.known)
            case m.Prepare():
                voter.prepare(now, sender, message)
                self._answer_later(now, sender, message)
            case m.Accept():
                self._await(message.state)
                missing = self.library.missing([message.state])
                voter.accept(now, sender, message.ballot, message.state, not missing)
                self._answer_later(now, sender, message)
            case m.RecoveryRequest():
                voter.recover(sender, message)
            case m.RecoveryReport():
                voter.report(sender, start, message)
            case m.BootstrapOffer():
                voter.offered(message.state)
                self._source(sender, self.library.missing([message.state]))
            case m.Bootstrapped():
                voter.founded(message)
            case _:
                pass

    def _await(self, state: m.RegisterState) -> None:
        """A proposer sends the document right behind its word, and again with each attempt."""
        for digest in self.library.missing([state]):
            self._awaited = digest
        self._take_early()

    def _source(self, sender: int, digests: list[bytes]) -> None:
        """Whoever speaks of a document has it."""
        for digest in digests:
            self._awaited = digest
            if sender != self.conf.router:
                self._post(sender, m.DocumentRequest(digest))

    def _answered(self, now: float, sender: int, answer: m.LeaseReply) -> None:
        if answer.decided:
            self._learn(now, answer.decided)
            self._source(sender, self.library.missing([answer.decided]))
        if self.voter and sender != self.conf.router:
            self.voter.epoch_of(now, sender, answer.standing, answer.epoch)
        self.path.answered(now, sender, answer.granted)
        if answer.granted:
            moved = self.holder.on_granted(now, sender, answer.sequence, answer.lasts)
            if self.holder.is_renewed(self._sets()):
                self._renewed(now)
            if moved and self.holder.current:
                self._renew(now)  # the voters hear at once that it decides by the new state
                self._pass_on(self.holder.current, (router for router, _ in self.lent.live_processes(now)))

    def _sets(self) -> list[m.Voters]:
        """Whose majorities grant a lease in the latest state."""
        return [ref.voters for ref in self.known.refs()] if self.known else [self.path.voters]

    def _document(self, data: bytes) -> None:
        """Only one that was asked for is kept, and the last that was not."""
        try:
            self._early = p.decode(data)
        except PolicyError:
            return
        self._take_early()

    def _take_early(self) -> None:
        if self._early and p.digest(self._early) in (*self.library.missing(self._states()), self._awaited):
            self._have(self._early)
            self._early = None
