"""Metrics of a router since its start, in the statsd format.

`NAME:VALUE|c` is a counter since the start, `NAME:VALUE|g` a gauge.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Mapping

PREFIX = "edge_node"
# Characters of a request class name that are invalid in a statsd name.
RESERVED_CHARACTERS = re.compile(r"[^\w.-]")


class RequestMetrics:
    """Counts final responses by request class, and attempts written to servers.

    Attributes:
        success: Requests that were served, by class.
        busy: Requests that were rejected without effect, by class.
        failure: Requests that failed and may have run, by class.
        attempts: Attempts written to servers.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        """Count from 0 for each of these request classes, which must be all that exist."""
        names = list(classes)
        self.success = dict.fromkeys(names, 0)
        self.busy = dict.fromkeys(names, 0)
        self.failure = dict.fromkeys(names, 0)
        self.attempts = 0

    def attempt_written(self) -> None:
        """Count an attempt that was written to a server."""
        self.attempts += 1

    def render(self, gauges: Mapping[str, int], counters: Iterable[tuple[str, int]] = ()) -> bytes:
        """Return all metrics, one per line, with the caller's gauges and counters."""
        lines = list(self._answer_lines())
        lines.append(f"{PREFIX}.backend_calls:{self.attempts}|c")
        lines += [f"{PREFIX}.{name}:{value}|c" for name, value in counters]
        lines += [f"{PREFIX}.{name}:{value}|g" for name, value in gauges.items()]
        return "".join(line + "\n" for line in lines).encode()

    def _answer_lines(self) -> Iterator[str]:
        outcomes = {"success": self.success, "busy": self.busy, "failure": self.failure}
        for outcome, counts in outcomes.items():
            for request_class, count in counts.items():
                label = RESERVED_CHARACTERS.sub("_", request_class)
                yield f"{PREFIX}.{outcome}.{label}:{count}|c"
