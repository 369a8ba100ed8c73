"""Parses path names and tells which pairs of ends they cover. Does no I/O.

`router-1 > cache-2` covers traffic in one direction, `hall-a <> hall-b` in both. An end is a router, a cache,
`archive`, `discovery`, `clients`, or a group: a zone (its routers and caches), `routers`, `caches`, `all`.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from ironrail.errors import InputError
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import cache_names, router_names, zone_of

ARCHIVE, DISCOVERY, CLIENTS = "archive", "discovery", "clients"
PATH_PATTERN = re.compile(r"\s*([a-z0-9-]+)\s*(<?>)\s*([a-z0-9-]+)\s*")


class PathError(InputError):
    """A path names unknown ends, or carries no traffic."""

    advice = "Write it as `router-1 > cache-2` or `hall-a <> hall-b`, with names of the scenario"


@dataclass(frozen=True, slots=True)
class PathEnds:
    """All ends of a run, by name and group."""

    routers: frozenset[str]
    groups: dict[str, frozenset[str]]  # by name; a single end is a group of one

    @classmethod
    def of(cls, scenario: Scenario) -> PathEnds:
        routers, caches = router_names(scenario), cache_names(scenario)
        singles = [*routers, *caches, ARCHIVE, DISCOVERY, CLIENTS]
        groups = {name: frozenset({name}) for name in singles}
        for hall in scenario.halls.names:
            there = [
                n for names in (routers, caches) for i, n in enumerate(names) if zone_of(scenario, i) == hall
            ]
            groups[hall] = frozenset(there)
        groups |= {"routers": frozenset(routers), "caches": frozenset(caches), "all": frozenset(singles)}
        return cls(frozenset(routers), groups)


@dataclass(frozen=True, slots=True)
class Path:
    """Traffic from any of the sources to any of the targets; if `both`, also back."""

    sources: frozenset[str]
    targets: frozenset[str]
    both: bool

    def covers(self, source: str, target: str) -> bool:
        """Returns whether traffic from `source` to `target` is on the path."""
        there = source in self.sources and target in self.targets
        return there or self.both and source in self.targets and target in self.sources


def path_of(text: str, places: PathEnds) -> Path:
    """Parses a path; raises PathError if it is invalid."""
    found = PATH_PATTERN.fullmatch(text)
    if found is None:
        raise PathError(f"{text!r} is no path")
    for name in (found[1], found[3]):
        if name not in places.groups:
            raise PathError(f"{text!r}: nobody is called {name!r}")
    return Path(places.groups[found[1]], places.groups[found[3]], found[2] == "<>")


def between_routers(path: Path, places: PathEnds) -> bool:
    """Returns whether datagrams between routers take the path."""
    ours, theirs = path.sources & places.routers, path.targets & places.routers
    return bool(ours and theirs and len(ours | theirs) > 1)


def on_connections(path: Path, places: PathEnds) -> bool:
    """Returns whether connections between a router and another kind of end take the path."""
    ours, theirs = path.sources & places.routers, path.targets & places.routers
    return bool(ours and path.targets - places.routers or theirs and path.sources - places.routers)
