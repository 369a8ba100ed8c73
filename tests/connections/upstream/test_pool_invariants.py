"""Limits and outcomes of a pool under random sequences of events."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ironrail.connections.upstream.connection_fault import Fault
from ironrail.policy.events import AttemptStatus
from tests.connections.upstream.pool_host import PoolHost


class PoolStateMachine(RuleBasedStateMachine):
    """Under any order of events the limits hold, and each attempt has exactly one outcome."""

    def __init__(self) -> None:
        super().__init__()
        self.host = PoolHost(max_connections=2, max_streams=4)
        self.max_connections = 2

    @rule(timeout=st.sampled_from([0.2, 1.0, 5.0]), is_exclusive=st.booleans())
    def send(self, timeout: float, is_exclusive: bool) -> None:
        self.host.send(timeout, is_exclusive)

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
        is_partial=st.booleans(),
        fault=st.sampled_from([None, ValueError("?")]),
        status=st.sampled_from([AttemptStatus.OK, AttemptStatus.MISS, AttemptStatus.BUSY]),
    )
    def read(
        self, pick: int, count: int, is_partial: bool, fault: Fault | None, status: AttemptStatus
    ) -> None:
        connection = self.host.connections[pick % len(self.host.connections)]
        self.host.read(
            connection, *[status] * min(count, len(connection.in_flight)), is_partial=is_partial, fault=fault
        )

    @precondition(lambda self: any(connection.in_flight for connection in self.host.connections))
    @rule(pick=st.integers(0, 9), is_paused=st.booleans(), has_unsent_bytes=st.booleans())
    def stream_or_pause(self, pick: int, is_paused: bool, has_unsent_bytes: bool) -> None:
        """Start a long value, or let its client be too slow or catch up."""
        busy = [connection for connection in self.host.connections if connection.in_flight]
        connection = busy[pick % len(busy)]
        if connection.is_streaming:
            self.host.carry_out(self.host.manager.on_client_paused(self.host.now, connection, is_paused))
        else:
            self.host.carry_out(self.host.manager.on_stream_started(self.host.now, connection, 100_000))
            connection.has_unsent_bytes = has_unsent_bytes and bool(connection.in_flight)

    @precondition(lambda self: self.host.connections or self.host.closing)
    @rule(pick=st.integers(0, 9))
    def close(self, pick: int) -> None:
        all_connections = self.host.connections + self.host.closing
        self.host.close(all_connections[pick % len(all_connections)])

    @rule(pick=st.integers(0, 99), status=st.sampled_from([AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED]))
    def abandon(self, pick: int, status: AttemptStatus) -> None:
        open_attempts = [a for a in self.host.attempts if a.is_open]
        if open_attempts:
            self.host.abandon(open_attempts[pick % len(open_attempts)], status)

    @rule(pick=st.integers(0, 99))
    def revoke(self, pick: int) -> None:
        """Check that a revoked attempt is not in flight any more."""
        open_attempts = [a for a in self.host.attempts if a.is_open]
        if open_attempts:
            attempt = open_attempts[pick % len(open_attempts)]
            self.host.carry_out(self.host.manager.revoke(self.host.now, attempt))
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
        self.host.carry_out(self.host.manager.expire(self.host.now))

    @precondition(lambda self: self.host.connections)
    @rule(pick=st.integers(0, 9))
    def toggle_unread_bytes(self, pick: int) -> None:
        self.host.with_unread_bytes ^= {self.host.connections[pick % len(self.host.connections)]}

    @rule(what=st.sampled_from(["stop", "resume", "restart", "close_idle", "move"]))
    def change_server(self, what: str) -> None:
        host, manager = self.host, self.host.manager
        match what:
            case "stop":
                host.carry_out(manager.stop(host.now))
            case "resume":
                manager.resume()
            case "restart":
                host.carry_out(manager.on_server_restarted(host.now, host.now - 0.1))
            case "close_idle":
                host.carry_out(manager.close_idle(host.now))
            case "move":
                host.carry_out(manager.move_to(host.now, ("a", len(host.attempts))))

    @invariant()
    def limits_hold(self) -> None:
        assert len(self.host.manager.state) <= self.max_connections
        assert len(self.host.connections) + len(self.host.connecting) <= self.max_connections
        assert all(len(connection.in_flight) <= 4 for connection in self.host.connections)
        assert len(self.host.manager.state.waiting) <= 40 * self.max_connections

    @invariant()
    def exclusive_attempts_share_no_connection(self) -> None:
        for connection in self.host.connections:
            assert len(connection.in_flight) <= 1 or not any(a.is_exclusive for a in connection.in_flight)

    @invariant()
    def each_attempt_is_tracked_until_its_one_outcome(self) -> None:
        host = self.host
        for attempt in host.attempts:
            assert attempt.is_open is (attempt not in host.outcomes)
            if attempt.is_open:  # the pool still tracks it
                waiting = attempt in host.manager.state.waiting
                assert waiting or attempt in host.written and attempt in host.written[attempt].in_flight

    def teardown(self) -> None:
        """Check that no state is left at the end, and that each attempt has its outcome."""
        host = self.host
        host.now += 100.0
        for attempt in [a for a in host.attempts if a.is_open]:
            host.abandon(attempt)
        while host.connecting:
            host.fail_connect()
        host.carry_out(host.manager.expire(host.now))
        for connection in host.connections + host.closing:
            host.close(connection)
        manager = host.manager
        assert (len(manager.state), len(manager.state.waiting), len(manager.state.idle)) == (0, 0, 0)
        assert host.outcomes.keys() == set(host.attempts)


TestPoolInvariants = PoolStateMachine.TestCase


TestPoolInvariants.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)
