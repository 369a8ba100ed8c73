"""Assembles everything that a router does with its peers.

Imported only if the operator's file has a `[peers]` table.
"""

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
from ironrail.net.peers.policies import Policies, ProcessIdentity
from ironrail.net.peers.record_store import FolderStore, RecordStore
from ironrail.net.peers.transport import PeerTransport, draw_incarnation, read_peer_table
from ironrail.net.system import System
from ironrail.net.upstream.connection import LinkObserver
from ironrail.operator_file import OperatorError, OperatorSettings
from ironrail.peers.messages import PeerProtocol
from ironrail.peers.steering.capacity import is_zone_cut_off
from ironrail.policy.events import EndpointListUpdate, PolicyOverridesChanged, ZoneLinksChanged

if TYPE_CHECKING:
    from ironrail.net.downstream.client_listener import ClientListener
    from ironrail.net.peers.client_steering import ClientSteering
    from ironrail.net.peers.zone_latency import ZoneLatencyComponent


class PeerComponent(Protocol):
    """A part of the peer runtime that drives a protocol of its own, other than consensus."""

    @property
    def protocol(self) -> PeerProtocol:
        """The protocol that this component drives."""

    def publish_changes(self) -> None:
        """Pass changes of state to the decision module; called after each peer event."""

    def pages(self) -> dict[str, Handler]:
        """Return handlers for the admin endpoint, by path."""

    def close(self) -> None:
        """Cancel timers."""


