"""A whole router on loopback sockets: requests, connections, lists and bad input."""

from __future__ import annotations

import asyncio
import time

import orjson
import pytest

from ironrail.net import asked, discovery, lists
from ironrail.policy import asking
from ironrail.policy import interface as api
from tests.peers import Peer, World, scenario

BUSY = b"SERVER_ERROR busy "


@scenario
async def test_a_hit_is_passed_on_as_it_was_given() -> None:
    world = await World().start()
    client = await world.client()
    client.send(b"mg page:7 v Oab Pc=read,t=x,d=5000,h=900,size=3,k=q\r\n")
    got = await world.cache.next()
    assert got.words[:4] == [b"mg", b"page:7", b"v", b"Oab"]
    pairs = dict(p.split(b"=") for p in got.words[4][1:].split(b","))
    assert 4000 < int(pairs.pop(b"d")) <= 5000
    assert pairs == {b"c": b"read", b"t": b"x", b"h": b"900", b"size": b"3", b"k": b"q"}
    got.reply(b"VA 4 Oab h1\r\n\r\n\x00v\r\n")
    assert await client.value("ab") == b"\r\n\x00v"


@scenario
async def test_a_miss_goes_to_the_origin() -> None:
    world = await World().start()
    client = await world.client()
    client.get("1", key="page:7")
    got = await world.cache.next()
    got.reply(b"EN O1 h0 Z\r\n")
    fetch = await world.origin.next()
    assert fetch.head == b"GET /page:7"
    assert fetch.headers["request-id"] == "1"
    assert fetch.headers["request-info"] == "c=read,t=x,d=5000"
    fetch.respond(b"value")
    assert await client.value("1") == b"value"


@scenario
async def test_a_write_goes_to_the_origin_and_gets_its_receipt() -> None:
    world = await World().start()
    client = await world.client()
    client.put("1", b"\r\nbody", key="a b?#%".replace(" ", "_"))
    put = await world.origin.next()
    assert (put.head, put.value) == (b"PUT /a_b%3F%23%25", b"\r\nbody")
    put.respond(b"r-77")
    assert await client.line() == b"HD O1 cr-77\r\n"


@scenario
async def test_pipelined_commands_are_begun_at_once_and_answered_in_order() -> None:
    world = await World().start()
    client = await world.client()
    for name in "12":
        client.get(name)
    client.send(b"mn\r\nnonsense\r\n")
    got = {m.flag: m for m in (await world.cache.next(), await world.cache.next())}
    assert got[b"O1"].writer is not got[b"O2"].writer  # not behind one another
    got[b"O2"].reply_value(b"two")
    await world.tell()  # the second has its answer before the first
    got[b"O1"].reply_value(b"one")
    assert [await client.value(n) for n in "12"] == [b"one", b"two"]
    assert [await client.line(), await client.line()] == [b"MN\r\n", b"ERROR\r\n"]


@scenario
async def test_the_latest_idle_connection_is_used_again() -> None:
    world = await World().start()
    client = await world.client()
    for name in "123":
        client.get(name)
        (await world.cache.next()).reply_value(b"v")
        await client.value(name)
    assert world.cache.opened == 1


@scenario
async def test_a_late_reply_reaches_nobody_and_shifts_nothing() -> None:
    world = await World().start()
    client = await world.client()
    client.get("1", wait=60)
    late = await world.cache.next()
    assert (await client.line()).startswith(BUSY)
    client.get("2")
    second = await world.cache.next()
    assert second.writer is not late.writer  # it would have to wait behind what nobody waits for
    late.reply_value(b"late")
    second.reply_value(b"two")
    assert await client.value("2") == b"two"
    client.send(b"mn\r\n")
    assert await client.line() == b"MN\r\n"


@scenario
async def test_the_answer_is_due_at_the_deadline_and_nothing_goes_out_afterwards() -> None:
    world = await World().start()
    client = await world.client()
    began = time.monotonic()
    client.put("1", b"v", wait=150)
    put = await world.origin.next()
    assert await client.line() == b"SERVER_ERROR failed\r\n"
    assert 0.145 <= time.monotonic() - began < 0.4
    put.respond(b"receipt")  # too late
    client.get("2")
    (await world.cache.next()).reply_value(b"v")
    assert await client.value("2") == b"v"
    assert world.origin.messages.empty()


