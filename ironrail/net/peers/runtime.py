"""All that a router does with other routers. Loaded only where the operator's file has `[peers]`."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

import orjson

from ironrail.admin.http_call import Handler, PostHandler, Response
from ironrail.net.config import Config, ConfigError
from ironrail.net.peers.node_identity import NodeIdentity
from ironrail.net.peers.policies import Place, Policies
from ironrail.net.peers.record_store import FolderStore, Store
from ironrail.net.peers.transport import Peering, read_tier, start_of
from ironrail.net.system import System
from ironrail.net.upstream.connection import LinkObserver
from ironrail.operator_file import OperatorError, OperatorSettings
from ironrail.peers.messages import PeerProtocol
from ironrail.peers.steering.capacity import cut_off
from ironrail.policy.events import EndpointListUpdate, PolicyOverridesChanged, ZoneLinksChanged

if TYPE_CHECKING:
    from ironrail.net.downstream.client_listener import ClientListener
    from ironrail.net.peers.readers import Readers
    from ironrail.net.peers.zone_latency import HallsMap


class PeerComponent(Protocol):
    """Something a router does with others, besides accords: drives a room of its own."""

    @property
    def room(self) -> PeerProtocol:
        """What it drives."""

    def settled(self) -> None:
        """Called after each event at the peers' end: hand over what the room has for whoever decides."""

    def pages(self) -> dict[str, Handler]:
        """For the operators' door."""

    def close(self) -> None:
        """Let go of timers."""


class PeerRuntime:
    """One router among the others."""

    def __init__(
        self,
        config: Config,
        operator: OperatorSettings,
        system: System,
        guide: Callable[[PolicyOverridesChanged | ZoneLinksChanged], None],
        store: Store | None = None,
    ) -> None:
        """`guide`: takes what is decided by. `store`: in place of the folder that the file names."""
        peers = operator.peers
        assert peers is not None
        me, tier = config.settings.router_index, read_tier(config.peer_table)
        if len(tier.peers) != len(peers.zones):
            raise OperatorError(
                f"{len(peers.zones)} halls are named, one for each router, and there are {len(tier.peers)}",
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
            if (
                keeps is None
                and peers.record_folder
                and (me in peers.voters or is_folder(peers.record_folder, me))
            ):
                keeps = FolderStore(
                    folder_of(peers.record_folder, me)
                )  # of others too: they may be named later
            self.policies = Policies(
                place, config.settings, peers, keeps, guide, system.now, self._go_on, tuple(operator.regions)
            )
            self.peering.add(self.policies.room)
        self.parts: list[PeerComponent] = []
        self.readers: Readers | None = None
        here = NodeIdentity(me, start, system, peers.zones, random.Random(config.seed))
        self.halls: HallsMap | None = None
        cut = None  # whether a hall is cut off from others, as far as the map tells
        if peers.zone_latency_map:
            from ironrail.net.peers.zone_latency import HallsMap  # noqa: PLC0415 - only where it is wanted

            self.halls = HallsMap(here, guide)
            self.parts.append(self.halls)
            cut = partial(cut_off, self.halls.estimate, here.numbered()[0], system.now)
        if operator.regions:
            from ironrail.net.peers.readers import Readers  # noqa: PLC0415 - only where they are wanted

            self.readers = Readers(here, operator, config.settings, self.policies, cut)
            self.parts.append(self.readers)
        for part in self.parts:
            self.peering.add(part.room)
        # of voters only by those who speak with them: they answer 25 a second
        self._meet = (
            self.policies.room.lease_routing.document_sources(system.now())
            if self.policies is not None
            else ()
        )

    def serve(self, clients: ClientListener) -> None:
        """Those whose requests come here."""
        if self.readers is not None:
            self.readers.serve(clients)

    def servers(self, news: EndpointListUpdate) -> None:
        """Discovery has told something of the list of servers."""
        if self.readers is not None:
            self.readers.servers(news)

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

    def watch(self, zone: str) -> LinkObserver | None:
        """Who is to be told of connections to servers there, if anybody."""
        return self.halls.watch(zone) if self.halls is not None else None

    def check(self, now: float) -> None:
        """Before each decision."""
        if self.policies is not None:
            self.policies.check(now)

    def pages(self) -> dict[str, Handler]:
        """For the operators' door."""
        pages: dict[str, Handler] = {"/-/peers": self._figures}
        if self.policies is not None:
            pages["/-/policy"] = self.policies.page
        for part in self.parts:
            pages |= part.pages()
        return pages

    def posts(self) -> dict[str, PostHandler]:
        if self.policies is None:
            return {}
        return {"/-/policy": self.policies.propose, "/-/policy/found": self.policies.found}

    def _figures(self) -> Response:
        return Response(200, orjson.dumps(self.peering.figures(), option=orjson.OPT_INDENT_2) + b"\n")

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
