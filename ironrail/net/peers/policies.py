"""Drives the consensus protocol of this router: its record on disk and its admin endpoint.

The effective policy is passed to the decision module as an event. It is checked again before each
decision, because a lease may have expired while the process was suspended.
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
from ironrail.net.peers.record_store import RecordError, RecordStore, RecordWriter
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

RECORD_NAME = "accord"  # name under which a voter's record is stored
INITIAL_POLICY_VERSION = 1  # of a policy without fields, which restricts nothing


@dataclass(frozen=True, slots=True)
class ProcessIdentity:
    """The identity of this process at its start.

    Attributes:
        own_index: This router's index among all routers.
        incarnation: Identifier of this process.
        now: Time of the start, in seconds on the router's clock.
        seed: Seed of the consensus protocol's random delays.
    """

    own_index: int
    incarnation: int
    now: float
    seed: int


def read_fallback_policy(path: str) -> p.Policy:
    """Read the policy that applies while there is no effective one.

    With an empty path it is a policy without fields.

    Raises:
        OperatorError: The file can't be used.
    """
    if not path:
        return p.Policy(version=INITIAL_POLICY_VERSION)
    try:
        return p.parse(tomllib.loads(Path(path).read_text()))
    except OSError as e:
        raise OperatorError(e.strerror or str(e), path) from e
    except (ValueError, InputError) as e:  # invalid TOML, UTF-8 or policy
        raise OperatorError(str(e), path) from e


def policy_facts(
    settings: Settings, peers: PeerSettings, regions: Collection[str] = ()
) -> p.ValidationContext:
    """Return what this router validates policies against.

    Titles come with requests, so a policy may name any.
    """
    return p.ValidationContext(
        frozenset(settings.classes), None, frozenset(peers.zones), frozenset(regions)
    )


class Policies:
    """The consensus on policies, as seen by one router.

    Attributes:
        protocol: The consensus protocol that this class drives.
        latest_proposal: The latest change proposed by this router, None before the first.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        settings: Settings,
        peers: PeerSettings,
        store: RecordStore | None,
        publish: Callable[[PolicyOverridesChanged], None],
        now: Callable[[], float],
        flush: Callable[[], None],
        regions: Collection[str] = (),
    ) -> None:
        """Read the record, if any, and start the protocol.

        Args:
            identity: This process.
            settings: Settings from the platform's configuration.
            peers: The operator's settings on peers.
            store: Where a voter stores its record; None if it stores none.
            publish: Receives the effective policy whenever it changes.
            now: The router's clock.
            flush: Sends the protocol's outgoing messages.
            regions: Regions that a policy may name.
        """
        self._publish, self._now, self._flush = publish, now, flush
        conf = ConsensusConfig(
            own_index=identity.own_index,
            incarnation=identity.incarnation,
            routers=len(peers.zones),
            voters=peers.voters,
            lease_seconds=peers.lease_milliseconds / 1000,
            max_clock_drift_ratio=peers.max_clock_drift_ratio,
            persists_records=store is not None,
            starts_on_fallback=peers.start_mode == "floor",
        )
        facts, fallback = (
            policy_facts(settings, peers, regions),
            read_fallback_policy(peers.fallback_policy_file),
        )
        record, self._record_error = self._read_record(store)
        self.protocol = ConsensusNode(conf, facts, fallback, identity.now, identity.seed, record)
        self._record_writer = (
            RecordWriter(store, RECORD_NAME, self._on_record_written) if store is not None else None
        )
        self._published: EffectivePolicy | None = None
        self._valid_until = -math.inf  # when the effective policy has to be checked again
        self.latest_proposal: ProposalHandle | None = None

    def _read_record(self, store: RecordStore | None) -> tuple[bytes | None, InputError | None]:
        """Return the stored record, or None and the error if it can't be read.

        A voter without a record recovers the state from the other voters.
        """
        try:
            record = store.read(RECORD_NAME) if store is not None else None
            if record is not None:
                read_record(record)
            return record, None
        except InputError as e:  # corrupt, or of another version
            log.error("record_unusable", extra={"error": e.with_advice()})
            return None, e
        except OSError as e:
            log.error("record_unread", extra={"error": str(e)})
            return None, RecordError(str(e), RECORD_NAME)

    # The effective policy

    def is_ready(self) -> bool:
        """Return whether there is an effective policy."""
        return self.protocol.effective_policy(self._now()).policy is not None

    def refresh_if_expired(self, now: float) -> None:
        """Refresh the effective policy if it may have expired; called before each decision."""
        if now >= self._valid_until:
            self.refresh()

    def refresh(self) -> None:
        """Store the protocol's new records, and publish the effective policy if it has changed."""
        now = self._now()
        for write in self.protocol.take_records():
            assert self._record_writer is not None
            self._record_writer.enqueue(write.token, write.record)
        decided = self.protocol.effective_policy(now)
        self._valid_until = self.protocol.effective_until(now)
        if decided == self._published:
            return
        before, self._published = self._published, decided
        policy = decided.policy or self.protocol.document_store.fallback
        log.info(
            "decides_by",
            extra={"versions": list(decided.versions), "ready": decided.policy is not None},
        )
        if before is None or policy != (before.policy or self.protocol.document_store.fallback):
            self._publish(
                PolicyOverridesChanged(policy.emptied, policy.shed, policy.further, policy.rates)
            )

    def _on_record_written(self, token: int, error: OSError | None) -> None:
        if error is None:
            self.protocol.on_record_written(self._now(), token)
        else:
            log.error("record_not_kept", extra={"error": str(error)})
            self.protocol.on_record_failed(self._now(), token)
        self._flush()

    def stop(self) -> None:
        """Stop writing records."""
        if self._record_writer is not None:
            self._record_writer.stop()

    # Steering

    def in_force(self) -> EffectivePolicy:
        """Return the effective policy with its versions."""
        return self.protocol.effective_policy(self._now())

    def propose_steering(self, rows: dict[str, dict[str, float]]) -> ProposalHandle:
        """Propose the policy in force with these steering rows in place of its own.

        Raises:
            RejectedError: No proposal can be made now.
            PolicyError: The rows are invalid.
        """
        known, policy = self.protocol.latest_decided, self.in_force().policy
        if known is None or policy is None:
            raise UnreadyError("there is no policy in force", "steering")
        version = max(known.max_tried_version, policy.version) + 1
        self.latest_proposal = self.protocol.propose(
            self._now(), msgspec.structs.replace(policy, version=version, steering=rows)
        )
        self._flush()
        return self.latest_proposal

    # The admin endpoint

    def page(self) -> Response:
        """Return the effective policy and the state of the protocol as JSON."""
        return Response(
            200,
            orjson.dumps(self._status(), option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS)
            + b"\n",
        )

    def _status(self) -> dict[str, Any]:
        now = self._now()
        decided = self.protocol.effective_policy(now)
        ends = self.protocol.effective_until(now)
        status: dict[str, Any] = {
            "versions": list(decided.versions),
            "ready": decided.policy is not None,
            "voters": self.protocol.current_voter_sets(),
            "lease_left": round(ends - now, 3) if ends > now and ends < math.inf else None,
            "policy": admin_documents.policy_fields(decided.policy),
            "troubles": [error.with_advice() for error in self.protocol.faults(now)],
        }
        if self._record_error is not None:
            status["troubles"].append(self._record_error.with_advice())
        if self.latest_proposal is not None:
            status["change"] = {
                "version": self.latest_proposal.ref.version,
                "state": self._proposal_state(self.latest_proposal),
            }
            if self.latest_proposal.error is not None:
                status["change"]["error"] = self.latest_proposal.error.with_advice()
        return status

    @staticmethod
    def _proposal_state(proposal: ProposalHandle) -> str:
        return "under way" if proposal.is_open else "in force" if proposal.in_force else "refused"

    def propose(self, body: bytes) -> Response:
        """Propose the policy in a TOML document.

        A list `voters` in the document replaces the current voters. A document with only `version`
        and `voters` proposes the policy in force unchanged, under that version.

        Args:
            body: The document.

        Returns:
            202 if the proposal has started, 409 if none can be made now, 400 if the document is
            invalid.
        """
        now = self._now()
        try:
            policy, voters = admin_documents.parse_proposal(
                body, lambda: self.protocol.policy_in_force(now)
            )
            self.latest_proposal = self.protocol.propose(now, policy, voters=voters)
        except RejectedError as e:
            return admin_documents.text_response(409, e.with_advice())
        except InputError as e:
            return admin_documents.text_response(400, e.with_advice())
        self._flush()
        return admin_documents.text_response(
            202, f"version {self.latest_proposal.ref.version} is under way: ask for its state"
        )

    def bootstrap(self, body: bytes) -> Response:
        """Bootstrap the consensus with the policy in a TOML document that also has an `epoch`.

        Done by an operator, the first time or after the voters have lost their records.

        Args:
            body: The document.

        Returns:
            202 if the policy is offered to the voters, 400 if the document is invalid.
        """
        try:
            fields = admin_documents.parse_toml(body)
            epoch = fields.pop("epoch", None)
            if not isinstance(epoch, int) or isinstance(epoch, bool):
                raise InputError("must be an integer that was never used before", "epoch")
            self.protocol.bootstrap(self._now(), epoch, p.parse(fields))
        except InputError as e:
            return admin_documents.text_response(400, e.with_advice())
        self._flush()
        return admin_documents.text_response(202, f"epoch {epoch} is offered to the voters")
