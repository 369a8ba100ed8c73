"""As `launch`, with other times for a change, which are the first three arguments.

In seconds: until it is given up, until one left behind is taken back, until a voter finishes a step
that it never heard the end of. The usual ones are too long for a run of seconds. Nothing else differs.
"""

from __future__ import annotations

import sys

from ironrail.peers.consensus import message_handler
from ironrail.peers.consensus.consensus_node import ConsensusNode
from ironrail.rehearsal.links import launch


def shorten(deadline: float, left_behind: float, unsettled: float) -> None:
    """Have this process use these."""
    constants = vars(message_handler)
    usual, *rest = ConsensusNode.propose.__defaults__ or ()
    assert usual == constants["DEFAULT_DEADLINE_SECONDS"], "the deadline stands elsewhere now"
    ConsensusNode.propose.__defaults__ = (deadline, *rest)
    constants["DEFAULT_DEADLINE_SECONDS"], constants["ABANDONED_DEADLINE_FACTOR"] = (
        deadline,
        left_behind / deadline,
    )
    constants["UNSETTLED_TIMEOUT_SECONDS"] = unsettled


if __name__ == "__main__":
    shorten(*map(float, sys.argv[1:4]))
    sys.exit(launch.main(sys.argv[4:]))
