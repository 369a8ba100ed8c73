"""The same verdict every run: hypothesis draws the same examples each time."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
