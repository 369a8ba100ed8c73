"""Errors for settings and messages that the peer transport can't use."""

from __future__ import annotations

from typing import ClassVar

from ironrail.errors import InputError


class SecretError(InputError):
    """A secret is too short or too long. The secret is never shown."""

    advice: ClassVar[str] = (
        "Make each secret of 16 to 64 random bytes and give the same to every router"
    )


class KeyIdError(InputError):
    """The key ids can't be used: none, more than two, out of range, or without the sending key."""

    advice: ClassVar[str] = (
        "Name one key, or during a change the old and the new,"
        " with ids of 0 to 255, and send with one"
    )


class PeerTableError(InputError):
    """There are too few or too many routers, or this router is not one of them."""

    advice: ClassVar[str] = (
        "List between 2 and 1000 routers, the same in the same order for each, its own among them"
    )


class IncarnationError(InputError):
    """The identifier of a process is not between 1 and 2**48 - 1."""

    advice: ClassVar[str] = (
        "Draw it anew from the system's random bytes whenever the process starts"
    )


class RateLimitError(InputError):
    """The rate limit or its burst is too small for the longest message."""

    advice: ClassVar[str] = "Allow at least 100 bytes a second, and the longest body at once"


class UnsendableError(InputError):
    """A message that no datagram can carry: too long, or to an invalid receiver."""

    advice: ClassVar[str] = (
        "This is a defect of the protocol that sent it: report it with its topic"
    )
