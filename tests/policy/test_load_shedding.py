"""The fraction of new requests that is shed in an overload."""

from __future__ import annotations

from ironrail.policy import load_shedding
from ironrail.policy.events import AttemptStatus
from tests.driver import Driver, settings
from tests.policy.fleets import fleet


def test_requests_are_shed_while_few_are_answered_in_time() -> None:
    """Without shedding, hardly any request is answered in time in an overload."""
    d = Driver(settings(max_attempts=1))
    d.update_endpoints(*fleet("a", "b"))
    for n in range(400):
        d.now += 0.05
        if d.receive(f"r{n}", key=f"k{n}"):
            d.end_attempt(f"r{n}", AttemptStatus.OK, latency=0.1 if n % 5 == 0 else 1.5)
    late = [n for n in range(200, 400) if f"r{n}" not in d.servers_sent_to]
    assert 80 <= len(late) <= 190
    for n in range(400, 1500):
        d.now += 0.05
        d.receive(f"r{n}", key=f"k{n}", finish=f"r{n}" in d.servers_sent_to)
        if f"r{n}" in d.pending:
            d.succeed(f"r{n}")
    assert all(f"r{n}" in d.servers_sent_to for n in range(1400, 1500))


def test_shedding_goes_on_until_most_answers_are_in_time() -> None:
    """Guards against shedding that stops because shed requests are not counted."""
    d = Driver(settings(max_attempts=1))
    d.update_endpoints(*fleet("a", "b"))
    sent = 0
    for n in range(600):  # every other attempt is answered in time, independent of shedding
        d.now += 0.05
        if d.receive(f"r{n}", key=f"k{n}"):
            sent += n >= 300
            d.end_attempt(f"r{n}", AttemptStatus.OK, latency=0.1 if n % 2 else 1.5)
    assert 0.5 * 300 >= sent >= 0.6 * (1 - load_shedding.MAX_SHED_FRACTION) * 300
