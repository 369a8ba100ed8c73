"""As `launch`, with other times for a change: seconds until it is given up, and until one left behind is.

What a proposer left behind is taken back after 50 s with the daemon's own, too long for a run of seconds.
Nothing else of the daemon differs.
"""

from __future__ import annotations

import sys

from ironrail.peers.accord import core
from ironrail.peers.accord.room import AccordRoom
from ironrail.rehearsal.links import launch


def shorten(deadline: float, left_behind: float) -> None:
    """Have this process use these."""
    constants = vars(core)
    assert AccordRoom.propose.__defaults__ == (constants["DEADLINE"],), "the deadline stands elsewhere now"
    AccordRoom.propose.__defaults__ = (deadline,)
    constants["DEADLINE"], constants["LEFT_BEHIND"] = deadline, left_behind / deadline


if __name__ == "__main__":
    shorten(float(sys.argv[1]), float(sys.argv[2]))
    sys.exit(launch.main(sys.argv[3:]))
