"""Measures the cost of a router in a virtual peer group: CPU time of its callbacks and memory.

The kit's own work for sending a datagram is subtracted. The operating system's cost of reading and writing a
real socket is not included.
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
from ironrail.rehearsal.virtual.loop import CURRENT_PROCESS, VirtualLoop
from ironrail.rehearsal.virtual.process import Process

CODE_TYPES = (
    type,
    types.ModuleType,
    types.FunctionType,
    types.BuiltinFunctionType,
    types.CodeType,
    types.MethodType,
)
LOOP_TYPES = (contextvars.Context, asyncio.AbstractEventLoop, asyncio.BaseTransport, asyncio.Handle, Process)


class CountingLoop(VirtualLoop):
    """Adds up the CPU time of each process."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.spent: dict[str, float] = {}  # CPU seconds by process name
        self.kit = 0.0  # CPU seconds of the kit in the current callback

    def _run(self, handle: Any) -> None:
        process = handle._context.get(CURRENT_PROCESS)
        if process is None:
            super()._run(handle)
            return
        self.kit, began = 0.0, time.thread_time()
        super()._run(handle)
        spent = time.thread_time() - began - self.kit
        self.spent[process.name] = self.spent.get(process.name, 0.0) + spent


class CountingDatagrams(Datagrams):
    """Measures the kit's CPU time for sending."""

    def send(self, source: Any, to: Any, data: bytes) -> None:
        began = time.thread_time()
        super().send(source, to, data)
        assert isinstance(self.loop, CountingLoop)
        self.loop.kit += time.thread_time() - began


def retained_bytes(thing: object, without: set[int]) -> int:
    """Returns the bytes of an object and of everything reachable from it.

    Code, loops and processes are left out, and objects whose id is in `without`.
    """
    seen, todo, total = set(without), [thing], 0
    while todo:
        one = todo.pop()
        if id(one) in seen or isinstance(one, (*CODE_TYPES, *LOOP_TYPES)):
            continue
        seen.add(id(one))
        total += sys.getsizeof(one)
        todo += gc.get_referents(one)
    return total
