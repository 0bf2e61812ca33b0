"""Hypothesis profiles: fixed examples in CI, a longer search on request."""

import os
import sys
import tempfile
import warnings
from pathlib import Path

# Caches stay outside of the source tree, because other tools copy all of it.
os.environ.setdefault(
    "HYPOTHESIS_STORAGE_DIRECTORY",
    str(Path(tempfile.gettempdir()) / "corianderpitch-hypothesis"),
)

from hypothesis import HealthCheck, settings

sys.path.insert(0, str(Path(__file__).parent))
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
