"""Encoders of memcache meta commands and responses, and their parsers."""

from __future__ import annotations

import math

from ironrail.net.protocol.commands import BadCommand, Command, CommandParser, Noop
from ironrail.net.protocol.errors import FramingError
from ironrail.net.protocol.fields import is_printable, parse_fields, read_numeric_field
from ironrail.net.protocol.framing import LINE_END, MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES
from ironrail.net.protocol.replies import Reply, ReplyKind, ReplyParser, ValueChunk, ValueHeader

__all__ = [
    "LINE_END",
    "MAX_BUFFERED_VALUE_BYTES",
    "MAX_VALUE_BYTES",
    "BadCommand",
    "Command",
    "CommandParser",
    "FramingError",
    "Noop",
    "Reply",
    "ReplyKind",
    "ReplyParser",
    "ValueChunk",
    "ValueHeader",
    "info_with_wait",
    "is_printable",
    "parse_fields",
    "read_numeric_field",
    "write_busy",
    "write_command",
    "write_served",
    "write_value_header",
]

MILLISECONDS_PER_SECOND = 1000

READY = b"MN\r\n"
FAILED = b"SERVER_ERROR failed\r\n"
NOT_READY = b"SERVER_ERROR not ready\r\n"
COMMAND_TIMEOUT = b"CLIENT_ERROR no whole command in time\r\n"
TOO_MANY_CONNECTIONS = b"SERVER_ERROR too many connections\r\n"

WAIT_FIELD = b"d="


def info_with_wait(command: Command, wait_ms: int) -> bytes:
    """Return the list of field names and values for a server.

    Args:
        command: The command whose list is forwarded, with `d` replaced.
        wait_ms: Milliseconds for which the router waits for the server.
    """
    pairs = command.raw_fields.split(b",")
    return b",".join(b"d=%d" % wait_ms if pair.startswith(WAIT_FIELD) else pair for pair in pairs)


def write_command(command: Command, wait_ms: int) -> bytes:
    """Encode a command for a cache server, whose reply is awaited for `wait_ms` milliseconds."""
    flags = b"O%b P%b" % (command.request_id, info_with_wait(command, wait_ms))
    if command.value is None:
        return b"mg %b v %b\r\n" % (command.key, flags)
    return b"ms %b %d %b\r\n%b\r\n" % (command.key, len(command.value), flags, command.value)


def write_value_header(request_id: bytes, length: int) -> bytes:
    """Encode the header of a value of `length` bytes; the value and a line end follow it."""
    return b"VA %d O%b\r\n" % (length, request_id)


def write_served(command: Command, body: bytes) -> bytes:
    """Encode the response to a served request: a value, or the receipt of a write."""
    if command.value is None:
        return b"%b%b\r\n" % (write_value_header(command.request_id, len(body)), body)
    return b"HD O%b c%b\r\n" % (command.request_id, body)


def write_busy(retry_after: float | None) -> bytes:
    """Encode a rejection; `retry_after` is the seconds until a retry makes sense, if known."""
    if retry_after is None:
        return b"SERVER_ERROR busy\r\n"
    return b"SERVER_ERROR busy %d\r\n" % math.ceil(retry_after * MILLISECONDS_PER_SECOND)
