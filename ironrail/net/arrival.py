"""When what is read from one client's connection may have come at the earliest."""

from __future__ import annotations

from ironrail.net.loop_monitor import LoopMonitor
from ironrail.net.system import System

JUST_ACCEPTED_SECONDS = 0.02  # in which the first bytes that came with a connection are read


class ArrivalEstimate:
    """Follows one connection: behind a hold-up its bytes have waited, and so may the connection itself."""

    def __init__(self, system: System, monitor: LoopMonitor, connected_at: float) -> None:
        """`connected_at`: when the connection may have come up at the earliest."""
        self._system = system
        self._monitor = monitor
        self._connected_at: float | None = connected_at
        self._accepted_at = system.now()

    def earliest(self) -> float:
        """Called once for each read, as it is read."""
        earliest = self._monitor.earliest_arrival()
        if self._connected_at is None:
            return earliest
        # accepted behind a hold-up, and read some turns of the loop later: it may have come all the same
        connected_at, self._connected_at = self._connected_at, None
        just_accepted = self._system.now() - self._accepted_at < JUST_ACCEPTED_SECONDS
        return min(earliest, connected_at) if just_accepted else earliest
