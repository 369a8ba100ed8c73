"""The page of a trace: rate, mix, popularity and sizes, in one file that stands alone."""

from __future__ import annotations

import html

from matplotlib.axes import Axes

from ironrail.recorded.mix import SIZES, Mix
from ironrail.rehearsal.experiments.page import STYLE
from ironrail.rehearsal.report.plots import svg_of

HEIGHT = 2.4  # inches of a plot
MOST_POINTS = 1200  # of the rate: more can't be seen


def write_page(name: str, mix: Mix) -> str:
    """The page as HTML."""
    title = html.escape(name)
    parts = [
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{title}</title>",
        f"<style>{STYLE}</style><h1>{title}</h1>",
    ]
    if not mix.entries:
        return "\n".join([*parts, "<p>An empty trace.</p>"]) + "\n"
    parts.append(
        f"<p>{mix.entries} requests in {mix.length:.1f} s, {mix.rate:.1f} a second; variance over mean of a"
        f" second's requests {mix.burstiness():.2f}; {len(mix.keys)} keys.</p>"
    )

    def rate(axes: Axes) -> None:
        seconds = int(mix.length) + 1
        step = max(1, seconds // MOST_POINTS)
        counts = [0.0] * ((seconds + step - 1) // step)
        for second, count in mix.seconds.items():
            counts[min(second // step, len(counts) - 1)] += count / step
        axes.plot([i * step for i in range(len(counts))], counts, drawstyle="steps-post")
        axes.set_xlabel("seconds")
        axes.set_ylim(bottom=0)

    def shares(axes: Axes) -> None:
        rows = [(f"class {n}", c) for n, c in mix.kinds.most_common(8)]
        rows += [(f"title {n}", c) for n, c in mix.titles.most_common(8)]
        bars = axes.barh([n for n, _ in rows], [c / mix.entries for _, c in rows])
        axes.bar_label(bars, [f" {c / mix.entries:.1%}" for _, c in rows], fontsize=8)
        axes.invert_yaxis()

    def popularity(axes: Axes) -> None:
        counts = [count for _, count in mix.keys.most_common(10_000)]
        axes.loglog(range(1, len(counts) + 1), counts, ".", markersize=3)
        axes.set_xlabel("rank of the key")

    def sizes(axes: Axes) -> None:
        names = [f"up to {bound} B" for bound in SIZES] + ["larger", "unknown"]
        axes.bar(names, [mix.sizes[name] / mix.entries for name in names])
        axes.tick_params(axis="x", labelsize=7, rotation=20)

    drawn = (
        ("Requests a second", rate),
        ("Mix", shares),
        ("Popularity of keys", popularity),
        ("Sizes", sizes),
    )
    for heading, draw in drawn:
        parts += [f"<h2>{heading}</h2>", svg_of(HEIGHT * (1.6 if draw is shares else 1.0), draw)]
    return "\n".join(parts) + "\n"
