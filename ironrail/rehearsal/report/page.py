"""The page for looking: one file that needs nothing beside it."""

from __future__ import annotations

from importlib import resources

import jinja2

from ironrail.rehearsal.report.document import outcome_of
from ironrail.rehearsal.report.plots import plots
from ironrail.rehearsal.report.table import answers_line, figure
from ironrail.rehearsal.run import Result

MOST_HISTORIES = 20


def write_page(result: Result) -> str:
    """The page as HTML."""
    text = (resources.files("ironrail.rehearsal.report") / "page.html.jinja").read_text()
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    return environment.from_string(text).render(
        result=result,
        outcome=outcome_of(result),
        plots=plots(result),
        figure=figure,
        answers=answers_line(result.service.answers),
        late=result.lateness.summary(),
        broken=result.broken[:MOST_HISTORIES],
        parts=_parts(result),
    )


def _parts(result: Result) -> list[tuple[str, object]]:
    service = result.service
    groups = (("class", service.classes), ("title", service.titles), ("hall", service.zones))
    parts: list[tuple[str, object]] = [("whole", service.whole)]
    return parts + [
        (f"{kind} {name}", tally) for kind, group in groups for name, tally in sorted(group.items())
    ]
