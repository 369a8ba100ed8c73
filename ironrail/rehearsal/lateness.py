"""Measures how late the kit itself is: a run on an overloaded machine says nothing about the routers."""

from __future__ import annotations

from dataclasses import dataclass, field

from ironrail.rehearsal.account.service import quantiles

MAX_P99_SECONDS = 0.03  # allowed 99th percentile of the delay of sends
MAX_LATENESS_SECONDS = 0.25  # allowed delay of a single send


@dataclass(slots=True)
class Lateness:
    """Delays of the kit's own sends, in seconds."""

    samples: list[float] = field(default_factory=list)

    def add(self, late: float) -> None:
        self.samples.append(max(0.0, late))

    def summary(self) -> dict[str, float]:
        """Return the median, the 99th percentile and the maximum, in seconds."""
        found = quantiles(self.samples)
        return {
            "median": found.get(0.5, 0.0),
            "p99": found.get(0.99, 0.0),
            "most": max(self.samples, default=0.0),
        }

    def too_late(self) -> str:
        """Return why no verdict is possible, empty if the kit was on time."""
        seen = self.summary()
        if seen["p99"] > MAX_P99_SECONDS:
            return (
                f"one in a hundred sends was {seen['p99'] * 1000:.0f} ms late"
                f" ({MAX_P99_SECONDS * 1000:.0f} allowed)"
            )
        if seen["most"] > MAX_LATENESS_SECONDS:
            return f"a send was {seen['most'] * 1000:.0f} ms late ({MAX_LATENESS_SECONDS * 1000:.0f} allowed)"
        return ""
