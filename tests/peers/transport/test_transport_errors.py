"""Settings of an operator that can't be used are refused, with advice on what to do."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from ironrail.errors import InputError, all_errors
from ironrail.peers.transport import errors
from ironrail.peers.transport.datagram_codec import DatagramCodec
from ironrail.peers.transport.keys import KeyRing
from tests.datagram_harness import KEYS, NEW, OLD, counted_random_bytes

CASES: list[tuple[type[InputError], Callable[[], object]]] = [
    (errors.SecretError, lambda: KeyRing(1, {1: bytes(15)})),
    (errors.SecretError, lambda: KeyRing(1, {1: OLD, 2: bytes(65)})),
    (errors.KeyIdError, lambda: KeyRing(2, {1: OLD})),
    (errors.KeyIdError, lambda: KeyRing(256, {256: OLD})),
    (errors.KeyIdError, lambda: KeyRing(1, {})),
    (errors.KeyIdError, lambda: KeyRing(1, {1: OLD, 2: NEW, 3: NEW + OLD})),
    (errors.PeerTableError, lambda: DatagramCodec(0, 1, KEYS, 1, counted_random_bytes(""))),
    (errors.PeerTableError, lambda: DatagramCodec(0, 1, KEYS, 1001, counted_random_bytes(""))),
    (errors.PeerTableError, lambda: DatagramCodec(2, 1, KEYS, 2, counted_random_bytes(""))),
    (errors.PeerTableError, lambda: DatagramCodec(-1, 1, KEYS, 2, counted_random_bytes(""))),
    (errors.IncarnationError, lambda: DatagramCodec(0, 0, KEYS, 2, counted_random_bytes(""))),
    (errors.IncarnationError, lambda: DatagramCodec(0, 2**48, KEYS, 2, counted_random_bytes(""))),
]


@pytest.mark.parametrize(("kind", "make"), CASES)
def test_refused(kind: type[InputError], make: Callable[[], object]) -> None:
    with pytest.raises(kind) as raised:
        make()
    assert raised.value.location and kind.advice in raised.value.with_advice()
    assert OLD.decode() not in raised.value.with_advice()


@pytest.mark.parametrize("size", [16, 64])
def test_secrets_of_the_shortest_and_longest_size_are_accepted(size: int) -> None:
    assert 1 in KeyRing(1, {1: bytes(size)})


def test_each_kind_has_its_own_advice() -> None:
    kinds = [kind for kind in all_errors(InputError) if kind.__module__ == errors.__name__]
    assert len(kinds) == 6 and len({kind.advice for kind in kinds}) == 6
