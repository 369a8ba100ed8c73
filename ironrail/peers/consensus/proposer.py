"""A router that was asked for a change: rounds of the register until it is in force, or taken back. Pure.

Only the process that began a change ever takes it forward; whoever else finds it left behind takes it back.
So a ticket that ends before the last step was sent out tells for certain that nobody goes on with the change.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from ironrail.errors import IronrailError
from ironrail.peers.consensus import errors
from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus.proposal import Proposal, TargetState
from ironrail.peers.consensus.quorum import QuorumReply, find_quorum

# seconds until an attempt is repeated, by up to twice that as drawn: two at once mustn't keep step
AGAIN = 0.4
PATIENCE = 2.0  # times its deadline that a ticket whose last step was sent out waits to hear what came of it


def _held(reply: QuorumReply) -> bool:
    return isinstance(reply.message, m.Promise) and bool(reply.message.held)


class Proposer:
    """Runs one change at a time."""

    def __init__(self, me: int, start: int, voters: tuple[int, ...], draw: Callable[[], float]) -> None:
        """`voters`: of the operator's file; `draw`: from 0 to 1."""
        self.me, self.start, self.voters, self._draw = me, start, voters, draw
        self.epoch = self._number = 0
        self.known: m.RegisterState | None = None  # the latest that is decided, as the room tells
        self.change: Proposal | None = None
        self.out: m.Out = []
        self.decided: list[m.RegisterState] = []  # by this one; the room takes them

    def begin(self, now: float, change: Proposal) -> None:
        """Take it up, in place of what is under way."""
        self.change, change.began_at = change, now
        self._prepare(now)

    def _prepare(self, now: float) -> None:
        change = self.change
        if change:
            self._number += 1
            change.ballot = m.Ballot(self.epoch, self._number, self.me, self.start)
            change.value, change.replies = None, {}
            change.retry_at = now + AGAIN * (1 + self._draw())
            known = self.known.named if self.known else self.voters
            change.asked_voters = tuple(
                dict.fromkeys((*known, *change.new_voters, *change.discovered_voters))
            )
            self.out += [
                (voter, m.Prepare(change.ballot, change.asked_voters)) for voter in change.asked_voters
            ]

    def outvoted(self, now: float, promised: m.Ballot) -> None:
        """A higher ballot: at first only news, for it may be long past; later somebody else is faster."""
        self.epoch = max(self.epoch, promised.epoch) if self.known is None else self.epoch
        if promised.epoch == self.epoch:
            self._number = max(self._number, promised.number)
        if self.change and self.change.may_restart_at_once:
            self.change.may_restart_at_once = False
            self._prepare(now)

    def promised(self, now: float, voter: int, start: int, message: m.Promise) -> None:
        """A voter's promise; with a majority of them a state is chosen and sent out."""
        change = self.change
        if not change or change.value or message.ballot != change.ballot or voter not in change.asked_voters:
            return
        change.replies[voter] = QuorumReply(start, message.seen, message)
        told = [r.message for r in change.replies.values() if isinstance(r.message, m.Promise)]
        best = max((p.vouched for p in told), key=lambda v: v.ballot).accepted
        sets = self._asked(change, best)
        if wider := tuple({v for s in sets for v in s if v not in change.asked_voters}):
            change.discovered_voters, change.retry_at = change.discovered_voters + wider, now
            return
        # any majorities without leases against it will do: each lease needs one of each set it is granted by
        clear = {v: r for v, r in change.replies.items() if not _held(r)}
        group = find_quorum(clear, sets) or find_quorum(change.replies, sets)
        if not group:
            return
        change.refusal = next((promise.refusal for promise in told if promise.refusal), None)
        decided = max((p.decided for p in told), default=0)
        if self.known:
            decided = max(decided, self.known.step)
        if best is None or best.step < decided:
            return  # a voter that is behind its own word: can't be, and isn't built upon
        if best.step > decided:
            self._accept(change, best, final=False)
            return
        clearest = [p for v in group if isinstance(p := change.replies[v].message, m.Promise)]
        value = self._next(change, best, clearest)
        if value and self.change is change:
            change.final_step_sent |= change.target is TargetState.NEW
            self._accept(change, value, final=True)

    def _asked(self, change: Proposal, best: m.RegisterState | None) -> list[m.Voters]:
        """The sets whose majorities have to have promised: none may have decided what isn't seen."""
        sets = [self.known.voters] if self.known else []
        if best and not (self.known and best.step <= self.known.step):
            sets += best.needed
        # those that are to come have to be there, or nothing is begun that needs them
        if change.target is TargetState.JOINT:
            sets += [change.new_voters] if change.new_voters else []
        elif change.target is TargetState.NEW and best and best.new:
            sets.append(best.new.voters)
        return sets

    def _accept(self, change: Proposal, value: m.RegisterState, final: bool) -> None:
        change.value, change.value_is_target, change.replies = value, final, {}
        self.out += [(voter, m.Accept(change.ballot, value)) for voter in value.named]

    def _next(
        self, change: Proposal, state: m.RegisterState, told: list[m.Promise]
    ) -> m.RegisterState | None:
        """What follows a decided state, if it is the goal's to change it; else the change has ended."""
        ref = change.ref
        mine = ref is not None and ref.same(state.new) and state.by == (self.me, self.start)
        match change.target:
            case TargetState.JOINT if ref and state.new is None and ref.version > state.tried:
                new = m.PolicyRef(ref.version, ref.digest, change.new_voters or state.voters)
                return state.next(state.old, new, (self.me, self.start))
            case TargetState.JOINT | TargetState.NEW if ref and ref.same(state.old):
                self._end()  # another may have finished its last step, and begun a change from it
            case TargetState.JOINT if mine:
                change.target = TargetState.NEW
                return self._next(change, state, told)
            case TargetState.JOINT if state.new:
                self._end(errors.BusyError(f"version {state.new.version} is on its way", "policy"))
            case TargetState.JOINT:
                self._end(errors.VersionError(f"version {state.tried} was tried already", "policy"))
            case TargetState.NEW if mine and ref:
                change.unacknowledged = tuple(sorted({router for p in told for router in p.held}))
                if change.refusal:
                    router, _, why = change.refusal
                    self._back(errors.RefusedByError(why, f"router {router}"))
                elif not change.unacknowledged:
                    return state.next(state.new or ref)
            case TargetState.NEW if ref and change.final_step_sent and state.old.version > ref.version:
                self._end(errors.OpenError("the last step was sent out, its fate is not known", "policy"))
            case TargetState.NEW:
                self._end(errors.WithdrawnError("was taken back", "policy"))
            case TargetState.OLD if state.new:
                return state.next(state.old)
            case _:
                self._end(None if ref and ref.same(state.old) else change.withdrawal_cause)
        return None

    def accepted(self, now: float, voter: int, start: int, message: m.Accepted) -> None:
        """A voter's vote; with a majority of them the state is decided."""
        change = self.change
        if not change or not change.value or message.ballot != change.ballot:
            return
        change.replies[voter] = QuorumReply(start, message.seen, message)
        if not find_quorum(change.replies, change.value.needed):
            return
        state, final = change.value, change.value_is_target
        self.decided.append(state)
        self.out += [(v, m.Decided(state)) for v in change.asked_voters]
        change.value, change.ballot = None, m.Ballot()  # late votes count no more
        if not final:
            change.retry_at = now
        elif change.target is TargetState.JOINT:
            change.target, change.retry_at = TargetState.NEW, now  # voters answer once nobody holds it back
        else:
            self._end(change.withdrawal_cause)

    def _end(self, error: IronrailError | None = None) -> None:
        """Over; a ticket ends with it, if it hasn't ended before."""
        ticket = self.change.handle if self.change else None
        if ticket and ticket.is_open:
            ticket.error, ticket.in_force = error, error is None
        self.change = None

    def _back(self, error: IronrailError) -> None:
        """The ticket ends, if the last step was never sent out; the register goes back to the old state."""
        change = self.change
        if change:
            if change.handle and change.handle.is_open and not change.final_step_sent:
                change.handle.error = error
            change.target, change.value, change.ballot = TargetState.OLD, None, m.Ballot()
            change.withdrawal_cause = error

    def wake(self, now: float) -> None:
        """Repeat what had no answer; give up at the deadline."""
        change = self.change
        if not change:
            return
        if now >= change.deadline and change.handle and change.handle.is_open:
            error = self._late(change)
            if not change.final_step_sent:
                self._back(error)
                change.retry_at = now
            elif now >= change.began_at + PATIENCE * (change.deadline - change.began_at):
                change.handle.error = errors.OpenError(
                    "the last step was sent out, its fate is not known", "policy"
                )
        if now >= change.retry_at:
            self._prepare(now)

    def _late(self, change: Proposal) -> errors.NoMajorityError:
        if change.unacknowledged:
            return errors.NoMajorityError("didn't acknowledge in time", f"routers {change.unacknowledged}")
        return errors.NoMajorityError("no majority answered in time", "voters")

    def wake_at(self) -> float:
        """When it wants to be asked again."""
        change = self.change
        if not change:
            return math.inf
        waiting = change.handle is not None and change.handle.is_open
        late = (
            change.began_at + PATIENCE * (change.deadline - change.began_at)
            if change.final_step_sent
            else change.deadline
        )
        return min(change.retry_at, late if waiting else math.inf)
