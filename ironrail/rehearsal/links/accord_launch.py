"""Like `launch`, with other consensus timeouts, which are the first three arguments.

In seconds: until a proposer gives a change up, until an abandoned change is rolled back, until a voter
finishes a step whose outcome it has not received. The defaults are too long for a run of seconds.
"""

from __future__ import annotations

import sys

from ironrail.peers.consensus import message_handler
from ironrail.peers.consensus.consensus_node import ConsensusNode
from ironrail.rehearsal.links import launch


def set_timeouts(deadline: float, left_behind: float, unsettled: float) -> None:
    """Sets the timeouts, in seconds, for this process."""
    constants = vars(message_handler)
    default, *rest = ConsensusNode.propose.__defaults__ or ()
    assert default == constants["DEFAULT_DEADLINE_SECONDS"], "the deadline stands elsewhere now"
    ConsensusNode.propose.__defaults__ = (deadline, *rest)
    constants["DEFAULT_DEADLINE_SECONDS"], constants["ABANDONED_DEADLINE_FACTOR"] = (
        deadline,
        left_behind / deadline,
    )
    constants["UNSETTLED_TIMEOUT_SECONDS"] = unsettled


if __name__ == "__main__":
    set_timeouts(*map(float, sys.argv[1:4]))
    sys.exit(launch.main(sys.argv[4:]))
