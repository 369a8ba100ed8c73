"""Long values whose client is slow: the server's connection is paused, and resumed in time."""

from __future__ import annotations

from collections.abc import Callable

from ironrail.policy.events import AttemptStatus
from tests.net.dispatch.harness import DispatchHarness, ScriptedPolicy, quick_replies
from tests.peers import Peer, scenario, until

LONG = b"v" * 200_000


class RecordingStream:
    """The client's end of a long value, which pauses the server when the test says so."""

    client_region = None
    arrived_at = None

    def __init__(self) -> None:
        self.received = b""
        self.set_paused: Callable[[bool], None] | None = None
        self.is_finished = False

    def has_disconnected(self, waited: bool) -> bool:
        return False

    def reserve(self, size: int) -> bool:
        return True

    def start(self, head: bytes, set_paused: Callable[[bool], None]) -> None:
        self.set_paused = set_paused

    def write(self, data: bytes) -> None:
        self.received += data

    def finish(self) -> None:
        self.is_finished = True

    def break_off(self) -> None:
        raise AssertionError("the value was broken off")

    def abort(self) -> None:
        raise AssertionError("the client has not left")


# A value stalled for 5 s, and was broken off: a pause answered an earlier command, which resumed it at once.
@scenario
async def test_a_value_that_is_resumed_while_its_pause_is_carried_out_goes_on() -> None:
    peer, policy, stream = await Peer().start(), ScriptedPolicy(), RecordingStream()
    harness = DispatchHarness(policy, peer.port, most=1)
    await quick_replies(harness, peer, policy)
    harness.take("1", stream=stream, request_class="read")
    harness.take("2", request_class="read")  # on the same connection, behind the long value
    first = await peer.next()
    await peer.next()
    first.reply(b"VA %d O1 h1\r\n" % len(LONG) + LONG[:1000])
    await until(lambda: stream.received)
    assert stream.set_paused is not None
    resume = stream.set_paused
    policy.after = lambda: resume(False)
    stream.set_paused(True)
    assert (await policy.outcome()).status is AttemptStatus.CANCELLED
    first.reply(LONG[1000:] + b"\r\n")
    await until(lambda: stream.is_finished)
    assert stream.received == LONG
