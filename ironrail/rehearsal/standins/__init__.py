"""Stand-ins for every process that surrounds a router; each speaks its real protocol on loopback."""
