"""Hedged calls: a lost or incomplete response is hedged, an arriving one is awaited."""

from __future__ import annotations

import asyncio

from ironrail.net.discovery.hedged_call import MAX_CONCURRENT_CALLS, HedgedCall
from ironrail.net.discovery.http_client import DiscoveryClient
from ironrail.net.discovery.timeouts import Timeout
from tests.peers import LOCAL, Peer, read_http, scenario

INTERVAL = 0.1  # seconds
HEAD = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n"
BODY = b'{"version": 1}' + b" " * 86


def call_to(peer: Peer, failures: list[BaseException]) -> HedgedCall:
    timeout = Timeout(connect=1.0, first_byte=5.0, rest=1.0)
    return HedgedCall(lambda: DiscoveryClient((LOCAL, peer.port), timeout), INTERVAL, 5.0, failures.append)


@scenario
async def test_a_lost_request_is_hedged_and_a_slow_response_still_wins() -> None:
    peer = await Peer(read_http).start()
    answer = asyncio.create_task(call_to(peer, []).get("/x"))
    first = await peer.next()
    await peer.next()
    first.respond(BODY)
    response = await answer
    assert response.document == {"version": 1}
    response.client.close()


@scenario
async def test_no_further_request_starts_while_a_response_is_arriving() -> None:
    peer = await Peer(read_http).start()
    answer = asyncio.create_task(call_to(peer, []).get("/x"))
    call = await peer.next()
    call.reply(HEAD % len(BODY))
    for at in range(0, len(BODY), 10):  # takes 0.5 s, in which five calls would have been due
        call.reply(BODY[at : at + 10])
        await asyncio.sleep(INTERVAL / 3)
    await answer
    assert peer.opened == 1


@scenario
async def test_an_incomplete_response_is_hedged() -> None:
    peer = await Peer(read_http).start()
    answer = asyncio.create_task(call_to(peer, []).get("/x"))
    (await peer.next()).reply(HEAD % len(BODY) + BODY[:5])
    (await peer.next()).respond(BODY)
    await answer


@scenario
async def test_concurrent_requests_are_bounded_and_cancelled_by_the_first_response() -> None:
    peer = await Peer(read_http).start()
    call = call_to(peer, [])
    answer = asyncio.create_task(call.get("/x"))
    for _ in range(MAX_CONCURRENT_CALLS + 2):
        last = await peer.next()
        assert len(call._in_flight) <= MAX_CONCURRENT_CALLS
    last.respond(BODY)
    client = (await answer).client
    assert not call._in_flight
    for _ in range(MAX_CONCURRENT_CALLS + 1):
        await peer.ended.acquire()
    client.close()


@scenario
async def test_a_failed_request_is_reported_and_retried_after_the_interval() -> None:
    peer, failures = await Peer(read_http).start(), list[BaseException]()
    loop = asyncio.get_running_loop()
    began = loop.time()
    answer = asyncio.create_task(call_to(peer, failures).get("/x"))
    (await peer.next()).reset()
    (await peer.next()).respond(BODY)
    await answer
    assert len(failures) == 1 and isinstance(failures[0], OSError)
    assert loop.time() - began >= INTERVAL * 0.9
