"""Decisions about connections, upstream and downstream: pure modules without I/O or a clock."""
