"""Clients that send at full speed: their input stays bounded, and others have their turn."""

from __future__ import annotations

import asyncio

from ironrail.net.downstream.parse_queue import (
    COMMANDS_AT_ONCE,
    COMMANDS_PER_SLICE,
    SLICES_PER_TURN,
    ParseQueue,
)
from ironrail.net.downstream.resilient_transport import READ_BYTES
from tests.peers import Client, World, scenario

COMMAND = b"mn\r\n"
NUM_COMMANDS = 100_000


async def read_responses(client: Client, number: int) -> None:
    for _ in range(number):
        assert await client.line() == b"MN\r\n"


# Memory grew without end: input was read faster than it was parsed, and never paused.
@scenario
async def test_a_client_that_sends_faster_than_it_is_parsed_is_not_read_on() -> None:
    world = await World().start()
    client = await world.client()
    client.send(COMMAND * NUM_COMMANDS)
    answers = asyncio.create_task(read_responses(client, NUM_COMMANDS))
    (connection,) = world.node._client_listener.open_connections()
    most = 0
    while not answers.done():
        most = max(most, len(connection._pipeline._parser._buffer))
        await asyncio.sleep(0)
    await answers
    assert 0 < most <= READ_BYTES + len(COMMAND)


# Other clients waited for seconds: in one turn, thousands of commands of one client were handled.
@scenario
async def test_only_some_commands_of_a_client_are_handled_in_one_turn() -> None:
    world = await World().start()
    clients = [await world.client() for _ in range(3)]
    context = world.node._client_listener.context
    can_serve, handled, most = context.can_serve, 0, 0

    def count() -> bool:
        nonlocal handled
        handled += 1
        return can_serve()

    context.can_serve = count  # type: ignore[method-assign]
    for client in clients:
        client.send(COMMAND * 5000)
    answers = asyncio.gather(*(read_responses(client, 5000) for client in clients))
    while not answers.done():
        before = handled
        await asyncio.sleep(0)
        most = max(most, handled - before)
    await answers
    assert most <= len(clients) * COMMANDS_AT_ONCE + SLICES_PER_TURN * COMMANDS_PER_SLICE


class Backlog:
    """Input that queues up again until it was served so many times."""

    def __init__(self, queue: ParseQueue, order: list[str], name: str, slices: int) -> None:
        self.queue, self.order, self.name, self.slices = queue, order, name, slices

    def parse_slice(self) -> None:
        self.order.append(self.name)
        self.slices -= 1
        if self.slices:
            self.queue.add(self)
        else:
            raise ValueError("a defect that one input exposes")


# A queue that was scheduled twice served its connections ever more often in one turn.
@scenario
async def test_the_connections_take_turns_and_none_is_served_twice_in_one() -> None:
    queue, order = ParseQueue(), list[str]()
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    for name in "abc":
        queue.add(Backlog(queue, order, name, 4))
    turns = 0
    while len(order) < 12:
        before = len(order)
        await asyncio.sleep(0)
        assert len(order) - before <= SLICES_PER_TURN
        turns += 1
    assert order == list("abcabcabcabc") and turns >= 12 // SLICES_PER_TURN
