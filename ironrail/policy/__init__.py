"""Every decision of a router: pure modules without I/O and without a clock."""
