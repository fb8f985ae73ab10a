"""Settings of all tests: hypothesis gives the same examples on each run."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')
