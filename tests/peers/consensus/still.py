"""Rooms without chance, in a form that many states of a world can share."""

from __future__ import annotations

import pickle
from typing import Any

from ironrail.peers.consensus import acceptor_recovery, message_handler, node_state, proposer
from ironrail.peers.consensus.consensus_node import ConsensusNode
from ironrail.peers.consensus.document_store import DocumentStore
from tests.peers.consensus.watching import FACTS, FLOOR

LEASE, DRIFT = 2.0, 0.1
EVERY_TICK = {
    (node_state, "RENEWALS"): 2,
    (node_state, "SOON"): 1.0,
    (node_state, "MOST_VAIN"): 0,
    (message_handler, "FETCH_EVERY"): 1.0,
    (message_handler, "UNSETTLED"): 4.0,
    (message_handler, "LEFT_BEHIND"): 0.3,
    (proposer, "AGAIN"): 0.9,
    (acceptor_recovery, "RECOVER_EVERY"): 0.9,
}


class Still(ConsensusNode):
    """Without chance; it remembers its tickets."""

    tickets: tuple[Any, ...] = ()

    def _draw(self) -> float:
        return 0.0


class Shelf(DocumentStore):
    """It has every document."""

    def missing(self, states: Any) -> list[bytes]:
        """Nothing."""
        return []


class Bare(ConsensusNode):
    """Without leases and chance."""

    def __init__(self, *given: Any, **named: Any) -> None:
        super().__init__(*given, **named)
        self.library = Shelf(FACTS, FLOOR)

    def _draw(self) -> float:
        return 0.0

    def _renew(self, now: float) -> None:
        """No leases here."""


class Saved:
    """Each state of a room once, by its number; 0 is none."""

    def __init__(self) -> None:
        self.blobs: list[bytes] = [b""]
        self.ids: dict[bytes, int] = {b"": 0}

    def save(self, room: Any) -> int:
        """Its number."""
        blob = pickle.dumps(room, 5)
        found = self.ids.get(blob)
        if found is None:
            found = self.ids[blob] = len(self.blobs)
            self.blobs.append(blob)
        return found

    def load(self, number: int) -> Any:
        """A room of its own."""
        return pickle.loads(self.blobs[number])