@scenario
async def test_without_a_server_a_request_is_refused_in_time() -> None:
    world = await World().start()
    await world.tell(full=True)
    client = await world.client()
    client.send(b"mn\r\n")
    assert await client.line() == b"SERVER_ERROR not ready\r\n"
    client.get("1", wait=60)
    assert (await client.line()).startswith(BUSY)


@scenario
async def test_a_client_that_leaves_is_forgotten() -> None:
    world = await World().start()
    client = await world.client()
    client.get("1")
    got = await world.cache.next()
    client.close()
    other = await world.client()
    other.get("2")
    second = await world.cache.next()
    got.reply(b"EN O1\r\n")
    second.reply(b"EN O2\r\n")
    fetch = await world.origin.next()
    assert fetch.headers["request-id"] == "2"  # and none for the first, which missed before it
    fetch.respond(b"v")
    assert await other.value("2") == b"v"
    assert world.origin.messages.empty()


@scenario
async def test_an_unsafe_write_that_may_have_run_is_failed_and_not_sent_again() -> None:
    world = await World().start()
    client = await world.client()
    for name, end in (("1", "reset"), ("2", "end")):
        client.put(name, b"v")
        getattr(await world.origin.next(), end)()
        assert await client.line() == b"SERVER_ERROR failed\r\n"
    client.put("3", b"v")
    (await world.origin.next()).respond(b"", 500)
    assert await client.line() == b"SERVER_ERROR failed\r\n"
    assert world.origin.messages.empty()


@scenario
async def test_an_unsafe_write_that_never_ran_is_sent_again_then_refused() -> None:
    world = await World().start()
    client = await world.client()
    client.put("1", b"v", wait=900)
    sent = 0
    while True:
        ask = asyncio.ensure_future(world.origin.next())
        answer = asyncio.ensure_future(client.line())
        done, _ = await asyncio.wait({ask, answer}, return_when=asyncio.FIRST_COMPLETED)
        if answer in done:
            break
        sent += 1
        (await ask).respond(b"", 503, b"Not-Started: 1")
        answer.cancel()
        await asyncio.sleep(0)
    assert 1 <= sent <= 3
    assert answer.result().startswith(BUSY)


@scenario
async def test_the_first_of_two_copies_serves_and_the_other_reaches_nobody() -> None:
    read = api.RequestClass("read", aim=0.1)  # overdue at half of it
    world = await World(classes={"read": read}, aside=False).start()
    other = await Peer().start()
    await world.tell(world.cache.row("c"), other.row("d"), full=True)
    client = await world.client()
    client.get("1")
    peers = {asyncio.ensure_future(p.next()) for p in (world.cache, other)}
    done, _ = await asyncio.wait(peers)
    first, second = (task.result() for task in done)  # in either order
    second.reply_value(b"second")
    assert await client.value("1") == b"second"
    first.reply_value(b"first")
    client.send(b"mn\r\n")
    assert await client.line() == b"MN\r\n"


@scenario
async def test_values_of_the_largest_size_pass_whole() -> None:
    world = await World(aside=False).start()
    await world.tell(world.cache.row("c"), full=True)
    client = await world.client()
    value = bytes(range(256)) * 256
    client.put("1", value)
    got = await world.cache.next()
    assert got.value == value
    got.reply(b"HD O1 cr\r\n")
    assert await client.line() == b"HD O1 cr\r\n"
    client.get("2")
    (await world.cache.next()).reply_value(value)
    assert await client.value("2") == value


@scenario
async def test_no_more_is_read_from_a_client_that_does_not_read() -> None:
    world = await World().start()
    client = await world.client()
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    value, sent = b"x" * 65536, 0
    pending = asyncio.ensure_future(world.cache.next())
    while sent < 400:  # 25 MB, far more than the system's buffers and the router's bound hold
        client.get(str(sent))
        done, _ = await asyncio.wait({pending}, timeout=0.5)
        if not done:
            break
        pending.result().reply_value(value)
        pending = asyncio.ensure_future(world.cache.next())
        sent += 1
    assert sent < 400
    client.writer.transport.resume_reading()  # type: ignore[attr-defined]
    for n in range(sent):
        assert await client.value(str(n)) == value
    (await pending).reply_value(b"last")
    assert await client.value(str(sent)) == b"last"


