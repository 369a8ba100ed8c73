"""Clients write long values slowly while others write theirs at once."""

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
MEMORY_MB = 96  # at most 192 MB on scored days, halved where there is less room
SOCKETS = 512
SLOW_CLIENTS = 12
SLOW_BYTES = 4 * 1024 * 1024  # values of up to 4 MiB occur
SLOW_PIECE_BYTES = 64 * 1024
SLOW_SECONDS = 12.0  # for one such value; "written slowly, in pieces cut at any point"
SLOW_FROM = 5.0
CLIENTS = 6
VALUE_BYTES = 96 * 1024
FIRST_PIECE_BYTES = 40 * 1024  # the rest follows 20 ms later
WAIT_MS = 1800  # of a prize-entry, which is given up after 3 s
LATE_SECONDS = 0.5  # after its time a request only earns nothing; later, or never, it is lost
LEFT_SECONDS = 0.1  # an attempt that begins later than this after the close is a break
USE_UNTIL = 12.0
SLOW_UNTIL = 13.0  # no further long value is begun
ORIGIN_SECONDS = 0.075, 0.144  # site file: origin_time 0.093 to 0.18 of the shortest aim

draws = random.Random(SEED)
runs: dict[str, float] = {}  # by request: when the origin began it
left: dict[str, float] = {}  # by request: when its client closed the connection


async def cached(_: Cache, command: Command) -> bytes:
    """Answer like an empty cache server."""
    return miss_line(command.request)


async def from_origin(origin: Origin, command: Command, _: asyncio.StreamWriter) -> bytes:
    """Answer like the origin."""
    runs[command.request] = origin.record.now()
    await asyncio.sleep(draws.uniform(*ORIGIN_SECONDS))
    return http_answer(f"receipt-{command.request}".encode())


def unsent_bytes(client: Client) -> int:
    """Return the bytes that the router's machine has not taken yet."""
    count = array.array("i", [0])
    descriptor = client.writer.get_extra_info("socket").fileno()
    fcntl.ioctl(descriptor, termios.TIOCOUTQ, count)
    return count[0] + client.writer.transport.get_write_buffer_size()


async def write_slowly(record: Record, name: str, router: Router) -> None:
    """Write one long value after another, each over many seconds."""
    await asyncio.sleep(SLOW_FROM - record.now())
    pause = SLOW_SECONDS * SLOW_PIECE_BYTES / SLOW_BYTES
    number = 0
    while record.now() < SLOW_UNTIL:
        number += 1
        client = Client(record, name)
        await client.connect(router.port)
        request = f"{name}x{number:03d}"
        data = write_command(f"big:{name}", request, b"b" * SLOW_BYTES, 2900, "prize-entry")
        record.add(name, "writes slowly", request=request, size=SLOW_BYTES)
        for start in range(0, len(data), SLOW_PIECE_BYTES):
            client.write(data[start : start + SLOW_PIECE_BYTES])
            await asyncio.sleep(pause)
        answer = await client.answer()
        record.add(name, answer.kind, request=request, text=answer.value.decode()[:80])
        client.close()


async def use(record: Record, name: str, router: Router, found: list[str]) -> int:
    """Write values without delay, one after another; return how many were served."""
    served = number = 0
    while record.now() < USE_UNTIL:
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
        left[request] = record.now()
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
        slow = [
            asyncio.create_task(write_slowly(record, f"slow{number:02d}", router))
            for number in range(SLOW_CLIENTS if trouble() else 0)
        ]
        users = [use(record, f"c{number:02d}", router, found) for number in range(CLIENTS)]
        served = sum(await asyncio.gather(*users))
        await asyncio.gather(*slow)
        await asyncio.sleep(1.0)
    finally:
        router.end()
    if not served:
        raise CannotRunError("nothing was served")
    late = sorted(r for r in left if r in runs and runs[r] > left[r] + LEFT_SECONDS)
    for line in found:
        record.add("check", "no final answer", text=line)
    for request in late:
        seconds = round(runs[request] - left[request], 2)
        record.add("check", "begun after its client had left", request=request, seconds=seconds)
    lines = f"{served} served, {len(found)} without an answer, {len(late)} begun after the close"
    sys.stdout.write(lines + "\n")
    return BROKEN if found or late else HELD


run_case(FOLDER, case)
