"""Sessions under random sequences of events: all limits hold."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from ironrail.connections.downstream.client_session import MAX_PIPELINED_COMMANDS, ClientSession
from ironrail.connections.downstream.session_manager import ClientSessionManager, NextAction
from ironrail.connections.downstream.session_timeouts import TimeoutAction, timeout_action


class SessionLifecycle(RuleBasedStateMachine):
    """Sessions of all kinds under random events: limits hold, and closed ones are forgotten."""

    MOST, KEPT = 6, 3

    def __init__(self) -> None:
        super().__init__()
        self.sessions = ClientSessionManager(self.MOST, self.KEPT)
        self.there: list[ClientSession] = []
        self.coming = 0
        self.now = 0.0

    def pick(self, n: int) -> ClientSession:
        return self.there[n % len(self.there)]

    @rule()
    def arrive(self) -> None:
        admission = self.sessions.admit()
        if admission.evicted is not None:
            assert admission.evicted.is_idle or not admission.evicted.has_been_used, (
                "one with a request open lost its session"
            )
            self.there.remove(admission.evicted)
        if admission.admitted:
            self.coming += 1
        else:
            assert all(p.has_been_used and not p.is_idle for p in self.there)

    @precondition(lambda self: self.coming)
    @rule(ended=st.booleans())
    def open(self, ended: bool) -> None:
        self.coming -= 1
        if ended:
            self.sessions.cancel_admission()
        else:
            self.there.append(self.sessions.add(self.now))

    @precondition(lambda self: self.there)
    @rule(n=st.integers(0, 9), good=st.booleans(), more=st.booleans())
    def command(self, n: int, good: bool, more: bool) -> None:
        session = self.pick(n)
        if session.is_ending or not session.accepts_commands:
            return
        self.sessions.record_data(self.now, session)
        self.sessions.record_command(self.now, session, good)
        self.sessions.record_progress(session, 0, more)
        self.make_way()

    @precondition(lambda self: self.there)
    @rule(n=st.integers(0, 9), count=st.integers(1, 3))
    def answer(self, n: int, count: int) -> None:
        session = self.pick(n)
        due = self.sessions.record_progress(
            session, min(count, session.pending_responses), session.has_partial_command
        )
        if due in (NextAction.FINISH, NextAction.CLOSE):
            self.leave(session)
        self.make_way()

    def make_way(self) -> None:
        while (session := self.sessions.next_idle_to_evict()) is not None:
            assert session.has_been_used and session.is_idle
            self.leave(session)

    def leave(self, session: ClientSession) -> None:
        self.sessions.remove(session)
        self.there.remove(session)

    @precondition(lambda self: self.there)
    @rule(n=st.integers(0, 9))
    def go(self, n: int) -> None:
        self.leave(self.pick(n))

    @rule(seconds=st.sampled_from([0.1, 3.0, 40.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for session in self.sessions:
            fate = timeout_action(session, self.now)
            if fate is TimeoutAction.REJECT_COMMAND:
                session.reject_partial_command()
            elif fate is not TimeoutAction.KEEP:
                self.leave(session)

    @invariant()
    def bounds(self) -> None:
        assert set(self.sessions) == set(self.there)
        assert len(self.sessions) + self.coming <= self.MOST
        resting = [p for p in self.there if p.has_been_used and p.is_idle and not p.is_ending]
        used = [p for p in self.there if p.has_been_used]
        assert len(used) <= self.KEPT or len(resting) <= 1
        assert all(p.pending_responses <= MAX_PIPELINED_COMMANDS + 1 for p in self.there)

    def teardown(self) -> None:
        for session in list(self.there):
            self.leave(session)
        assert len(self.sessions) == 0 and not self.sessions._idle


TestSessionLifecycle = SessionLifecycle.TestCase


TestSessionLifecycle.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)
