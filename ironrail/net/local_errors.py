"""Errors of system calls that tell of this machine, and nothing of the peer of a connection."""

from __future__ import annotations

import errno

LOCAL_ERROR_NUMBERS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,  # no free local port
        errno.EAGAIN,  # the same, or no routing cache entry
    }
)


def is_local_error(error: BaseException) -> bool:
    """Whether an error says that this machine lacks descriptors, ports or memory."""
    return isinstance(error, OSError) and error.errno in LOCAL_ERROR_NUMBERS
