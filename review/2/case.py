"""Clients write long values slowly to one of two routers; others spend hints there meanwhile."""

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
SLOW_CLIENTS = 10
SLOW_BYTES = 4 * 1024 * 1024  # values of up to 4 MiB occur
SLOW_PIECE_BYTES = 64 * 1024
SLOW_SECONDS = 12.0  # for one such value; "written slowly, in pieces cut at any point"
WAVES_FROM = 4.0, 20.0  # when the slow values begin
SPENDERS = 48  # in each wave
SPEND_AFTER = 1.0, 8.0  # from the beginning of the slow values
VALUE_BYTES = 96 * 1024
FIRST_PIECE_BYTES = 40 * 1024  # the rest follows 20 ms later
TRY_MS = 2120  # brief: a try is given up after 53 to 63% of the class's time of 4 s
RETRY_AFTER_SECONDS = 0.04  # site file: backoff_ms 38 to 300
WINDOW_SECONDS = 2.5  # all servers drop a repeat of a key for so long
LATE_SECONDS = 0.5  # after its time a request only earns nothing; later, or never, it is lost
LEFT_SECONDS = 0.1  # an attempt that begins later than this after the close is a break
END_AT = 36.0
ORIGIN_SECONDS = 0.075, 0.144  # site file: origin_time 0.093 to 0.18 of the shortest aim

draws = random.Random(SEED)
applied: dict[str, list[float]] = {}  # by idempotency key: when the origin applied it
begun: dict[str, float] = {}  # by request
left: dict[str, float] = {}  # by request: when its client closed the connection


async def cached(_: Cache, command: Command) -> bytes:
    """Answer like an empty cache server."""
    return miss_line(command.request)


async def from_origin(origin: Origin, command: Command, _: asyncio.StreamWriter) -> bytes:
    """Apply a write unless its key was applied within the window, and answer like the origin."""
    now = origin.record.now()
    begun[command.request] = now
    key = command.info.get("k", "")
    if key:
        times = applied.setdefault(key, [])
        if not times or now - times[-1] > WINDOW_SECONDS:
            times.append(now)
            origin.record.add(origin.name, "applied", request=command.request, k=key)
        else:
            origin.record.add(origin.name, "dropped a repeat", request=command.request, k=key)
    await asyncio.sleep(draws.uniform(*ORIGIN_SECONDS))
    return http_answer(f"receipt-{command.request}".encode())


def unsent_bytes(client: Client) -> int:
    """Return the bytes that the router's machine has not taken yet."""
    count = array.array("i", [0])
    descriptor = client.writer.get_extra_info("socket").fileno()
    fcntl.ioctl(descriptor, termios.TIOCOUTQ, count)
    return count[0] + client.writer.transport.get_write_buffer_size()


async def write_slowly(record: Record, name: str, router: Router, begins_at: float) -> int:
    """Write one long value over many seconds, and read its answer."""
    await asyncio.sleep(begins_at - record.now())
    pause = SLOW_SECONDS * SLOW_PIECE_BYTES / SLOW_BYTES
    client = Client(record, name)
    await client.connect(router.port)
    request = f"{name}x001"
    data = write_command(f"big:{name}", request, b"b" * SLOW_BYTES, 2900, "prize-entry")
    record.add(name, "writes slowly", request=request, size=SLOW_BYTES)
    for start in range(0, len(data), SLOW_PIECE_BYTES):
        client.write(data[start : start + SLOW_PIECE_BYTES])
        await asyncio.sleep(pause)
    answer = await client.answer()
    record.add(name, answer.kind, request=request, text=answer.value.decode()[:80])
    client.close()
    return 0


async def send_try(record: Record, name: str, router: Router, key: str, number: int) -> Answer:
    """Send one try of a keyed write, and wait for its answer until the client gives it up."""
    client = Client(record, name)
    await client.connect(router.port)
    request = f"{name}x{number}"
    value = b"v" * VALUE_BYTES
    data = write_command(f"hint:{name}", request, value, TRY_MS, "hint-spend", key)
    sent_at = record.now()
    client.write(data[:FIRST_PIECE_BYTES])
    await asyncio.sleep(0.02)
    client.write(data[FIRST_PIECE_BYTES:])
    while unsent_bytes(client) and record.now() < sent_at + 1.0:
        await asyncio.sleep(0.005)
    taken = not unsent_bytes(client)
    record.add(name, "sent", request=request, k=key, router=router.name, taken=taken)
    try:
        wait = sent_at + TRY_MS / 1000 - record.now()
        answer = await asyncio.wait_for(client.answer(), wait)
    except TimeoutError:
        answer = Answer("none", b"", record.now())
    record.add(name, answer.kind, request=request, k=key, seconds=round(record.now() - sent_at, 3))
    left[request] = record.now()
    client.close()
    return answer


async def spend(record: Record, name: str, routers: list[Router], begins_at: float) -> int:
    """Spend one hint; after no answer, try again within the window, as the front deals it out."""
    await asyncio.sleep(begins_at - record.now())
    key = f"spend-{name}"
    for number, router in enumerate(routers):
        answer = await send_try(record, name, router, key, number)
        if answer.kind == "served":
            return 1
        await asyncio.sleep(RETRY_AFTER_SECONDS)
    return 0


async def play(record: Record, routers: list[Router]) -> int:
    """Play both waves; return how many spends were served in the end."""
    jobs = []
    for wave, at in enumerate(WAVES_FROM):
        for n in range(SPENDERS):
            begins_at = at + draws.uniform(*SPEND_AFTER)
            jobs.append(spend(record, f"w{wave}s{n:02d}", routers, begins_at))
        for n in range(SLOW_CLIENTS if trouble() else 0):
            jobs.append(write_slowly(record, f"w{wave}slow{n:02d}", routers[0], at))
    results = await asyncio.gather(*jobs)
    await asyncio.sleep(END_AT - record.now())
    return sum(results)


def judge(record: Record, served: int) -> int:
    """Look for keys that were applied twice, and for tries that began after the close."""
    twice = {key: times for key, times in applied.items() if len(times) > 1}
    late = [r for r in left if r in begun and begun[r] > left[r] + LEFT_SECONDS]
    for key, times in twice.items():
        record.add("check", "applied twice", k=key, times=[round(t, 2) for t in times])
    for request in late:
        seconds = round(begun[request] - left[request], 2)
        record.add("check", "begun after its client had left", request=request, seconds=seconds)
    text = f"{served} spends served, {len(twice)} applied twice, {len(late)} begun after the close"
    sys.stdout.write(text + "\n")
    return BROKEN if twice or late else HELD


async def case(record: Record) -> int:
    """Start all, play, and count how often the origin applied each key."""
    agent = Agent(record)
    await agent.start()
    for number, kind in enumerate(("fast-6", "mid-7", "slow-6")):
        cache = Cache(f"cache-{number}", record, cached)
        await cache.start()
        agent.list_server(cache.name, cache.port, kind, "hall-b")
    origin = Origin(record, from_origin)
    await origin.start()
    agent.list_server("origin", origin.port, "origin", "hall-b")
    limits = {"memory_mb": MEMORY_MB, "sockets": SOCKETS}
    routers = [Router(record, f"router-{n}", agent, **limits) for n in range(2)]
    try:
        for number, router in enumerate(routers):
            router.start(settings(siblings=2, me=number))
        for router in routers:
            await router.wait_ready()
        served = await play(record, routers)
    finally:
        for router in routers:
            router.end()
    if not served:
        raise CannotRunError("nothing was served")
    return judge(record, served)


run_case(FOLDER, case)
