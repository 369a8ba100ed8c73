"""Runs in which one mistake decides two things. `3>2 Prepare`: router 2 hears that from router 3."""

DECIDED_BY_0_AND_2 = (
    "3>0 Prepare, 3>2 Prepare, 0>3 Promise, 2>3 Promise, 3>0 Accept, 3>2 Accept, 0>3 Accepted, 2>3 Accepted"
)
THEN_ANOTHER = (
    "4>1 Prepare, 4>2 Prepare, 1>4 Promise, 2>4 Promise, 4>1 Accept, 4>2 Accept, 1>4 Accepted, 2>4 Accepted"
)
# voter 2 forgets what it voted, and hears only from the one that didn't vote
AMNESIA = f"{DECIDED_BY_0_AND_2}, 2 crash, 2>1 RecoveryRequest, 1>2 RecoveryReport, {THEN_ANOTHER}"
# voter 2's record wasn't on the disk when its vote was told
UNKEPT = AMNESIA
# a promise of voter 2's former process is counted beside one of a voter that knows the new process
REPLACED = (
    "4>2 Prepare, 2>4 Promise, 2 crash, 2>0 RecoveryRequest, 2>1 RecoveryRequest, 0>2 RecoveryReport, "
    "1>2 RecoveryReport, "
    f"{DECIDED_BY_0_AND_2}, 4>1 Prepare, 1>4 Promise, 4>0 Accept, 4>1 Accept, 0>4 Accepted, 1>4 Accepted"
)
# a vote for the former process's proposal is counted for the new one's at the same ballot
BALLOT = (
    "3>1 Prepare, 3>2 Prepare, 1>3 Promise, 2>3 Promise, 3>2 Accept, 3 crash, 3>0 Prepare, 3>1 Prepare, "
    "0>3 Promise, 1>3 Promise, 3>0 Accept, 2>3 Accepted, 0>3 Accepted, "
    "4>1 Prepare, 4>2 Prepare, 1>4 Promise, 2>4 Promise, 4>1 Accept, 4>2 Accept, 1>4 Accepted, 2>4 Accepted"
)
