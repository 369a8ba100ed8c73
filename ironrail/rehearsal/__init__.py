"""The rehearsal kit: stand-ins on loopback, faults by plan, and service as the users count it.

The kit imports the daemon where it starts one; the daemon never imports the kit.
"""
