"""Errors of the memcache meta protocol. Their messages are sent to the client."""

from __future__ import annotations


class ProtocolError(ValueError):
    """Bytes that don't follow the protocol."""


class FramingError(ProtocolError):
    """Bytes after which the start of the next message is unknown."""


class CommandError(ProtocolError):
    """A command line with a bad key or bad flags."""


class FieldError(ProtocolError):
    """A bad list of names and values, as the `P` flag carries it."""
