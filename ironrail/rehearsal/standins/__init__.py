"""Stand-ins for all processes around a router; each speaks its real protocol on loopback."""
