"""Drives the steering protocol: feeds in measurements, proposes rows, migrates connections."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec
import orjson

from ironrail.admin.http_call import Handler, Response
from ironrail.diagnostics.reasons import ClientCloseReason
from ironrail.errors import InputError, IronrailError, RejectedError
from ironrail.net.peers.client_measurements import ClientMeasurements, MeasuredClient
from ironrail.operator_file import OperatorSettings
from ironrail.peers.consensus import policy as p
from ironrail.peers.steering.capacity import ServerInfo, ServerInventory, zone_states
from ironrail.peers.steering.capacity import accepting_zones as find_accepting_zones
from ironrail.peers.steering.cost_model import CellEstimates, RequestWeights, ZoneState
from ironrail.peers.steering.migration import MigrationCandidate, MigrationSelector, assign_zone
from ironrail.peers.steering.proposal import (
    DEFAULT_LIMITS,
    DWELL_PERIODS,
    ChangeHistory,
    SteeringProposal,
    SteeringRows,
)
from ironrail.peers.steering.proposal_schedule import ProposalSchedule
from ironrail.peers.steering.protocol import SteeringProtocol
from ironrail.peers.steering.regions import Regions
from ironrail.peers.steering.report_table import STALE_RENEWALS
from ironrail.peers.steering.status import NoRowsError, TooLargeError, steering_status
from ironrail.policy.endpoints import EndpointListKind, EndpointState
from ironrail.policy.events import EndpointListUpdate
from ironrail.policy.settings import Settings

if TYPE_CHECKING:
    from ironrail.net.downstream.client_connection import ClientConnection
    from ironrail.net.downstream.client_listener import ClientListener
    from ironrail.net.peers.node_identity import NodeIdentity
    from ironrail.net.peers.policies import Policies

TICK_SECONDS = 1.0  # between checks of connections and of the policy in force
MAX_CONNECTIONS_PER_TICK = 64  # checked for migration: 0.6 ms if none has to move
# A migrating connection closes after its next response. The migration is canceled if no request
# comes within this time: by then the connection usually has ended anyway.
MIGRATION_TIMEOUT_SECONDS = 30.0
MIN_CELL_REFRESH_SECONDS = 5.0  # between computations of estimates, which change after 15 s
REFRESH_SECONDS_PER_CELL = 0.05  # added for each cell: one takes 45 us, so this is 0.1 % of a core
MAX_CELLS = 300  # for which rows are planned: it takes 45 ms, in which the router does nothing else

log = logging.getLogger(__name__)


class ClientSteering:
    """Steers the clients of one router, as a `PeerComponent`.

    Attributes:
        regions: The region definitions.
        protocol: The steering protocol.
        proposal: Result of the latest planning.
        migrated: Number of connections that were closed for a migration since the start.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        operator: OperatorSettings,
        settings: Settings,
        policies: Policies | None,
        is_cut_off: Callable[[str], bool] | None,
    ) -> None:
        """Begin without a policy.

        Args:
            identity: This router's place among its peers.
            operator: The operator's settings.
            settings: The router's settings.
            policies: The policies decided by consensus, if there are voters.
            is_cut_off: Whether a zone is cut off from the others; None without a zone latency map.
        """
        assert operator.peers is not None
        self._system, self._policies = identity.system, policies
        self._settings, self._peers, self._zone_of = settings, operator.peers, identity.zones
        self._is_cut_off = is_cut_off or (lambda zone: False)
        names, zone_numbers = identity.zone_indices()
        now, classes = identity.system.now(), tuple(settings.classes)
        self.regions = Regions(operator.regions)
        self.protocol = SteeringProtocol(
            now,
            identity.own_index,
            identity.incarnation,
            self.regions,
            names,
            zone_numbers,
            classes,
            identity.rng,
        )
        self._measurements = ClientMeasurements(
            identity.system, self.regions, self.protocol, settings
        )
        self._weights = RequestWeights(
            {name: known.priority_weight for name, known in settings.classes.items()}
        )
        self._servers, self._selector = (
            ServerInventory(),
            MigrationSelector(identity.zones[identity.own_index], now),
        )
        self._schedule: ProposalSchedule | None = None
        voters = sorted(operator.peers.voters)
        if operator.peers.steering_interval and identity.own_index in voters:
            interval = operator.peers.steering_interval
            self._schedule = ProposalSchedule(
                now, voters.index(identity.own_index), len(voters), interval
            )
            self.protocol.history = ChangeHistory(DWELL_PERIODS * interval)
        self._versions: tuple[int, ...] = ()  # in force at the last check
        self._rows: SteeringRows = {}
        self._in_force_since = now
        self._cells: CellEstimates = {}
        self._cells_at = -math.inf
        self.proposal: SteeringProposal | None = None
        self._refused: IronrailError | None = None
        self.migrated = 0
        self._clients: ClientListener | None = None
        self._unchecked = deque["ClientConnection"]()
        # Target zone and start of the migration.
        self._migrating: dict[ClientConnection, tuple[str, float]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def serve(self, clients: ClientListener) -> None:
        """Begin to steer the clients of a listener."""
        self._clients = clients
        clients.context.identify_client_region = self._measurements.identify
        self._timer = asyncio.get_running_loop().call_later(TICK_SECONDS, self._tick)

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def publish_changes(self) -> None:
        """Do nothing after an event: all work can wait for the next tick."""

    def update_servers(self, update: EndpointListUpdate) -> None:
        """Apply the list of servers or a change of it."""
        if update.kind in (EndpointListKind.DELTA, EndpointListKind.FULL, EndpointListKind.CACHED):
            origin = self._settings.origin_kind
            found = [
                (
                    e.name,
                    ServerInfo(e.zone, e.weight, e.started_at)
                    if e.state is EndpointState.READY
                    else None,
                )
                for e in update.endpoints
                if origin is None or e.kind != origin
            ]
            self._servers.update(update.kind is not EndpointListKind.DELTA, found)

    # Policy in force, migrations and proposals

    def _tick(self) -> None:
        # Scheduled first, so that the timer survives an exception below.
        self._timer = asyncio.get_running_loop().call_later(TICK_SECONDS, self._tick)
        now, clients = self._system.now(), self._clients
        assert clients is not None
        self._measurements.measure(clients)
        self._update_rows(now)
        if self._rows and not clients.sessions.is_draining:
            self._migrate_connections(now, clients)
        if self._schedule is not None and self._schedule.poll(now):
            self._propose(now)

    def _update_rows(self, now: float) -> None:
        if self._policies is None:
            return
        decided = self._policies.in_force()
        if decided.versions == self._versions:
            return
        self._versions, self._in_force_since = decided.versions, now
        # The fallback policy moves no clients. Between two policies only rows that both have are in
        # force.
        self._rows = (
            decided.policy.steering if decided.policy is not None and decided.versions else {}
        )
        for connection in list(self._migrating):  # started by rows that are no longer in force
            self._cancel_migration(connection)
        if len(decided.versions) == 1:
            self.protocol.record_rows_in_force(now, self._rows)
        if self._schedule is not None:
            self._schedule.restart(now)

    def _current_state(self, now: float) -> tuple[CellEstimates, dict[str, ZoneState]]:
        if now - self._cells_at >= MIN_CELL_REFRESH_SECONDS + REFRESH_SECONDS_PER_CELL * len(
            self._cells
        ):
            self._cells, self._cells_at = self.protocol.cell_estimates(now), now
        policy = self._policies.in_force().policy if self._policies is not None else None
        emptied_zones = policy.emptied if policy is not None else ()
        max_report_age = STALE_RENEWALS * self.protocol.table.renewal_seconds
        return self._cells, zone_states(
            now,
            self._zone_of,
            self._servers,
            self._cells,
            self._peers.requests_per_weight,
            emptied_zones,
            self._settings.slow_start_duration,
            self._is_cut_off,
            max_report_age,
        )

    def _migrate_connections(self, now: float, clients: ClientListener) -> None:
        """Close idle connections of clients whose assigned zone is another one.

        They close after their next response. A client that waits for each response before it
        sends the next request can't have sent one meanwhile, so none is lost.
        """
        _, zones = self._current_state(now)
        accepting_zones = find_accepting_zones(zones)
        for connection, (target, since) in list(self._migrating.items()):
            is_closed = connection.is_closing
            self.migrated += is_closed and (connection.close_reason is ClientCloseReason.MIGRATED)
            if (
                is_closed
                or now - since >= MIGRATION_TIMEOUT_SECONDS
                or not accepting_zones.get(target, False)
            ):
                self._cancel_migration(connection)
        if not self._unchecked:
            self._unchecked.extend(clients.open_connections())
        candidates: list[MigrationCandidate] = []
        checked = [
            self._unchecked.popleft()
            for _ in range(min(MAX_CONNECTIONS_PER_TICK, len(self._unchecked)))
        ]
        for number, connection in enumerate(checked):
            client, session = connection.client_region, connection.session
            if (
                isinstance(client, MeasuredClient)
                and client.region in self._rows
                and connection not in self._migrating
            ):
                is_busy = (
                    not session.is_idle
                    or not session.has_been_used
                    or session.responses_unread_since is not None
                )
                candidates.append(
                    MigrationCandidate(
                        number,
                        client.region,
                        client.address,
                        is_busy,
                        now - session.last_received_at,
                        client.opened_at,
                    )
                )
        if not candidates:
            return
        by_number = {candidate.number: candidate for candidate in candidates}
        for number in self._selector.select(now, self._rows, candidates, accepting_zones):
            candidate, connection = by_number[number], checked[number]
            connection.session.start_migration()
            self._migrating[connection] = (
                assign_zone(self._rows[candidate.region], candidate.client) or "",
                now,
            )

    def _cancel_migration(self, connection: ClientConnection) -> None:
        connection.session.cancel_migration()
        del self._migrating[connection]

    def _propose(self, now: float) -> None:
        """Propose better rows if there are any."""
        assert self._policies is not None
        decided = self._policies.in_force()
        if len(decided.versions) != 1 or decided.policy is None:
            return  # another change is under way, or none is possible
        policy = decided.policy
        rest = msgspec.structs.replace(policy, steering={}, version=p.MAX_VERSION)
        max_rows_bytes = min(
            DEFAULT_LIMITS.max_rows_bytes, p.MAX_DOCUMENT_BYTES - len(p.encode(rest)) - 2
        )
        limits = replace(
            DEFAULT_LIMITS,
            exploration_ratio=self._peers.exploration_ratio,
            max_rows_bytes=max_rows_bytes,
        )
        cells, zones = self._current_state(now)
        if len(cells) > MAX_CELLS:
            self._refused = TooLargeError(
                f"{len(cells)} pairs of region and zone are known,"
                f" at most {MAX_CELLS} can be planned for",
                "steering",
            )
            return
        # The service times measured in a zone include the links to its caches.
        links = dict.fromkeys(zones, 0.0)
        self.proposal = found = self.protocol.propose(
            now, policy.steering, zones, links, self._weights, limits
        )
        self._refused = None
        if found.rows is None:
            return
        try:
            ticket = self._policies.propose_steering(found.rows)
        except (RejectedError, InputError) as e:
            self._refused = e
            log.info("steering_refused", extra={"error": e.with_advice()})
            return
        fields = {
            "version": ticket.ref.version,
            "reason": found.reason.value,
            "moved": round(found.moved_rate, 3),
        }
        log.info("steering_proposed", extra=fields)

    # Admin endpoint

    def pages(self) -> dict[str, Handler]:
        """Return the pages of the admin endpoint."""
        return {"/-/regions": self._page}

    def _page(self) -> Response:
        """Return the rows in force and the data behind them as JSON; status 503 without rows."""
        now = self._system.now()
        self._update_rows(now)
        cells, zones = self._current_state(now)
        document = steering_status(
            self._versions,
            now - self._in_force_since,
            self._rows,
            cells,
            zones,
            tuple(self._settings.classes),
            now - self._cells_at,
        )
        error = (
            None
            if self._rows
            else NoRowsError.for_versions(self._policies is not None, self._versions)
        )
        if error is not None:
            document["error"] = {"type": type(error).__name__, "told": error.with_advice()}
        if self.proposal is not None:
            document["looked"] = {
                "reason": self.proposal.reason.value,
                "moved": self.proposal.moved_rate,
            }
        if self._refused is not None:
            document["refused"] = {
                "type": type(self._refused).__name__,
                "told": self._refused.with_advice(),
            }
        document["let_go"] = self.migrated
        return Response(
            200 if error is None else 503,
            orjson.dumps(document, option=orjson.OPT_INDENT_2) + b"\n",
        )