# Lists


@scenario
async def test_a_router_with_nothing_but_draining_servers_is_not_ready() -> None:
    world = await World().start()
    await world.tell(world.cache.row("c", state="terminating"), full=True)
    client = await world.client()
    client.send(b"mn\r\n")
    assert await client.line() == b"SERVER_ERROR not ready\r\n"


@scenario
async def test_nothing_new_goes_to_a_draining_server_and_its_idle_connections_close() -> None:
    world = await World().start()
    client = await world.client()
    client.get("1")
    (await world.cache.next()).reply_value(b"v")
    await client.value("1")
    client.get("2")
    out = await world.cache.next()
    other = await Peer().start()
    await world.tell(world.cache.row("c", state="terminating"), other.row("d"))
    client.get("3")
    (await other.next()).reply_value(b"three")
    out.reply_value(b"two")  # what was out may end
    assert [await client.value(n) for n in "23"] == [b"two", b"three"]
    await world.cache.ended.acquire()
    assert world.cache.messages.empty()


@scenario
async def test_a_full_list_removes_what_it_lacks() -> None:
    world = await World().start()
    other = await Peer().start()
    await world.tell(other.row("d"), full=True)
    client = await world.client()
    client.get("1")
    (await other.next()).reply_value(b"v")
    assert await client.value("1") == b"v"


@scenario
async def test_a_restart_voids_old_connections() -> None:
    world = await World(ramp=1e-6).start()  # no time of warming up, in which little is sent
    client = await world.client()
    client.get("1")
    (await world.cache.next()).reply_value(b"v")
    await client.value("1")
    await world.tell(world.cache.row("c", started_ms=time.time() * 1000))
    await world.cache.ended.acquire()
    client.get("2")
    (await world.cache.next()).reply_value(b"w")
    assert await client.value("2") == b"w"
    assert world.cache.opened == 2


@scenario
async def test_a_server_is_known_by_its_id_and_may_move() -> None:
    world = await World().start()
    client = await world.client()
    client.get("1")
    (await world.cache.next()).reply_value(b"v")
    await client.value("1")
    moved = await Peer().start()
    await world.tell(moved.row("c"))
    client.get("2")
    (await moved.next()).reply_value(b"w")
    assert await client.value("2") == b"w"


def test_a_step_of_the_wall_clock_makes_no_server_seem_restarted(monkeypatch: pytest.MonkeyPatch) -> None:
    reader, now = lists.ListReader(), time.time()
    row = {"id": "c", "addr": "127.0.0.1:9", "state": "in_service", "started_ms": (now - 60) * 1000}
    message = {"version": 1, "full": True, "servers": [row]}
    _, first, _ = reader.read(message)
    monkeypatch.setattr(time, "time", lambda: now - 5)
    _, second, _ = reader.read(message)
    assert first == second
    assert abs(time.monotonic() - 60 - first.entries[0].since) < 1
    row["started_ms"] = now * 1000
    _, third, _ = reader.read(message)
    assert third.entries[0].since > first.entries[0].since


def test_nothing_is_kept_of_servers_that_have_gone() -> None:
    reader = lists.ListReader()
    for n in range(5):
        row = {"id": str(n), "addr": "127.0.0.1:9", "started_ms": 1000.0}
        for state in ("in_service", "terminated"):
            reader.read({"version": n, "full": False, "servers": [{**row, "state": state}]})
    assert not reader._since


@scenario
@pytest.mark.parametrize(
    "body",
    [
        b"not json",
        b"[]",
        b'{"version":2}',
        b'{"version":2,"full":true,"servers":[7]}',
        b'{"version":2,"full":true,"servers":[{"id":"x","addr":"y","state":"in_service"}]}',
        b'{"version":2,"full":true,"servers":[{"id":"x","addr":"127.0.0.1:9","state":"odd"}]}',
    ],
)
async def test_a_malformed_list_is_ignored_whole(body: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "PAUSE", 0.0)
    world = await World().start()
    world.watch.respond(body)
    await world.discovery.next()  # asked anew
    client = await world.client()
    client.get("1")
    (await world.cache.next()).reply_value(b"v")
    assert await client.value("1") == b"v"


