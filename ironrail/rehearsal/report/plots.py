"""Plots of a run as SVG, with its faults as bands."""

from __future__ import annotations

import io
import math
from collections.abc import Callable

import matplotlib
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from ironrail.rehearsal.account.service import WINDOW_SECONDS
from ironrail.rehearsal.report.series import series
from ironrail.rehearsal.run import Result

WIDTH, HEIGHT = 11.0, 2.4  # inches of one plot
COLOURS = {
    "served": "#2a9d5c",
    "refused": "#e9a23b",
    "failed": "#c8452f",
    "unanswered": "#6b1f3a",
    "unconnected": "#7a7a7a",
}
BANDS = ("#4477aa", "#ee6677", "#228833", "#ccbb44", "#66ccee", "#aa3377")


def plots(result: Result) -> list[tuple[str, str]]:
    """A title and an SVG element for each plot."""
    told, samples = series(result), [s for s in result.samples if s.at >= 0]
    times = [s.at for s in samples]

    def service(axes: Axes) -> None:
        axes.plot(told.seconds, told.service, color=COLOURS["served"], drawstyle="steps-post")
        axes.set_ylim(0, 1.04)

    def outcomes(axes: Axes) -> None:
        for name, counts in told.outcomes.items():
            if any(counts):
                axes.plot(told.seconds, counts, color=COLOURS[name], drawstyle="steps-post", label=name)
        axes.legend(loc="upper right", fontsize=8)

    def archive(axes: Axes) -> None:
        axes.plot(told.seconds, told.fetches, drawstyle="steps-post", label="fetches a second")
        axes.plot(times, [s.archive for s in samples], alpha=0.6, label="in hand")
        axes.legend(loc="upper right", fontsize=8)

    def in_flight(axes: Axes) -> None:
        axes.plot(times, [s.waiting for s in samples], label="awaited by clients")
        axes.plot(times, [s.in_caches for s in samples], label="jobs at caches")
        axes.plot(times, [s.connections for s in samples], label="connections to caches", alpha=0.6)
        axes.legend(loc="upper right", fontsize=8)

    def memory(axes: Axes) -> None:
        axes.plot(times, [s.memory / 1024**2 for s in samples], label="MB of the largest router")
        axes.plot(times, [s.descriptors for s in samples], label="descriptors of one router")
        axes.set_ylim(bottom=0)
        axes.legend(loc="lower right", fontsize=8)

    def faults(axes: Axes) -> None:
        for i, planned in enumerate(result.plan):
            bar = axes.barh(
                i, planned.fault.lasts, left=planned.fault.at, color=BANDS[i % len(BANDS)], alpha=0.6
            )
            axes.bar_label(bar, [f" {planned.label()}"[:60]], label_type="center", fontsize=8)
        axes.set_yticks([])
        axes.invert_yaxis()

    def losses(axes: Axes) -> None:
        laid = result.laid
        assert laid is not None
        numbers = range(math.ceil(result.scenario.length / WINDOW_SECONDS))
        edges, below = [n * WINDOW_SECONDS for n in numbers], [0.0 for _ in numbers]
        for cause, _ in laid.largest_first():
            worth = [laid.windows.get(n, {}).get(cause, 0.0) for n in numbers]
            axes.bar(edges, worth, WINDOW_SECONDS, below, align="edge", label=cause, edgecolor="white")
            below = [low + high for low, high in zip(below, worth, strict=True)]
        axes.legend(loc="upper right", fontsize=7)

    drawn: list[tuple[str, Callable[[Axes], None]]] = [("What went wrong", faults)] if result.plan else []
    drawn += [
        ("Service: share of first tries answered within the wanted time", service),
        ("How tries ended, a second", outcomes),
        ("Archive", archive),
        ("In flight", in_flight),
        ("Routers", memory),
    ]
    if result.laid is not None and result.laid.causes:
        drawn.insert(
            -4, ("Where the worth went: lost in each window, by what took most of a request's time", losses)
        )
    return [(title, _draw(result, draw)) for title, draw in drawn]


def _draw(result: Result, draw: Callable[[Axes], None]) -> str:
    def with_faults(axes: Axes) -> None:
        draw(axes)
        for i, planned in enumerate(result.plan):
            axes.axvspan(planned.fault.at, planned.ends, color=BANDS[i % len(BANDS)], alpha=0.1, lw=0)
        axes.set_xlim(0, result.scenario.length)
        axes.set_xlabel("seconds")
        axes.grid(alpha=0.25)

    return svg_of(HEIGHT, with_faults)


def svg_of(height: float, draw: Callable[[Axes], None]) -> str:
    """One plot as an SVG element, so many inches high."""
    # text stays text, and the same run gives the same file
    with matplotlib.rc_context({"svg.fonttype": "none", "svg.hashsalt": "ironrail", "font.size": 9}):
        figure = Figure(figsize=(WIDTH, height), layout="constrained")
        draw(figure.add_subplot())
        out = io.StringIO()
        figure.savefig(out, format="svg", metadata={"Date": None, "Creator": None})
    svg = out.getvalue()
    return svg[svg.index("<svg") :]
