"""What a router of a tier costs: CPU of its own callbacks, bytes and datagrams that it sends, memory.

What the kit itself does in a callback when a datagram is sent is taken off; what the system needs to read and
write a real socket is not there to be counted.
"""

from __future__ import annotations

import asyncio
import contextvars
import gc
import sys
import time
import types
from typing import Any

from ironrail.rehearsal.virtual.datagrams import Datagrams
from ironrail.rehearsal.virtual.loop import PROCESS, VirtualLoop
from ironrail.rehearsal.virtual.process import Process

CODE = (
    type,
    types.ModuleType,
    types.FunctionType,
    types.BuiltinFunctionType,
    types.CodeType,
    types.MethodType,
)
LOOP = (contextvars.Context, asyncio.AbstractEventLoop, asyncio.BaseTransport, asyncio.Handle, Process)


class CountingLoop(VirtualLoop):
    """Adds up the CPU of each process."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.spent: dict[str, float] = {}  # seconds by name
        self.kit = 0.0  # of the callback that runs now, seconds that are the kit's

    def _run(self, handle: Any) -> None:
        process = handle._context.get(PROCESS)
        if process is None:
            super()._run(handle)
            return
        self.kit, began = 0.0, time.thread_time()
        super()._run(handle)
        spent = time.thread_time() - began - self.kit
        self.spent[process.name] = self.spent.get(process.name, 0.0) + spent


class CountingDatagrams(Datagrams):
    """Knows what sending costs the kit."""

    def send(self, source: Any, to: Any, data: bytes) -> None:
        began = time.thread_time()
        super().send(source, to, data)
        assert isinstance(self.loop, CountingLoop)
        self.loop.kit += time.thread_time() - began


def held(thing: object, without: set[int]) -> int:
    """Bytes of memory of an object and of all that hangs on it alone; `without`: ids that count elsewhere."""
    seen, todo, total = set(without), [thing], 0
    while todo:
        one = todo.pop()
        if id(one) in seen or isinstance(one, (*CODE, *LOOP)):
            continue
        seen.add(id(one))
        total += sys.getsizeof(one)
        todo += gc.get_referents(one)
    return total