class PeerRuntime:
    """Runs the peer protocols of one router.

    Attributes:
        transport: Carries the messages of all protocols.
        policies: The consensus on policies; None if the operator's file names no voters.
        components: The other protocols that are enabled.
        zone_latency: The zone latency map, None if disabled.
        steering: The steering of clients between zones, None without regions.
    """

    def __init__(
        self,
        config: Config,
        operator: OperatorSettings,
        system: System,
        publish: Callable[[PolicyOverridesChanged | ZoneLinksChanged], None],
        store: RecordStore | None = None,
    ) -> None:
        """Create the protocols that the operator's file enables.

        Args:
            config: The platform's configuration.
            operator: The operator's settings; must have peers.
            system: Clocks and sockets.
            publish: Receives events for the decision module.
            store: Replaces the record folder of the operator's file.

        Raises:
            OperatorError: The operator's file does not match the number of peers, or its record
                folder does not exist.
            ConfigError: The platform's configuration has no valid list of peers.
        """
        peers = operator.peers
        assert peers is not None
        own_index, table = config.settings.router_index, read_peer_table(config.peer_table)
        if len(table.peers) != len(peers.zones):
            raise OperatorError(
                f"{len(peers.zones)} halls are listed, one for each router,"
                f" but the number of routers is {len(table.peers)}",
                "peers.halls",
            )
        if not own_index < len(table.peers):
            raise ConfigError(
                f"settings.me is {own_index}, but there are only {len(table.peers)} peers", "peers"
            )
        incarnation = draw_incarnation(system)
        self.transport = PeerTransport(
            own_index, table, peers, incarnation, system, self._publish_changes
        )
        self.policies: Policies | None = None
        if peers.voters:
            process = ProcessIdentity(own_index, incarnation, system.now(), config.seed)
            record_store = store
            if (
                record_store is None
                and peers.record_folder
                and (own_index in peers.voters or has_record_folder(peers.record_folder, own_index))
            ):
                # also for a router that is not a voter: it may become one later
                record_store = FolderStore(resolve_record_folder(peers.record_folder, own_index))
            self.policies = Policies(
                process,
                config.settings,
                peers,
                record_store,
                publish,
                system.now,
                self._flush,
                tuple(operator.regions),
            )
            self.transport.register(self.policies.protocol)
        self.components: list[PeerComponent] = []
        self.steering: ClientSteering | None = None
        identity = NodeIdentity(
            own_index, incarnation, system, peers.zones, random.Random(config.seed)
        )
        self.zone_latency: ZoneLatencyComponent | None = None
        is_cut_off = None  # whether a zone is cut off from others, according to the latency map
        if peers.zone_latency_map:
            # imported late: saves memory where it is disabled
            from ironrail.net.peers.zone_latency import ZoneLatencyComponent  # noqa: PLC0415

            self.zone_latency = ZoneLatencyComponent(identity, publish)
            self.components.append(self.zone_latency)
            is_cut_off = partial(
                is_zone_cut_off, self.zone_latency.estimate, identity.zone_indices()[0], system.now
            )
        if operator.regions:
            from ironrail.net.peers.client_steering import ClientSteering  # noqa: PLC0415 - as above

            self.steering = ClientSteering(
                identity, operator, config.settings, self.policies, is_cut_off
            )
            self.components.append(self.steering)
        for component in self.components:
            self.transport.register(component.protocol)
        # Only routers that talk to voters start handshakes with them: a voter answers 25 a second.
        self._handshake_peers = (
            self.policies.protocol.lease_routing.document_sources(system.now())
            if self.policies is not None
            else ()
        )

    def attach_listener(self, clients: ClientListener) -> None:
        """Let the steering see and migrate the connections of this listener."""
        if self.steering is not None:
            self.steering.serve(clients)

    def on_endpoint_update(self, update: EndpointListUpdate) -> None:
        """Handle an update of the endpoint list."""
        if self.steering is not None:
            self.steering.update_servers(update)

    async def open(self) -> None:
        """Listen for datagrams of peers.

        Raises:
            OSError: The address can't be bound.
        """
        await self.transport.open(self._handshake_peers)
        self._publish_changes()

    def close(self) -> None:
        """Close the socket and stop all components."""
        self.transport.close()
        for component in self.components:
            component.close()
        if self.policies is not None:
            self.policies.stop()

    def is_ready(self) -> bool:
        """Return whether the peer protocols allow this router to accept clients."""
        return self.policies is None or self.policies.is_ready()

    def link_observer(self, zone: str) -> LinkObserver | None:
        """Return the observer of connections to servers in the zone, if there is one."""
        return self.zone_latency.link_observer(zone) if self.zone_latency is not None else None

    def before_decision(self, now: float) -> None:
        """Make sure that the policy is still effective; called before each decision."""
        if self.policies is not None:
            self.policies.refresh_if_expired(now)

    def pages(self) -> dict[str, Handler]:
        """Return handlers of GET requests to the admin endpoint, by path."""
        pages: dict[str, Handler] = {"/-/peers": self._counters_page}
        if self.policies is not None:
            pages["/-/policy"] = self.policies.page
        for component in self.components:
            pages |= component.pages()
        return pages

    def posts(self) -> dict[str, PostHandler]:
        """Return handlers of POST requests to the admin endpoint, by path."""
        if self.policies is None:
            return {}
        return {"/-/policy": self.policies.propose, "/-/policy/found": self.policies.bootstrap}

    def _counters_page(self) -> Response:
        return Response(
            200, orjson.dumps(self.transport.counters(), option=orjson.OPT_INDENT_2) + b"\n"
        )

    def _publish_changes(self) -> None:
        if self.policies is not None:
            self.policies.refresh()
        for component in self.components:
            component.publish_changes()

    def _flush(self) -> None:
        self.transport.flush()


def has_record_folder(path: str, own_index: int) -> bool:
    """Return whether the record folder of the router with this index exists.

    Args:
        path: The setting; `{index}` stands for the router's index.
        own_index: The router's index.
    """
    return Path(path.replace("{index}", str(own_index))).is_dir()


def resolve_record_folder(path: str, own_index: int) -> Path:
    """Return the record folder of the router with this index.

    Raises:
        OperatorError: The folder does not exist.
    """
    folder = Path(path.replace("{index}", str(own_index)))
    if not has_record_folder(path, own_index):
        raise OperatorError("is not an existing folder", str(folder))
    return folder
