"""Admission and eviction of client sessions, and the next action on each.

Without I/O: methods get events and the time, and return actions. The caller owns the sockets.
Times are seconds on one monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from ironrail.connections.downstream.client_session import (
    MAX_CONSECUTIVE_BAD_COMMANDS,
    ClientSession,
)
from ironrail.connections.downstream.idle_retention import IdleRetention
from ironrail.connections.downstream.session_timeouts import may_close_for_shutdown

MAX_EVICTION_CHECKS = 8
"""Sessions that may be considered for eviction each time one becomes idle."""


class NextAction(Enum):
    """What to do with a session once its responses are written."""

    NOTHING = "nothing"
    PARSE = "parse"
    """Parse the input that was read and not parsed."""
    FINISH = "finish"
    """The last response is written: close the connection once that is sent."""
    CLOSE = "close"
    """The session is idle, and the router shuts down or the client migrates."""
    EVICT_IDLE = "evict_idle"
    """The session became idle, and others may have to be evicted."""


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a new connection is admitted, and the session that is evicted for it."""

    admitted: bool
    evicted: ClientSession | None = None


class ClientSessionManager:
    """All client sessions of one router."""

    def __init__(self, max_sessions: int, max_retained_sessions: int) -> None:
        """Start without sessions.

        Args:
            max_sessions: Sessions at a time.
            max_retained_sessions: Used sessions beyond which idle ones are evicted.
        """
        self.max_sessions = max_sessions
        self.retention = IdleRetention(max_retained_sessions)
        self.is_draining = False
        self.rejected_count = 0
        """Connections that were not admitted."""
        # Without a valid command so far; the one that has been silent longest is first.
        self._unused: dict[ClientSession, None] = {}
        # The least recently used is first.
        self._used: dict[ClientSession, None] = {}
        # Used ones without a pending response; the one that has been idle longest is first.
        self._idle = OrderedDict[ClientSession, None]()
        self._opening = 0
        self._eviction_checks_left = 0

    def __iter__(self) -> Iterator[ClientSession]:
        return iter([*self._unused, *self._used])

    def __len__(self) -> int:
        return len(self._unused) + len(self._used)

    # Admission

    def admit(self) -> Admission:
        """Decide on a new connection, and on the session that is evicted at the limit.

        Sessions that were never used are evicted first, beginning with the one that has been silent
        longest, so that a session whose command is still arriving is kept. Then follows the session
        that has been idle longest.
        """
        if len(self) + self._opening < self.max_sessions:
            self._opening += 1
            return Admission(True)
        evicted = next(iter(self._unused), None) or next(iter(self._idle), None)
        if evicted is None:
            self.rejected_count += 1
            return Admission(False)
        self.remove(evicted)
        self._opening += 1
        return Admission(True, evicted)

    def add(self, now: float) -> ClientSession:
        """Begin the session of an admitted connection."""
        self._opening -= 1
        session = ClientSession(now, now)
        self._unused[session] = None
        return session

    def cancel_admission(self) -> None:
        """Stop counting an admitted connection that ended before its session began."""
        self._opening -= 1

    def remove(self, session: ClientSession) -> None:
        """Remove a session that has ended or is being closed."""
        self._unused.pop(session, None)
        self._used.pop(session, None)
        self._idle.pop(session, None)

    # Commands

    def record_data(self, now: float, session: ClientSession) -> None:
        """Record that bytes were received."""
        session.last_received_at = now
        if session in self._idle:
            del self._idle[session]
            self.retention.session_reused()
        if session in self._unused:
            del self._unused[session]
            self._unused[session] = None
        if not session.has_partial_command and session.has_been_used:
            session.wait_started_at = now

    def record_command(self, now: float, session: ClientSession, is_valid: bool) -> None:
        """Record a complete command; too many invalid ones in a row end the session."""
        session.pending_responses += 1
        if is_valid:
            session.consecutive_bad_commands = 0
            session.wait_started_at = now
            session.has_been_used = True
            self._move_to_most_recently_used(session)
            return
        session.consecutive_bad_commands += 1
        if session.consecutive_bad_commands >= MAX_CONSECUTIVE_BAD_COMMANDS:
            session.end()

    def _move_to_most_recently_used(self, session: ClientSession) -> None:
        is_known = session in self._unused or session in self._used
        self._unused.pop(session, None)
        self._used.pop(session, None)
        if is_known:
            self._used[session] = None

    def record_progress(
        self,
        session: ClientSession,
        written: int,
        has_partial_command: bool,
        is_closing: bool = False,
    ) -> NextAction:
        """Record written responses and the parser's state, and return the next action.

        Args:
            session: The session whose input was parsed or whose responses were written.
            written: Responses written since the last call.
            has_partial_command: Whether the parser has received a part of a command.
            is_closing: Whether the connection is closing already.
        """
        session.pending_responses -= written
        session.update_progress(has_partial_command)
        if session.has_unparsed_input and session.accepts_commands:
            return NextAction.PARSE
        if is_closing:
            return NextAction.NOTHING
        if session.is_ending:
            return NextAction.FINISH if session.pending_responses == 0 else NextAction.NOTHING
        if session.is_idle:
            return self._action_when_idle(session)
        return NextAction.NOTHING

    def _action_when_idle(self, session: ClientSession) -> NextAction:
        if self.is_draining or session.is_migrating:
            return NextAction.CLOSE
        if session not in self._used:
            return NextAction.NOTHING
        self._idle[session] = None
        self._eviction_checks_left = MAX_EVICTION_CHECKS
        return NextAction.EVICT_IDLE

    # Eviction of idle sessions

    def next_idle_to_evict(self) -> ClientSession | None:
        """Return the session that has been idle longest if too many are retained.

        The session used last is never evicted, as its client most likely uses it again. The
        caller closes the returned one if no data would be lost and calls `remove`, or otherwise
        calls `defer_eviction`, and then asks again.
        """
        is_within_limit = len(self._used) <= self.retention.session_limit()
        if is_within_limit or len(self._idle) <= 1 or self._eviction_checks_left <= 0:
            return None
        self._eviction_checks_left -= 1
        self.retention.session_evicted()
        return next(iter(self._idle))

    def defer_eviction(self, session: ClientSession) -> None:
        """Keep a session that can't be closed now without losing data."""
        self._idle.move_to_end(session)

    # Shutdown

    def sessions_to_close(self, now: float, close_partial: bool) -> list[ClientSession]:
        """Sessions that a graceful shutdown need not wait for any longer."""
        return [one for one in self if may_close_for_shutdown(one, now, close_partial)]
