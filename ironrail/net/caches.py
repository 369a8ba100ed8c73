"""Connections to cache servers."""

from __future__ import annotations

from ironrail.connections import upstream
from ironrail.connections.upstream import Link
from ironrail.net import memcache
from ironrail.net.connection import Attempt, Connection, Told
from ironrail.net.memcache import Opening, Reply, ReplyKind
from ironrail.policy.interface import Status

OUTCOMES = {
    ReplyKind.MISS: Status.MISS,
    ReplyKind.BUSY: Status.FULL,
    ReplyKind.ERROR: Status.ERROR,
    ReplyKind.VALUE: Status.OK,
    ReplyKind.STORED: Status.OK,
}


class CacheConnection(Connection):
    """Speaks the meta commands; replies come in the order of the commands."""

    def __init__(self, pool: Told, link: Link) -> None:
        super().__init__(pool, link)
        self._parser = memcache.ReplyParser()

    def encode(self, attempt: Attempt) -> list[bytes]:
        return [memcache.write_command(attempt.command, self.wait_ms(attempt))]

    def data_received(self, data: bytes) -> None:
        replies: list[upstream.Reply] = []
        fault = None
        try:
            for reply in self._parser.feed(data):
                if isinstance(reply, Reply):
                    replies.append(self._match(reply, len(replies)))
                    continue
                if replies:  # what comes now belongs to the next attempt
                    self.settle(replies, True)
                    replies = []
                if isinstance(reply, Opening):
                    self._open(reply)
                    if self.transport.is_closing():  # nobody waits for it
                        return
                elif reply.last:
                    replies.append((Status.OK, b""))
                else:
                    self.pool.piece(self.link, reply.data)
        except memcache.FramingError as e:
            fault = e
        self.settle(replies, self._parser.begun, fault)

    def _open(self, opening: Opening) -> None:
        self._check(opening.request_id, 0)
        if opening.request_id is None or self.attempts[0].command.write:
            raise memcache.FramingError("a long value does not fit the command")
        self.pool.began(self.link, opening.length)

    def _check(self, request_id: bytes | None, before: int) -> None:
        """Guards against answering a client with what was meant for another request."""
        if len(self.attempts) <= before:
            raise memcache.FramingError("a reply to nothing")
        if request_id is not None and request_id != self.attempts[before].command.request_id:
            raise memcache.FramingError("a reply to another request")

    def _match(self, reply: Reply, before: int) -> upstream.Reply:
        """What a reply says of the attempt that it is for: those before it in the same read are answered."""
        self._check(reply.request_id, before)
        command = self.attempts[before].command
        if reply.kind not in (ReplyKind.BUSY, ReplyKind.ERROR):
            unfit = ReplyKind.VALUE if command.write else ReplyKind.STORED
            bare = reply.kind is ReplyKind.STORED and not reply.body
            if reply.request_id is None or reply.kind is unfit or bare:
                raise memcache.FramingError(f"{reply.kind.value} does not fit the command")
        return OUTCOMES[reply.kind], reply.body
