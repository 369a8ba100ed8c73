"""The origin spoils some answers: the length that it tells is less than that of its value."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness2 as kit

SPOILT_SHARE = 0.05  # of the origin's answers
MISSING_BYTES = 20  # by which the length is too small
CLIENTS = 6
PLAY_SECONDS = 15.0
MIN_SERVED = 100  # for a verdict


async def play(stage: kit.Stage) -> list[str]:
    """Play readers; return the values that were not made for their requests."""
    draws = random.Random(9)
    breaks: list[str] = []
    served = 0
    record = stage.record
    origin = stage.origin

    async def answer(connection: kit.OriginConnection, call: kit.OriginCall) -> None:
        value = origin.body_of(call)
        if not kit.trouble() or draws.random() >= SPOILT_SHARE:
            connection.respond(value)
            return
        record.add("spoilt_answer", request=call.request)
        told = len(value) - MISSING_BYTES
        connection.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % told + value)
        connection.is_waiting = False

    origin.answer = answer
    router = stage.new_router()
    await router.start(stage.agent.port, kit.make_settings(), known=stage.agent.document())
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + PLAY_SECONDS

    async def read(number: int) -> None:
        nonlocal served
        client = kit.Client(record)
        await client.connect(router.port)
        count = 0
        while loop.time() < ends_at:
            count += 1
            key, request = f"page:{number}-{count}", client.new_id()
            record.add("sent", request=request, key=key)
            client.writer.write(client.command(key, request, "grid-read", 850))
            kind, named, value = await client.read_answer()
            record.add("answered", request=request, kind=kind, named=named, bytes=len(value))
            if kind != "VA":
                continue
            served += 1
            made = kit.value_of(key, request, origin.value_bytes)
            if value != made:
                breaks.append(f"request {request} got {len(value)} bytes of the {len(made)} made")
        client.close()

    await asyncio.gather(*(read(number) for number in range(CLIENTS)))
    record.add("counted", served=served, events=router.log_events())
    if served < MIN_SERVED:
        raise RuntimeError(f"only {served} requests were served")
    return breaks


kit.run_case(Path(__file__).resolve().parent, play)
