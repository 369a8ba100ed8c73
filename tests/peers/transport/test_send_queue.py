"""The send queue keeps to its rate limit and sends messages in order of priority."""

from __future__ import annotations

import math
import random

import pytest

from ironrail.peers.messages import ALL_PEERS, MAX_ROUTERS, Outgoing, Priority, Topic
from ironrail.peers.transport.datagram_format import MAX_BODY_BYTES, sealed_size
from ironrail.peers.transport.errors import RateLimitError
from ironrail.peers.transport.send_queue import (
    DEFAULT_BURST_BYTES,
    DEFAULT_BYTES_PER_SECOND,
    MAX_QUEUED_BYTES,
    MAX_QUEUED_MESSAGES,
    SendQueue,
)
from tests.datagram_harness import make_codec


def make_queue(num_routers: int = 10) -> SendQueue:
    return SendQueue(make_codec(0, num_routers=num_routers).seal, num_routers - 1)


def message(body: bytes = b"x", priority: Priority = Priority.VOTE, to: int = 1) -> Outgoing:
    return Outgoing(to, Topic.CONSENSUS, body, priority)


def sent_bodies(queue: SendQueue, now: float) -> list[bytes]:
    return [datagram[15:-8] for _, datagram in queue.take_sendable(now)]


@pytest.mark.parametrize("routers", [2, 10, MAX_ROUTERS])
def test_the_rate_limit_holds_for_any_messages(routers: int) -> None:
    queue, rng = make_queue(routers), random.Random(3)
    now, cost_bytes, largest_cost, num_to_all = 0.0, 0.0, 0.0, 0
    while now < 300.0:
        for _ in range(rng.randint(0, 4)):
            to = rng.choice([ALL_PEERS, 1])
            body = rng.randbytes(rng.choice([1, 50, 200, MAX_BODY_BYTES if to > ALL_PEERS else 100]))
            queue.enqueue(now, message(body, rng.choice(list(Priority)), to))
        for to, datagram in queue.take_sendable(now):
            cost = len(datagram) * (routers - 1 if to == ALL_PEERS else 1)
            cost_bytes, largest_cost = cost_bytes + cost, max(largest_cost, cost)
            num_to_all += to == ALL_PEERS
        assert cost_bytes <= DEFAULT_BURST_BYTES + DEFAULT_BYTES_PER_SECOND * now + largest_cost + 1
        now = max(now + 0.1, min(queue.next_timer_at(), now + 1.0))
    assert cost_bytes > 0.9 * DEFAULT_BYTES_PER_SECOND * now and num_to_all > 1
    assert sum(queue.dropped.values()) > 0


def test_each_call_at_the_time_of_the_timer_sends_something() -> None:
    """No timer fires without need and none is late: a long queue is sent at the rate limit, to its end."""
    queue = make_queue(MAX_ROUTERS)
    for i in range(300):
        queue.enqueue(0.0, message(b"%3d" % i + bytes(197), Priority.LEASE))
    queue.enqueue(0.0, message(bytes(20), Priority.VOTE, ALL_PEERS))
    queue.take_sendable(0.0)
    timers, sent = 0, len(queue.take_sendable(0.0))
    while (now := queue.next_timer_at()) < math.inf:
        sent += bool(queue.take_sendable(now))
        timers += 1
        assert timers <= sent + 1
    assert now == math.inf and queue.sent_bytes == 300 * sealed_size(200) + sealed_size(20) * (
        MAX_ROUTERS - 1
    )


def test_votes_go_first_and_have_tokens_reserved_against_gossip() -> None:
    queue = make_queue()
    for i in range(99):
        queue.enqueue(0.0, message(bytes([i]) + bytes(150), Priority.GOSSIP))
    assert queue.take_sendable(0.0) != []
    queue.enqueue(0.0, message(b"lease", Priority.LEASE))
    for i in range(9):
        queue.enqueue(0.0, message(b"%d" % i + bytes(60)))
    assert [body[:1] for body in sent_bodies(queue, 0.0)] == [*(b"%d" % i for i in range(9)), b"l"]


def test_a_message_to_all_of_a_large_peer_group_delays_no_vote() -> None:
    queue = make_queue(MAX_ROUTERS)
    queue.enqueue(0.0, message(bytes(50), Priority.GOSSIP, ALL_PEERS))
    sent_at, now = 0.0, 0.0
    while not sent_at:
        now += 0.5
        queue.enqueue(now, message(b"vote"))
        datagrams = queue.take_sendable(now)
        assert (1, 27) in [(to, len(datagram)) for to, datagram in datagrams]
        sent_at = now if (ALL_PEERS, 73) in [(to, len(datagram)) for to, datagram in datagrams] else 0.0
    assert sent_at < 2 * 73 * (MAX_ROUTERS - 1) / DEFAULT_BYTES_PER_SECOND


def test_newer_gossip_of_a_kind_replaces_older() -> None:
    queue = make_queue()
    queue.enqueue(0.0, message(bytes(MAX_BODY_BYTES)))
    queue.take_sendable(0.0)
    for body, to in ((b"a1", 1), (b"a2", 1), (b"b1", 1), (b"a3", 2), (b"a4", 1)):
        queue.enqueue(0.0, message(body, Priority.GOSSIP, to))
    for body in (b"v1", b"v2"):
        queue.enqueue(0.0, message(body))
    assert sent_bodies(queue, 9.0) == [b"v1", b"v2", b"a4", b"b1", b"a3"]
    assert queue.replaced[Priority.GOSSIP] == 2


def test_a_full_queue_drops_the_lowest_priority_first_and_its_oldest_message() -> None:
    queue = make_queue()
    queue.enqueue(0.0, message(bytes(MAX_BODY_BYTES)))
    queue.take_sendable(0.0)
    queue.enqueue(0.0, message(b"g", Priority.GOSSIP))
    for i in range(MAX_QUEUED_MESSAGES):
        queue.enqueue(0.0, message(b"%d" % i))
    queue.enqueue(0.0, message(b"late gossip", Priority.GOSSIP))
    queue.enqueue(0.0, message(b"last"))
    assert (queue.dropped[Priority.GOSSIP], queue.dropped[Priority.VOTE]) == (2, 1)
    assert sent_bodies(queue, 9.0)[0] == b"1"
    for _ in range(40):
        queue.enqueue(9.0, message(bytes(MAX_BODY_BYTES)))
    assert queue.dropped[Priority.VOTE] > 1000
    now, remaining_bytes = 9.0, 0
    while (now := queue.next_timer_at()) < math.inf:
        remaining_bytes += sum(len(datagram) for _, datagram in queue.take_sendable(now))
    assert MAX_QUEUED_BYTES * 0.9 < remaining_bytes < MAX_QUEUED_BYTES * 1.2


def test_an_unsendable_message_is_dropped_and_others_are_sent() -> None:
    queue = make_queue()
    for body, to in ((bytes(MAX_BODY_BYTES + 1), 1), (b"self", 0), (b"nobody", 77), (b"good", 1)):
        queue.enqueue(0.0, message(body, to=to))
    assert sent_bodies(queue, 0.0) == [b"good"]
    assert queue.dropped[Priority.VOTE] == 3


def test_a_rate_limit_that_admits_no_long_message_is_refused() -> None:
    for bytes_per_second, burst_bytes in ((99.0, DEFAULT_BURST_BYTES), (DEFAULT_BYTES_PER_SECOND, 1000.0)):
        with pytest.raises(RateLimitError):
            SendQueue(make_codec(0).seal, 1, bytes_per_second, burst_bytes)
