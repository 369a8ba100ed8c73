"""Connections to cache servers."""

from __future__ import annotations

from ironrail.connections.upstream import pool_manager
from ironrail.connections.upstream.pool_manager import UpstreamConnection
from ironrail.net.protocol import meta_codec
from ironrail.net.protocol.meta_codec import Reply, ReplyKind, ValueHeader
from ironrail.net.upstream.connection import Attempt, Connection, ConnectionObserver
from ironrail.policy.events import AttemptStatus

OUTCOMES = {
    ReplyKind.MISS: AttemptStatus.MISS,
    ReplyKind.BUSY: AttemptStatus.BUSY,
    ReplyKind.ERROR: AttemptStatus.ERROR,
    ReplyKind.VALUE: AttemptStatus.OK,
    ReplyKind.STORED: AttemptStatus.OK,
}


class CacheConnection(Connection):
    """Speaks the meta commands; replies come in the order of the commands."""

    def __init__(self, pool: ConnectionObserver, link: UpstreamConnection) -> None:
        super().__init__(pool, link)
        self._parser = meta_codec.ReplyParser()

    def encode(self, attempt: Attempt) -> list[bytes]:
        return [meta_codec.write_command(attempt.command, self.wait_ms(attempt))]

    def data_received(self, data: bytes) -> None:
        replies: list[pool_manager.Reply] = []
        fault = None
        try:
            for reply in self._parser.feed(data):
                if isinstance(reply, Reply):
                    replies.append(self._match(reply, len(replies)))
                    continue
                if replies:  # what comes now belongs to the next attempt
                    self.settle(replies, True)
                    replies = []
                if isinstance(reply, ValueHeader):
                    self._open(reply)
                    if self.transport.is_closing():  # nobody waits for it
                        return
                elif reply.is_last:
                    replies.append((AttemptStatus.OK, b""))
                else:
                    self.pool.piece(self.link, reply.data)
        except meta_codec.FramingError as e:
            fault = e
        self.settle(replies, self._parser.has_partial_reply, fault)

    def _open(self, opening: ValueHeader) -> None:
        self._check(opening.request_id, 0)
        if opening.request_id is None or self.attempts[0].command.is_write:
            raise meta_codec.FramingError("a long value does not fit the command")
        self.pool.began(self.link, opening.length)

    def _check(self, request_id: bytes | None, before: int) -> None:
        """Guards against answering a client with what was meant for another request."""
        if len(self.attempts) <= before:
            raise meta_codec.FramingError("a reply to nothing")
        if request_id is not None and request_id != self.attempts[before].command.request_id:
            raise meta_codec.FramingError("a reply to another request")

    def _match(self, reply: Reply, before: int) -> pool_manager.Reply:
        """What a reply says of the attempt that it is for: those before it in the same read are answered."""
        self._check(reply.request_id, before)
        command = self.attempts[before].command
        if reply.kind not in (ReplyKind.BUSY, ReplyKind.ERROR):
            unfit = ReplyKind.VALUE if command.is_write else ReplyKind.STORED
            bare = reply.kind is ReplyKind.STORED and not reply.body
            if reply.request_id is None or reply.kind is unfit or bare:
                raise meta_codec.FramingError(f"{reply.kind.value} does not fit the command")
        return OUTCOMES[reply.kind], reply.body
