"""A bad client sends long values with a deadline that is no number; others write long values."""

from __future__ import annotations

import array
import asyncio
import fcntl
import random
import sys
import termios
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    Agent,
    Answer,
    Cache,
    CannotRunError,
    Client,
    Command,
    Origin,
    Record,
    Router,
    http_answer,
    miss_line,
    run_case,
    settings,
    trouble,
    write_command,
)

SEED = 1
MEMORY_MB = 96  # half of 192 MB, the most on days that are scored
SOCKETS = 512
BAD_COMMANDS = 36
BAD_BYTES = 1024 * 1024  # values of up to 4 MiB occur
BAD_FROM = 5.0
BAD_PAUSE_SECONDS = 0.1  # between two of them, each on a connection of its own
OWED_WITHIN = 3.0  # an error or a close, to a bad client
CLIENTS = 6
VALUE_BYTES = 96 * 1024
FIRST_PIECE_BYTES = 40 * 1024  # the rest follows 20 ms later
WAIT_MS = 1800  # of a prize-entry, which is given up after 3 s
LATE_SECONDS = 0.5  # after its time a request only earns nothing; later, or never, it is lost
END_AT = 30.0
ORIGIN_SECONDS = 0.075, 0.144  # site file: origin_time 0.093 to 0.18 of the shortest aim

draws = random.Random(SEED)


async def cached(_: Cache, command: Command) -> bytes:
    """Answer like an empty cache server."""
    return miss_line(command.request)


async def from_origin(_: Origin, command: Command, __: asyncio.StreamWriter) -> bytes:
    """Answer like the origin."""
    await asyncio.sleep(draws.uniform(*ORIGIN_SECONDS))
    return http_answer(f"receipt-{command.request}".encode())


def unsent_bytes(client: Client) -> int:
    """Return the bytes that the router's machine has not taken yet."""
    count = array.array("i", [0])
    descriptor = client.writer.get_extra_info("socket").fileno()
    fcntl.ioctl(descriptor, termios.TIOCOUTQ, count)
    return count[0] + client.writer.transport.get_write_buffer_size()


async def send_bad(record: Record, name: str, router: Router) -> float:
    """Send whole commands whose deadline is no number; return when it has left."""
    await asyncio.sleep(BAD_FROM - record.now())
    value = b"b" * BAD_BYTES
    for number in range(BAD_COMMANDS):
        client = Client(record, name)
        await client.connect(router.port)
        head = (
            f"ms bad:{number} {BAD_BYTES} O{name}x{number:02d} Pc=prize-entry,t=puzzelkrant,d=soon"
        )
        client.write(head.encode() + b"\r\n" + value + b"\r\n")
        try:
            answer = await asyncio.wait_for(client.answer(), OWED_WITHIN)
        except TimeoutError:
            answer = Answer("none", b"", record.now())
        record.add(name, answer.kind, request=f"{name}x{number:02d}", text=answer.value.decode())
        client.close()
        if answer.kind == "none":  # it gives up
            break
        await asyncio.sleep(BAD_PAUSE_SECONDS)
    return record.now()


async def use(record: Record, name: str, router: Router, found: list[str]) -> int:
    """Write values without delay, one after another; return how many were served."""
    served = number = 0
    while record.now() < END_AT:
        number += 1
        client = Client(record, name)
        await client.connect(router.port)
        request = f"{name}x{number:03d}"
        value = b"v" * VALUE_BYTES
        data = write_command(f"entry:{name}:{number}", request, value, WAIT_MS, "prize-entry")
        client.write(data[:FIRST_PIECE_BYTES])
        await asyncio.sleep(0.02)
        client.write(data[FIRST_PIECE_BYTES:])
        while unsent_bytes(client):  # the router's machine has not taken the last byte yet
            await asyncio.sleep(0.005)
        sent_at = record.now()
        record.add(name, "sent, and taken by the router's machine", request=request)
        try:
            answer = await asyncio.wait_for(client.answer(), WAIT_MS / 1000 + LATE_SECONDS)
        except TimeoutError:
            answer = Answer("none", b"", record.now())
        seconds = answer.at - sent_at
        record.add(name, answer.kind, request=request, seconds=round(seconds, 3))
        served += answer.kind == "served"
        if answer.kind in ("none", "lost", "cut"):
            found.append(f"{request}: {answer.kind}, {seconds:.2f} s after its last byte")
        client.close()
        await asyncio.sleep(draws.uniform(0.1, 0.3))
    return served


async def case(record: Record) -> int:
    """Play the load, and look for writes without a final answer in time."""
    agent = Agent(record)
    await agent.start()
    for number, kind in enumerate(("fast-6", "mid-7", "slow-6")):
        cache = Cache(f"cache-{number}", record, cached)
        await cache.start()
        agent.list_server(cache.name, cache.port, kind, "hall-b")
    origin = Origin(record, from_origin)
    await origin.start()
    agent.list_server("origin", origin.port, "origin", "hall-b")
    router = Router(record, "router", agent, memory_mb=MEMORY_MB, sockets=SOCKETS)
    try:
        router.start(settings())
        await router.wait_ready()
        found: list[str] = []
        bad = [send_bad(record, "bad", router)] if trouble() else []
        users = [use(record, f"c{number:02d}", router, found) for number in range(CLIENTS)]
        results = await asyncio.gather(*users, *bad)
        record.add("router", "memory", mb=round(router.anonymous_mb(), 1))
    finally:
        router.end()
    served = sum(int(count) for count in results[:CLIENTS])
    if not served:
        raise CannotRunError("nothing was served")
    for line in found:
        record.add("check", "no final answer", text=line)
    lines = f"{served} served, {len(found)} without an answer"
    if bad:
        lines += f"; the bad client had left at {results[-1]:.1f} s"
    sys.stdout.write(lines + "\n")
    return BROKEN if found else HELD


run_case(FOLDER, case)
