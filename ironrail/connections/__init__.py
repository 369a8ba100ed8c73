"""Decisions about connections, upstream and downstream, without I/O and without a clock."""
