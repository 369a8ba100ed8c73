"""Errors of the memcache meta protocol. Their messages are sent to the client."""

from __future__ import annotations


class ProtocolError(ValueError):
    """Received bytes that violate the protocol."""


class FramingError(ProtocolError):
    """Received bytes after which the start of the next message is unknown."""


class CommandError(ProtocolError):
    """A command line with an invalid key or invalid flags."""


class FieldError(ProtocolError):
    """An invalid list of field names and values in the `P` flag."""
