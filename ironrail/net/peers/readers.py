"""Regions of readers: what this router sees of them goes in, rows of steering come out; decides nothing."""

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
from ironrail.net.peers.link_evidence import Evidence, One
from ironrail.operator_file import OperatorSettings
from ironrail.peers.consensus import policy as p
from ironrail.peers.steering.capacity import Server, Servers, halls_now
from ironrail.peers.steering.capacity import takes as takes_more
from ironrail.peers.steering.carried import Carrier, Resting, place
from ironrail.peers.steering.expected import Cells, Hall, Worth
from ironrail.peers.steering.proposal import DWELLS, USUAL, Past, Proposal, Rows
from ironrail.peers.steering.regions import Regions
from ironrail.peers.steering.room import RegionsRoom
from ironrail.peers.steering.table import STALE
from ironrail.peers.steering.told import NoRowsError, TooLargeError, tell
from ironrail.peers.steering.turns import Turn
from ironrail.policy.endpoints import EndpointListKind, EndpointState
from ironrail.policy.events import EndpointListUpdate
from ironrail.policy.settings import Settings

if TYPE_CHECKING:
    from ironrail.net.downstream.client_connection import ClientConnection
    from ironrail.net.downstream.client_listener import ClientListener
    from ironrail.net.peers.node_identity import NodeIdentity
    from ironrail.net.peers.policies import Policies

TICK = 1.0  # seconds between looks at connections and at what is in force
LOOKED_AT = 64  # connections a tick, at the most, that might be let go: 0.6 ms where none of them has to
LEAVING = 30.0  # seconds in which one that is to leave has to ask once more: later it has ended by itself
CELLS_FOR = 5.0  # seconds for which what is known is not reckoned anew: it changes in 15 at the soonest
EACH_CELL = 0.05  # seconds more for each cell: one takes 45 us, so this is a thousandth of a core
MOST_CELLS = 300  # known, up to which rows are proposed here: 45 ms, in which the router does nothing else

log = logging.getLogger(__name__)