@scenario
async def test_a_hung_watch_is_given_up_and_the_last_list_stands(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "PAUSE", 0.0)
    monkeypatch.setattr(discovery, "PATIENCE", 0.1)
    monkeypatch.setattr(discovery, "WAIT_PUSHED", 0.1)
    world = await World().start()
    assert world.watch.head == b"GET /api/targets?index=1&wait=100"
    again = await world.discovery.next()
    assert again.head == b"GET /api/targets"
    client = await world.client()
    client.get("1")
    (await world.cache.next()).reply_value(b"v")
    assert await client.value("1") == b"v"
    other = await Peer().start()
    again.respond_list(5, other.row("d"))
    assert (await world.discovery.next()).head == b"GET /api/targets?index=5&wait=100"
    client.get("2")
    (await other.next()).reply_value(b"w")
    assert await client.value("2") == b"w"


@scenario
async def test_where_discovery_is_asked_the_module_says_when(monkeypatch: pytest.MonkeyPatch) -> None:
    world = await World(subscribe=True, fall_window=0.05).start()
    world.watch.respond(b"", 503)
    assert (await world.discovery.next()).head == b"GET /api/targets"


@scenario
@pytest.mark.parametrize("how", ["stops short", "breaks off", "can't be read", "is no list", "is no HTTP"])
async def test_a_spoilt_answer_is_given_up_at_once_and_asked_for_again(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What it holds counts as told within seconds: it was waited for as long as for a watch."""
    monkeypatch.setattr(asked, "REST_PATIENCE", 0.05)
    # calls are minutes apart after one that failed, but not after one that was spoilt
    world = World(subscribe=True, routers=40, ramp=600.0, must_ask=600.0, fall_window=0.05)
    monkeypatch.setattr(asking, "SPREAD", 0.0)  # of the first call
    await world.start()
    world.node._host._router.asking.spread = 600.0
    half = orjson.dumps({"version": 2, "full": True, "servers": world.rows()})[:-9]
    head = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % (len(half) + 9)
    if how in ("stops short", "breaks off"):
        world.watch.reply(head + half)
        if how == "breaks off":
            world.watch.end()
    else:
        bad = {"can't be read": half, "is no list": b'{"version":2,"full":true,"servers":[{"id":"x"}]}'}
        world.watch.respond(bad[how]) if how in bad else world.watch.reply(b"\0" * 300)
    async with asyncio.timeout(5.0):
        assert (await world.discovery.next()).head == b"GET /api/targets"


@scenario
async def test_a_call_that_nothing_answers_is_given_up_in_time_for_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert discovery.ASKED_PATIENCE + 2.0 <= 6.0  # when what it has to tell counts as told
    monkeypatch.setattr(discovery, "ASKED_PATIENCE", 0.05)
    world = await World(subscribe=True, fall_window=0.05).start()
    world.watch.respond(b"", 503)
    assert (await world.discovery.next()).head == b"GET /api/targets"  # and nothing comes
    async with asyncio.timeout(5.0):
        assert (await world.discovery.next()).head == b"GET /api/targets"


# Bad input

P = b"Pc=read,t=x,d=500"


@scenario
@pytest.mark.parametrize(
    ("line", "answer"),
    [
        (b"get k", b"ERROR"),
        (b"", b"ERROR"),
        (b"stats load", b"ERROR"),
        (b"mg", b"CLIENT_ERROR bad command line"),
        (b"mg k", b"CLIENT_ERROR bad flags"),
        (b"mg k v O1", b"CLIENT_ERROR bad flags"),
        (b"mg k v " + P, b"CLIENT_ERROR bad flags"),
        (b"mg k O1 " + P, b"CLIENT_ERROR bad flags"),
        (b"mg k v q O1 " + P, b"CLIENT_ERROR bad flags"),
        (b"mg k v O1 O2 " + P, b"CLIENT_ERROR bad flags"),
        (b"mg " + b"k" * 251 + b" v O1 " + P, b"CLIENT_ERROR bad key"),
        (b"mg k\xff v O1 " + P, b"CLIENT_ERROR bad key"),
        (b"mg  v O1 " + P, b"CLIENT_ERROR bad key"),
        (b"mg k v O1 Pc=read,t=x\x01,d=5", b"CLIENT_ERROR bad flags"),
        (b"mg k v O1 Pc=read,t=x\r,d=5", b"CLIENT_ERROR bad flags"),
        (b"mg k v O1 Pc=read,t=x", b"CLIENT_ERROR missing d"),
        (b"mg k v O1 Pt=x,d=5", b"CLIENT_ERROR missing c"),
        (b"mg k v O1 Pc=read,d=5", b"CLIENT_ERROR missing t"),
        (b"mg k v O1 Pc=read,t=x,d=soon", b"CLIENT_ERROR bad d"),
        (b"mg k v O1 Pc=read,t=x,d=-1", b"CLIENT_ERROR bad d"),
        (b"mg k v O1 Pc=read,t=x,d=1e300", b"CLIENT_ERROR bad d"),
        (b"mg k v O1 Pc=read,t=x,d=5,h=nan", b"CLIENT_ERROR bad h"),
        (b"mg k v O1 Pc=read,t=x,d=5_0", b"CLIENT_ERROR bad d"),
        (b"mg k v O1 Pc=read,t=x,d=+5", b"CLIENT_ERROR bad d"),
        (b"mg k v O1 Pc=read,t=x,d=050", b"CLIENT_ERROR bad d"),
        (b"mg k v O1 Pc=read,t=x,d=", b"CLIENT_ERROR bad d"),
        (b"mg k v O1 Pc=read,t=x,d=9000001", b"CLIENT_ERROR bad d"),
        (b"mg k v O1 Pc=read,t=x,d=5,d=6", b"CLIENT_ERROR bad list of names and values"),
        (b"mg k v O1 Pc=read,t=x,d=5,z=6", b"CLIENT_ERROR bad list of names and values"),
        (b"mg k v O1 Pc=read,t=x,d=5,size=1e3", b"CLIENT_ERROR bad size"),
        (b"mg k v O1 Pc=read,t=x,d=5,r=2", b"CLIENT_ERROR bad r"),
        (b"mg k v O1 Pc=read,t=,d=5", b"CLIENT_ERROR bad t"),
        (b"mg k v O1 Pc=read,t=x,d=5,oops", b"CLIENT_ERROR bad list of names and values"),
        (b"mg k v O1 Pc=odd,t=x,d=5", b"CLIENT_ERROR unknown class"),
        (b"ms k 1 O1 Pc=once,t=x\r\nv", b"CLIENT_ERROR missing d"),
    ],
)
async def test_a_bad_line_gets_an_error_line_and_goes_no_further(line: bytes, answer: bytes) -> None:
    world = await World().start()
    client = await world.client()
    client.send(line + b"\r\n")
    assert await client.line() == answer + b"\r\n"
    client.get("2")  # framing is kept
    got = await world.cache.next()
    assert got.flag == b"O2"
    got.reply_value(b"v")
    assert await client.value("2") == b"v"


@scenario
@pytest.mark.parametrize(
    ("data", "answer"),
    [
        (b"x" * 5000, b"CLIENT_ERROR line too long"),
        (b"ms k\r\n", b"CLIENT_ERROR bad command line"),
        (b"ms k many O1 " + P + b"\r\n", b"CLIENT_ERROR bad data length"),
        (b"ms k 4194305 O1 " + P + b"\r\n", b"CLIENT_ERROR value too large"),
        (b"ms k -1 O1 " + P + b"\r\n", b"CLIENT_ERROR bad data length"),
        (b"ms k 99999999999 O1 " + P + b"\r\n", b"CLIENT_ERROR bad data length"),
        (b"ms k 2 O1 " + P + b"\r\nvalue\r\n", b"CLIENT_ERROR bad data chunk"),
    ],
)
async def test_lost_framing_ends_the_connection(data: bytes, answer: bytes) -> None:
    world = await World().start()
    client = await world.client()
    client.send(data)
    assert await client.line() == answer + b"\r\n"
    client.get("2")  # not read as a command any more
    assert await client.ended()
    assert world.cache.messages.empty()


@scenario
async def test_an_id_in_use_is_turned_down_and_the_first_is_served() -> None:
    world = await World().start()
    client, other = await world.client(), await world.client()
    client.get("1")
    got = await world.cache.next()
    other.get("1")
    assert await other.line() == b"CLIENT_ERROR id in use\r\n"
    got.reply_value(b"v")
    assert await client.value("1") == b"v"
