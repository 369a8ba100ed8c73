"""The event in hand: when it happened, and the actions that answer it so far."""

from __future__ import annotations

from ironrail.policy.actions import Action


class EventContext:
    """Shared by the router, which begins it anew with each event, and by what appends actions."""

    def __init__(self, now: float) -> None:
        self.now = now  # seconds on the host's clock
        self.actions: list[Action] = []

    def begin(self, now: float) -> None:
        """Start on the next event."""
        self.now = now
        self.actions = []
