"""Malformed commands of clients, on real sockets."""

from __future__ import annotations

import pytest

from ironrail.settings import read_settings
from tests.peers import World, scenario

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
async def test_a_malformed_command_gets_an_error_and_is_not_forwarded(line: bytes, answer: bytes) -> None:
    world = await World().start()
    client = await world.client()
    client.send(line + b"\r\n")
    assert await client.line() == answer + b"\r\n"
    client.get("2")  # the framing is intact
    got = await world.cache.next()
    assert got.flag == b"O2"
    got.reply_value(b"v")
    assert await client.value("2") == b"v"


@scenario
async def test_a_request_names_no_tenant_where_none_are_configured() -> None:
    """Some deployments have no tenants; all of their requests were rejected."""
    assert not read_settings({"classes": [{"name": "read"}]}).names_tenants
    assert read_settings({"classes": [{"name": "read"}], "tenants": [{"name": "x"}]}).names_tenants
    world = await World(names_tenants=False).start()
    client = await world.client()
    client.send(b"mg k v O1 Pc=read,d=5000\r\n")
    got = await world.cache.next()
    assert got.flag == b"O1"
    got.reply(b"EN O1\r\n")
    fetch = await world.origin.next()
    assert fetch.headers["request-info"].startswith("c=read,d=")
    fetch.respond(b"v")
    assert await client.value("1") == b"v"


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
async def test_lost_framing_closes_the_connection(data: bytes, answer: bytes) -> None:
    world = await World().start()
    client = await world.client()
    client.send(data)
    assert await client.line() == answer + b"\r\n"
    client.get("2")  # no longer parsed as a command
    assert await client.ended()
    assert world.cache.messages.empty()


@scenario
async def test_a_duplicate_request_id_is_rejected_and_the_first_request_served() -> None:
    world = await World().start()
    client, other = await world.client(), await world.client()
    client.get("1")
    got = await world.cache.next()
    other.get("1")
    assert await other.line() == b"CLIENT_ERROR id in use\r\n"
    got.reply_value(b"v")
    assert await client.value("1") == b"v"
