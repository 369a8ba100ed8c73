"""The parser of cache replies, without a socket."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.net.protocol.errors import FramingError
from ironrail.net.protocol.framing import MAX_BUFFERED_VALUE_BYTES
from ironrail.net.protocol.replies import Reply, ReplyKind, ReplyParser, ValueChunk, ValueHeader

STREAM = b"VA 5 O1\r\nvalue\r\nHD O2 creceipt\r\nEN O3\r\nSERVER_ERROR busy\r\nSERVER_ERROR oops\r\n"


@given(st.integers(0, len(STREAM)))
def test_replies_split_at_any_point_are_parsed_alike(cut: int) -> None:
    parser = ReplyParser()
    assert [*parser.feed(STREAM[:cut]), *parser.feed(STREAM[cut:])] == [
        Reply(ReplyKind.VALUE, b"1", b"value"),
        Reply(ReplyKind.STORED, b"2", b"receipt"),
        Reply(ReplyKind.MISS, b"3"),
        Reply(ReplyKind.BUSY, None),
        Reply(ReplyKind.ERROR, None),
    ]
    assert not parser.has_partial_reply


def test_a_long_value_is_yielded_in_chunks_and_its_end_confirmed() -> None:
    parser, size = ReplyParser(), MAX_BUFFERED_VALUE_BYTES + 1
    assert list(parser.feed(b"VA %d O1\r\n" % size)) == [ValueHeader(b"1", size)]
    assert parser.has_partial_reply
    assert list(parser.feed(b"x" * (size - 1))) == [ValueChunk(b"x" * (size - 1))]
    assert list(parser.feed(b"x\r")) == [ValueChunk(b"x")]
    assert list(parser.feed(b"\n")) == [ValueChunk(b"", is_last=True)]
    assert not parser.has_partial_reply


@pytest.mark.parametrize("line", [b"VA\r\n", b"VA x\r\n", b"OK\r\n", b"VA 1 O1\r\nlong\r\n", b"x" * 4097])
def test_bytes_that_are_no_reply_are_a_framing_error(line: bytes) -> None:
    with pytest.raises(FramingError):
        list(ReplyParser().feed(line))
