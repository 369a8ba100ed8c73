"""Policy documents and their conservative merge."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.errors import PolicyError

CONTEXT = p.ValidationContext(
    classes=frozenset("ab"),
    titles=frozenset("tu"),
    zones=frozenset("xyz"),
    regions=frozenset("rs"),
    constants={"low": p.Constant(0, 9, 4, "low"), "high": p.Constant(0, 9, 4, "high")},
)
fractions = st.sampled_from((0.0, 0.25, 0.5, 1.0))


def rows(names: str, values: st.SearchStrategy[float]) -> st.SearchStrategy[dict[str, float]]:
    return st.dictionaries(st.sampled_from(names), values)


policies = st.builds(
    p.Policy,
    version=st.integers(1, 3),
    rates=rows("tu", st.sampled_from((0.0, 10.0, 20.0))),
    shed=rows("ab", fractions),
    further=rows("ab", fractions),
    emptied=st.frozensets(st.sampled_from("x")),
    steering=st.dictionaries(st.sampled_from("rs"), rows("yz", st.sampled_from((0.2, 0.5)))),
    constants=st.dictionaries(st.sampled_from(("low", "high")), st.sampled_from((1.0, 4.0, 8.0))),
)  # fmt: skip


@given(policies, policies, policies)
def test_merge_is_commutative_associative_and_idempotent(
    one: p.Policy, other: p.Policy, third: p.Policy
) -> None:
    def merge(a: p.Policy, b: p.Policy) -> p.Policy:
        return p.merge_conservatively(a, b, CONTEXT)

    assert merge(one, one) == one
    assert merge(one, other) == merge(other, one)
    assert merge(merge(one, other), third) == merge(one, merge(other, third))


@given(policies)
def test_equal_policies_have_equal_bytes(policy: p.Policy) -> None:
    reordered = msgspec.structs.replace(
        policy, rates=dict(reversed(policy.rates.items())), steering=dict(reversed(policy.steering.items()))
    )
    assert p.encode(reordered) == p.encode(policy) and p.decode(p.encode(policy)) == policy
    assert p.digest(reordered) == p.digest(policy)
    assert p.check(policy, CONTEXT) is None


def test_merge_allows_what_both_allow() -> None:
    row = {"y": 0.5}
    steered, elsewhere = {"r": row, "s": {"z": 1.0}}, {"r": row, "s": {"y": 1.0}}
    high = {"low": 8.0, "high": 8.0}
    one = p.Policy(1, {"t": 5}, {"a": 0.5}, {"a": 0.2}, frozenset("x"), steered, high)
    rates = {"t": 3.0, "u": 9.0}
    other = p.Policy(2, rates, {"b": 0.1}, {"a": 0.1}, frozenset("z"), elsewhere, {"low": 2})
    merged = p.merge_conservatively(one, other, CONTEXT)
    assert (
        merged.rates == {"t": 3, "u": 9}
        and merged.shed == {"a": 0.5, "b": 0.1}
        and merged.further == {"a": 0.1}
    )
    assert merged.emptied == set("xz") and merged.steering == {"r": {"y": 0.5}}
    assert merged.constants == {"low": 2, "high": 8} and merged.version == 0


INVALID: list[tuple[dict[str, Any], str]] = [
    ({}, "version"),
    ({"version": 0}, "policy"),
    ({"version": 1, "more": 1}, "more"),
    ({"version": 1, "rates": {"t": -1}}, "policy"),
    ({"version": 1, "constants": {"low": float("nan")}}, "policy"),
    ({"version": 1, "shed": {"a": "much"}}, "policy"),
    ({"version": 1, "steering": {"r": {"y": 0.7, "z": 0.7}}}, "steering.r"),
    ({"version": 1, "steering": {"r": {"y": 0.7}}, "emptied": ["y"]}, "steering.r"),
    ({"version": 1, "rates": {"t" * 60 + str(i): 1.0 for i in range(100)}}, "policy"),
]


@pytest.mark.parametrize(("table", "where"), INVALID)
def test_invalid_documents_are_rejected(table: dict[str, Any], where: str) -> None:
    with pytest.raises(PolicyError) as raised:
        p.parse(table)
    assert raised.value.location == where


UNKNOWN_NAMES: list[tuple[dict[str, Any], str]] = [
    ({"rates": {"v": 1}}, "rates.v"),
    ({"shed": {"c": 1}}, "shed.c"),
    ({"further": {"c": 1}}, "further.c"),
    ({"emptied": ["w"]}, "halls.w"),
    ({"steering": {"q": {}}}, "steering.q"),
    ({"steering": {"r": {"w": 0}}}, "halls.w"),
    ({"constants": {"odd": 1}}, "constants.odd"),
    ({"constants": {"low": 10}}, "constants.low"),
]


@pytest.mark.parametrize(("table", "where"), UNKNOWN_NAMES)
def test_unknown_names_are_rejected(table: dict[str, Any], where: str) -> None:
    error = p.check(p.parse({"version": 1, **table}), CONTEXT)
    assert error and error.location == where


def test_other_encodings_are_rejected() -> None:
    data = p.encode(p.Policy(1, {"t": 1.0, "u": 1.0}))
    with pytest.raises(PolicyError):
        p.decode(data[:-1])
    with pytest.raises(PolicyError):
        p.decode(p._ENCODER.encode([1, {"t": 1}]))
