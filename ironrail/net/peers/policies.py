"""A router's part in an accord on policies: its room, its record on a disk, its page at the operators' door.

What is decided by is handed to the decision module as an event, and asked anew before each decision: a lease
may have run out while the process stood still.
"""

from __future__ import annotations

import logging
import math
import tomllib
from collections.abc import Callable, Collection
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import orjson

from ironrail.admin.http_call import Response
from ironrail.errors import InputError, RejectedError
from ironrail.net.peers import admin_documents
from ironrail.net.peers.record_store import Keeper, RecordError, Store
from ironrail.operator_file import OperatorError, PeerSettings
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.configuration import ConsensusConfig
from ironrail.peers.consensus.consensus_node import ConsensusNode, EffectivePolicy
from ironrail.peers.consensus.errors import UnreadyError
from ironrail.peers.consensus.messages import read_record
from ironrail.peers.consensus.proposal import ProposalHandle
from ironrail.policy.events import PolicyOverridesChanged
from ironrail.policy.settings import Settings

log = logging.getLogger(__name__)

RECORD = "accord"  # name of a voter's record
FIRST = 1  # version of a policy without rows, which forbids nothing


@dataclass(frozen=True, slots=True)
class Place:
    """Where this router stands among all."""

    me: int
    start: int
    now: float
    seed: int


def read_floor(path: str) -> p.Policy:
    """The policy that is obeyed where none can be decided by; OperatorError if the file can't be used."""
    if not path:
        return p.Policy(version=FIRST)
    try:
        return p.parse(tomllib.loads(Path(path).read_text()))
    except OSError as e:
        raise OperatorError(e.strerror or str(e), path) from e
    except (ValueError, InputError) as e:  # TOML, UTF-8 or a policy's own
        raise OperatorError(str(e), path) from e


def facts_of(settings: Settings, peers: PeerSettings, regions: Collection[str] = ()) -> p.ValidationContext:
    """What this router checks each policy against. Titles come with requests: any may be named."""
    return p.ValidationContext(frozenset(settings.classes), None, frozenset(peers.zones), frozenset(regions))


