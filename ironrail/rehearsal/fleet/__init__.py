"""Rehearses large fleets in virtual time, to find behavior that only harms when all routers share it."""
