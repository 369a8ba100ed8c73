"""Replies as bad servers send them. Pure but for the draws that it is given."""

from __future__ import annotations

import random

ENDLESS_LENGTH = 3 * 10**9  # bytes that an endless value is said to have
ENDLESS_PIECE = 64 * 1024
ENDLESS_PIECES = 64  # sent at the most: a bound of the kit's own


def spoil(good: bytes, draws: random.Random) -> bytes:
    """A reply that can't be read, or belongs to nobody."""
    forms = (
        lambda: bytes(draws.randrange(256) for _ in range(40)) + b"\r\n",
        lambda: b"VA minus O0 h1\r\n",
        lambda: b"VA 99999999999 O0 h1\r\n",
        lambda: b"HELLO " + good[:20].replace(b"\r\n", b" ") + b"\r\n",
        lambda: b"VA 5 O" + b"%016x" % draws.getrandbits(64) + b" h1\r\nstray\r\n",
        lambda: b"x" * 9000,  # a line that does not end
    )
    return forms[draws.randrange(len(forms))]()


def spoil_http(draws: random.Random) -> bytes:
    """The same of an HTTP response."""
    forms = (
        b"\x16\x03\x01 not http\r\n\r\n",
        b"HTTP/1.1 two hundred\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nno",
    )
    return forms[draws.randrange(len(forms))]


def surplus(good: bytes, draws: random.Random) -> bytes:
    """What comes behind a good reply and belongs to nobody: a second copy or noise."""
    return good if draws.random() < 0.5 else b"\x00noise\r\n"


def second_answer(good: bytes, draws: random.Random) -> bytes:
    """A second answer to the same command: a copy of the good one, or another value under the same id."""
    if draws.random() < 0.5:
        return good
    head, _, value = good.partition(b"\r\n")
    return head + b"\r\n" + b"?" * (len(value) - 2) + b"\r\n"
