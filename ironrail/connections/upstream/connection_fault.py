"""Why a connection to a server is aborted."""

from __future__ import annotations

from enum import Enum


class ConnectionFault(Enum):
    """A fault that a pool's decisions detect; the value is its text in the log."""

    SILENT = "nothing was read since an attempt that timed out"
    REPLY_STALLED = "a reply stopped midway"
    SURPLUS_BYTES = "bytes after the reply to the last request"
    WRITE_STALLED = "a request was not taken before it was given up"
    WRITE_WITHDRAWN = "a request written in part was withdrawn"
    STREAM_ABANDONED = "the client disconnected during a long value"
    STREAM_UNWANTED = "a long value for a request that was given up"


Fault = ConnectionFault | Exception  # an exception comes from a parser


def describe(fault: Fault) -> str:
    """Return a fault as the log shows it."""
    return fault.value if isinstance(fault, ConnectionFault) else str(fault)
