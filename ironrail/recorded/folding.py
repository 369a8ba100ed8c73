"""Retries of the recorded clients: those are what became of a request, not another one. Pure.

A rehearsal's clients try again by themselves; replaying recorded retries as well would double them. A request
is a retry of an earlier one if the same client asks for the same thing (class and key, and the same
idempotency key where there is one) after the earlier one failed or had no answer, and soon enough that it was
still the same wish. Where an answer had been served, asking again is a wish of its own.
"""

from __future__ import annotations

from collections import OrderedDict

from ironrail.recorded.entry import Entry

FAILED_FROM = 500  # statuses from here on are failures, as are those below
TURNED_AWAY = frozenset({0, 408, 425, 429, 499})  # no answer, or come again
MOST_OPEN = 200_000  # failures remembered at once; the oldest go first


class Folder:
    """Tells retries from new requests, as they come in order of time."""

    def __init__(self, within: float, most: int = MOST_OPEN) -> None:
        """`within`: seconds from the end of a failed request in which the same one is its retry."""
        self._within, self._most = within, most
        self._failed: OrderedDict[tuple[str, str, str, str], float] = OrderedDict()

    def retry(self, entry: Entry) -> bool:
        """Whether this one is a retry. Without a client or an idempotency key nothing can be told."""
        if not entry.client and not entry.idempotency:
            return False
        wish = (entry.client, entry.kind, entry.key, entry.idempotency)
        until = self._failed.pop(wish, None)
        if entry.status >= FAILED_FROM or entry.status in TURNED_AWAY:
            self._failed[wish] = entry.at + entry.took + self._within
            if len(self._failed) > self._most:
                self._failed.popitem(last=False)
        return until is not None and entry.at <= until
