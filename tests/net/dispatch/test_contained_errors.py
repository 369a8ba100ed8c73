"""An exception in one step of one request must not stop the steps of others."""

from __future__ import annotations

import asyncio

from ironrail.net.protocol.meta_codec import FAILED
from ironrail.net.upstream.cache_connection import CacheConnection
from ironrail.net.upstream.connection import Attempt
from ironrail.policy.actions import Action, SendAttempt
from ironrail.policy.events import AttemptEnded, AttemptStatus, ClientDisconnected, Event, RequestReceived
from tests.net.dispatch.harness import DispatchHarness, ScriptedPolicy
from tests.peers import Peer, scenario, until


class SendsAtSecondRequest(ScriptedPolicy):
    """Sends the first two requests together, once the second one has come."""

    def handle(self, now: float, event: Event) -> list[Action]:
        actions = super().handle(now, event)
        if isinstance(event, RequestReceived) and event.request_id == "1":
            return []
        if isinstance(event, RequestReceived) and event.request_id == "2":
            return [SendAttempt("1", "s"), *actions]
        return actions


class FailingStream:
    """A client's stream whose socket can't be checked."""

    client_region = None
    arrived_at = None

    def has_disconnected(self, waited: bool) -> bool:
        raise OSError(12, "Cannot allocate memory")


def record_unhandled() -> list[str]:
    messages: list[str] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: messages.append(context["message"]))
    return messages


@scenario
async def test_an_error_of_one_action_does_not_drop_the_actions_behind_it() -> None:
    record_unhandled()
    peer, policy = await Peer().start(), SendsAtSecondRequest()
    harness = DispatchHarness(policy, peer.port)
    harness.take("1", stream=FailingStream())  # type: ignore[arg-type]
    harness.take("2")
    message = await peer.next()
    assert message.flag == b"O2"
    message.reply(b"VA 1 O2 h1\r\nv\r\n")
    await until(lambda: harness.answers["2"])
    assert harness.answers == {"1": [FAILED], "2": [b"VA 1 O2\r\nv\r\n"]}
    received = [policy.received.get_nowait() for _ in range(policy.received.qsize())]
    assert ClientDisconnected("1") in received
    ends = {e.request_id: e.status for e in received if isinstance(e, AttemptEnded)}
    assert ends == {"1": AttemptStatus.NOT_SENT, "2": AttemptStatus.OK}


class FailsToEncode(CacheConnection):
    """A connection that can't encode the first request."""

    def encode(self, attempt: Attempt) -> list[bytes]:
        if attempt.request_id == "1":
            raise ValueError("not encodable")
        return super().encode(attempt)


@scenario
async def test_an_error_of_one_write_ends_its_connection_and_no_other_attempt() -> None:
    messages = record_unhandled()
    peer, policy = await Peer().start(), ScriptedPolicy()
    harness = DispatchHarness(policy, peer.port, FailsToEncode, most=1, streams=1)
    harness.take("1")
    harness.take("2")
    message = await peer.next()
    assert message.flag == b"O2"
    message.reply(b"VA 1 O2 h1\r\nv\r\n")
    await until(lambda: harness.answers["2"])
    assert harness.answers == {"1": [FAILED], "2": [b"VA 1 O2\r\nv\r\n"]}
    assert messages == ["pool action WriteAttempt"]
