"""The memcache meta commands, as they are parsed and as they are written. No I/O."""

from __future__ import annotations

import math

from ironrail.net.protocol.commands import BadCommand, Command, CommandParser, Noop
from ironrail.net.protocol.fields import is_printable, read_fields, read_figure
from ironrail.net.protocol.framing import MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES, FramingError
from ironrail.net.protocol.replies import Reply, ReplyKind, ReplyParser, ValueChunk, ValueHeader

__all__ = [
    "MAX_VALUE_BYTES",
    "MAX_BUFFERED_VALUE_BYTES",
    "BadCommand",
    "Command",
    "CommandParser",
    "FramingError",
    "Noop",
    "ValueHeader",
    "ValueChunk",
    "Reply",
    "ReplyKind",
    "ReplyParser",
    "info_with_wait",
    "is_printable",
    "read_fields",
    "read_figure",
    "write_busy",
    "write_command",
    "write_value_header",
    "write_served",
]

LINE_END = b"\r\n"
READY, FAILED = b"MN\r\n", b"SERVER_ERROR failed\r\n"
NOT_READY = b"SERVER_ERROR not ready\r\n"
COMMAND_TIMEOUT, TOO_MANY_CONNECTIONS = (
    b"CLIENT_ERROR no whole command in time\r\n",
    b"SERVER_ERROR too many connections\r\n",
)


def info_with_wait(command: Command, wait_ms: int) -> bytes:
    """The list of names and values for a server: as it came, but for how long the router will wait."""
    pairs = command.info.split(b",")
    return b",".join(b"d=%d" % wait_ms if pair[:2] == b"d=" else pair for pair in pairs)


def write_command(command: Command, wait_ms: int) -> bytes:
    """The command for a cache server: as it came, but for how long the router will wait."""
    flags = b"O%b P%b" % (command.request_id, info_with_wait(command, wait_ms))
    if command.value is None:
        return b"mg %b v %b\r\n" % (command.key, flags)
    return b"ms %b %d %b\r\n%b\r\n" % (command.key, len(command.value), flags, command.value)


def write_value_header(request_id: bytes, length: int) -> bytes:
    """The head of the answer with a long value; the value and a line end follow."""
    return b"VA %d O%b\r\n" % (length, request_id)


def write_served(command: Command, body: bytes) -> bytes:
    """The answer to a request that was served: its value, or the receipt of a write."""
    if command.value is None:
        return b"%b%b\r\n" % (write_value_header(command.request_id, len(body)), body)
    return b"HD O%b c%b\r\n" % (command.request_id, body)


def write_busy(retry_after: float | None) -> bytes:
    """A refusal, with the milliseconds after which to come back where they are known."""
    if retry_after is None:
        return b"SERVER_ERROR busy\r\n"
    return b"SERVER_ERROR busy %d\r\n" % math.ceil(retry_after * 1000)
