"""Bodies as rooms say them, spoilt: fields at their bounds, torn, spliced, grown; and bytes by chance."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from ironrail.peers.steering import reports as regions
from ironrail.peers.zone_latency import reports as latency
from tests.peers.fuzz.base import EDGES

MOST = 3696  # bytes that the wire carries at once


def spoil(draws: random.Random, body: bytes, others: list[bytes]) -> bytes:
    """Another body, near this one."""
    data = bytearray(body)
    for _ in range(draws.choice((1, 1, 2, 5))):
        at = draws.randrange(len(data) + 1)
        match draws.randrange(7):
            case 0:
                del data[at:]
            case 1 if at < len(data):
                data[at] ^= 1 << draws.randrange(8)
            case 2:
                data[at:at] = draws.randbytes(draws.choice((1, 2, 9)))
            case 3 if others:
                other = draws.choice(others)
                data[at:] = other[draws.randrange(len(other) + 1) :]
            case 4:
                data[at : at + draws.randrange(4)] = b""
            case 5:
                data[at:at] = bytes([draws.choice((0x91, 0x81, 0xFF, 0x80, 0))]) * draws.choice(
                    (3, 300, MOST)
                )
            case _ if at < len(data):
                data[at] = draws.choice((0, 1, 0x7F, 0x80, 0xFF, 0xC0, 0xCF, 0xCB))
    return bytes(data[:MOST])


def _leaves(tree: Any, path: tuple[int, ...] = ()) -> list[tuple[int, ...]]:
    found = [path]
    if isinstance(tree, list):
        for n, part in enumerate(tree):
            found += _leaves(part, (*path, n))
    return found


def _leaf(draws: random.Random, old: Any) -> Any:
    if isinstance(old, bool):
        return draws.choice((not old, 1, None))
    if isinstance(old, int):
        return draws.choice(
            (*EDGES, old + 1, max(0, old - 1), old + 2**32, old % 2**32, -1, draws.randrange(8))
        )
    if isinstance(old, float):
        return draws.choice((0.0, 1e-9, 1.0, 3600.0, 1e308, float("nan"), float("inf"), -1.0))
    if isinstance(old, bytes):
        return draws.choice((draws.randbytes(16), b"", bytes(15), bytes(17), bytes(3000), old[:-1] + b"x"))
    if isinstance(old, str):
        return draws.choice(("", "a" * 3000, "\x00", "\ud7ff" * 20))
    return draws.choice((None, 0, [], [1, 1, "x" * 3000], [0, [0]], b"", True))


def spoil_packed(draws: random.Random, body: bytes, others: list[bytes]) -> bytes:
    """The same of MessagePack arrays: a field replaced, dropped, doubled, or from another message."""
    try:
        tree = msgspec.msgpack.decode(body)
        spare = msgspec.msgpack.decode(draws.choice(others)) if others else [0]
    except (msgspec.MsgspecError, RecursionError):
        return spoil(draws, body, others)
    for _ in range(draws.choice((1, 1, 2, 4))):
        try:
            path = draws.choice(_leaves(tree))
        except RecursionError:
            return body
        if not path:
            continue
        place = tree
        for n in path[:-1]:
            place = place[n]
        match draws.randrange(8):
            case 0:
                del place[path[-1]]
            case 1:
                place.insert(path[-1], place[path[-1]])
            case 2 if isinstance(spare, list):
                part = spare
                for n in draws.choice(_leaves(spare[:20])):
                    part = part[n]
                place[path[-1]] = part
            case 3:
                place[path[-1]] = [draws.choice(EDGES)] * draws.choice((0, 2, 3, 5, 300))
            case _:
                place[path[-1]] = _leaf(draws, place[path[-1]])
    try:
        return msgspec.msgpack.encode(tree)[:MOST]
    except (OverflowError, RecursionError):
        return body


def _edge(draws: random.Random, bound: int) -> int:
    """Below the bound, mostly near an end."""
    return min(bound - 1, draws.choice((0, 1, 2, bound - 1, bound - 2, draws.randrange(bound))))


def latency_body(draws: random.Random, routers: int, halls: int) -> bytes:
    """Reports in their form, whatever they say."""
    starts, words = draws.choice((4, latency.MOST_START)), []
    for _ in range(draws.choice((1, 3, 20, 700))):
        values = draws.choice((1, 2, 3)) << 16 | draws.randrange(1 << 16)
        age = draws.choice((0.0, 0.0, draws.random() * 100, latency.MOST_AGE * latency.AGE_UNIT))
        words.append(
            latency.Report(
                draws.randrange(routers), _edge(draws, starts), draws.randrange(halls),
                _edge(draws, draws.choice((9, latency.MOST_SEQUENCE))), values, age,
            )
        )  # fmt: skip
    return latency.encode(words, draws.choice((latency.MOST_BODY, MOST)))[0]


def regions_body(draws: random.Random, routers: int, count: int, digest: bytes) -> bytes:
    """The same of regions."""
    starts, words = draws.choice((4, regions.MAX_INCARNATION)), []
    for _ in range(draws.choice((1, 3, 20, 700))):
        mask = draws.randrange(64)
        head = draws.randrange(1 << 26) << 6 | mask
        values = head.to_bytes(4, "big") + draws.randbytes(2 * mask.bit_count())
        words.append(
            regions.RegionReport(
                draws.randrange(routers), _edge(draws, starts), draws.randrange(count),
                _edge(draws, draws.choice((9, regions.MAX_SEQUENCE))), values,
                draws.choice((0.0, 0.0, draws.random() * 1000, float(regions.MAX_AGE))),
            )
        )  # fmt: skip
    return regions.encode(digest, words, draws.choice((regions.MAX_BODY_BYTES, MOST)))[0]
