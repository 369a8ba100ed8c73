"""Connections to cache servers, over the memcache meta protocol."""

from __future__ import annotations

from ironrail.connections.upstream.connection import UpstreamConnection
from ironrail.connections.upstream.reply_handler import AttemptReply
from ironrail.net.protocol import meta_codec
from ironrail.net.protocol.meta_codec import Reply, ReplyKind, ValueChunk, ValueHeader
from ironrail.net.upstream.connection import Attempt, Connection, ConnectionObserver
from ironrail.policy.events import AttemptStatus

STATUS_OF_REPLY = {
    ReplyKind.MISS: AttemptStatus.MISS,
    ReplyKind.BUSY: AttemptStatus.BUSY,
    ReplyKind.ERROR: AttemptStatus.ERROR,
    ReplyKind.VALUE: AttemptStatus.OK,
    ReplyKind.STORED: AttemptStatus.OK,
}


class CacheConnection(Connection):
    """Writes meta commands; their replies arrive in the order of the commands."""

    def __init__(self, pool: ConnectionObserver, upstream: UpstreamConnection) -> None:
        super().__init__(pool, upstream)
        self._parser = meta_codec.ReplyParser()

    def encode(self, attempt: Attempt) -> list[bytes]:
        """Return the command of an attempt as it is written now."""
        return [meta_codec.write_command(attempt.command, self.remaining_milliseconds(attempt))]

    def data_received(self, data: bytes) -> None:
        """Parse one read, and report the replies in it."""
        replies: list[AttemptReply] = []
        fault = None
        try:
            for item in self._parser.feed(data):
                if isinstance(item, Reply):
                    replies.append(self._match(item, len(replies)))
                    continue
                if replies:  # the next item belongs to another attempt
                    self.report_read(replies, True)
                    replies = []
                if isinstance(item, ValueHeader):
                    self._start_stream(item)
                    if self.transport.is_closing():
                        return
                else:
                    replies += self._handle_chunk(item)
        except meta_codec.FramingError as e:
            fault = e
        self.report_read(replies, self._parser.has_partial_reply, fault)

    def _handle_chunk(self, chunk: ValueChunk) -> list[AttemptReply]:
        """Forward a chunk of a long value; return the outcome once the value is complete."""
        if chunk.is_last:
            return [AttemptReply(AttemptStatus.OK)]
        self.pool.on_stream_data(self.upstream, chunk.data)
        return []

    def _start_stream(self, header: ValueHeader) -> None:
        self._check_id(header.request_id, 0)
        if header.request_id is None or self.in_flight[0].command.is_write:
            raise meta_codec.FramingError("unexpected long value in reply to the command")
        self.pool.on_stream_started(self.upstream, header.length)

    def _check_id(self, request_id: bytes | None, position: int) -> None:
        """Check that a reply belongs to the attempt at this position in `in_flight`."""
        if len(self.in_flight) <= position:
            raise meta_codec.FramingError("a reply without a request")
        if request_id is not None and request_id != self.in_flight[position].command.request_id:
            raise meta_codec.FramingError(
                "request id of the reply does not match the request in flight"
            )

    def _match(self, reply: Reply, position: int) -> AttemptReply:
        """Return the outcome of the attempt at this position in `in_flight`, given its reply."""
        self._check_id(reply.request_id, position)
        command = self.in_flight[position].command
        if reply.kind not in (ReplyKind.BUSY, ReplyKind.ERROR):
            unexpected_kind = ReplyKind.VALUE if command.is_write else ReplyKind.STORED
            lacks_receipt = reply.kind is ReplyKind.STORED and not reply.body
            if reply.request_id is None or reply.kind is unexpected_kind or lacks_receipt:
                raise meta_codec.FramingError(
                    f"unexpected {reply.kind.value} in reply to the command"
                )
        return AttemptReply(STATUS_OF_REPLY[reply.kind], reply.body)
