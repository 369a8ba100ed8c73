"""Soak test: a few dozen router processes under drawn, overlapping faults, judged by rules and invariants.

`python -m ironrail.rehearsal.soak --seeds 1..10` plays one drawn world after another with real processes on
loopback. Beside the kit's faults routers are held up for up to 0.15 s, told to end and killed at the earliest
moment that the protocol allows, sent signals in series, and crowded by idle clients. A seed fails where a
rule is broken, a router crashes or goes over a limit, or one counts a violation of an invariant.
"""