class Policies:
    """The accord of one router."""

    def __init__(
        self,
        place: Place,
        settings: Settings,
        peers: PeerSettings,
        store: Store | None,
        follow: Callable[[PolicyOverridesChanged], None],
        now: Callable[[], float],
        go_on: Callable[[], None],
        regions: Collection[str] = (),
    ) -> None:
        """`follow`: takes what is decided by from now on; `go_on`: sends what the room says."""
        self._follow, self._now, self._go_on = follow, now, go_on
        conf = ConsensusConfig(
            own_index=place.me,
            incarnation=place.start,
            routers=len(peers.zones),
            voters=peers.voters,
            lease_seconds=peers.lease_milliseconds / 1000,
            max_clock_drift_ratio=peers.max_clock_drift_ratio,
            persists_records=store is not None,
            starts_on_fallback=peers.start_mode == "floor",
        )
        facts, floor = facts_of(settings, peers, regions), read_floor(peers.fallback_policy_file)
        record, self._torn = self._kept(store)
        self.room = ConsensusNode(conf, facts, floor, place.now, place.seed, record)
        self._keeper = Keeper(store, RECORD, self._done) if store is not None else None
        self._followed: EffectivePolicy | None = None
        self._until = -math.inf  # when what is decided by has to be asked for anew
        self.ticket: ProposalHandle | None = None  # of the latest call for a change here

    def _kept(self, store: Store | None) -> tuple[bytes | None, InputError | None]:
        """A record that can't be read is none: the voter then asks the others where things stand."""
        try:
            record = store.read(RECORD) if store is not None else None
            if record is not None:
                read_record(record)
            return record, None
        except InputError as e:  # torn, or whole and of another version
            log.error("record_unusable", extra={"error": e.with_advice()})
            return None, e
        except OSError as e:
            log.error("record_unread", extra={"error": str(e)})
            return None, RecordError(str(e), RECORD)

    # What is decided by

    def ready(self) -> bool:
        """Whether there is anything to decide by."""
        return self.room.effective_policy(self._now()).policy is not None

    def check(self, now: float) -> None:
        """Before each decision: what was decided by may have ended."""
        if now >= self._until:
            self.refresh()

    def refresh(self) -> None:
        """Hand over what is decided by, if that has changed, and keep what is to be kept."""
        now = self._now()
        for keep in self.room.take_records():
            assert self._keeper is not None
            self._keeper.keep(keep.token, keep.record)
        decided = self.room.effective_policy(now)
        self._until = self.room.effective_until(now)
        if decided == self._followed:
            return
        before, self._followed = self._followed, decided
        policy = decided.policy or self.room.document_store.fallback
        log.info(
            "decides_by", extra={"versions": list(decided.versions), "ready": decided.policy is not None}
        )
        if before is None or policy != (before.policy or self.room.document_store.fallback):
            self._follow(PolicyOverridesChanged(policy.emptied, policy.shed, policy.further, policy.rates))

    def _done(self, token: int, failed: OSError | None) -> None:
        if failed is None:
            self.room.on_record_written(self._now(), token)
        else:
            log.error("record_not_kept", extra={"error": str(failed)})
            self.room.on_record_failed(self._now(), token)
        self._go_on()

    def stop(self) -> None:
        if self._keeper is not None:
            self._keeper.stop()

    # Rows of steering

    def in_force(self) -> EffectivePolicy:
        """What is decided by now, with the versions."""
        return self.room.effective_policy(self._now())

    def steer(self, rows: dict[str, dict[str, float]]) -> ProposalHandle:
        """Propose these rows in place of those of the policy in force, and nothing else changed.

        Raises:
            RejectedError: it can't be now.
            PolicyError: the rows are none.
        """
        known, policy = self.room.latest_decided, self.in_force().policy
        if known is None or policy is None:
            raise UnreadyError("knows of no policy in force", "steering")
        version = max(known.max_tried_version, policy.version) + 1
        self.ticket = self.room.propose(
            self._now(), msgspec.structs.replace(policy, version=version, steering=rows)
        )
        self._go_on()
        return self.ticket

    # The operators' door

    def page(self) -> Response:
        """What is in force here, as JSON."""
        return Response(
            200, orjson.dumps(self._told(), option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS) + b"\n"
        )

    def _told(self) -> dict[str, Any]:
        now = self._now()
        decided = self.room.effective_policy(now)
        ends = self.room.effective_until(now)
        told: dict[str, Any] = {
            "versions": list(decided.versions),
            "ready": decided.policy is not None,
            "voters": self.room.current_voter_sets(),
            "lease_left": round(ends - now, 3) if ends > now and ends < math.inf else None,
            "policy": admin_documents.rows(decided.policy),
            "troubles": [error.with_advice() for error in self.room.faults(now)],
        }
        if self._torn is not None:
            told["troubles"].append(self._torn.with_advice())
        if self.ticket is not None:
            told["change"] = {"version": self.ticket.ref.version, "state": self._state(self.ticket)}
            if self.ticket.error is not None:
                told["change"]["error"] = self.ticket.error.with_advice()
        return told

    @staticmethod
    def _state(ticket: ProposalHandle) -> str:
        return "under way" if ticket.is_open else "in force" if ticket.in_force else "refused"

    def propose(self, body: bytes) -> Response:
        """A policy as TOML: 202 once it is under way, 409 where it can't be now, 400 where it is none.

        With `voters` beside it these take the place of those in force; with `version` and `voters` alone the
        policy in force stays as it is, under that version.
        """
        now = self._now()
        try:
            policy, voters = admin_documents.read(body, lambda: self.room.policy_in_force(now))
            self.ticket = self.room.propose(now, policy, voters=voters)
        except RejectedError as e:
            return admin_documents.line(409, e.with_advice())
        except InputError as e:
            return admin_documents.line(400, e.with_advice())
        self._go_on()
        return admin_documents.line(202, f"version {self.ticket.ref.version} is under way: ask for its state")

    def found(self, body: bytes) -> Response:
        """By hand, the first time or where the voters' memory is lost: a policy with `epoch` beside it."""
        try:
            table = admin_documents.table(body)
            epoch = table.pop("epoch", None)
            if not isinstance(epoch, int) or isinstance(epoch, bool):
                raise InputError("must be a whole number that was never used before", "epoch")
            self.room.bootstrap(self._now(), epoch, p.parse(table))
        except InputError as e:
            return admin_documents.line(400, e.with_advice())
        self._go_on()
        return admin_documents.line(202, f"epoch {epoch} is offered to the voters")
