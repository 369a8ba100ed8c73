"""Every decision about connections, upstream and downstream: pure modules without I/O and without a clock."""
