"""A cache server dies within a long value; ahead of the read, its client has sent a write."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness2 as kit

CLIENTS = 9
VALUE_BYTES = 100_000  # up to 4 MiB occur
PIECE_BYTES = 10_000
PIECE_SECONDS = 0.1  # between two pieces of a value
WRITE_SECONDS = 0.8  # that the origin takes for a write
DEATH_SECONDS = 0.5  # from the commands to the death of one cache server
ANSWER_SECONDS = 4.0  # from the commands, in which all answers are due


class LongCache(kit.Cache):
    """A cache server that keeps all keys, and sends its values in pieces."""

    in_progress = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the commands of one connection in order."""
        while line := await reader.readline():
            words = line.decode().split()
            request = next(word[1:] for word in words[2:] if word[0] == "O")
            value = kit.value_of(words[1], request, VALUE_BYTES)
            self.record.add("value_begun", cache=self.name, request=request)
            writer.write(f"VA {len(value)} O{request}\r\n".encode())
            self.in_progress += 1
            for first in range(0, len(value), PIECE_BYTES):
                if writer.is_closing():
                    return
                writer.write(value[first : first + PIECE_BYTES])
                await asyncio.sleep(PIECE_SECONDS)
            self.in_progress -= 1
            writer.write(b"\r\n")


class Client:
    """A client that sends a write and a read at once on one connection."""

    def __init__(self, stage: kit.Stage, router: kit.Router, number: int) -> None:
        self.write = kit.Client.new_id()
        self.received = b""
        self.end = "open"
        self._read = kit.Client.new_id()
        self._stage = stage
        self._router = router
        self._number = number

    async def run(self) -> None:
        """Send both, and read until the write is answered or the connection has ended."""
        loop = asyncio.get_running_loop()
        plain = socket.socket()
        plain.setblocking(False)
        await loop.sock_connect(plain, (kit.HOST, self._router.port))
        read = kit.Client.command(f"page:{self._number}", self._read, "grid-read", 1500)
        entry = (f"entry:{self._number}", self.write, "prize-entry", 3000, b"entry")
        self._stage.record.add("sent", read=self._read, write=self.write)
        await loop.sock_sendall(plain, kit.Client.command(*entry) + read)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_SECONDS):
                while not self.is_write_answered():
                    try:
                        data = await loop.sock_recv(plain, 262_144)
                    except OSError as error:
                        self.end = str(error)
                        break
                    if not data:
                        self.end = "end of file"
                        break
                    self.received += data
        plain.close()
        self._stage.record.add(
            "received", write=self.write, answered=self.is_write_answered(), end=self.end
        )

    def is_write_answered(self) -> bool:
        """Whether the answer of the write, which is the first one, is whole."""
        return b"\r\n" in self.received


async def play(stage: kit.Stage) -> list[str]:
    """Play one round; return the writes that ran and were never answered."""
    ran: set[str] = set()

    async def answer(connection: kit.OriginConnection, call: kit.OriginCall) -> None:
        ran.add(call.request)
        connection.respond(stage.origin.body_of(call))

    stage.origin.answer = answer
    stage.origin.seconds = WRITE_SECONDS
    caches = [cache for cache in stage.caches if isinstance(cache, LongCache)]
    router = stage.new_router()
    await router.start(stage.agent.port, kit.make_settings(), known=stage.agent.document())
    clients = [Client(stage, router, number) for number in range(CLIENTS)]
    runs = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(DEATH_SECONDS)
    if kit.trouble():
        victim = max(caches, key=lambda cache: cache.in_progress)
        stage.record.add("cache_dies", cache=victim.name, values_in_progress=victim.in_progress)
        if not victim.in_progress:
            raise RuntimeError("no value was in progress")
        victim.die()
    await asyncio.gather(*runs)
    stage.record.add("ran", writes=sorted(ran), events=router.log_events())
    if not ran:
        raise RuntimeError("no write ran")
    return [
        f"write {client.write} ran and was never answered: {client.end} after"
        f" {len(client.received)} bytes"
        for client in clients
        if client.write in ran and not client.is_write_answered()
    ]


kit.run_case(Path(__file__).resolve().parent, play, LongCache)
