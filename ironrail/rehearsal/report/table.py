"""The report for the terminal."""

from __future__ import annotations

import math

from rich.console import Console
from rich.table import Table

from ironrail.rehearsal.account.answers import Answers
from ironrail.rehearsal.losses.lay import Laid
from ironrail.rehearsal.pipelines import Line
from ironrail.rehearsal.report.document import outcome_of
from ironrail.rehearsal.run import Result
from ironrail.rehearsal.verdicts import Verdict

MOST_HISTORIES = 3
SIZES = ("memory of a router", "log of a router")  # verdicts in bytes


def print_report(console: Console, result: Result) -> None:
    """Verdicts, service in parts, and the first broken rules with their histories."""
    console.print(_verdicts(result))
    console.print(_service(result))
    console.print(answers_line(result.service.answers), highlight=False)
    if result.laid is not None and result.laid.causes:
        console.print(_losses(result.laid))
    for violation in result.broken[:MOST_HISTORIES]:
        console.print(f"[bold red]{violation.rule}[/]: {violation.what}")
        for line in violation.history:
            console.print(f"    {line}", highlight=False, markup=False)
    if len(result.broken) > MOST_HISTORIES:
        console.print(f"and {len(result.broken) - MOST_HISTORIES} more (--json FILE has their histories)")
    late = result.lateness.summary()
    own = f"p99 {late['p99'] * 1000:.1f} ms, most {late['most'] * 1000:.1f} ms"
    exact = f"in virtual time, events {result.digest}" if result.digest else f"the kit's own lateness: {own}"
    console.print(f"seed {result.seed}, schedule {result.schedule_digest}; {exact}", highlight=False)
    if result.no_verdict:
        console.print(f"[bold yellow]no verdict[/]: the machine was too busy: {result.no_verdict}")
    else:
        colour = "green" if result.kept else "red"
        console.print(f"[bold {colour}]{outcome_of(result)}[/]")


def depth_table(summary: str, lines: list[Line]) -> Table:
    """The comparison of depths."""
    table = Table(title=f"{summary}: requests behind one another on a connection", title_justify="left")
    names = ("depth", "allowed", "connections", "handshakes", "p50", "p90", "p99", "p99.9", "attempts")
    for name in (*names, "lost behind", "retries", "service", "drains broken", "rules broken"):
        table.add_column(name, justify="left" if name == "depth" else "right")
    for line in lines:
        times = [f"{line.latencies.get(q, 0.0) * 1000:.0f} ms" for q in (0.5, 0.9, 0.99, 0.999)]
        counts = [str(n) for n in (line.attempts, line.lost_behind, line.retries)]
        ends = [f"{line.service:.3f}", str(line.drained), str(line.broken)]
        head = [line.depth, str(line.allowed), f"{line.connections:.1f}", str(line.handshakes)]
        table.add_row(*head, *times, *counts, *ends)
    return table


def figure(verdict: Verdict, value: float) -> str:
    """A bound or a measured value as people read it."""
    if math.isinf(value):
        return "never"
    if verdict.name in SIZES:
        return f"{value / 1024**2:.1f} MB"
    return f"{value:.0f}" if value == int(value) and not verdict.at_least else f"{value:.3f}"


def answers_line(answers: Answers) -> str:
    """How the tries were answered that routers took."""
    a = answers
    return (
        f"of {a.taken} tries taken: {a.refused} refused ({a.unsent_failed} failed and never sent on,"
        f" {a.closed_new} new connections closed, {a.untimed} named no time), {a.lost} lost"
    )


def _verdicts(result: Result) -> Table:
    table = Table(title=result.scenario.summary, title_justify="left")
    for name in ("verdict", "", "measured", "bound", ""):
        table.add_column(name, justify="right" if name in ("measured", "bound") else "left")
    for verdict in result.verdicts:
        sign = "≥" if verdict.at_least else "≤"
        table.add_row(
            verdict.name,
            "[green]kept[/]" if verdict.kept else "[bold red]FAILED[/]",
            figure(verdict, verdict.measured),
            f"{sign} {figure(verdict, verdict.bound)}",
            verdict.note,
        )
    return table


def _losses(laid: Laid) -> Table:
    table = Table(title=f"Where the worth went: {laid.whole:.1f} lost", title_justify="left")
    for name in ("what took most of its time", "share", "worth", "requests", "one of them"):
        table.add_column(name, justify="left" if name[-1] in "em" else "right")
    for cause, worth in laid.largest_first():
        share, count = f"{worth / laid.whole:.1%}", str(laid.requests[cause])
        table.add_row(cause, share, f"{worth:.1f}", count, laid.examples[cause])
    return table


def _service(result: Result) -> Table:
    service = result.service
    table = Table(title="Service: worth answered in time over worth asked for", title_justify="left")
    names = ("", "share", "worth asked", "served", "first tries", "in time", "late", "unserved")
    for name in (*names, "median", "p99", "p99.9", "judged"):
        table.add_column(name, justify="right" if name and name != "judged" else "left")
    parts = {"whole": service.whole}
    for kind, group in (("class", service.classes), ("title", service.titles), ("hall", service.zones)):
        parts |= {f"{kind} {name}": tally for name, tally in sorted(group.items())}
    for name, tally in parts.items():
        latencies = service.latencies.get(name.removeprefix("class "), {})
        shown = [f"{latencies[q] * 1000:.0f} ms" if q in latencies else "" for q in (0.5, 0.99, 0.999)]
        counts = [str(n) for n in (tally.first_tries, tally.in_time, tally.late, tally.unserved)]
        worth = [f"{tally.share:.3f}", f"{tally.asked:.0f}", f"{tally.answered:.0f}"]
        table.add_row(name, *worth, *counts, *shown, "yes" if tally.judged else "")
    return table
