"""Rules for connections, upstream and downstream: pure, without I/O or a clock."""
