"""Sessions under random sequences of events: all limits hold."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ironrail.connections.downstream.client_session import MAX_PIPELINED_COMMANDS, ClientSession
from ironrail.connections.downstream.session_manager import ClientSessionManager, NextAction
from ironrail.connections.downstream.session_timeouts import TimeoutAction, timeout_action


class SessionLifecycle(RuleBasedStateMachine):
    """Under any order of events the limits hold, and no state is kept of closed sessions."""

    MAX_SESSIONS = 6
    MAX_RETAINED_SESSIONS = 3

    def __init__(self) -> None:
        super().__init__()
        self.sessions = ClientSessionManager(self.MAX_SESSIONS, self.MAX_RETAINED_SESSIONS)
        self.open_sessions: list[ClientSession] = []
        self.admitted = 0
        self.now = 0.0

    def pick(self, n: int) -> ClientSession:
        return self.open_sessions[n % len(self.open_sessions)]

    @rule()
    def arrive(self) -> None:
        admission = self.sessions.admit()
        if admission.evicted is not None:
            assert admission.evicted.is_idle or not admission.evicted.has_been_used, (
                "a session with a pending response was evicted"
            )
            self.open_sessions.remove(admission.evicted)
        if admission.admitted:
            self.admitted += 1
        else:
            assert all(one.has_been_used and not one.is_idle for one in self.open_sessions)

    @precondition(lambda self: self.admitted)
    @rule(ended=st.booleans())
    def open(self, ended: bool) -> None:
        self.admitted -= 1
        if ended:
            self.sessions.cancel_admission()
        else:
            self.open_sessions.append(self.sessions.add(self.now))

    @precondition(lambda self: self.open_sessions)
    @rule(n=st.integers(0, 9), good=st.booleans(), more=st.booleans())
    def command(self, n: int, good: bool, more: bool) -> None:
        session = self.pick(n)
        if session.is_ending or not session.accepts_commands:
            return
        self.sessions.record_data(self.now, session)
        self.sessions.record_command(self.now, session, good)
        self.sessions.record_progress(session, 0, more)
        self.evict_idle()

    @precondition(lambda self: self.open_sessions)
    @rule(n=st.integers(0, 9), count=st.integers(1, 3))
    def answer(self, n: int, count: int) -> None:
        session = self.pick(n)
        due = self.sessions.record_progress(
            session, min(count, session.pending_responses), session.has_partial_command
        )
        if due in (NextAction.FINISH, NextAction.CLOSE):
            self.close(session)
        self.evict_idle()

    def evict_idle(self) -> None:
        while (session := self.sessions.next_idle_to_evict()) is not None:
            assert session.has_been_used and session.is_idle
            self.close(session)

    def close(self, session: ClientSession) -> None:
        self.sessions.remove(session)
        self.open_sessions.remove(session)

    @precondition(lambda self: self.open_sessions)
    @rule(n=st.integers(0, 9))
    def disconnect(self, n: int) -> None:
        self.close(self.pick(n))

    @rule(seconds=st.sampled_from([0.1, 3.0, 40.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for session in self.sessions:
            action = timeout_action(session, self.now)
            if action is TimeoutAction.REJECT_COMMAND:
                session.reject_partial_command()
            elif action is not TimeoutAction.KEEP:
                self.close(session)

    @invariant()
    def limits_hold(self) -> None:
        assert set(self.sessions) == set(self.open_sessions)
        assert len(self.sessions) + self.admitted <= self.MAX_SESSIONS
        idle = [one for one in self.open_sessions if one.has_been_used and one.is_idle and not one.is_ending]
        used = [one for one in self.open_sessions if one.has_been_used]
        assert len(used) <= self.MAX_RETAINED_SESSIONS or len(idle) <= 1
        assert all(one.pending_responses <= MAX_PIPELINED_COMMANDS + 1 for one in self.open_sessions)

    def teardown(self) -> None:
        for session in list(self.open_sessions):
            self.close(session)
        assert len(self.sessions) == 0 and not self.sessions._idle


TestSessionLifecycle = SessionLifecycle.TestCase


TestSessionLifecycle.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)
