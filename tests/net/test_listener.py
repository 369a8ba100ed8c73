"""A listener that closes, or whose system is short of resources."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any

import pytest

from ironrail.net import listener
from tests.peers import LOCAL, connect, scenario, until


class Queue:
    """A listening socket with a scripted backlog; an accept raises the exceptions in it."""

    def __init__(self, *queue: socket.socket | OSError) -> None:
        self.queue = list(queue)
        self.real = socket.create_server((LOCAL, 0))
        self.real.setblocking(False)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)

    def accept(self) -> tuple[socket.socket, Any]:
        if not self.queue:
            return self.real.accept()
        if isinstance(first := self.queue.pop(0), OSError):
            raise first
        return first, None


class System:
    """A system whose listening socket has a scripted backlog."""

    def __init__(self, queue: Queue) -> None:
        self.queue = queue

    def listen(self, address: Any, backlog: int) -> Any:
        return self.queue


@scenario
async def test_an_aborted_connection_does_not_stop_accepting_while_the_listener_closes() -> None:
    near, far = socket.socketpair()
    queue = Queue(ConnectionAbortedError(), near)
    taken: list[socket.socket] = []
    acceptor = listener.Acceptor(System(queue), (LOCAL, 0), taken.append)  # type: ignore[arg-type]
    acceptor.close()
    assert taken == [near]
    near.close()
    far.close()


@scenario
@pytest.mark.parametrize("what", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO])
async def test_accepting_resumes_after_a_shortage_without_spinning_or_flooding_the_log(
    what: int, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(listener, "ACCEPT_RETRY_DELAY_SECONDS", 0.01)
    queue = Queue(*(OSError(what, "none left") for _ in range(20)))
    taken: list[socket.socket] = []
    acceptor = listener.Acceptor(System(queue), (LOCAL, 0), taken.append)  # type: ignore[arg-type]
    loop = asyncio.get_running_loop()
    began = loop.time()
    client = await connect(acceptor.address)
    await until(lambda: taken)
    assert loop.time() - began >= 20 * 0.009  # a pause after each error
    assert [record.getMessage() for record in caplog.records].count("accept_paused") == 1
    client.close()
    taken[0].close()
    acceptor.close()


@scenario
async def test_a_connection_long_after_a_shortage_does_not_count_as_waiting() -> None:
    """Guards against a first request that is given up at once, as if it had come during the shortage."""
    near, far = socket.socketpair()
    queue = Queue(OSError(errno.EMFILE, "none left"), near)
    taken: list[socket.socket] = []
    acceptor = listener.Acceptor(System(queue), (LOCAL, 0), taken.append, 1)  # type: ignore[arg-type]
    client = await connect(acceptor.address)
    await until(lambda: len(taken) == 2)  # the scripted one, and that of this client
    await asyncio.sleep(0.05)
    assert acceptor.waiting_since is None
    client.close()
    for connection in (*taken, far):
        connection.close()
    acceptor.close()
