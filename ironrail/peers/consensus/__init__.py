"""Consensus of all routers on the policy document in force.

A change of policy takes effect at every router or at none. The register is CASPaxos with joint
configurations; each router acts on a policy only while it holds a lease. Pure: no I/O, no clock,
no global random state.
"""
