"""Deterministic nodes, and snapshots of them that many explored states share."""

from __future__ import annotations

import pickle
from typing import Any

from ironrail.peers.consensus import acceptor_recovery, message_handler, node_state, proposer
from ironrail.peers.consensus.consensus_node import ConsensusNode
from ironrail.peers.consensus.document_store import DocumentStore
from tests.peers.consensus.invariants import CONTEXT, FALLBACK

LEASE_TICKS, DRIFT_RATIO = 2.0, 0.1
TICK_CONSTANTS = {
    (node_state, "RENEWALS_PER_LEASE"): 2,
    (node_state, "INITIAL_RETRY_SECONDS"): 1.0,
    (node_state, "MAX_BACKOFF_DOUBLINGS"): 0,
    (message_handler, "DOCUMENT_RETRY_SECONDS"): 1.0,
    (message_handler, "UNSETTLED_TIMEOUT_SECONDS"): 4.0,
    (message_handler, "ABANDONED_DEADLINE_FACTOR"): 0.3,
    (proposer, "ATTEMPT_TIMEOUT_SECONDS"): 0.9,
    (acceptor_recovery, "RECOVERY_RETRY_SECONDS"): 0.9,
}


class DeterministicNode(ConsensusNode):
    """A node without random choices, which remembers its handles."""

    handles: tuple[Any, ...] = ()

    def _draw(self) -> float:
        return 0.0


class CompleteDocumentStore(DocumentStore):
    """A store that has every document."""

    def missing(self, states: Any) -> list[bytes]:
        """Return nothing."""
        return []


class RegisterOnlyNode(ConsensusNode):
    """A node without leases and random choices."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.document_store = CompleteDocumentStore(CONTEXT, FALLBACK)

    def _draw(self) -> float:
        return 0.0

    def _send_lease_request(self, now: float) -> None:
        """Send nothing: there are no leases."""


class Snapshots:
    """Snapshots of nodes, each stored once, by number; 0 is no node."""

    def __init__(self) -> None:
        self.snapshots: list[bytes] = [b""]
        self.numbers: dict[bytes, int] = {b"": 0}

    def save(self, protocol: Any) -> int:
        """Return the number of the node's snapshot."""
        snapshot = pickle.dumps(protocol, 5)
        number = self.numbers.get(snapshot)
        if number is None:
            number = self.numbers[snapshot] = len(self.snapshots)
            self.snapshots.append(snapshot)
        return number

    def load(self, number: int) -> Any:
        """Return a new node from a snapshot."""
        return pickle.loads(self.snapshots[number])
