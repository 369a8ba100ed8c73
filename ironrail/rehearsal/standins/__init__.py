"""Stand-ins for all that surrounds a router, each speaking its published protocol on loopback."""
