"""All caches of a run: their faults, their rows in the endpoint list, and what they store."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from ironrail.rehearsal.account.record import Ended
from ironrail.rehearsal.scenario.names import cache_names
from ironrail.rehearsal.standins.cache_server import CacheServer
from ironrail.rehearsal.standins.endpoint_list import EndpointRow
from ironrail.rehearsal.standins.registry import Registry
from ironrail.rehearsal.standins.world import World

CACHE_KIND, ORIGIN_KIND = "cache", "origin"
MAX_COPIES = 2  # so many of the caches that missed for a request store its answer


class Fleet:
    """The caches, and the registry that lists them."""

    def __init__(self, world: World, caches: dict[str, CacheServer], registry: Registry) -> None:
        self._world, self.caches, self._registry = world, caches, registry
        self._loop = asyncio.get_running_loop()
        self._conf = world.scenario.registry
        # by cache name, the causes for which it is down, frozen or draining
        self._outages: dict[str, set[object]] = {name: set() for name in caches}
        self._frozen: dict[str, set[object]] = {name: set() for name in caches}
        self._drains: dict[str, set[object]] = {name: set() for name in caches}
        self._rows = {name: registry.rows[name] for name in caches}
        self._by_id = dict(caches)
        world.on_miss_filled = self._store_answer
        world.on_write = self._invalidate

    # Stored values

    def _store_answer(self, request: str, key: str, size: int) -> None:
        """Stores an answer of the origin in the caches where the request missed."""
        one = self._world.record.tries.get(request)
        missed = [a.server for a in one.attempts if a.ended is Ended.MISS] if one is not None else []
        for name in missed[:MAX_COPIES]:
            cache = self._by_id[name]
            if cache.id == name and not self._outages[cache.name]:
                cache.store.put(key, size)

    def _invalidate(self, key: str) -> None:
        for cache in self.caches.values():
            cache.store.drop(key)

    # Faults of caches. Causes add up: a cache is back once the last of them has ended.

    def vanish(self, name: str, cause: object) -> None:
        """The machine goes silent: nothing is reset, nothing answered."""
        is_first = not self._outages[name]
        self._outages[name].add(cause)
        for endpoint in self.caches[name].endpoints.values():
            endpoint.begin_silence(cause)
        if is_first:
            self._loop.call_later(self._conf.silent_notice, self._publish_outage, name)

    def stop(self, name: str, cause: object) -> None:
        """The process ends: connections are reset, new ones refused."""
        is_first = not self._outages[name]
        self._outages[name].add(cause)
        self.caches[name].end_process()
        for endpoint in self.caches[name].endpoints.values():
            endpoint.close()
        if is_first:
            self._loop.call_later(self._conf.notice, self._publish_outage, name)

    def end_outage(self, name: str, cause: object) -> None:
        """Ends one cause; with the last one a new process starts, cold and empty."""
        cache = self.caches[name]
        self._outages[name].discard(cause)
        is_back = not self._outages[name]
        if is_back:
            cache.end_process()
        for endpoint in cache.endpoints.values():
            endpoint.end_silence(cause)  # each cause its own: the others' silences would last forever
            if is_back:
                endpoint.open()
        if not is_back:
            return
        cache.start_process()
        self._rows[name] = replace(self._rows[name], started_ms=int(self._world.wall() * 1000))
        cache.started_ms = self._rows[name].started_ms
        state = "terminating" if self._drains[name] else "in_service"
        self._publish(name, state, self._conf.add)

    def replace_machine(self, name: str, cause: object) -> None:
        """Puts a new machine in its place: at the same address, with a new id, cold and empty."""
        if self._outages[name] - {cause}:  # another cause keeps this machine down, and it will return
            self._outages[name].discard(cause)
            return
        cache = self.caches[name]
        self._publish(name, "terminated", 0.0)
        cache.id = f"{name}-{sum(other is cache for other in self._by_id.values()) + 1}"
        self._by_id[cache.id] = cache
        self._rows[name] = replace(self._rows[name], id=cache.id)
        self.end_outage(name, cause)

    def begin_drain(self, name: str, cause: object) -> None:
        """Lists the cache as draining; it goes on serving."""
        self._drains[name].add(cause)
        self._publish(name, "terminating", self._conf.notice)

    def end_drain(self, name: str, cause: object) -> None:
        """Ends the drained process; a new one takes its place."""
        self._drains[name].discard(cause)
        if self._drains[name] or self._outages[name]:
            return
        self._publish(name, "terminated", 0.0)
        self.end_outage(name, cause)

    def freeze(self, name: str, cause: object, frozen: bool) -> None:
        """Stops the work of a cache, or resumes it unless another cause lasts."""
        (self._frozen[name].add if frozen else self._frozen[name].discard)(cause)
        self.caches[name].work.freeze(bool(self._frozen[name]))

    def begin_hang(self, name: str, cause: object) -> None:
        """Accepts connections but answers nothing; the endpoint list doesn't show it."""
        self.caches[name].begin_hang(cause)
        self.freeze(name, cause, True)

    def end_hang(self, name: str, cause: object) -> None:
        """Ends the hang of this cause."""
        self.freeze(name, cause, False)
        self.caches[name].end_hang(cause)

    def _publish_outage(self, name: str) -> None:
        if self._outages[name]:
            self._publish(name, "terminated", 0.0)

    def _publish(self, name: str, state: str, delay: float) -> None:
        self._registry.publish(replace(self._rows[name], state=state), delay)

    def close(self) -> None:
        """Ends the stand-ins with the run."""
        for cache in self.caches.values():
            cache.close()


def make_caches(world: World, routers: list[str]) -> dict[str, CacheServer]:
    """Creates the caches of a scenario, of different speeds."""
    conf = world.scenario.caches
    names = cache_names(world.scenario)
    caches = {}
    for i, name in enumerate(names):
        offset = 2 * i / (len(names) - 1) - 1 if len(names) > 1 else 0.0  # from -1 to 1
        caches[name] = CacheServer(world, name, conf.speed * (1 - conf.uneven * offset), routers)
    return caches


def initial_rows(
    world: World, caches: dict[str, CacheServer], origin_addresses: dict[str, str]
) -> list[EndpointRow]:
    """Returns the endpoint list at the start of a run."""
    rows = [
        EndpointRow(
            name, cache.zone, CACHE_KIND, addresses={r: e.address for r, e in cache.endpoints.items()}
        )
        for name, cache in caches.items()
    ]
    return [*rows, EndpointRow("archive", "", ORIGIN_KIND, addresses=origin_addresses)]