class Readers:
    """One router's part in what is known of regions, and in what is done about it."""

    def __init__(
        self,
        identity: NodeIdentity,
        operator: OperatorSettings,
        settings: Settings,
        policies: Policies | None,
        cut: Callable[[str], bool] | None,
    ) -> None:
        """`cut`: whether a hall is cut off, where a map tells."""
        assert operator.peers is not None
        self._system, self._policies = identity.system, policies
        self._settings, self._peers, self._halls_of = settings, operator.peers, identity.zones
        self._cut = cut or (lambda hall: False)
        names, hall_of = identity.zone_indices()
        now, classes = identity.system.now(), tuple(settings.classes)
        self.regions = Regions(operator.regions)
        self.protocol = RegionsRoom(
            now, identity.own_index, identity.incarnation, self.regions, names, hall_of, classes, identity.rng
        )
        self._evidence = Evidence(identity.system, self.regions, self.protocol, settings)
        self._worth = Worth({name: known.priority_weight for name, known in settings.classes.items()})
        self._list, self._carrier = Servers(), Carrier(identity.zones[identity.own_index], now)
        self._turn: Turn | None = None
        voters = sorted(operator.peers.voters)
        if operator.peers.steering_interval and identity.own_index in voters:
            every = operator.peers.steering_interval
            self._turn = Turn(now, voters.index(identity.own_index), len(voters), every)
            self.protocol.past = Past(DWELLS * every)
        self._versions: tuple[int, ...] = ()  # in force, as last looked at
        self._rows: Rows = {}
        self._since = now
        self._cells: Cells = {}
        self._cells_at = -math.inf
        self.proposal: Proposal | None = None  # what came of the latest look
        self._refused: IronrailError | None = None
        self.let_go = 0  # connections, since the start
        self._clients: ClientListener | None = None
        self._to_move = deque["ClientConnection"]()
        self._leaving: dict[ClientConnection, tuple[str, float]] = {}  # to which hall, since when
        self._timer: asyncio.TimerHandle | None = None

    def serve(self, clients: ClientListener) -> None:
        """Those whose requests come to this router."""
        self._clients = clients
        clients.context.identify_client_region = self._evidence.one
        self._timer = asyncio.get_running_loop().call_later(TICK, self._tick)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def publish_changes(self) -> None:
        """After each event: nothing that could not wait for the next tick."""

    def servers(self, news: EndpointListUpdate) -> None:
        """The list of servers, or news of it."""
        if news.kind in (EndpointListKind.DELTA, EndpointListKind.FULL, EndpointListKind.CACHED):
            origin = self._settings.origin_kind
            found = [
                (e.name, Server(e.zone, e.weight, e.started_at) if e.state is EndpointState.READY else None)
                for e in news.endpoints
                if origin is None or e.kind != origin
            ]
            self._list.take(news.kind is not EndpointListKind.DELTA, found)

    # What is in force, and what is done

    def _tick(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(TICK, self._tick)  # whatever becomes of this one
        now, clients = self._system.now(), self._clients
        assert clients is not None
        self._evidence.measure(clients)
        self._follow(now)
        if self._rows and not clients.sessions.is_draining:
            self._move(now, clients)
        if self._turn is not None and self._turn.due(now):
            self._steer(now)

    def _follow(self, now: float) -> None:
        if self._policies is None:
            return
        decided = self._policies.in_force()
        if decided.versions == self._versions:
            return
        self._versions, self._since = decided.versions, now
        # by the floor nobody is moved; between two policies only those whose row both have
        self._rows = decided.policy.steering if decided.policy is not None and decided.versions else {}
        for connection in list(self._leaving):  # by rows that are not in force any more
            self._stays(connection)
        if len(decided.versions) == 1:
            self.protocol.in_force(now, self._rows)
        if self._turn is not None:
            self._turn.changed(now)

    def _known(self, now: float) -> tuple[Cells, dict[str, Hall]]:
        if now - self._cells_at >= CELLS_FOR + EACH_CELL * len(self._cells):
            self._cells, self._cells_at = self.protocol.cells(now), now
        policy = self._policies.in_force().policy if self._policies is not None else None
        emptied = policy.emptied if policy is not None else ()
        silent = STALE * self.protocol.table.renewal
        return self._cells, halls_now(
            now,
            self._halls_of,
            self._list,
            self._cells,
            self._peers.requests_per_weight,
            emptied,
            self._settings.slow_start_duration,
            self._cut,
            silent,
        )

    def _move(self, now: float, clients: ClientListener) -> None:
        """Have resting connections end whose clients the rows give to another hall: behind their next answer.

        Then no client that waits for an answer before it asks again can have asked meanwhile.
        """
        _, halls = self._known(now)
        takes = takes_more(halls)
        for connection, (to, since) in list(self._leaving.items()):
            gone = connection.is_closing
            self.let_go += gone and (connection.close_reason is ClientCloseReason.MIGRATED)
            if gone or now - since >= LEAVING or not takes.get(to, False):
                self._stays(connection)
        if not self._to_move:
            self._to_move.extend(clients.open_connections())
        resting: list[Resting] = []
        looked = [self._to_move.popleft() for _ in range(min(LOOKED_AT, len(self._to_move)))]
        for number, connection in enumerate(looked):
            one, at = connection.client_region, connection.session
            if isinstance(one, One) and one.region in self._rows and connection not in self._leaving:
                owed = not at.is_idle or not at.has_been_used or at.responses_unread_since is not None
                resting.append(
                    Resting(number, one.region, one.client, owed, now - at.last_received_at, one.opened)
                )
        if not resting:
            return
        by_number = {one.number: one for one in resting}
        for number in self._carrier.let_go(now, self._rows, resting, takes):
            which, connection = by_number[number], looked[number]
            connection.session.start_migration()
            self._leaving[connection] = place(self._rows[which.region], which.client) or "", now

    def _stays(self, connection: ClientConnection) -> None:
        connection.session.cancel_migration()
        del self._leaving[connection]

    def _steer(self, now: float) -> None:
        """Propose rows, if there are better ones."""
        assert self._policies is not None
        decided = self._policies.in_force()
        if len(decided.versions) != 1 or decided.policy is None:
            return  # a change is under way, or none can be
        policy = decided.policy
        rest = msgspec.structs.replace(policy, steering={}, version=p.MOST_VERSION)
        most = min(USUAL.most_bytes, p.MOST_DOCUMENT - len(p.encode(rest)) - 2)
        bounds = replace(USUAL, explore=self._peers.exploration_ratio, most_bytes=most)
        cells, halls = self._known(now)
        if len(cells) > MOST_CELLS:
            self._refused = TooLargeError(f"{len(cells)} regions at halls, {MOST_CELLS} may be", "steering")
            return
        # what was measured at a hall holds its ways to caches already
        links = dict.fromkeys(halls, 0.0)
        self.proposal = found = self.protocol.propose(now, policy.steering, halls, links, self._worth, bounds)
        self._refused = None
        if found.rows is None:
            return
        try:
            ticket = self._policies.propose_steering(found.rows)
        except (RejectedError, InputError) as e:
            self._refused = e
            log.info("steering_refused", extra={"error": e.with_advice()})
            return
        told = {"version": ticket.ref.version, "reason": found.reason.value, "moved": round(found.moved, 3)}
        log.info("steering_proposed", extra=told)

    # The operators' door

    def pages(self) -> dict[str, Handler]:
        return {"/-/regions": self._page}

    def _page(self) -> Response:
        """Rows in force and what is known, as JSON; 503 where there are no rows."""
        now = self._system.now()
        self._follow(now)
        cells, halls = self._known(now)
        told = tell(
            self._versions,
            now - self._since,
            self._rows,
            cells,
            halls,
            tuple(self._settings.classes),
            now - self._cells_at,
        )
        error = None if self._rows else NoRowsError.of(self._policies is not None, self._versions)
        if error is not None:
            told["error"] = {"type": type(error).__name__, "told": error.with_advice()}
        if self.proposal is not None:
            told["looked"] = {"reason": self.proposal.reason.value, "moved": self.proposal.moved}
        if self._refused is not None:
            told["refused"] = {"type": type(self._refused).__name__, "told": self._refused.with_advice()}
        told["let_go"] = self.let_go
        return Response(200 if error is None else 503, orjson.dumps(told, option=orjson.OPT_INDENT_2) + b"\n")
