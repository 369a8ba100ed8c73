"""The form of what the settings allow a router."""

from __future__ import annotations

from ironrail.rehearsal.scenario.base import Table
from ironrail.rehearsal.scenario.units import Seconds


class Limits(Table):
    """What the settings allow routers beside the rules."""

    may_cancel: bool = True  # to give up one attempt and go on with others
    second_copies: bool = True  # to send a request while an earlier attempt of it is out
    dial: Seconds = 0.25
