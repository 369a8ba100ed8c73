"""What an operator gives that can't be used is refused, with what can be done."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from ironrail.errors import InputError, all_errors
from ironrail.peers.transport import errors
from ironrail.peers.transport.keys import Keys
from ironrail.peers.transport.datagram_codec import Wire
from tests.datagram_harness import KEYS, NEW, OLD, draws

CASES: list[tuple[type[InputError], Callable[[], object]]] = [
    (errors.SecretError, lambda: Keys(1, {1: bytes(15)})),
    (errors.SecretError, lambda: Keys(1, {1: OLD, 2: bytes(65)})),
    (errors.KeyIdError, lambda: Keys(2, {1: OLD})),
    (errors.KeyIdError, lambda: Keys(256, {256: OLD})),
    (errors.KeyIdError, lambda: Keys(1, {})),
    (errors.KeyIdError, lambda: Keys(1, {1: OLD, 2: NEW, 3: NEW + OLD})),
    (errors.TierError, lambda: Wire(0, 1, KEYS, 1, draws(""))),
    (errors.TierError, lambda: Wire(0, 1, KEYS, 1001, draws(""))),
    (errors.TierError, lambda: Wire(2, 1, KEYS, 2, draws(""))),
    (errors.TierError, lambda: Wire(-1, 1, KEYS, 2, draws(""))),
    (errors.StartError, lambda: Wire(0, 0, KEYS, 2, draws(""))),
    (errors.StartError, lambda: Wire(0, 2**48, KEYS, 2, draws(""))),
]


@pytest.mark.parametrize(("kind", "make"), CASES)
def test_refused(kind: type[InputError], make: Callable[[], object]) -> None:
    with pytest.raises(kind) as told:
        make()
    assert told.value.location and kind.advice in told.value.with_advice()
    assert OLD.decode() not in told.value.with_advice()


@pytest.mark.parametrize("size", [16, 64])
def test_secrets_of_all_sizes_are_taken(size: int) -> None:
    assert 1 in Keys(1, {1: bytes(size)})


def test_each_kind_has_its_advice() -> None:
    kinds = [kind for kind in all_errors(InputError) if kind.__module__ == errors.__name__]
    assert len(kinds) == 6 and len({kind.advice for kind in kinds}) == 6
