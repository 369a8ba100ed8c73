"""Attempts in flight at each server, and the effects of their ends."""

from __future__ import annotations

from ironrail.policy.events import AttemptEnded, AttemptStatus, ClientDisconnected
from tests.driver import Driver, Outcome, settings
from tests.policy.fleets import fleet


def test_an_attempt_that_was_not_sent_changes_no_state_of_its_server() -> None:
    d = Driver(settings(cancellation_allowed=False))
    d.update_endpoints(*fleet("a"))
    d.receive("r")
    server = d.router.servers["a"]
    known = (
        server.mean_latency,
        server.slowness,
        server.concurrency_limit,
        server.consecutive_losses,
        server.ejected_until,
    )
    d.now += 0.9  # overdue: any other status would count against the server
    d.finish_request("r", Outcome.DISCONNECTED)
    d.handle(AttemptEnded("r", 0, AttemptStatus.NOT_SENT, True, 0.9))
    d.handle(ClientDisconnected("r"))
    assert (
        server.mean_latency,
        server.slowness,
        server.concurrency_limit,
        server.consecutive_losses,
        server.ejected_until,
    ) == known
    assert (server.in_flight, server.in_flight_work, d.router.attempts_in_flight.cache_count) == (0, 0.0, 0)
    assert not d.router.attempts_in_flight and not d.router.pending_requests
