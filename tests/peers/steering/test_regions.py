"""Regions by address ranges."""

import ipaddress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.peers.steering.regions import MAX_CACHED_ADDRESSES, MAX_REGIONS, Regions, RegionsError

NETWORKS = st.one_of(
    st.builds(
        lambda a, p: str(ipaddress.ip_network((a, p), strict=False)),
        st.integers(0, 2**6 - 1).map(lambda n: n << 26),
        st.integers(0, 9),
    ),
    st.builds(
        lambda a, p: str(ipaddress.ip_network((a, p), strict=False)),
        st.integers(0, 2**6 - 1).map(lambda n: n << 122),
        st.integers(0, 9),
    ),
)


@given(
    st.dictionaries(NETWORKS, st.sampled_from("abcd"), min_size=1),
    st.lists(st.integers(0, 2**10 - 1), max_size=20),
    st.booleans(),
)
def test_longest_prefix_wins(owners: dict[str, str], spots: list[int], six: bool) -> None:
    named: dict[str, object] = {}
    for network, owner in owners.items():
        named.setdefault(owner, []).append(network)  # type: ignore[attr-defined]
    regions = Regions(named)
    for spot in spots:
        address = ipaddress.IPv6Address(spot << 118) if six else ipaddress.IPv4Address(spot << 22)
        fits = [(n.prefixlen, o) for t, o in owners.items() if address in (n := ipaddress.ip_network(t))]
        for _ in range(2):  # the second time from the cache
            assert regions.lookup_name(str(address)) == max(fits, default=(0, ""))[1]


def test_mapped_ipv6_and_invalid_addresses() -> None:
    regions = Regions({"north": ["192.0.2.0/24"], "all six": ["::/0"]})
    assert regions.lookup_name("::ffff:192.0.2.7") == "north"
    assert regions.lookup_name("2001:db8::1") == "all six"
    assert [regions.lookup_name(a) for a in ("203.0.113.1", "nonsense", "", "192.0.2.1:80")] == [""] * 4


def test_cache_is_bounded() -> None:
    regions = Regions({"north": ["10.0.0.0/8"]})
    for n in range(3 * MAX_CACHED_ADDRESSES):
        regions.lookup(str(ipaddress.IPv4Address((10 << 24) + n)))
        regions.lookup(f"rubbish {n}")
    assert len(regions._cache) <= MAX_CACHED_ADDRESSES


@pytest.mark.parametrize(
    "named",
    [
        {"a": ["10.0.0.1/8"]},
        {"a": ["x"]},
        {"a": []},
        {"a": "10.0.0.0/8"},
        {"a": [7]},
        {"": ["10.0.0.0/8"]},
        {"a" * 65: ["10.0.0.0/8"]},
        {"a": ["10.0.0.0/8"], "b": ["10.0.0.0/8"]},
        {"a": ["::ffff:10.0.0.0/104"]},
        {f"r{n}": [f"10.{n}.0.0/16"] for n in range(MAX_REGIONS)},
    ],
)
def test_invalid_definitions_are_rejected(named: dict[str, object]) -> None:
    with pytest.raises(RegionsError) as caught:
        Regions(named)
    assert "regions" in caught.value.location and caught.value.advice in caught.value.with_advice()
