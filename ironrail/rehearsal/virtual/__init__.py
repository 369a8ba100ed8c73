"""Runs the daemon and its stand-ins in virtual time, in one thread, deterministically for a given seed."""
