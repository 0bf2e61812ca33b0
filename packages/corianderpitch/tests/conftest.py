"""Hypothesis profiles: fixed examples in CI, a longer search by hand."""

import os
import warnings

from hypothesis import HealthCheck, settings

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    "explore",
    deadline=None,
    max_examples=3000,
    stateful_step_count=80,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
