"""Clients send many commands at once, and some of the values are long."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness2 as kit

CLIENTS = 20
AT_ONCE = 48  # commands of one client; with TROUBLE=0 it sends one after the other
REST_SECONDS = 0.8  # of a client between two such groups
KEYS = 300
SIZES = (200, 3_000, 200_000)  # of the values; up to 4 MiB occur
CACHE_SECONDS = (0.001, 0.01, 0.03)  # that a cache takes for a command
MILLISECONDS = 850  # for which the clients wait
PLAY_SECONDS = 30.0
MAX_HELD_BACK_SECONDS = 2.0  # for which the rest of a value may be held back
MIN_SERVED = 100  # for a verdict


class Reader:
    """One client: it sends a group of commands, and reads all answers at full speed."""

    def __init__(self, play: Play, number: int) -> None:
        self._play = play
        self._number = number
        self._loop = asyncio.get_running_loop()
        self._socket = socket.socket()
        self._received = bytearray()

    async def run(self) -> None:
        """Send and read until the end; connect anew when the router has closed."""
        while self._loop.time() < self._play.ends_at:
            self._socket = socket.socket()
            self._socket.setblocking(False)
            self._received.clear()
            await self._loop.sock_connect(self._socket, (kit.HOST, self._play.router.port))
            is_open = True
            while is_open and self._loop.time() < self._play.ends_at:
                is_open = await self._send_group()
                await asyncio.sleep(REST_SECONDS)
            self._socket.close()

    async def _send_group(self) -> bool:
        """Play one group; return whether the connection can be used again."""
        draws = self._play.draws
        group = [(f"page:{draws.randrange(KEYS)}", kit.Client.new_id()) for _ in range(AT_ONCE)]
        step = AT_ONCE if kit.trouble() else 1
        for first in range(0, AT_ONCE, step):
            part = group[first : first + step]
            self._play.record.add("sent", client=self._number, requests=[one for _, one in part])
            commands = [
                kit.Client.command(key, one, "grid-read", MILLISECONDS) for key, one in part
            ]
            await self._loop.sock_sendall(self._socket, b"".join(commands))
            while part:
                if not await self._receive():
                    self._report_end([one for _, one in part])
                    return False
                while part and self._take_answer(*part[0]):
                    part = part[1:]
        return True

    async def _receive(self) -> bool:
        """Read more; return False at the end of the connection."""
        begun_at = self._loop.time()
        try:
            data = await self._loop.sock_recv(self._socket, 262_144)
        except OSError:
            data = b""
        waited = self._loop.time() - begun_at
        if self._received.startswith(b"VA ") and waited > MAX_HELD_BACK_SECONDS:
            self._play.breaks.append(
                f"client {self._number}: the rest of a value was held back for {waited:.2f} s"
            )
        self._received += data
        return bool(data)

    def _take_answer(self, key: str, request: str) -> bool:
        """Take the next answer if it is whole."""
        end = self._received.find(b"\r\n")
        if end < 0:
            return False
        words = bytes(self._received[:end]).split()
        end += 2
        if words[0] == b"VA":
            size = int(words[1])
            if len(self._received) < end + size + 2:
                return False
            if self._received[end : end + size] != kit.value_of(key, request, size):
                self._play.breaks.append(f"request {request} got a value that is not its own")
            end += size + 2
            self._play.served += 1
        self._play.record.add("answered", request=request, kind=words[0].decode())
        del self._received[:end]
        return True

    def _report_end(self, requests: list[str]) -> None:
        """Count the requests that the router has sent on, and that got no whole answer."""
        taken = [one for one in requests if one in self._play.forwarded]
        self._play.record.add("ended", client=self._number, requests=requests, forwarded=taken)
        if taken:
            self._play.breaks.append(
                f"client {self._number}: the connection ended with {len(taken)} requests that were"
                f" sent on to caches and not answered, {len(self._received)} bytes into a value"
            )


class Play:
    """The clients, and what they have seen."""

    def __init__(self, stage: kit.Stage) -> None:
        self.record = stage.record
        self.draws = random.Random(6)
        self.forwarded: set[str] = set()
        self.breaks: list[str] = []
        self.served = 0
        self.ends_at = 0.0
        self.router = stage.new_router()
        for cache in stage.caches:
            cache.kept = {f"page:{n}": SIZES[n % len(SIZES)] for n in range(KEYS)}
            cache.seconds = lambda: self.draws.choice(CACHE_SECONDS)
            cache.on_command = self.forwarded.add

    async def run(self, stage: kit.Stage) -> list[str]:
        """Play all clients; return the breaks."""
        known = stage.agent.document()
        await self.router.start(stage.agent.port, kit.make_settings(), known=known)
        self.ends_at = asyncio.get_running_loop().time() + PLAY_SECONDS
        await asyncio.gather(*(Reader(self, number).run() for number in range(CLIENTS)))
        self.record.add("counted", served=self.served, events=self.router.log_events())
        print(f"{self.served} requests were served")
        if self.served < MIN_SERVED:
            raise RuntimeError(f"only {self.served} requests were served")
        return self.breaks


async def play(stage: kit.Stage) -> list[str]:
    """Play the case."""
    return await Play(stage).run(stage)


kit.run_case(Path(__file__).resolve().parent, play)
