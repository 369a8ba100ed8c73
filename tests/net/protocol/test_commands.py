"""The parser of client commands, without a socket."""

from __future__ import annotations

import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.net.protocol.commands import UNKNOWN_COMMAND, BadCommand, Command, CommandParser, Noop
from ironrail.net.protocol.framing import MAX_LINE_BYTES, MAX_UNRESERVED_VALUE_BYTES

FIELDS = b"Pc=read,t=x,d=5000"
READ = b"mg key v O1 " + FIELDS + b"\r\n"
WRITE = b"ms key 5 O2 " + FIELDS + b"\r\nvalue\r\n"


def parse(*parts: bytes) -> list[Command | Noop | BadCommand]:
    parser, items = CommandParser(), list[Command | Noop | BadCommand]()
    for part in parts:
        parser.feed(part)
        while (item := parser.next_command()) is not None:
            items.append(item)
            if isinstance(item, BadCommand) and item.is_fatal:
                return items
    return items


@given(st.integers(0, len(READ + WRITE)))
def test_commands_split_at_any_point_are_parsed_alike(cut: int) -> None:
    stream = READ + WRITE
    read, write = parse(stream[:cut], stream[cut:])
    assert isinstance(read, Command) and isinstance(write, Command)
    assert (read.key, read.request_id, read.raw_fields) == (b"key", b"1", FIELDS[1:])
    assert read.fields == {"c": "read", "t": "x", "d": "5000"}
    assert not read.is_write and read.value is None
    assert write.is_write and write.value == b"value" and write.request_id == b"2"


@pytest.mark.parametrize("line", [b"mn 1\r\n", b"get key\r\n", b"\r\n", b"MG key\r\n"])
def test_an_unknown_command_is_answered_and_not_fatal(line: bytes) -> None:
    assert parse(line + b"mn\r\n") == [BadCommand(UNKNOWN_COMMAND), Noop()]


@pytest.mark.parametrize(
    ("line", "reason", "is_fatal"),
    [
        (b"mg\r\n", b"bad command line", False),
        (b"ms key\r\n", b"bad command line", True),
        (b"ms key x O1 " + FIELDS + b"\r\n", b"bad data length", True),
        (b"ms key 9999999 O1 " + FIELDS + b"\r\n", b"value too large", True),
        (b"ms key 1 O1 " + FIELDS + b"\r\nvalue", b"bad data chunk", True),
        (b"mg key v O1 O2 " + FIELDS + b"\r\n", b"bad flags", False),
        (b"mg key O1 " + FIELDS + b"\r\n", b"bad flags", False),
        (b"ms key 1 v O1 " + FIELDS + b"\r\nv\r\n", b"bad flags", False),
        (b"mg key v O1 Pc=read\r\n", b"missing d", False),
        (b"mg key v O1 Pc=read,d=1e3\r\n", b"bad d", False),
        (b"mg key v O1 Pc=read,c=read,d=1\r\n", b"bad list of names and values", False),
        (b"mg " + b"k" * 251 + b" v O1 " + FIELDS + b"\r\n", b"bad key", False),
    ],
)
def test_a_bad_command_is_answered_with_its_reason(line: bytes, reason: bytes, is_fatal: bool) -> None:
    assert parse(line) == [BadCommand(b"CLIENT_ERROR " + reason + b"\r\n", is_fatal)]


def test_only_a_value_that_needs_memory_waits_to_be_admitted() -> None:
    for size in (MAX_UNRESERVED_VALUE_BYTES, MAX_UNRESERVED_VALUE_BYTES + 1):
        parser = CommandParser()
        assert not parser.has_partial_command
        parser.feed(b"ms key %d O1 " % size + FIELDS + b"\r\n")
        assert parser.next_command() is None and parser.has_partial_command
        assert parser.bytes_to_reserve == (size if size > MAX_UNRESERVED_VALUE_BYTES else 0)
        parser.feed(b"x" * size + b"\r\n")
        if parser.bytes_to_reserve:
            assert parser.next_command() is None
            parser.admit_value()
        assert isinstance(parser.next_command(), Command)
        assert parser.bytes_to_reserve == 0 and not parser.has_partial_command


# Each client that stopped behind a head of many short words held 16 KB of them, or more for longer ones.
def test_a_head_of_many_words_takes_little_memory_while_its_value_is_awaited() -> None:
    tracemalloc.start()
    parsers = [CommandParser() for _ in range(100)]
    for parser in parsers:
        parser.feed(b"ms key 100 " + b"a " * 2000 + b"b\r\nxx")
        assert parser.next_command() is None
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held_bytes / len(parsers) < 2 * MAX_LINE_BYTES
    parsers[0].feed(b"x" * 98 + b"\r\n")
    assert parsers[0].next_command() == BadCommand(b"CLIENT_ERROR bad flags\r\n")
