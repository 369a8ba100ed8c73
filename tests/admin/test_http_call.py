"""The admin endpoint without sockets: HTTP calls, connection limits and metrics."""

from __future__ import annotations

import h11
from hypothesis import given
from hypothesis import strategies as st

from ironrail.admin.connection_limit import REQUEST_TIMEOUT_SECONDS, RESPONSE_TIMEOUT_SECONDS, ConnectionLimit
from ironrail.admin.http_call import MAX_BODY_BYTES, MAX_HEAD_BYTES, HttpCall, Response
from ironrail.admin.metrics import RequestMetrics

PAGES = {"/-/ready": lambda: Response(200, b"ready\n"), "/-/no": lambda: Response(503, b"no\n")}


def ask(*pieces: bytes) -> list[bytes]:
    call = HttpCall(PAGES)
    return [answer for piece in pieces if (answer := call.receive(piece)) is not None]


def status(answer: bytes) -> int:
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    client.send(h11.EndOfMessage())
    client.receive_data(answer)
    response = client.next_event()
    assert isinstance(response, h11.Response) and (b"connection", b"close") in response.headers
    while not isinstance(event := client.next_event(), h11.EndOfMessage):
        assert isinstance(event, h11.Data)
    return response.status_code


def test_known_paths_are_answered_and_others_rejected() -> None:
    cases = {
        b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n": 200,
        b"GET /-/ready?now HTTP/1.0\r\n\r\n": 200,
        b"GET /-/no HTTP/1.1\r\nHost: x\r\n\r\n": 503,
        b"GET /-/other HTTP/1.1\r\nHost: x\r\n\r\n": 404,
        b"PUT /-/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n1": 405,
        b"GET /-/ready HTTP/1.1\r\n\r\n": 400,  # no host
        b"mn\r\n\r\n": 400,
        b"GET /" + b"x" * (MAX_HEAD_BYTES + 1): 431,
        b"GET /-/rea": 400,  # ends in the middle
    }
    for data, expected in cases.items():
        answers = ask(data) or ask(data, b"")
        assert [status(answer) for answer in answers] == [expected], data


@given(st.binary(max_size=200), st.lists(st.integers(0, 200), max_size=5))
def test_any_bytes_in_any_pieces_get_at_most_one_response(noise: bytes, cuts: list[int]) -> None:
    for data in (noise, b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n" + noise):
        edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
        pieces = [data[a:b] for a, b in zip(edges, edges[1:], strict=False) if a < b]
        assert len(ask(*pieces, b"", b"")) == bool(data)


def test_a_posted_body_reaches_only_its_handler_and_complete() -> None:
    got: list[bytes] = []

    def take(body: bytes) -> Response:
        got.append(body)
        return Response(202, b"taken\n")

    head = b"POST /-/policy HTTP/1.1\r\nHost: x\r\n"
    for pieces, expected in (
        ([head + b"Content-Length: 4\r\n\r\n", b"ab", b"cd"], 202),
        ([head + b"Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n", b"0\r\n\r\n"], 202),
        ([head + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), b"x" * (MAX_BODY_BYTES + 1)], 413),
        ([head.replace(b"policy", b"ready") + b"Content-Length: 4\r\n\r\nabcd"], 405),
        ([head + b"Content-Length: 4\r\n\r\nab", b""], 400),
    ):
        call = HttpCall(PAGES, {"/-/policy": take})
        answers = [answer for piece in pieces if (answer := call.receive(piece)) is not None]
        assert [status(answer) for answer in answers] == [expected], pieces[0]
    assert got == [b"abcd", b"abcd"]


def test_an_incomplete_request_times_out_and_a_complete_one_does_not() -> None:
    call = HttpCall(PAGES)
    assert call.receive(b"GET /-/ready HT") is None
    late = call.request_timeout()
    assert late is not None and status(late) == 408
    assert call.request_timeout() is None and call.receive(b"TP/1.1\r\n\r\n") is None


def test_silent_connections_are_evicted_and_expire() -> None:
    callers = ConnectionLimit(max_connections=3)
    first, second, third = (callers.admit(float(n)).connection for n in range(3))
    callers.answered(2.5, third)
    fourth = callers.admit(2.6)
    assert fourth.evicted is third  # it was answered
    fifth = callers.admit(2.7)
    assert fifth.evicted is first and len(callers) == 3
    assert callers.expired(1.0 + REQUEST_TIMEOUT_SECONDS) == [second]
    callers.answered(4.0, second)
    assert callers.expired(4.0 + RESPONSE_TIMEOUT_SECONDS / 2) == []
    callers.remove(second)
    assert callers.expired(2.7 + REQUEST_TIMEOUT_SECONDS) == [fourth.connection, fifth.connection]


def test_metrics_are_counters_by_class_and_gauges() -> None:
    request_metrics = RequestMetrics(["read", "a:b"])
    request_metrics.success["read"] += 2
    request_metrics.failure["a:b"] += 1
    request_metrics.attempt_written()
    lines = request_metrics.render({"inflight": 3}).decode().splitlines()
    assert "edge_node.success.read:2|c" in lines and "edge_node.busy.read:0|c" in lines
    assert "edge_node.failure.a_b:1|c" in lines  # a colon would end the name
    assert lines[-2:] == ["edge_node.backend_calls:1|c", "edge_node.inflight:3|g"]
