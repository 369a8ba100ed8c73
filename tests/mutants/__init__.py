"""Deliberately broken routers. Each file is one small patch of behaviour that the kit has to fail."""
