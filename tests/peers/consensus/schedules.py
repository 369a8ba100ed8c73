"""Schedules in which one mistake decides two states.

`3>2 Prepare`: router 2 receives a `Prepare` from router 3.
"""

DECIDED_BY_0_AND_2 = (
    "3>0 Prepare, 3>2 Prepare, 0>3 Promise, 2>3 Promise, 3>0 Accept, 3>2 Accept, 0>3 Accepted, 2>3 Accepted"
)
SECOND_PROPOSAL = (
    "4>1 Prepare, 4>2 Prepare, 1>4 Promise, 2>4 Promise, 4>1 Accept, 4>2 Accept, 1>4 Accepted, 2>4 Accepted"
)
# voter 2 loses what it accepted, and receives a report only from the voter that did not accept it
RESTARTED_VOTER = f"{DECIDED_BY_0_AND_2}, 2 crash, 2>1 RecoveryRequest, 1>2 RecoveryReport, {SECOND_PROPOSAL}"
# voter 2's record was not on the disk when it replied
UNWRITTEN_RECORD = RESTARTED_VOTER
# a promise of voter 2's former process counts beside one of a voter that knows the new process
REPLACED_PROCESS = (
    "4>2 Prepare, 2>4 Promise, 2 crash, 2>0 RecoveryRequest, 2>1 RecoveryRequest, 0>2 RecoveryReport, "
    "1>2 RecoveryReport, "
    f"{DECIDED_BY_0_AND_2}, 4>1 Prepare, 1>4 Promise, 4>0 Accept, 4>1 Accept, 0>4 Accepted, 1>4 Accepted"
)
# an accept of the former process's proposal counts for the new one's at the same ballot
REUSED_BALLOT = (
    "3>1 Prepare, 3>2 Prepare, 1>3 Promise, 2>3 Promise, 3>2 Accept, 3 crash, 3>0 Prepare, 3>1 Prepare, "
    "0>3 Promise, 1>3 Promise, 3>0 Accept, 2>3 Accepted, 0>3 Accepted, "
    "4>1 Prepare, 4>2 Prepare, 1>4 Promise, 2>4 Promise, 4>1 Accept, 4>2 Accept, 1>4 Accepted, 2>4 Accepted"
)
