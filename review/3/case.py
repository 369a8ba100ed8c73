"""Clients send many writes at once, each with a value of under 64 KiB."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    Agent,
    Cache,
    CannotRunError,
    Client,
    Command,
    Origin,
    Record,
    Router,
    http_answer,
    miss_line,
    read_command,
    run_case,
    settings,
    trouble,
    write_command,
)

SEED = 1
MEMORY_MB = 192  # the most that a router has on days that are scored
SOCKETS = 1024
CLIENTS = 80
COMMANDS_AT_ONCE = 48
VALUE_BYTES = 60 * 1024  # values hold at most 64 KiB
WAIT_MS = 2900  # prize-entry is given up after 3 s
BURST_AT = 5.0
END_AT = 15.0
ORIGIN_SECONDS = 0.075, 0.144  # site file: origin_time 0.093 to 0.18 of the shortest aim
LOOK_SECONDS = 0.02  # how often the platform looks at the memory

draws = random.Random(SEED)


async def cached(_: Cache, command: Command) -> bytes:
    """Answer like an empty cache server."""
    return miss_line(command.request)


async def from_origin(_: Origin, command: Command, __: asyncio.StreamWriter) -> bytes:
    """Answer like the origin."""
    await asyncio.sleep(draws.uniform(*ORIGIN_SECONDS))
    return http_answer(b"answer-" + command.request.encode())


async def guard_memory(record: Record, router: Router, peak: list[float]) -> None:
    """Kill the router once it is over its limit, as the platform does."""
    while not router.has_ended():
        used = router.anonymous_mb()
        peak[0] = max(peak[0], used)
        if used > MEMORY_MB:
            record.add("platform", "kills the router", memory_mb=round(used, 1), limit=MEMORY_MB)
            router.signal(signal.SIGKILL)
            return
        await asyncio.sleep(LOOK_SECONDS)


async def use(record: Record, name: str, router: Router, kinds: dict[str, int]) -> None:
    """Read one key after another, as usual clients do."""
    client: Client | None = None
    number = 0
    while record.now() < END_AT:
        number += 1
        if client is None:
            client = Client(record, name)
            try:
                await client.connect(router.port)
            except OSError:
                return  # the router is gone
        request = f"{name}x{number:04d}"
        client.write(read_command(f"grid:{number % 50}", request, 1400))
        answer = await client.answer()
        record.add(name, answer.kind, request=request)
        kinds[answer.kind] = kinds.get(answer.kind, 0) + 1
        if answer.kind in ("lost", "cut"):
            client = None
        await asyncio.sleep(draws.uniform(0.1, 0.3))


async def write_many(record: Record, name: str, router: Router, kinds: dict[str, int]) -> None:
    """Send many writes at once, and read all answers."""
    await asyncio.sleep(BURST_AT + draws.uniform(0.0, 0.5) - record.now())
    client = Client(record, name)
    await client.connect(router.port)
    value = b"v" * VALUE_BYTES
    for number in range(COMMANDS_AT_ONCE):
        request = f"{name}x{number:02d}"
        client.write(
            write_command(f"entry:{name}:{number}", request, value, WAIT_MS, "prize-entry")
        )
    record.add(name, "sends many writes at once", count=COMMANDS_AT_ONCE, size=VALUE_BYTES)
    for number in range(COMMANDS_AT_ONCE):
        answer = await client.answer()
        record.add(name, answer.kind, request=f"{name}x{number:02d}")
        kinds[answer.kind] = kinds.get(answer.kind, 0) + 1
        if answer.kind in ("lost", "cut"):
            break
    client.close()


async def case(record: Record) -> int:
    """Play the load, and look whether the router outlives it."""
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
    kinds: dict[str, int] = {}
    peak = [0.0]
    try:
        router.start(settings())
        await router.wait_ready()
        guard = asyncio.create_task(guard_memory(record, router, peak))
        users = [use(record, f"c{number:02d}", router, kinds) for number in range(6)]
        if trouble():
            users += [write_many(record, f"w{n:02d}", router, kinds) for n in range(CLIENTS)]
        await asyncio.gather(*users)
        crashed = router.has_ended()
        guard.cancel()
    finally:
        router.end()
    if not kinds.get("served"):
        raise CannotRunError("nothing was served")
    record.add("check", "memory", peak_mb=round(peak[0], 1), limit_mb=MEMORY_MB, crashed=crashed)
    sys.stdout.write(f"peak {peak[0]:.0f} MB of {MEMORY_MB}, answers {kinds}\n")
    return BROKEN if crashed else HELD


run_case(FOLDER, case)
