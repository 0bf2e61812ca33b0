"""Estimates of run times from recent answers."""

import math
from bisect import bisect_left, insort
from collections import deque

WINDOW_SAMPLES = 256
INITIAL_RUN_MS = 100.0


class RunTimeEstimator:
    """Mean and quantiles of the last ``WINDOW_SAMPLES`` run times.

    Until the first sample arrives, both are ``initial_ms``.
    """

    def __init__(self, initial_ms: float = INITIAL_RUN_MS):
        self._initial_ms = initial_ms
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []
        self._sum_ms = 0.0

    def add(self, run_ms: float) -> None:
        """Record one run time."""
        if len(self._recent) == WINDOW_SAMPLES:
            oldest = self._recent.popleft()
            self._sum_ms -= oldest
            del self._sorted[bisect_left(self._sorted, oldest)]
        self._recent.append(run_ms)
        self._sum_ms += run_ms
        insort(self._sorted, run_ms)

    def mean_ms(self) -> float:
        """Return the mean run time in milliseconds, at least 0.1."""
        if not self._recent:
            return self._initial_ms
        return max(0.1, self._sum_ms / len(self._recent))

    def quantile_ms(self, fraction: float) -> float:
        """Return the run time that ``fraction`` of the samples do not exceed."""
        if not self._sorted:
            return self._initial_ms
        rank = math.ceil(fraction * len(self._sorted)) - 1
        return self._sorted[max(0, rank)]
