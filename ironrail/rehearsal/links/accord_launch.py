"""As `launch`, with another deadline for a change, in seconds: the first argument.

What a proposer left behind is taken back after a multiple of that deadline: 50 s with the daemon's own, too
long for a run of seconds. Nothing else of the daemon differs.
"""

from __future__ import annotations

import sys

from ironrail.peers.accord import core
from ironrail.peers.accord.room import AccordRoom
from ironrail.rehearsal.links import launch


def shorten(seconds: float) -> None:
    """Have changes of this process end, and those left behind be taken back, as if the deadline were this."""
    constants = vars(core)
    assert AccordRoom.propose.__defaults__ == (constants["DEADLINE"],), "the deadline stands elsewhere now"
    constants["DEADLINE"], AccordRoom.propose.__defaults__ = seconds, (seconds,)


if __name__ == "__main__":
    shorten(float(sys.argv[1]))
    sys.exit(launch.main(sys.argv[2:]))
