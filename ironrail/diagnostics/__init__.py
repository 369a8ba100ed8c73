"""Counters, hold-up detection and invariant checks of one router."""
