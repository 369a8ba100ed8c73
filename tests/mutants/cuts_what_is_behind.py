"""Once told to end it closes each connection behind the next answer, whatever else has come on it."""

from __future__ import annotations

from ironrail.connections.downstream.client_session import ClientSession
from ironrail.connections.downstream.session_manager import ClientSessionManager, NextAction

RULE, SCENARIO = "rule one-answer", "days.toml"


def break_it() -> None:
    record_progress = ClientSessionManager.record_progress

    def hasty(
        self: ClientSessionManager,
        session: ClientSession,
        written: int,
        has_partial_command: bool,
        is_closing: bool = False,
    ) -> NextAction:
        due = record_progress(self, session, written, has_partial_command, is_closing)
        return NextAction.CLOSE if self.is_draining and written and not is_closing else due

    ClientSessionManager.record_progress = hasty  # type: ignore[method-assign]
