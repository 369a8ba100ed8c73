"""Takes longer to end than the settings' deadlines leave until SIGKILL, and goes on serving meanwhile."""

from __future__ import annotations

from ironrail.connections.downstream.session_manager import ClientSessionManager
from ironrail.net.downstream.client_listener import ClientListener
from ironrail.net.lifecycle import assembly
from ironrail.net.lifecycle.graceful_shutdown import ShutdownSchedule
from ironrail.policy.settings import Settings
from tests.mutants import replace_function, replace_method

FOUND = "one-answer"
SEED = 1
IDLE_CLOSE_SECONDS = 4.0


def break_it() -> None:
    def fixed(settings: Settings) -> ShutdownSchedule:
        return ShutdownSchedule(0.45, IDLE_CLOSE_SECONDS, 4.2, 4.4, 4.5)

    def start_draining(self: ClientListener) -> None:
        """Connections stay open behind their answers."""

    def sessions_to_close(self: ClientSessionManager, now: float, close_partial: bool) -> list[object]:
        self.is_draining = True
        return list(self)

    replace_function(assembly, "shutdown_schedule", fixed)
    replace_method(ClientListener, "start_draining", start_draining)
    replace_method(ClientSessionManager, "sessions_to_close", sessions_to_close)
