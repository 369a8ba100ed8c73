"""Replies as faulty servers send them. No I/O; the random generator is passed in."""

from __future__ import annotations

import random

ENDLESS_VALUE_BYTES = 3 * 10**9  # the length that an endless value announces
ENDLESS_CHUNK_BYTES = 64 * 1024
MAX_ENDLESS_CHUNKS = 64  # bounds what is really sent of an endless value


def corrupt(good: bytes, draws: random.Random) -> bytes:
    """Returns a reply that is unreadable or belongs to no command."""
    forms = (
        lambda: bytes(draws.randrange(256) for _ in range(40)) + b"\r\n",
        lambda: b"VA minus O0 h1\r\n",
        lambda: b"VA 99999999999 O0 h1\r\n",
        lambda: b"HELLO " + good[:20].replace(b"\r\n", b" ") + b"\r\n",
        lambda: b"VA 5 O" + b"%016x" % draws.getrandbits(64) + b" h1\r\nstray\r\n",
        lambda: b"x" * 9000,  # a line without an end
    )
    return forms[draws.randrange(len(forms))]()


def corrupt_http(draws: random.Random) -> bytes:
    """Returns an unreadable HTTP response."""
    forms = (
        b"\x16\x03\x01 not http\r\n\r\n",
        b"HTTP/1.1 two hundred\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nno",
    )
    return forms[draws.randrange(len(forms))]


def surplus(good: bytes, draws: random.Random) -> bytes:
    """Returns bytes to follow a good reply that answer nothing: a copy of the reply, or noise."""
    return good if draws.random() < 0.5 else b"\x00noise\r\n"


def second_answer(good: bytes, draws: random.Random) -> bytes:
    """Returns a second answer: a copy of the good one, or another value with the same id."""
    if draws.random() < 0.5:
        return good
    head, _, value = good.partition(b"\r\n")
    return head + b"\r\n" + b"?" * (len(value) - 2) + b"\r\n"
