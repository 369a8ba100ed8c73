"""Lifecycle of a router process: start, handover, reload, graceful shutdown, monitoring."""
