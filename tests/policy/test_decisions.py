"""Decisions on recorded event streams are unchanged, so that a refactoring that changes one fails.

After an intended change, `python -m tests.policy.decision_digests` writes new digests; the commit says why.
"""

from __future__ import annotations

import pytest

from tests.policy.decision_digests import FILE, SEEDS, VALUES_FILE, digest, value_digest

KNOWN = dict(line.split() for line in FILE.read_text().splitlines())
RENEW = "after an intended change: python -m tests.policy.decision_digests"
KNOWN_VALUES = dict(line.split() for line in VALUES_FILE.read_text().splitlines())


def test_a_digest_is_known_for_each_seed() -> None:
    assert list(KNOWN) == list(KNOWN_VALUES) == [str(seed) for seed in SEEDS]


@pytest.mark.parametrize("seed", SEEDS)
def test_the_same_events_get_the_same_actions(seed: int) -> None:
    assert digest(seed) == KNOWN[str(seed)], RENEW


@pytest.mark.parametrize("seed", SEEDS)
def test_the_same_events_get_the_same_values_whatever_types_are_called(seed: int) -> None:
    assert value_digest(seed) == KNOWN_VALUES[str(seed)], RENEW
