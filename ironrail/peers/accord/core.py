"""What the room does on each message and at each time: the public part stands in `room.py`. Pure."""

from __future__ import annotations

import hashlib
import math

from ironrail.peers.accord import messages as m
from ironrail.peers.accord import policy as p
from ironrail.peers.accord.conf import DEADLINE, Conf
from ironrail.peers.accord.errors import PolicyError
from ironrail.peers.accord.library import Library
from ironrail.peers.accord.proposer import Change, Goal, Proposer
from ironrail.peers.accord.register import Voter
from ironrail.peers.accord.stages import Holder
from ironrail.peers.faces import Say, Topic

RENEWALS = 3  # in a lease: two in a row may be lost
FETCH_EVERY = 0.5  # seconds
LEFT_BEHIND = 2.5  # times the deadline after which voters take back a joint state, one after the other
UNSETTLED = 4.0  # seconds after which a voter finishes what it accepted and never heard decided


class Core:
    """Voter (of the few that are), holder of a lease, proposer and library of one router."""

    def __init__(
        self,
        conf: Conf,
        facts: p.Facts,
        floor: p.Policy,
        now: float,
        seed: int = 0,
        record: bytes | None = None,
    ) -> None:
        """`floor`: obeyed where nothing is decided by; `record`: what a voter kept before, if it did."""
        if error := p.check(floor, facts):
            raise error
        self.conf, self.library = conf, Library(facts, floor)
        self._seed, self._draws = seed, 0
        self.need = len(conf.voters) // 2 + 1
        self.holder = Holder(conf.lease, self.need)
        me, start = conf.me, conf.start
        self.voter = (
            Voter(me, start, conf.voters, now, conf.wait, record, conf.disk) if me in conf.voters else None
        )
        self.proposer = Proposer(me, start, conf.voters, self._draw)
        self.known: m.State | None = None  # the latest state that is decided, as far as heard
        self._accepted = 0  # step that this voter accepted last
        self._left_at = now  # since when something has been left unsettled or joint
        # routers that start together don't ask together
        self._renew_at = now + self._draw() * conf.lease / RENEWALS
        self._fetch_at = now
        self.unusable = 0  # messages that made no sense
        self._awaited = b""  # digest of a document that was asked for before its state was accepted
        self._out: list[Say] = []
        self._own: list[m.Message] = []

    def _draw(self) -> float:
        """From 0 to 1, the same for the same seed and place."""
        self._draws += 1
        text = f"{self._seed} {self.conf.me} {self.conf.start} {self._draws}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=6).digest()) / 2**48

    def _states(self) -> list[m.State | None]:
        """All that documents are needed for."""
        found = [self.known, self.holder.at, self.holder.next]
        return [*found, self.voter.vouched.accepted, self.voter.offer] if self.voter else found

    # sending, also to itself

    def _post(self, to: int, message: m.Message) -> None:
        if to == self.conf.me:
            self._own.append(message)
        else:
            self._out.append(Say(to, Topic.ACCORD, m.encode(message), m.priority(message)))

    def _to_voters(self, message: m.Message) -> None:
        for voter in self.conf.voters:
            self._post(voter, message)

    def _settle(self, now: float) -> None:
        """Carry on until nothing follows any more from what came."""
        while True:
            self._aim(now)
            for part in (self.voter, self.proposer):
                if part:
                    out, part.out = part.out, []
                    for to, message in out:
                        self._post(to, message)
            decided, self.proposer.decided = self.proposer.decided, []
            for state in decided:
                self._learn(now, state)
            if not self._own:
                break
            own, self._own = self._own, []
            for message in own:
                self._take(now, self.conf.me, self.conf.start, message)
        if self.voter:
            accepted = self.voter.vouched.accepted
            step = accepted.step if accepted else 0
            if step != self._accepted:
                self._accepted, self._left_at = step, now

    # what is known

    def _learn(self, now: float, state: m.State) -> None:
        """A state that is decided."""
        if self.known and state.step <= self.known.step:
            return
        self.known, self._left_at = state, now
        self.proposer.known, self.proposer.epoch = state, state.step // m.EPOCH
        if self.voter:
            self.voter.decided_step = state.step
        change = self.proposer.change
        needed = {ref.digest for s in self._states() if s for ref in s.refs()}
        self.library.keep_only(needed | {change.ref.digest} if change and change.ref else needed)
        self._fetch_at = now

    def _aim(self, now: float) -> None:
        """Go on to the state that is known, once its documents are here and can be worked by."""
        before = (self.holder.at, self.holder.next)
        if self.known is self.holder.at:
            return
        if self.known and not self.library.missing([self.known]) and not self.library.refusal(self.known):
            self.holder.aim(self.known, now)
        if before != (self.holder.at, self.holder.next):
            self._renew(now)

    def _renew(self, now: float) -> None:
        self._renew_at = now + self.conf.lease / RENEWALS
        refuses = None
        if self.known and (refused := self.library.refusal(self.known)):
            ref, error = refused
            refuses = (self.known.step // m.EPOCH * m.EPOCH + ref.version, str(error)[:80])
        self._to_voters(self.holder.ask(now, self.known.step if self.known else 0, refuses))

    def _fetch(self, now: float) -> None:
        """Ask for documents: mostly any router, for the voters are few."""
        self._fetch_at = now + FETCH_EVERY
        for digest in self.library.missing(self._states()):
            voters, source = self.conf.voters, int(self._draw() * self.conf.routers)
            if self._draw() < 1 / 3:
                source = voters[int(self._draw() * len(voters))]
            if source != self.conf.me:
                self._post(source, m.Want(digest))

    # what was left behind

    def _tend_at(self) -> float:
        """When this voter sees to what others left half done, each voter at another time."""
        voter = self.voter
        if not voter or not voter.standing or self.proposer.change:
            return math.inf
        late = UNSETTLED * self.conf.voters.index(self.conf.me)
        if self._accepted > (self.known.step if self.known else 0):
            return self._left_at + UNSETTLED + late
        if self.known and self.known.new:
            return self._left_at + LEFT_BEHIND * DEADLINE + late
        return math.inf

    def _tend(self, now: float) -> None:
        if self.voter:
            self.proposer.epoch = self.voter.epoch
            goal = Goal.SETTLE if self._accepted > (self.known.step if self.known else 0) else Goal.BACK
            self.proposer.begin(now, Change(goal))

    # what is heard

    def _take(self, now: float, sender: int, start: int, message: m.Message) -> None:
        voter, proposer = self.voter, self.proposer
        if voter and sender in voter.seen:
            voter.seen[sender] = start
        match message:
            case m.Answer() if sender in self.conf.voters:
                self._answered(now, sender, message)
            case m.Promise() if sender in self.conf.voters:
                proposer.promised(now, sender, start, message)
            case m.Accepted() if sender in self.conf.voters:
                proposer.accepted(now, sender, start, message)
            case m.Outvoted():
                proposer.outvoted(message.promised)
            case m.Decided():
                self._learn(now, message.state)
            case m.Want():
                if found := self.library.get(message.digest):
                    self._post(sender, m.Document(found))
            case m.Document():
                self._document(message.data)
            case _ if voter:
                self._vote(now, voter, sender, start, message)

    def _vote(self, now: float, voter: Voter, sender: int, start: int, message: m.Message) -> None:
        match message:
            case m.Ask():
                voter.ask(now, (sender, start), message, self.known)
            case m.Prepare():
                voter.prepare(now, sender, message.ballot)
            case m.Accept():
                missing = self.library.missing([message.state])
                voter.accept(now, sender, message.ballot, message.state, not missing)
                self._source(sender, missing)
            case m.Recover() if sender in self.conf.voters:
                voter.recover(sender, message.nonce)
            case m.Report() if sender in self.conf.voters:
                voter.report(sender, start, message)
            case m.Offer():
                voter.offered(message.state)
                self._source(sender, self.library.missing([message.state]))
            case m.Founded():
                voter.founded(message)
            case _:
                pass

    def _source(self, sender: int, digests: list[bytes]) -> None:
        """Whoever speaks of a document has it."""
        for digest in digests:
            self._awaited = digest
            if sender != self.conf.me:
                self._post(sender, m.Want(digest))

    def _answered(self, now: float, sender: int, answer: m.Answer) -> None:
        if answer.decided:
            self._learn(now, answer.decided)
        if self.voter and sender != self.conf.me:
            self.voter.epoch_of(now, sender, answer.standing, answer.epoch)
        if answer.granted and self.holder.granted(now, sender, answer.sequence):
            self._renew(now)  # the voters hear at once that it decides by the new state

    def _document(self, data: bytes) -> None:
        """Only one that was asked for is kept."""
        try:
            policy = p.decode(data)
        except PolicyError:
            return
        if p.digest(policy) in (*self.library.missing(self._states()), self._awaited):
            self.library.add(policy)
