"""Broken routers that the soak has to find: `FOUND` begins what it reports, `SEED` is one that shows it."""
