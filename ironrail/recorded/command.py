"""`ironrail trace`: import logs, look at traces, and make other traces of them."""

from __future__ import annotations

import click

from ironrail.recorded.looking import diff, show, stats
from ironrail.recorded.making import anonymise, cut, import_, scale


@click.group()
def trace() -> None:
    """Recorded load: logs and HAR files as traces that can be rehearsed."""


for command in (import_, stats, show, cut, scale, anonymise, diff):
    trace.add_command(command)
