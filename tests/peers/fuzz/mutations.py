"""Mutates valid message bodies: fields at their bounds, truncated, spliced, extended; and random bytes."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from ironrail.peers.steering import reports as regions
from ironrail.peers.zone_latency import reports as latency
from tests.peers.fuzz.harness import EDGES

MAX_BODY_BYTES = 3696  # the longest body that the transport carries


def mutate(rng: random.Random, body: bytes, others: list[bytes]) -> bytes:
    """Return a mutation of the body.

    Args:
        rng: The random numbers.
        body: The body.
        others: Other bodies, to splice with.
    """
    data = bytearray(body)
    for _ in range(rng.choice((1, 1, 2, 5))):
        at = rng.randrange(len(data) + 1)
        match rng.randrange(7):
            case 0:
                del data[at:]
            case 1 if at < len(data):
                data[at] ^= 1 << rng.randrange(8)
            case 2:
                data[at:at] = rng.randbytes(rng.choice((1, 2, 9)))
            case 3 if others:
                other = rng.choice(others)
                data[at:] = other[rng.randrange(len(other) + 1) :]
            case 4:
                data[at : at + rng.randrange(4)] = b""
            case 5:
                data[at:at] = bytes([rng.choice((0x91, 0x81, 0xFF, 0x80, 0))]) * rng.choice(
                    (3, 300, MAX_BODY_BYTES)
                )
            case _ if at < len(data):
                data[at] = rng.choice((0, 1, 0x7F, 0x80, 0xFF, 0xC0, 0xCF, 0xCB))
    return bytes(data[:MAX_BODY_BYTES])


def _leaves(tree: Any, path: tuple[int, ...] = ()) -> list[tuple[int, ...]]:
    found = [path]
    if isinstance(tree, list):
        for n, part in enumerate(tree):
            found += _leaves(part, (*path, n))
    return found


def _leaf(rng: random.Random, old: Any) -> Any:
    if isinstance(old, bool):
        return rng.choice((not old, 1, None))
    if isinstance(old, int):
        return rng.choice((*EDGES, old + 1, max(0, old - 1), old + 2**32, old % 2**32, -1, rng.randrange(8)))
    if isinstance(old, float):
        return rng.choice((0.0, 1e-9, 1.0, 3600.0, 1e308, float("nan"), float("inf"), -1.0))
    if isinstance(old, bytes):
        return rng.choice((rng.randbytes(16), b"", bytes(15), bytes(17), bytes(3000), old[:-1] + b"x"))
    if isinstance(old, str):
        return rng.choice(("", "a" * 3000, "\x00", "\ud7ff" * 20))
    return rng.choice((None, 0, [], [1, 1, "x" * 3000], [0, [0]], b"", True))


def mutate_msgpack(rng: random.Random, body: bytes, others: list[bytes]) -> bytes:
    """Return a mutation of a body of MessagePack arrays.

    A field is replaced, removed, duplicated, or taken from another message.
    """
    try:
        tree = msgspec.msgpack.decode(body)
        donor = msgspec.msgpack.decode(rng.choice(others)) if others else [0]
    except (msgspec.MsgspecError, RecursionError):
        return mutate(rng, body, others)
    for _ in range(rng.choice((1, 1, 2, 4))):
        try:
            path = rng.choice(_leaves(tree))
        except RecursionError:
            return body
        if not path:
            continue
        parent = tree
        for n in path[:-1]:
            parent = parent[n]
        match rng.randrange(8):
            case 0:
                del parent[path[-1]]
            case 1:
                parent.insert(path[-1], parent[path[-1]])
            case 2 if isinstance(donor, list):
                part = donor
                for n in rng.choice(_leaves(donor[:20])):
                    part = part[n]
                parent[path[-1]] = part
            case 3:
                parent[path[-1]] = [rng.choice(EDGES)] * rng.choice((0, 2, 3, 5, 300))
            case _:
                parent[path[-1]] = _leaf(rng, parent[path[-1]])
    try:
        return msgspec.msgpack.encode(tree)[:MAX_BODY_BYTES]
    except (OverflowError, RecursionError):
        return body


def _edge(rng: random.Random, bound: int) -> int:
    """Return a number below the bound, mostly near 0 or the bound."""
    return min(bound - 1, rng.choice((0, 1, 2, bound - 1, bound - 2, rng.randrange(bound))))


def latency_body(rng: random.Random, num_routers: int, num_zones: int) -> bytes:
    """Return well-formed latency reports with random values."""
    incarnation_bound, records = rng.choice((4, latency.MAX_INCARNATION)), []
    for _ in range(rng.choice((1, 3, 20, 700))):
        values = rng.choice((1, 2, 3)) << 16 | rng.randrange(1 << 16)
        age = rng.choice((0.0, 0.0, rng.random() * 100, latency.MAX_AGE_UNITS * latency.AGE_UNIT_SECONDS))
        records.append(
            latency.LinkReport(
                rng.randrange(num_routers), _edge(rng, incarnation_bound), rng.randrange(num_zones),
                _edge(rng, rng.choice((9, latency.MAX_SEQUENCE))), values, age,
            )
        )  # fmt: skip
    return latency.encode(records, rng.choice((latency.MAX_BODY_BYTES, MAX_BODY_BYTES)))[0]


def regions_body(rng: random.Random, num_routers: int, num_regions: int, digest: bytes) -> bytes:
    """Return well-formed region reports with random values."""
    incarnation_bound, records = rng.choice((4, regions.MAX_INCARNATION)), []
    for _ in range(rng.choice((1, 3, 20, 700))):
        mask = rng.randrange(64)
        header = rng.randrange(1 << 26) << 6 | mask
        values = header.to_bytes(4, "big") + rng.randbytes(2 * mask.bit_count())
        records.append(
            regions.RegionReport(
                rng.randrange(num_routers), _edge(rng, incarnation_bound), rng.randrange(num_regions),
                _edge(rng, rng.choice((9, regions.MAX_SEQUENCE))), values,
                rng.choice((0.0, 0.0, rng.random() * 1000, float(regions.MAX_AGE))),
            )
        )  # fmt: skip
    return regions.encode(digest, records, rng.choice((regions.MAX_BODY_BYTES, MAX_BODY_BYTES)))[0]
