"""The register alone, with the real rooms: any message may come at any time, twice, or never, in any order.

Nothing that was sent is ever taken back out of the network. Leases are left out and time stands still; a
router may try again, or crash and forget, so many times.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgspec

from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.configuration import ConsensusConfig
from ironrail.peers.consensus.proposal import Proposal, ProposalHandle, TargetState
from ironrail.peers.messages import Received
from tests.peers.consensus.still import Bare, Saved
from tests.peers.consensus.watching import FACTS, FLOOR, Broken, policy

BEFORE, NOW = -9.0, 0.0  # leases of before have run out
VOTERS = (0, 1, 2)
UNSENT = (m.Decided, m.BallotRejected, m.Document)  # here every room has every document


class State(NamedTuple):
    """Of the whole world. `deaf`: of each router, starts that it never hears again."""

    nodes: tuple[int, ...]
    deaf: tuple[frozenset[int], ...]
    mail: frozenset[tuple[int, int, int, bytes]]
    starts: int
    again: int
    crashes: int
    decided: frozenset[bytes]


class Votes:
    """`again`, `crashes`: bounds; `askers`: the routers that propose, each another version."""

    def __init__(
        self,
        again: int,
        crashes: int,
        askers: tuple[int, ...] = (0, 1),
        most: int = 10**7,
        room: Callable[..., Any] = Bare,
        victims: tuple[int, ...] = VOTERS,
        disk: bool = False,
    ) -> None:
        self.victims, self.disk = victims, disk
        self.bounds, self.askers, self.most, self.room = (again, crashes), askers, most, room
        self.rooms = Saved()
        self.memo: dict[tuple[int, Any], tuple[int, tuple[Any, ...], tuple[bytes, ...]]] = {}
        self.voids: dict[tuple[int, tuple[int, int, int, bytes]], bool] = {}
        self.busy: dict[int, bool] = {}
        self.seen: set[State] = set()

    def start(self, me: int, start: int, record: bytes | None = None) -> Any:
        """A process without a memory, or with what its disk has."""
        conf = ConsensusConfig(
            me, start, max(3, *self.askers) + 1, VOTERS, 1.0, 0.0, persists_records=self.disk and me in VOTERS
        )
        room = self.room(conf, FACTS, FLOOR, BEFORE, record=record)
        room.record, room.writing = record, ()
        return room

    def told(self, room: Any) -> None:
        """Others tell a process that started anew which state was decided long ago: here nothing."""

    def propose(self, room: Any, version: int) -> None:
        """It is asked for a change."""
        ref = room.library.add(policy(version))
        room.proposer.epoch = 1
        # that it comes again is among the bounds, at any time: not by itself as well
        room.proposer.begin(
            NOW, Proposal(TargetState.JOINT, ref, ProposalHandle(ref), may_restart_at_once=False)
        )
        room._settle(NOW)

    def local(self, me: int, node: int, event: Any) -> tuple[int, tuple[Any, ...], tuple[bytes, ...]]:
        """What a room does."""
        key = (node, event)
        if key not in self.memo:
            room = self.rooms.load(node)
            match event:
                case ("hear", sender, start, body):
                    room.on_message(NOW, Received(sender, start, body))
                case ("again",):
                    room.proposer._prepare(NOW)
                    room._settle(NOW)
                case ("kept",):
                    keep, *room.writing = room.writing
                    room.record = keep.record
                    room.on_record_written(NOW, keep.token)
                case ("crash", start):
                    room = self.start(me, start, room.record)
                    self.told(room)
                    room.on_timer(BEFORE)
                    # leases aren't asked for here, by which others hear of it
                    if room.voter and room.voter.standing:
                        room._to_voters(m.RecoveryRequest(0))
                        room._settle(NOW)
                    if me in self.askers:  # and it is asked again, for something else
                        self.propose(room, 12 + me)
            room.writing = (*room.writing, *room.take_records())
            out = tuple((me, room.conf.start, say.to, say.body) for say in room.take_outgoing())
            decided = tuple(mail[3] for mail in out if isinstance(m.decode(mail[3]), m.Decided))
            sent = tuple(mail for mail in out if not isinstance(m.decode(mail[3]), UNSENT))
            self.memo[key] = (self.rooms.save(room), sent, decided)
        return self.memo[key]

    def apply(self, state: State, me: int, event: Any) -> State:
        """One event at one router."""
        node, sent, decided = self.local(me, state.nodes[me], event)
        told = state.decided.union(decided)
        if len(told) > len(state.decided):
            steps: dict[int, m.RegisterState] = {}
            for body in told:
                message = m.decode(body)
                assert isinstance(message, m.Decided)
                if steps.setdefault(message.state.step, message.state) != message.state:
                    raise Broken(f"decided twice: {message.state} and {steps[message.state.step]}")
        nodes = (*state.nodes[:me], node, *state.nodes[me + 1 :])
        spared = self.victims if state.crashes else ()  # whoever forgets may take again what it was above
        mail = frozenset(
            m
            for m in state.mail.union(sent)
            if m[2] in spared or not self.void(nodes[m[2]], state.deaf[m[2]], m)
        )
        return state._replace(nodes=nodes, mail=mail, decided=told)

    def void(self, node: int, deaf: frozenset[int], mail: tuple[int, int, int, bytes]) -> bool:
        """Whether it can never matter again: ballots of a voter and of a proposer only grow."""
        if mail[1] in deaf:
            return True
        key = (node, mail)
        if key not in self.voids:
            room, message = self.rooms.load(node), m.decode(mail[3])
            voter, change = room.voter, room.proposer.change
            match message:
                case m.Promise():
                    void = not change or change.ballot != message.ballot or change.value is not None
                case m.Accepted():
                    void = not change or change.ballot != message.ballot
                case m.Prepare() | m.Accept():
                    void = voter and voter.standing and message.ballot < voter.vouched.promised
                case m.RecoveryReport():
                    heard = voter and voter.seen.get(mail[0]) == mail[1]
                    void = heard and (voter.standing or message.nonce != voter.nonce)
                case _:
                    void = False
            self.voids[key] = bool(void)
        return self.voids[key]

    def after(self, state: State) -> Iterator[State]:
        """All that may come next."""
        for sender, start, to, body in sorted(state.mail):
            if start in state.deaf[to]:
                continue
            after = self.apply(state, to, ("hear", sender, start, body))
            # that the process is alive is proven: older ones are never heard again
            older = {s for v, s, _, _ in state.mail if v == sender and s < start}
            if older - after.deaf[to]:
                deaf = after.deaf[to] | older
                after = after._replace(deaf=(*after.deaf[:to], deaf, *after.deaf[to + 1 :]))
            yield after
        for me in VOTERS if self.disk else ():
            if self.writing(state.nodes[me]):
                yield self.apply(state, me, ("kept",))
        for me in self.askers if state.again else ():
            yield self.apply(state._replace(again=state.again - 1), me, ("again",))
        for me in self.victims if state.crashes else ():
            start = state.starts + 1
            dead = {
                s
                for v, s, _, _ in state.mail
                if v != me and s < 10 + state.starts and self._dead(state, v, s)
            }
            spent = state._replace(starts=start, crashes=state.crashes - 1)
            spent = spent._replace(deaf=(*state.deaf[:me], frozenset(dead), *state.deaf[me + 1 :]))
            yield self.apply(spent, me, ("crash", start))

    def writing(self, node: int) -> bool:
        """Whether a record isn't on the disk yet."""
        if node not in self.busy:
            self.busy[node] = bool(self.rooms.load(node).writing)
        return self.busy[node]

    def _dead(self, state: State, router: int, start: int) -> bool:
        return bool(self.rooms.load(state.nodes[router]).conf.start != start)

    def begin(self) -> State:
        """The voters stand, have heard each other, and are asked at once."""
        first = m.RegisterState(m.EPOCH, m.PolicyRef(1, p.digest(policy(1)), VOTERS), tried=1)
        rooms = []
        for me in range(max(3, *self.askers) + 1):
            room = self.start(me, me + 1)
            if room.voter:
                room.voter.vouched = m.AcceptorState(m.Ballot(1), m.Ballot(1), first)
                room.voter.standing = True
                room.voter.seen = {0: 1, 1: 2, 2: 3}
            room._learn(BEFORE, first)
            room._settle(BEFORE)
            if room.voter and self.disk:
                room.record = msgspec.msgpack.encode(room.voter.vouched)
            if me in self.askers:
                self.propose(room, 2 + me)
            room.writing = tuple(room.take_records())
            rooms.append(room)
        mail = frozenset(
            (r.conf.router, r.conf.start, say.to, say.body) for r in rooms for say in r.take_outgoing()
        )
        nodes = tuple(self.rooms.save(r) for r in rooms)
        return State(nodes, (frozenset(),) * len(rooms), mail, len(rooms), *self.bounds, frozenset())

    def run(self) -> int:
        """Look through all; the number of states. Raises Broken where a promise is."""
        level = [self.begin()]
        while level:
            following = []
            for state in level:
                for after in self.after(state):
                    if after not in self.seen:
                        self.seen.add(after)
                        following.append(after)
                        if len(self.seen) > self.most:
                            raise OverflowError("more states than stated")
            level = following
        return len(self.seen)

    def follow(self, plan: str) -> int:
        """One run, message by message: `3>2 Prepare`, `2 crash`; what was never sent is passed over."""
        state, taken = self.begin(), 0
        for step in plan.split(", "):
            where, what = step.split()
            if what == "again":
                state = self.apply(state, int(where), ("again",))
                taken += 1
                continue
            if what == "crash":
                spent = state._replace(starts=state.starts + 1)
                state = self.apply(spent, int(where), ("crash", state.starts + 1))
                taken += 1
                continue
            sender, to = (int(part) for part in where.split(">"))
            for mail in sorted(state.mail, key=lambda mail: mail[1:], reverse=True):  # the latest
                if (mail[0], mail[2], type(m.decode(mail[3])).__name__) == (sender, to, what):
                    state = self.apply(state, to, ("hear", *mail[:2], mail[3]))
                    taken += 1
                    break
        return taken
