"""Controls the shim: builds it, and sets which system calls of a process fail while the process runs."""

from __future__ import annotations

import functools
import mmap
import struct
import subprocess
import tempfile
from enum import Enum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
RULE = struct.Struct("=iIIIII")  # as `struct rule` in shim.c
ALWAYS = 1000  # per thousand
UNLIMITED = 0xFFFFFFFF
SHORT = -1  # in place of an errno: the call transfers one byte


class SystemCall(Enum):
    """A call that can fail, in the order of `enum call` in shim.c."""

    ACCEPT = 0
    BIND = 1
    CONNECT = 2
    FSYNC = 3
    IOCTL = 4
    LOG_WRITE = 5  # to standard output or error
    FILE_WRITE = 6
    OPEN = 7
    POLL = 8
    READ = 9  # from a socket
    RENAME = 10
    SETSOCKOPT = 11
    SHUTDOWN = 12
    SOCKET = 13
    WRITE = 14  # to a socket
    WAKE_UP = 15  # to the event loop's own socket pair, from a signal handler
    GETSOCKNAME = 16


@functools.cache
def _build_folder() -> tempfile.TemporaryDirectory[str]:
    return tempfile.TemporaryDirectory(prefix="ironrail-shim-")


@functools.cache
def shim_library() -> Path:
    """Compile the shim once per process; return the path of the library.

    Raises:
        subprocess.CalledProcessError: The compiler failed.
        FileNotFoundError: There is no compiler.
    """
    library = Path(_build_folder().name) / "shim.so"
    command = ("cc", "-O2", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl")
    subprocess.run(command, check=True)
    return library


class SyscallFaults:
    """The rules of one router's processes, in a file that they map into memory."""

    def __init__(self, path: Path) -> None:
        """Create the file, without a fault."""
        self._path = path
        size = RULE.size * len(SystemCall)
        path.write_bytes(bytes(size))
        with path.open("r+b") as file:
            self._rules = mmap.mmap(file.fileno(), size)

    def environment(self) -> dict[str, str]:
        """Return the variables with which a process is started."""
        return {"LD_PRELOAD": str(shim_library()), "IRONRAIL_SYSCALL_FAULTS": str(self._path)}

    def fail(
        self,
        call: SystemCall,
        error: int,
        *,
        per_thousand: int = ALWAYS,
        skip: int = 0,
        limit: int = UNLIMITED,
    ) -> None:
        """Make a call fail from now on.

        Args:
            call: The call.
            error: Its errno, or `SHORT`.
            per_thousand: Probability of a failure.
            skip: Calls that succeed before the first failure.
            limit: Failures after which the call succeeds again.
        """
        self.clear(call)
        fields = RULE.pack(error, per_thousand, skip, limit, 0, 0)
        offset = call.value * RULE.size
        # the error last, as it makes the rule effective
        self._rules[offset + 4 : offset + RULE.size] = fields[4:]
        self._rules[offset : offset + 4] = fields[:4]

    def clear(self, call: SystemCall) -> None:
        """Let a call succeed from now on."""
        offset = call.value * RULE.size
        self._rules[offset : offset + 4] = bytes(4)

    def clear_all(self) -> None:
        """Let all calls succeed from now on."""
        for call in SystemCall:
            self.clear(call)

    def failed(self, call: SystemCall) -> int:
        """Return how often a call failed since `fail`."""
        failed: int = RULE.unpack_from(self._rules, call.value * RULE.size)[5]
        return failed

    def called(self, call: SystemCall) -> int:
        """Return how often a call was made since `fail`."""
        calls: int = RULE.unpack_from(self._rules, call.value * RULE.size)[4]
        return calls
