"""How late the kit itself is: a run on a machine that is too busy proves nothing about the routers. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from ironrail.rehearsal.account.service import quantiles

MOST_P99 = 0.03  # seconds that one in a hundred sends may be late
MOST_LATE = 0.25  # seconds that any may be


@dataclass(slots=True)
class Lateness:
    """Of the kit's own sends, in seconds."""

    samples: list[float] = field(default_factory=list)

    def add(self, late: float) -> None:
        self.samples.append(max(0.0, late))

    def summary(self) -> dict[str, float]:
        """Median, 99th percentile and the most, in seconds."""
        found = quantiles(self.samples)
        return {
            "median": found.get(0.5, 0.0),
            "p99": found.get(0.99, 0.0),
            "most": max(self.samples, default=0.0),
        }

    def too_late(self) -> str:
        """Why no verdict is possible, or nothing."""
        seen = self.summary()
        if seen["p99"] > MOST_P99:
            return (
                f"one in a hundred sends was {seen['p99'] * 1000:.0f} ms late ({MOST_P99 * 1000:.0f} allowed)"
            )
        if seen["most"] > MOST_LATE:
            return f"a send was {seen['most'] * 1000:.0f} ms late ({MOST_LATE * 1000:.0f} allowed)"
        return ""
