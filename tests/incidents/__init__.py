"""Reproductions of incidents, kept: each test failed before its cause was mended."""
