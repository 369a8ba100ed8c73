"""What the settings of a scenario's routers allow."""

from __future__ import annotations

from ironrail.rehearsal.scenario.base import Table
from ironrail.rehearsal.scenario.units import Seconds


class Limits(Table):
    """Permissions and limits in the settings of routers, in addition to the rules."""

    may_cancel: bool = True  # may abandon one attempt in favour of another
    second_copies: bool = True  # may send a request again while an earlier attempt is open
    dial: Seconds = 0.25  # connect timeout
