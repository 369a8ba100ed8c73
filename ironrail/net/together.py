"""All that a router does with other routers. Loaded only where the operator's file has `[peers]`."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import orjson

from ironrail.door.calls import Answer, Page, Post
from ironrail.net.config import Config, ConfigError
from ironrail.net.peering import Peering, read_tier, start_of
from ironrail.net.policies import Place, Policies
from ironrail.net.store import FolderStore, Store
from ironrail.net.system import System
from ironrail.operator_file import OperatorError, Peers
from ironrail.policy import interface as api


class Together:
    """One router among the others."""

    def __init__(
        self,
        config: Config,
        peers: Peers,
        system: System,
        guide: Callable[[api.Guidance], None],
        store: Store | None = None,
    ) -> None:
        """`guide`: takes what is decided by. `store`: in place of the folder that the file names."""
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
            keeps = store if me in peers.voters else None
            if keeps is None and peers.keep and me in peers.voters:
                keeps = FolderStore(folder_of(peers.keep, me))
            self.policies = Policies(place, config.settings, peers, keeps, guide, system.now, self._go_on)
            self.peering.add(self.policies.room)
        self._meet = [voter for voter in peers.voters if voter != me]

    async def open(self) -> None:
        """Listen to the others; OSError where that can't be done."""
        await self.peering.open(self._meet)
        self._settled()

    def close(self) -> None:
        self.peering.close()
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

    def _go_on(self) -> None:
        self.peering.go_on()


def folder_of(path: str, me: int) -> Path:
    """Where a voter of this number keeps its record; OperatorError if there is no such folder."""
    folder = Path(path.replace("{index}", str(me)))
    if not folder.is_dir():
        raise OperatorError("is no folder", str(folder))
    return folder
