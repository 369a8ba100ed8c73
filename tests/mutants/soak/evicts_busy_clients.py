"""Makes room for a new client by closing the connection that was used last, whatever is pending on it."""

from __future__ import annotations

from ironrail.connections.downstream.session_manager import Admission, ClientSessionManager
from tests.mutants import replace_method

FOUND = "one-answer: never answered"
SEED = 1


def break_it() -> None:
    def admit(self: ClientSessionManager) -> Admission:
        evicted = None
        if len(self) + self._opening >= self.max_sessions:
            evicted = next(reversed(self._used), None) or next(iter(self._unused))
            self.remove(evicted)
        self._opening += 1
        return Admission(True, evicted)

    replace_method(ClientSessionManager, "admit", admit)
