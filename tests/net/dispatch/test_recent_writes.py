"""A request that may have had an effect, whose id comes again."""

from __future__ import annotations

import pytest

from ironrail.net.dispatch.recent_writes import MAX_REQUESTS, RETENTION_SECONDS, RecentWrites
from tests.peers import Client, World, scenario, until

ID_IN_USE = b"CLIENT_ERROR id in use\r\n"


async def write(world: World, request_class: str) -> Client:
    """Return a client whose write has reached the origin."""
    client = await world.client()
    client.put("1", b"v", cls=request_class)
    await world.origin.next()
    return client


# An entry ran twice: its client had left, and came again with the same id on a new connection.
@pytest.mark.parametrize("request_class", ["once", "keyed"])
@scenario
async def test_a_write_whose_client_left_does_not_run_a_second_time(request_class: str) -> None:
    world = await World().start()
    client = await write(world, request_class)
    client.close()
    await until(lambda: not world.node._dispatcher.requests.by_id and not world.node._dispatcher.attempts)
    again = await world.client()
    again.put("1", b"v", cls=request_class)
    assert await again.line() == ID_IN_USE
    assert world.origin.messages.empty()


# The same where the response was lost on its way.
@scenario
async def test_a_write_that_was_answered_does_not_run_a_second_time() -> None:
    world = await World().start()
    client = await world.client()
    client.put("1", b"v")
    (await world.origin.next()).respond(b"r")
    assert await client.line() == b"HD O1 cr\r\n"
    client.put("1", b"v")
    assert await client.line() == ID_IN_USE


@scenario
async def test_a_write_that_never_ran_is_accepted_again() -> None:
    world = await World(max_attempts=1).start()
    client = await world.client()
    client.put("1", b"v")
    (await world.origin.next()).respond(b"", 503, b"Not-Started: 1")
    assert (await client.line()).startswith(b"SERVER_ERROR busy")
    client.put("1", b"v")
    (await world.origin.next()).respond(b"r")
    assert await client.line() == b"HD O1 cr\r\n"


@scenario
async def test_a_read_whose_id_comes_again_is_served() -> None:
    world = await World().start()
    client = await world.client()
    client.put("1", b"v")
    (await world.origin.next()).respond(b"r")
    assert await client.line() == b"HD O1 cr\r\n"
    for _ in range(2):
        client.get("1")
        (await world.cache.next()).reply_value(b"v")
        assert await client.value("1") == b"v"


def test_ids_are_forgotten_after_a_time_and_beyond_a_number() -> None:
    recent = RecentWrites()
    recent.add("1", 0.0)
    assert recent.has("1", RETENTION_SECONDS - 0.1) and not recent.has("1", RETENTION_SECONDS)
    for number in range(MAX_REQUESTS + 5):
        recent.add(f"n{number}", RETENTION_SECONDS)
    assert len(recent) == MAX_REQUESTS
    assert not recent.has("n4", RETENTION_SECONDS) and recent.has("n5", RETENTION_SECONDS)
