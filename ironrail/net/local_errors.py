"""Errors of system calls that tell of this machine, and nothing of a peer or a file's content."""

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

TRANSIENT_FILE_ERROR_NUMBERS = LOCAL_ERROR_NUMBERS | {errno.EINTR, errno.EIO, errno.ESTALE}


def is_local_error(error: BaseException) -> bool:
    """Whether an error says that this machine lacks descriptors, ports or memory."""
    return isinstance(error, OSError) and error.errno in LOCAL_ERROR_NUMBERS


def is_transient_file_error(error: BaseException | None) -> bool:
    """Whether a file may be readable soon, though it could not be read now."""
    return isinstance(error, OSError) and error.errno in TRANSIENT_FILE_ERROR_NUMBERS
