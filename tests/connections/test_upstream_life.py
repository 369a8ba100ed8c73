"""The connections to one server in any order of events: bounds and outcomes hold."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from ironrail.policy.events import AttemptStatus

from tests.connections.upstream_host import Host


class Life(RuleBasedStateMachine):
    """Anything in any order: the bounds hold, and every attempt has exactly one outcome."""

    def __init__(self) -> None:
        super().__init__()
        self.host = Host(most=2, streams=4)
        self.most = 2

    @rule(patience=st.sampled_from([0.2, 1.0, 5.0]), alone=st.booleans())
    def want(self, patience: float, alone: bool) -> None:
        self.host.want(patience, alone)

    @precondition(lambda self: self.host.dialling)
    @rule(closing=st.booleans())
    def up(self, closing: bool) -> None:
        self.host.up(closing)

    @precondition(lambda self: self.host.dialling)
    @rule()
    def down(self) -> None:
        self.host.down()

    @precondition(lambda self: self.host.links)
    @rule(
        pick=st.integers(0, 9),
        count=st.integers(0, 4),
        part=st.booleans(),
        fault=st.sampled_from([None, "?"]),
        status=st.sampled_from([AttemptStatus.OK, AttemptStatus.MISS, AttemptStatus.BUSY]),
    )
    def read(self, pick: int, count: int, part: bool, fault: str | None, status: AttemptStatus) -> None:
        link = self.host.links[pick % len(self.host.links)]
        self.host.read(link, *[status] * min(count, len(link.in_flight)), part=part, fault=fault)

    @precondition(lambda self: any(link.in_flight for link in self.host.links))
    @rule(pick=st.integers(0, 9), full=st.booleans(), held_back=st.booleans())
    def begin(self, pick: int, full: bool, held_back: bool) -> None:
        """A long value begins to come, or its client takes it more slowly than it comes."""
        busy = [link for link in self.host.links if link.in_flight]
        link = busy[pick % len(busy)]
        if link.is_streaming:
            self.host.do(self.host.upstream.on_client_paused(self.host.now, link, full))
        else:
            self.host.do(self.host.upstream.on_stream_started(self.host.now, link, 100_000))
            link.has_unsent_bytes = held_back and bool(link.in_flight)

    @precondition(lambda self: self.host.links or self.host.leaving)
    @rule(pick=st.integers(0, 9))
    def lose(self, pick: int) -> None:
        there = self.host.links + self.host.leaving
        self.host.lose(there[pick % len(there)])

    @rule(pick=st.integers(0, 99), status=st.sampled_from([AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED]))
    def abandon(self, pick: int, status: AttemptStatus) -> None:
        live = [a for a in self.host.attempts if a.is_open]
        if live:
            self.host.abandon(live[pick % len(live)], status)

    @rule(pick=st.integers(0, 99))
    def revoke(self, pick: int) -> None:
        """Not out any more, wherever it was."""
        live = [a for a in self.host.attempts if a.is_open]
        if live:
            attempt = live[pick % len(live)]
            self.host.do(self.host.upstream.revoke(self.host.now, attempt))
            assert not attempt.is_open and self.host.written.get(attempt) not in self.host.links

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
        self.host.do(self.host.upstream.expire(self.host.now))

    @precondition(lambda self: self.host.links)
    @rule(pick=st.integers(0, 9))
    def noise(self, pick: int) -> None:
        self.host.noisy ^= {self.host.links[pick % len(self.host.links)]}

    @rule(what=st.sampled_from(["stop", "resume", "restart", "close_idle", "move"]))
    def server(self, what: str) -> None:
        host, up = self.host, self.host.upstream
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
        assert len(self.host.upstream.state) <= self.most
        assert len(self.host.links) + len(self.host.dialling) <= self.most
        assert all(len(link.in_flight) <= 4 for link in self.host.links)
        assert len(self.host.upstream.state.waiting) <= 40 * self.most

    @invariant()
    def what_is_alone_shares_with_nobody(self) -> None:
        for link in self.host.links:
            assert len(link.in_flight) <= 1 or not any(a.is_exclusive for a in link.in_flight)

    @invariant()
    def an_outcome_is_final_and_none_is_forgotten(self) -> None:
        host = self.host
        for attempt in host.attempts:
            assert attempt.is_open is (attempt not in host.outcomes)
            if attempt.is_open:  # somebody still looks after it
                waiting = attempt in host.upstream.state.waiting
                assert waiting or attempt in host.written and attempt in host.written[attempt].in_flight

    def teardown(self) -> None:
        """Once all is quiet nothing is kept, and each attempt has had its outcome."""
        host = self.host
        host.now += 100.0
        for attempt in [a for a in host.attempts if a.is_open]:
            host.abandon(attempt)
        while host.dialling:
            host.down()
        host.do(host.upstream.expire(host.now))
        for link in host.links + host.leaving:
            host.lose(link)
        up = host.upstream
        assert (len(up.state), len(up.state.waiting), len(up.state.idle)) == (0, 0, 0)
        assert host.outcomes.keys() == set(host.attempts)


TestLife = Life.TestCase


TestLife.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)
