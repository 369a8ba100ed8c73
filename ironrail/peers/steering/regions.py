"""Regions: groups of clients, defined by address ranges in the operator's file.

An address in the ranges of several regions belongs to the one with the longest prefix. An address
outside of all ranges, and text that is no address, belong to `UNKNOWN_REGION`, which is served like
any other region but can't be steered. No I/O.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_right
from collections.abc import Mapping
from ipaddress import IPv4Network, IPv6Network, ip_address, ip_network

from ironrail.errors import InputError

UNKNOWN_REGION = ""  # of all addresses outside the configured ranges
MAX_REGIONS = 256  # with the unknown one: a region's number takes one byte on the wire
MAX_RANGES = 4096  # of all regions together: about a megabyte
MAX_NAME_LENGTH = 64  # characters, as in the rows of a policy
MAX_CACHED_ADDRESSES = 4096  # half a megabyte; front ends connect repeatedly from one address
_IPV4_MAPPED = ip_network("::ffff:0:0/96")  # how a dual-stack socket shows an IPv4 address
_IPV4_OFFSET = 1 << 128  # IPv4 follows all of IPv6 in the combined address space that is searched


class RegionsError(InputError):
    """Invalid region definitions. None of them is used."""

    advice = "Name each region once, with ranges like 192.0.2.0/24, none of them in two regions."


class Regions:
    """The regions by number, and the lookup of an address.

    Attributes:
        names: Names by number; the first is `UNKNOWN_REGION`.
        numbers: Numbers by name.
        digest: Hash of all definitions. Routers only accept each other's reports if it is the same.
    """

    def __init__(self, named: Mapping[str, object]) -> None:
        """Build the lookup table.

        Args:
            named: The list of address ranges of each region.

        Raises:
            RegionsError: There are too many regions or ranges, a name or a range is invalid, or two
                regions have the same range.
        """
        if len(named) >= MAX_REGIONS:
            raise RegionsError(
                f"{len(named)} regions are defined, at most {MAX_REGIONS - 1} are allowed",
                "regions",
            )
        self.names = (UNKNOWN_REGION, *sorted(named))
        self.numbers = {name: number for number, name in enumerate(self.names)}
        owners: dict[IPv4Network | IPv6Network, int] = {}
        for name, ranges in named.items():
            location = f"regions.{name}"
            if not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable():
                raise RegionsError(
                    f"a name must have 1 to {MAX_NAME_LENGTH} printable characters", location[:80]
                )
            if not isinstance(ranges, list | tuple) or not ranges:
                raise RegionsError("must be a list of address ranges", location)
            for text in ranges:
                network = _parse_network(text, location)
                if owners.setdefault(network, self.numbers[name]) != self.numbers[name]:
                    raise RegionsError(
                        f"{network} is also in {self.names[owners[network]]!r}", location
                    )
        if len(owners) > MAX_RANGES:
            raise RegionsError(
                f"{len(owners)} ranges are defined, at most {MAX_RANGES} are allowed", "regions"
            )
        self._starts, self._owners = _flatten(owners)
        definitions = "\n".join(
            (*self.names, *sorted(f"{network} {number}" for network, number in owners.items()))
        )
        self.digest = hashlib.blake2b(definitions.encode(), digest_size=4).digest()
        self._cache: dict[str, int] = {}

    def lookup(self, address: str) -> int:
        """Return the number of the region of an address, given as text without a port."""
        found = self._cache.get(address)
        if found is None:
            try:
                found = self._owners[bisect_right(self._starts, _address_index(address)) - 1]
            except ValueError:
                return 0  # not cached: invalid addresses must not displace valid ones
            if len(self._cache) >= MAX_CACHED_ADDRESSES:
                self._cache.clear()  # cheaper than LRU order; busy front ends soon return
            self._cache[address] = found
        return found

    def lookup_name(self, address: str) -> str:
        """Return the name of the region of an address."""
        return self.names[self.lookup(address)]


def _parse_network(text: object, location: str) -> IPv4Network | IPv6Network:
    if not isinstance(text, str):
        raise RegionsError(f"{text!r} is not a string", location)
    try:
        network = ip_network(text)
    except ValueError as error:
        raise RegionsError(str(error), location) from None
    if isinstance(network, IPv6Network) and network.subnet_of(_IPV4_MAPPED):  # type: ignore[arg-type]
        raise RegionsError(f"{text} must be written as an IPv4 range", location)
    return network


def _address_index(address: str) -> int:
    """Return the position in the combined address space; ValueError for an invalid address."""
    found = ip_address(address)
    if found.version == 4:
        return _IPV4_OFFSET + int(found)
    mapped = found.ipv4_mapped
    return int(found) if mapped is None else _IPV4_OFFSET + int(mapped)


def _flatten(owners: Mapping[IPv4Network | IPv6Network, int]) -> tuple[list[int], list[int]]:
    """Return the addresses at which the region changes, and the region from each of them on.

    Ranges either nest or are disjoint, so a stack of open ranges suffices; the innermost one wins.
    """
    spans = []
    for network, owner in owners.items():
        base = _IPV4_OFFSET if network.version == 4 else 0
        first = base + int(network.network_address)
        spans.append((first, -network.num_addresses, owner))
    starts, found, open_ranges = [0], [0], [(_IPV4_OFFSET * 2, 0)]

    def begin(at: int, owner: int) -> None:
        if starts[-1] == at:
            found[-1] = owner
        else:
            starts.append(at)
            found.append(owner)

    def close(until: int) -> None:
        while open_ranges[-1][0] <= until:
            end, _ = open_ranges.pop()
            begin(end, open_ranges[-1][1])

    for first, minus_size, owner in sorted(spans):
        close(first)
        begin(first, owner)
        open_ranges.append((first - minus_size, owner))
    close(_IPV4_OFFSET * 2 - 1)
    return starts, found
