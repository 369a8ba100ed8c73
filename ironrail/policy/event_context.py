"""The event that is being handled: its time, and the actions emitted for it so far."""

from __future__ import annotations

from ironrail.policy.actions import Action


class EventContext:
    """Shared by the router, which resets it for each event, and the parts that append actions."""

    def __init__(self, now: float) -> None:
        self.now = now  # seconds on the host's clock
        self.actions: list[Action] = []

    def begin(self, now: float) -> None:
        """Start on the next event."""
        self.now = now
        self.actions = []
