"""Runs a router with one deliberate fault: `python -m tests.mutants NAME`; `true` has none.

With further arguments the kit plays it in virtual time: `python -m tests.mutants NAME SCENARIO --seed 1`.
"""

from __future__ import annotations

import importlib
import os
import sys
from typing import Any, NoReturn

from tests.mutants import replace_method

name, rest = sys.argv[1], sys.argv[2:]
if name != "true":
    from ironrail.diagnostics.invariants import InvariantGuard

    def allow(self: InvariantGuard, *facts: Any, **more: Any) -> bool:
        """The kit is tried by what the guard would refuse: `tests/diagnostics` tries the guard itself."""
        return True

    for question in ("may_start", "may_send", "may_reject", "may_answer", "may_close"):
        replace_method(InvariantGuard, question, allow)
    importlib.import_module(f"tests.mutants.{name}").break_it()
if not rest:
    from ironrail.__main__ import main

    sys.exit(main())

from ironrail.cli import _commands  # noqa: E402
from ironrail.rehearsal.virtual.loop import CURRENT_PROCESS  # noqa: E402

opened, stderr = os.open, sys.stderr


class ProcessStderr:
    """What a process of the virtual world writes there is its log."""

    def write(self, text: str) -> int:
        process = CURRENT_PROCESS.get()
        if process is None:
            return stderr.write(text)
        process.write_log(text)
        return len(text)

    def flush(self) -> None:
        stderr.flush()


def leave(status: int) -> NoReturn:
    """The process of the virtual world ends, not the one that plays it."""
    raise SystemExit(status)


def count_opened(*what: Any, **how: Any) -> int:
    """Files count as descriptors of the process that opened them."""
    process = CURRENT_PROCESS.get()
    if process is not None:
        process.extra_descriptors += 1
        process.peak_descriptors = max(process.peak_descriptors, process.descriptors())
    return opened(*what, **how)


os._exit = leave
os.open = count_opened
sys.stderr = ProcessStderr()
_commands()(["rehearse", *rest, "--virtual"])
