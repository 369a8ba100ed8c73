"""The rehearsal kit: stand-ins on loopback, planned faults, and service as clients experience it.

The kit imports the daemon where it starts one; the daemon never imports the kit.
"""
