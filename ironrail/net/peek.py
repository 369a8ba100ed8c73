"""Looks at the input of a socket without reading it."""

from __future__ import annotations

import os
import socket
from enum import Enum


class PeekResult(Enum):
    """What a read of a socket would return."""

    NOTHING = "nothing"
    DATA = "data"
    END = "end"
    """The peer has closed its side, or the connection is broken."""
    UNKNOWN = "unknown"
    """This machine lacks descriptors or memory for the check."""


def peek(descriptor: int) -> PeekResult:
    """Return what a read would return; works where `poll` fails for lack of memory."""
    try:
        duplicate = _duplicate(descriptor)
    except OSError:
        return PeekResult.UNKNOWN
    with duplicate:
        try:
            data = duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return PeekResult.NOTHING
        except ConnectionError:
            return PeekResult.END
        except OSError:
            return PeekResult.UNKNOWN
    return PeekResult.DATA if data else PeekResult.END


def _duplicate(descriptor: int) -> socket.socket:
    """Return another socket object for the same connection.

    Raises:
        OSError: There are no descriptors left.
    """
    copy = os.dup(descriptor)
    try:
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=copy)
    except OSError:
        os.close(copy)
        raise
