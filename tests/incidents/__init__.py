"""Reproductions of incidents: each test failed before the fault was fixed."""
