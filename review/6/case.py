"""The origin sends a second copy of some of its answers, some milliseconds late."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness2 as kit

LINK_SECONDS = 0.002  # one way between two halls: 1.4 to 2.6 ms
SECOND_SHARE = 0.05  # of the origin's answers
SECOND_SECONDS = 0.003  # from an answer to its copy
CLIENTS = 6
PLAY_SECONDS = 20.0
WRITE_SHARE = 0.07
MIN_SERVED = 100  # for a verdict


async def play(stage: kit.Stage) -> list[str]:
    """Play reads and writes of three classes' clients; return the wrong answers."""
    draws = random.Random(6)
    breaks: list[str] = []
    served = 0
    record = stage.record
    origin = stage.origin
    link = kit.DelayedLink(origin.port, LINK_SECONDS)
    origin.shown_port = link.port
    stage.add(link)
    await link.start()

    async def answer(connection: kit.OriginConnection, call: kit.OriginCall) -> None:
        sent = connection.respond(origin.body_of(call))
        if kit.trouble() and draws.random() < SECOND_SHARE:
            asyncio.get_running_loop().call_later(SECOND_SECONDS, second, connection, call, sent)

    def second(connection: kit.OriginConnection, call: kit.OriginCall, sent: bytes) -> None:
        if connection.is_waiting or connection.is_closed:
            return  # only when nothing else waits on the connection
        record.add("second_answer", request=call.request)
        connection.writer.write(sent)

    origin.answer = answer
    router = stage.new_router()
    await router.start(stage.agent.port, kit.make_settings(), known=stage.agent.document())
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + PLAY_SECONDS

    async def read_and_write(number: int) -> None:
        nonlocal served
        client = kit.Client(record)
        await client.connect(router.port)
        count = 0
        while loop.time() < ends_at:
            count += 1
            key, request = f"page:{number}-{count}", client.new_id()
            is_write = draws.random() < WRITE_SHARE
            class_name, wait = ("prize-entry", 1700) if is_write else ("grid-read", 850)
            record.add("sent", request=request, key=key, write=is_write)
            client.writer.write(
                client.command(key, request, class_name, wait, b"entry" if is_write else None)
            )
            kind, named, body = await client.read_answer()
            record.add("answered", request=request, kind=kind, named=named, body=body[:80].decode())
            if kind not in ("VA", "HD"):
                continue
            served += 1
            made = kit.receipt_of(key, request) if is_write else kit.value_of(key, request, 200)
            if body != made:
                breaks.append(f"request {request} for {key} was served with {body[:60]!r}")
        client.close()

    await asyncio.gather(*(read_and_write(number) for number in range(CLIENTS)))
    record.add("counted", served=served, events=router.log_events())
    if served < MIN_SERVED:
        raise RuntimeError(f"only {served} requests were served")
    return breaks


kit.run_case(Path(__file__).resolve().parent, play)
