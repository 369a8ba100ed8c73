"""All that a router does with other routers. Loaded only where the operator's file has `[peers]`."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

import orjson

from ironrail.door.calls import Answer, Page, Post
from ironrail.net.config import Config, ConfigError
from ironrail.net.peering import Peering, read_tier, start_of
from ironrail.net.policies import Place, Policies
from ironrail.net.store import FolderStore, Store
from ironrail.net.system import System
from ironrail.operator_file import Operator, OperatorError
from ironrail.peers.faces import Room
from ironrail.policy import interface as api


@dataclass(frozen=True, slots=True)
class Here:
    """Where this router stands among all."""

    me: int
    start: int  # of this process
    system: System
    halls: tuple[str, ...]  # of each router, by its number
    draws: random.Random

    def numbered(self) -> tuple[list[str], list[int]]:
        """The different halls in an order that all routers share, and each router's among them."""
        names = sorted(set(self.halls))
        return names, [names.index(hall) for hall in self.halls]


class Part(Protocol):
    """Something a router does with others, besides accords: drives a room of its own."""

    @property
    def room(self) -> Room:
        """What it drives."""

    def settled(self) -> None:
        """Called after each event at the peers' end: hand over what the room has for whoever decides."""

    def pages(self) -> dict[str, Page]:
        """For the operators' door."""

    def close(self) -> None:
        """Let go of timers."""


class Together:
    """One router among the others."""

    def __init__(
        self,
        config: Config,
        operator: Operator,
        system: System,
        guide: Callable[[api.Guidance], None],
        store: Store | None = None,
    ) -> None:
        """`guide`: takes what is decided by. `store`: in place of the folder that the file names."""
        peers = operator.peers
        assert peers is not None
        me, tier = config.settings.index, read_tier(config.tier)
        if len(tier.peers) != len(peers.halls):
            raise OperatorError(
                f"{len(peers.halls)} halls are named, one for each router, and there are {len(tier.peers)}",
                "peers.halls",
            )
        if not me < len(tier.peers):
            raise ConfigError(f"settings.me is {me}, and there are {len(tier.peers)} peers", "peers")
        start = start_of(system)
        self.peering = Peering(me, tier, peers, start, system, self._settled)
        self.policies: Policies | None = None
        if peers.voters:
            place = Place(me, start, system.now(), config.seed)
            keeps = store
            if keeps is None and peers.keep and (me in peers.voters or is_folder(peers.keep, me)):
                keeps = FolderStore(folder_of(peers.keep, me))  # of others too: they may be named later
            self.policies = Policies(place, config.settings, peers, keeps, guide, system.now, self._go_on)
            self.peering.add(self.policies.room)
        self.parts: list[Part] = []
        here = Here(me, start, system, peers.halls, random.Random(config.seed))
        if peers.map:
            from ironrail.net.halls import HallsMap  # noqa: PLC0415 - only where it is wanted

            self.halls = HallsMap(here, self._go_on)
            self.parts.append(self.halls)
        if operator.regions:
            from ironrail.net.readers import Readers  # noqa: PLC0415 - only where they are wanted

            self.readers = Readers(here, operator.regions, tuple(config.settings.classes), self._go_on)
            self.parts.append(self.readers)
        for part in self.parts:
            self.peering.add(part.room)
        self._meet = [voter for voter in peers.voters if voter != me]

    async def open(self) -> None:
        """Listen to the others; OSError where that can't be done."""
        await self.peering.open(self._meet)
        self._settled()

    def close(self) -> None:
        self.peering.close()
        for part in self.parts:
            part.close()
        if self.policies is not None:
            self.policies.stop()

    def ready(self) -> bool:
        """Whether clients may come, as far as the others are concerned."""
        return self.policies is None or self.policies.ready()

    def check(self, now: float) -> None:
        """Before each decision."""
        if self.policies is not None:
            self.policies.check(now)

    def pages(self) -> dict[str, Page]:
        """For the operators' door."""
        pages: dict[str, Page] = {"/-/peers": self._figures}
        if self.policies is not None:
            pages["/-/policy"] = self.policies.page
        for part in self.parts:
            pages |= part.pages()
        return pages

    def posts(self) -> dict[str, Post]:
        if self.policies is None:
            return {}
        return {"/-/policy": self.policies.propose, "/-/policy/found": self.policies.found}

    def _figures(self) -> Answer:
        return Answer(200, orjson.dumps(self.peering.figures(), option=orjson.OPT_INDENT_2) + b"\n")

    def _settled(self) -> None:
        if self.policies is not None:
            self.policies.refresh()
        for part in self.parts:
            part.settled()

    def _go_on(self) -> None:
        self.peering.go_on()


def is_folder(path: str, me: int) -> bool:
    """Whether a router of this number could keep a record."""
    return Path(path.replace("{index}", str(me))).is_dir()


def folder_of(path: str, me: int) -> Path:
    """Where a voter of this number keeps its record; OperatorError if there is no such folder."""
    folder = Path(path.replace("{index}", str(me)))
    if not is_folder(path, me):
        raise OperatorError("is no folder", str(folder))
    return folder
