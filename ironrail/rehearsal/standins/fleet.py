"""All grid caches of a run: who is up, what the list says of each, and where answers are stored."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from ironrail.rehearsal.account.record import Ended
from ironrail.rehearsal.scenario.names import cache_names
from ironrail.rehearsal.standins.cache_server import GridCache
from ironrail.rehearsal.standins.endpoint_list import Row
from ironrail.rehearsal.standins.registry import Registry
from ironrail.rehearsal.standins.world import World

KIND, ORIGIN_KIND = "cache", "origin"
STORED_AT = 2  # of the caches that missed for a request, so many keep its answer


class Fleet:
    """The caches, and the registry that lists them."""

    def __init__(self, world: World, caches: dict[str, GridCache], registry: Registry) -> None:
        self._world, self.caches, self._registry = world, caches, registry
        self._loop = asyncio.get_running_loop()
        self._conf = world.scenario.registry
        self._away: dict[str, set[object]] = {name: set() for name in caches}  # why it does not run
        self._frozen: dict[str, set[object]] = {name: set() for name in caches}
        self._drains: dict[str, set[object]] = {name: set() for name in caches}
        self._rows = {name: registry.rows[name] for name in caches}
        self._by_id = dict(caches)
        world.on_miss_filled = self._fill
        world.on_write = self._void

    # What is kept

    def _fill(self, request: str, key: str, size: int) -> None:
        """An answer of the archive is stored where the request missed."""
        one = self._world.record.tries.get(request)
        missed = [a.server for a in one.attempts if a.ended is Ended.MISS] if one is not None else []
        for name in missed[:STORED_AT]:
            cache = self._by_id[name]
            if cache.id == name and not self._away[cache.name]:
                cache.store.put(key, size)

    def _void(self, key: str) -> None:
        for cache in self.caches.values():
            cache.store.drop(key)

    # What happens to caches. Causes add up: one is back when the last of them has ended.

    def vanish(self, name: str, cause: object) -> None:
        """The machine goes silent: nothing is reset, nothing answered."""
        first = not self._away[name]
        self._away[name].add(cause)
        for door in self.caches[name].doors.values():
            door.begin_silence(cause)
        if first:
            self._loop.call_later(self._conf.silent_notice, self._note_gone, name)

    def stop(self, name: str, cause: object) -> None:
        """The process ends: connections are reset, new ones refused."""
        first = not self._away[name]
        self._away[name].add(cause)
        self.caches[name].die()
        for door in self.caches[name].doors.values():
            door.shut()
        if first:
            self._loop.call_later(self._conf.notice, self._note_gone, name)

    def back(self, name: str, cause: object) -> None:
        """A cause has ended; with the last one a new process starts, cold and empty."""
        cache = self.caches[name]
        self._away[name].discard(cause)
        back = not self._away[name]
        if back:
            cache.die()
        for door in cache.doors.values():
            door.end_silence(cause)  # each its own, or the one that ended first would last for good
            if back:
                door.open()
        if not back:
            return
        cache.come_back()
        self._rows[name] = replace(self._rows[name], started_ms=int(self._world.wall() * 1000))
        cache.started_ms = self._rows[name].started_ms
        state = "terminating" if self._drains[name] else "in_service"
        self._list(name, state, self._conf.add)

    def succeeded(self, name: str, cause: object) -> None:
        """Another machine takes its place for good: at its address, with an id of its own, cold and empty."""
        if self._away[name] - {cause}:  # something else holds it down: it will be this machine that returns
            self._away[name].discard(cause)
            return
        cache = self.caches[name]
        self._list(name, "terminated", 0.0)
        cache.id = f"{name}-{sum(other is cache for other in self._by_id.values()) + 1}"
        self._by_id[cache.id] = cache
        self._rows[name] = replace(self._rows[name], id=cache.id)
        self.back(name, cause)

    def drain(self, name: str, cause: object) -> None:
        """The list is to say that it drains; it goes on with what it has."""
        self._drains[name].add(cause)
        self._list(name, "terminating", self._conf.notice)

    def drained(self, name: str, cause: object) -> None:
        """It ends, and a new process takes its place."""
        self._drains[name].discard(cause)
        if self._drains[name] or self._away[name]:
            return
        self._list(name, "terminated", 0.0)
        self.back(name, cause)

    def freeze(self, name: str, cause: object, frozen: bool) -> None:
        """Stand still, or go on when nothing else holds it."""
        (self._frozen[name].add if frozen else self._frozen[name].discard)(cause)
        self.caches[name].work.freeze(bool(self._frozen[name]))

    def hang(self, name: str, cause: object) -> None:
        """Answer nothing from now on, though connections come up; the list says nothing of it."""
        self.caches[name].begin_hang(cause)
        self.freeze(name, cause, True)

    def hung(self, name: str, cause: object) -> None:
        """It goes on."""
        self.freeze(name, cause, False)
        self.caches[name].end_hang(cause)

    def _note_gone(self, name: str) -> None:
        if self._away[name]:
            self._list(name, "terminated", 0.0)

    def _list(self, name: str, state: str, after: float) -> None:
        self._registry.change(replace(self._rows[name], state=state), after)

    def close(self) -> None:
        for cache in self.caches.values():
            cache.close()


def make_caches(world: World, routers: list[str]) -> dict[str, GridCache]:
    """The caches of a scenario, some faster than others."""
    conf = world.scenario.caches
    names = cache_names(world.scenario)
    caches = {}
    for i, name in enumerate(names):
        tilt = 2 * i / (len(names) - 1) - 1 if len(names) > 1 else 0.0
        caches[name] = GridCache(world, name, conf.speed * (1 - conf.uneven * tilt), routers)
    return caches


def rows_of(world: World, caches: dict[str, GridCache], archive_addresses: dict[str, str]) -> list[Row]:
    """The list as it stands at the start."""
    rows = [
        Row(name, cache.hall, KIND, addresses={r: d.address for r, d in cache.doors.items()})
        for name, cache in caches.items()
    ]
    return [*rows, Row("archive", "", ORIGIN_KIND, addresses=archive_addresses)]
