"""Exhaustive breadth-first exploration of real nodes within bounds. Time advances in ticks.

The same transition of one node comes up among many states of the others, so each is run once per
state and event of the node, and cached. Within a tick messages are delivered in the order of
sending, except for message faults; between ticks a router may be disconnected, paused, or
restarted with or without its record.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from ironrail.errors import RejectedError
from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus.configuration import ConsensusConfig
from ironrail.peers.consensus.errors import OpenError
from ironrail.peers.consensus.lease import are_incompatible
from ironrail.peers.messages import Received
from tests.peers.consensus.deterministic_nodes import DRIFT_RATIO, LEASE_TICKS, DeterministicNode, Snapshots
from tests.peers.consensus.invariants import CONTEXT, FALLBACK, InvariantViolation, policy

Mail = tuple[int, int, int, bytes]  # sender, its incarnation, destination, body
Transition = tuple[int, tuple[Mail, ...], tuple[bytes, ...], tuple[int, ...]]


class State(NamedTuple):
    """State of all routers and of the network."""

    tick: int
    nodes: tuple[int, ...]  # snapshot numbers; 0: stopped
    mail: tuple[Mail, ...]  # to be delivered in this tick, in this order
    delayed_mail: tuple[Mail, ...]  # to be delivered after the next tick
    # for each router: 0: present, n > 0: disconnected for n ticks, n < 0: paused for -n ticks
    away: tuple[int, ...]
    num_starts: int
    faults: int  # router faults left
    message_faults: int  # message faults left
    num_proposals: int  # proposals made so far
    decided: tuple[bytes, ...]  # decided messages, one for each step
    # versions whose handle says that they do not come into force
    rejected_versions: tuple[int, ...]


@dataclass
class Bounds:
    """Bounds of an exploration."""

    ticks: int = 8
    faults: int = 1
    message_faults: int = 0
    # earliest tick, router, version, and the new voters if any
    proposals: tuple[tuple[Any, ...], ...] = ((1, 3, 2), (2, 0, 3))
    deadline: float = 4.0  # in ticks
    routers: int = 4
    persists_records: bool = False
    max_direct_routers: int = 32  # 0: routers that are no voters ask a head
    max_states: int = 10**7
    fault_kinds: str = "cut stop crash forget"
    startup_ticks: int = 9  # before any fault or proposal


class Explorer:
    """Explores all states within the bounds, with nodes made by `make_protocol`."""

    def __init__(self, bounds: Bounds, make_protocol: Callable[..., Any] = DeterministicNode) -> None:
        self.bounds, self.make_protocol = bounds, make_protocol
        self.voters = (0, 1, 2)
        self.fast_clock_routers = {
            v for _, _, _, *named in bounds.proposals for v in (*self.voters, *sum(named, ()))
        }
        self.snapshots = Snapshots()
        self.memo: dict[tuple[int, int, Any], Transition] = {}
        self.scope_by_snapshot: dict[tuple[int, int], m.Scope] = {}
        self.seen: set[State] = set()
        self.outcomes: dict[str, int] = {}

    def clock(self, index: int, tick: int) -> float:
        """Return a router's time.

        Voters' clocks are as fast as allowed, all others as slow: then a lease lasts longest.
        """
        return tick * (1 + DRIFT_RATIO if index in self.fast_clock_routers else 1 - DRIFT_RATIO)

    def run_event(self, index: int, node: int, tick: int, event: Any) -> Transition:
        """Run an event at one node.

        Returns:
            The node's next snapshot, what it sends and decides, and which of its proposals were
                rejected.
        """
        key = (node, tick, event)
        if key in self.memo:
            return self.memo[key]
        now = self.clock(index, tick)
        if event[0] == "start":
            persists_records = self.bounds.persists_records and index in self.fast_clock_routers
            max_direct_routers = self.bounds.max_direct_routers
            conf = ConsensusConfig(
                index,
                event[1],
                self.bounds.routers,
                self.voters,
                LEASE_TICKS,
                DRIFT_RATIO,
                max_direct_routers=max_direct_routers,
                persists_records=persists_records,
            )
            protocol = self.make_protocol(conf, CONTEXT, FALLBACK, now, record=event[2])
            protocol.handles = ()
        else:
            protocol = self.snapshots.load(node)
        match event:
            case ("hear", sender, incarnation, body):
                protocol.on_message(now, Received(sender, incarnation, body))
            case ("wake",) if protocol.next_timer_at() <= now:
                protocol.on_timer(now)
            case ("propose", version, *voters):
                try:
                    protocol.handles += (
                        protocol.propose(now, policy(version), self.bounds.deadline, *voters),
                    )
                except RejectedError:
                    self.outcomes["at once"] = self.outcomes.get("at once", 0) + 1
            case ("found",):
                protocol.bootstrap(now, 1, policy(1))
        while pending_records := protocol.take_records():
            for pending_record in pending_records:
                protocol.record = pending_record.record
                protocol.on_record_written(now, pending_record.token)
        sent = tuple(
            (index, protocol.conf.incarnation, outgoing.to, outgoing.body)
            for outgoing in protocol.take_outgoing()
        )
        decided = tuple(body for _, _, _, body in sent if isinstance(m.decode(body), m.Decided))
        rejected_versions = tuple(
            t.ref.version for t in protocol.handles if t.error and not isinstance(t.error, OpenError)
        )
        open_handles = tuple(t for t in protocol.handles if t.is_open)
        for t in protocol.handles:
            if not t.is_open:
                name = type(t.error).__name__ if t.error else "in force"
                self.outcomes[name] = self.outcomes.get(name, 0) + 1
        protocol.handles = open_handles
        self.memo[key] = (self.snapshots.save(protocol), sent, decided, rejected_versions)
        return self.memo[key]

    def apply(self, state: State, index: int, event: Any) -> State:
        """Apply an event at one router."""
        node, sent, decided, rejected_versions = self.run_event(index, state.nodes[index], state.tick, event)
        nodes = (*state.nodes[:index], node, *state.nodes[index + 1 :])
        decided_messages = dict.fromkeys((*state.decided, *decided))
        if len(decided_messages) > len(state.decided):
            by_step: dict[int, m.RegisterState] = {}
            for body in decided_messages:
                message = m.decode(body)
                assert isinstance(message, m.Decided)
                if by_step.setdefault(message.state.step, message.state) != message.state:
                    raise InvariantViolation(
                        f"decided twice: {message.state} and {by_step[message.state.step]}"
                    )
        return state._replace(
            nodes=nodes,
            mail=state.mail + sent,
            decided=tuple(sorted(decided_messages)),
            rejected_versions=tuple(sorted({*state.rejected_versions, *rejected_versions})),
        )

    def check_invariants(self, state: State) -> None:
        """Check that no two routers decide in conflict, or by a rejected version."""
        scopes = set()
        for index, node in enumerate(state.nodes):
            if node:
                key = (node, state.tick)
                if key not in self.scope_by_snapshot:
                    protocol = self.snapshots.load(node)
                    self.scope_by_snapshot[key] = protocol.effective_policy(
                        self.clock(index, state.tick)
                    ).scope
                scopes.add(self.scope_by_snapshot[key])
        scopes.discard(())
        for scope in scopes:
            if any(are_incompatible(scope, other) for other in scopes):
                raise InvariantViolation(f"tick {state.tick}: decided by {scopes}")
            if len(scope) == 1 and scope[0] % m.STEPS_PER_EPOCH in state.rejected_versions:
                raise InvariantViolation(f"tick {state.tick}: by {scope}, which was refused")

    def deliver(self, state: State) -> State:
        """Deliver the first message."""
        (sender, incarnation, to, body), rest = state.mail[0], state.mail[1:]
        state = state._replace(mail=rest)
        if not state.nodes[to] or state.away[to] > 0 or state.away[sender] > 0:
            return state
        if state.away[to] < 0:  # it waits in the socket of the paused process
            return state._replace(delayed_mail=(*state.delayed_mail, (sender, incarnation, to, body)))
        state = self.apply(state, to, ("hear", sender, incarnation, body))
        self.check_invariants(state)
        return state

    def tick(self, state: State) -> State:
        """Advance time: deliver what was delayed, then fire all timers."""
        away = tuple(a - 1 if a > 0 else a + 1 if a < 0 else 0 for a in state.away)
        state = state._replace(tick=state.tick + 1, mail=state.delayed_mail, delayed_mail=(), away=away)
        self.check_invariants(state)  # before any router had a chance to look at its clock
        for index, node in enumerate(state.nodes):
            if node and state.away[index] >= 0:
                state = self.apply(state, index, ("wake",))
        return state

    def faults(self, state: State) -> Iterator[State]:
        """Yield the state after each possible router fault."""
        state_after_fault = state._replace(faults=state.faults - 1)
        for index in range(self.bounds.routers):
            for kind, away in (("cut", 2), ("cut", 4), ("stop", -2), ("stop", -4)):
                if kind in self.bounds.fault_kinds and not state.away[index]:
                    yield state_after_fault._replace(
                        away=(*state.away[:index], away, *state.away[index + 1 :])
                    )
            for kind in ("crash", "forget"):
                if kind in self.bounds.fault_kinds and (
                    kind == "forget" or self.bounds.persists_records and index in self.fast_clock_routers
                ):
                    yield self.restart(state_after_fault, index, kind == "forget")

    def restart(self, state: State, index: int, loses_record: bool) -> State:
        """Restart a router at once, as another process."""
        record = None if loses_record else getattr(self.snapshots.load(state.nodes[index]), "record", None)
        state = state._replace(num_starts=state.num_starts + 1)
        return self.apply(state, index, ("start", state.num_starts, record))

    def with_message_fault(self, state: State) -> Iterator[State]:
        """Yield the state after each possible fault of the first message."""
        state_after_fault = state._replace(message_faults=state.message_faults - 1)
        yield state_after_fault._replace(mail=state.mail[1:])  # lost
        # delayed
        yield state_after_fault._replace(
            mail=state.mail[1:], delayed_mail=(*state.delayed_mail, state.mail[0])
        )
        # overtaken by the others
        yield state_after_fault._replace(mail=(*state.mail[1:], state.mail[0]))
        # duplicated
        yield self.deliver(state_after_fault._replace(delayed_mail=(*state.delayed_mail, state.mail[0])))

    def successors(self, state: State) -> Iterator[State]:
        """Yield all possible next states."""
        if state.mail:
            yield self.deliver(state)
            if state.message_faults:
                yield from self.with_message_fault(state)
            return
        if state.tick < self.bounds.ticks + self.bounds.startup_ticks:
            ticked = self.tick(state)
            remaining = self.bounds.proposals[state.num_proposals :]
            if (
                remaining
                and state.tick - self.bounds.startup_ticks >= remaining[0][0]
                and not state.away[remaining[0][1]]
            ):
                yield self.apply(
                    ticked._replace(num_proposals=state.num_proposals + 1),
                    remaining[0][1],
                    ("propose", *remaining[0][2:]),
                )
            else:
                yield ticked
            if state.faults:
                yield from self.faults(state)

    def initial_state(self) -> State:
        """Return the state in which all routers decide by the first policy."""
        n = self.bounds.routers
        state = State(0, (0,) * n, (), (), (0,) * n, n, 0, 0, 9, (), ())
        for index in range(n):
            state = self.apply(state, index, ("start", index + 1, None))
        state = self.apply(state, 0, ("found",))
        while state.tick < self.bounds.startup_ticks or state.mail:
            state = self.deliver(state) if state.mail else self.tick(state)
        return state._replace(
            faults=self.bounds.faults, message_faults=self.bounds.message_faults, num_proposals=0
        )

    def run(self) -> int:
        """Explore all states.

        Returns:
            The number of states.

        Raises:
            InvariantViolation: An invariant does not hold in some state.
            OverflowError: There are more than `max_states`.
        """
        level = [self.initial_state()]
        while level:
            next_level: list[State] = []
            for state in level:
                for successor in self.successors(state):
                    if successor not in self.seen:
                        self.seen.add(successor)
                        next_level.append(successor)
                        if len(self.seen) > self.bounds.max_states:
                            raise OverflowError("more than max_states")
            level = next_level
        return len(self.seen)
