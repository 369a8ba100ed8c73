"""Soak test: a few dozen router processes under drawn, overlapping faults, judged by rules and invariants.

`python -m ironrail.rehearsal.soak --seeds 1..10` plays one random scenario after another with real processes
on loopback. In addition to the kit's faults, routers are suspended for up to 0.15 s, sent SIGTERM and killed
as early as the protocol allows, sent several signals in a row, and filled with idle connections. A seed fails
if a rule is broken, a router crashes or exceeds a limit, or a router counts a violation of an invariant.
"""
