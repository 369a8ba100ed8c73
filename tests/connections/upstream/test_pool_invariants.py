"""A pool's limits and outcomes under any order of events."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ironrail.connections.upstream.connection_fault import Fault
from ironrail.policy.events import AttemptStatus
from tests.connections.upstream.pool_host import PoolHost


class Life(RuleBasedStateMachine):
    """Any events in any order: the limits hold, and each attempt has exactly one outcome."""

    def __init__(self) -> None:
        super().__init__()
        self.host = PoolHost(most=2, streams=4)
        self.most = 2

    @rule(patience=st.sampled_from([0.2, 1.0, 5.0]), is_exclusive=st.booleans())
    def send(self, patience: float, is_exclusive: bool) -> None:
        self.host.send(patience, is_exclusive)

    @precondition(lambda self: self.host.connecting)
    @rule(is_closing=st.booleans())
    def connect(self, is_closing: bool) -> None:
        self.host.connect(is_closing)

    @precondition(lambda self: self.host.connecting)
    @rule()
    def fail_connect(self) -> None:
        self.host.fail_connect()

    @precondition(lambda self: self.host.connections)
    @rule(
        pick=st.integers(0, 9),
        count=st.integers(0, 4),
        part=st.booleans(),
        fault=st.sampled_from([None, ValueError("?")]),
        status=st.sampled_from([AttemptStatus.OK, AttemptStatus.MISS, AttemptStatus.BUSY]),
    )
    def read(self, pick: int, count: int, part: bool, fault: Fault | None, status: AttemptStatus) -> None:
        connection = self.host.connections[pick % len(self.host.connections)]
        self.host.read(connection, *[status] * min(count, len(connection.in_flight)), part=part, fault=fault)

    @precondition(lambda self: any(connection.in_flight for connection in self.host.connections))
    @rule(pick=st.integers(0, 9), full=st.booleans(), held_back=st.booleans())
    def begin(self, pick: int, full: bool, held_back: bool) -> None:
        """A long value begins, or its client is too slow or has caught up."""
        busy = [connection for connection in self.host.connections if connection.in_flight]
        connection = busy[pick % len(busy)]
        if connection.is_streaming:
            self.host.do(self.host.manager.on_client_paused(self.host.now, connection, full))
        else:
            self.host.do(self.host.manager.on_stream_started(self.host.now, connection, 100_000))
            connection.has_unsent_bytes = held_back and bool(connection.in_flight)

    @precondition(lambda self: self.host.connections or self.host.closing)
    @rule(pick=st.integers(0, 9))
    def close(self, pick: int) -> None:
        there = self.host.connections + self.host.closing
        self.host.close(there[pick % len(there)])

    @rule(pick=st.integers(0, 99), status=st.sampled_from([AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED]))
    def abandon(self, pick: int, status: AttemptStatus) -> None:
        live = [a for a in self.host.attempts if a.is_open]
        if live:
            self.host.abandon(live[pick % len(live)], status)

    @rule(pick=st.integers(0, 99))
    def revoke(self, pick: int) -> None:
        """A revoked attempt is not in flight any more."""
        live = [a for a in self.host.attempts if a.is_open]
        if live:
            attempt = live[pick % len(live)]
            self.host.do(self.host.manager.revoke(self.host.now, attempt))
            assert not attempt.is_open and self.host.written.get(attempt) not in self.host.connections

    @rule(seconds=st.sampled_from([0.01, 0.4, 2.0, 9.0]))
    def wait(self, seconds: float) -> None:
        self.host.now += seconds
        for attempt in [a for a in self.host.attempts if a.is_open and a.deadline <= self.host.now]:
            if (
                attempt.connection is None
                or not attempt.connection.is_streaming
                or attempt.connection.in_flight[0] is not attempt
            ):
                self.host.abandon(attempt)
        self.host.do(self.host.manager.expire(self.host.now))

    @precondition(lambda self: self.host.connections)
    @rule(pick=st.integers(0, 9))
    def noise(self, pick: int) -> None:
        self.host.with_unread_bytes ^= {self.host.connections[pick % len(self.host.connections)]}

    @rule(what=st.sampled_from(["stop", "resume", "restart", "close_idle", "move"]))
    def server(self, what: str) -> None:
        host, up = self.host, self.host.manager
        match what:
            case "stop":
                host.do(up.stop(host.now))
            case "resume":
                up.resume()
            case "restart":
                host.do(up.on_server_restarted(host.now, host.now - 0.1))
            case "close_idle":
                host.do(up.close_idle(host.now))
            case "move":
                host.do(up.move_to(host.now, ("a", len(host.attempts))))

    @invariant()
    def never_more_than_the_limit(self) -> None:
        assert len(self.host.manager.state) <= self.most
        assert len(self.host.connections) + len(self.host.connecting) <= self.most
        assert all(len(connection.in_flight) <= 4 for connection in self.host.connections)
        assert len(self.host.manager.state.waiting) <= 40 * self.most

    @invariant()
    def what_is_alone_shares_with_nobody(self) -> None:
        for connection in self.host.connections:
            assert len(connection.in_flight) <= 1 or not any(a.is_exclusive for a in connection.in_flight)

    @invariant()
    def an_outcome_is_final_and_none_is_forgotten(self) -> None:
        host = self.host
        for attempt in host.attempts:
            assert attempt.is_open is (attempt not in host.outcomes)
            if attempt.is_open:  # somebody still looks after it
                waiting = attempt in host.manager.state.waiting
                assert waiting or attempt in host.written and attempt in host.written[attempt].in_flight

    def teardown(self) -> None:
        """At the end nothing is kept, and each attempt has had its outcome."""
        host = self.host
        host.now += 100.0
        for attempt in [a for a in host.attempts if a.is_open]:
            host.abandon(attempt)
        while host.connecting:
            host.fail_connect()
        host.do(host.manager.expire(host.now))
        for connection in host.connections + host.closing:
            host.close(connection)
        up = host.manager
        assert (len(up.state), len(up.state.waiting), len(up.state.idle)) == (0, 0, 0)
        assert host.outcomes.keys() == set(host.attempts)


TestLife = Life.TestCase


TestLife.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)
