"""The page of an experiment: effects by family with their intervals, in one file that stands alone."""

from __future__ import annotations

import html
import math

from matplotlib.axes import Axes

from ironrail.rehearsal.experiments.compare import Compared, Interval, Word
from ironrail.rehearsal.experiments.plan import Experiment
from ironrail.rehearsal.experiments.run import State
from ironrail.rehearsal.report.plots import svg_of

LEAST_SHOWN = 0.00005  # of what was asked for: a smaller change would be shown as none
ROW = 0.32  # inches of one interval
COLOURS = {Word.BETTER: "#2a9d5c", Word.WORSE: "#c8452f", Word.SAME: "#4477aa", Word.OPEN: "#9a6a00"}
STYLE = (
    "body { font: 15px/1.45 system-ui, sans-serif; max-width: 1100px; margin: 2rem auto; padding: 0 1rem;"
    " color: #1c2530 } h1 { font-size: 1.4rem } svg { width: 100%; height: auto }"
    " td, th { padding: .15rem .8rem .15rem 0; text-align: left }"
    " tr + tr td { border-top: 1px solid #e3e7eb }"
)


def write_page(described: Experiment, state: State) -> str:
    """The page as HTML."""
    settled = "settled" if state.settled else "not settled"
    parts = [
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(described.question)}</title>",
        f"<style>{STYLE}</style><h1>{html.escape(described.question)}</h1>",
        f"<p>{state.looks} of {described.stop.looks} looks, {settled}. Differences of service from"
        f" {html.escape(described.variants[0].name)}, paired by world and seed; a difference within"
        f" {described.stop.margin:g} is none that matters.</p>",
    ]
    for one in state.compared:
        parts += [f"<h2>{html.escape(one.variant)}: {one.word}</h2>", _plot(described, one), _table(one)]
    return "\n".join(parts) + "\n"


def _table(one: Compared) -> str:
    rows = sorted(one.losses.items(), key=lambda row: row[1])
    told = "".join(
        f"<tr><td>{html.escape(cause)}<td>{share:+.4f}" for cause, share in rows if abs(share) >= LEAST_SHOWN
    )
    worse = ", ".join(f"{family} {seed} ({diff:+.3f})" for diff, family, seed in one.worst if diff < 0)
    return (
        f"<p>Rules broken: {one.broken}, by the reference {one.reference_broken}."
        f"{' It lost most in: ' + html.escape(worse) + '.' if worse else ''}</p>"
        f"{'<table><tr><th>lost to<th>more of what was asked for' + told + '</table>' if told else ''}"
    )


def _plot(described: Experiment, one: Compared) -> str:
    """Each family's mean and interval, the whole on top."""
    rows: list[tuple[str, Interval]] = [("all", one.whole), *one.families.items()]

    def draw(axes: Axes) -> None:
        for y, (_, interval) in enumerate(rows):
            colour = COLOURS[interval.word(described.stop.margin)]
            axes.plot(interval.mean, y, "o", color=colour)
            if not math.isinf(interval.low):
                axes.plot([interval.low, interval.high], [y, y], color=colour, lw=2)
        margin = described.stop.margin
        axes.axvspan(-margin, margin, color="#1c2530", alpha=0.08, lw=0)
        axes.axvline(0, color="#1c2530", lw=0.8)
        axes.set_yticks(range(len(rows)), [f"{name} ({interval.pairs})" for name, interval in rows])
        axes.invert_yaxis()
        axes.set_xlabel("difference of service")
        axes.grid(alpha=0.25, axis="x")

    return svg_of(0.9 + ROW * len(rows), draw)
