"""Forecast of each pool's load from the jobs that arrived recently.

A queue's demand rises from next to nothing to its peak within a few seconds, and a
moved VM runs its first task only about 1.7 s after the order. A pool that is sized
for the present rate of arrivals therefore always lags behind a rise. The forecast
adds the growth that a rise is certain to have, so that a few jobs that arrive
together by chance do not count as one.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from corianderpitch.ids import JobId, ServiceName

LEVEL_WINDOW_MS = 500.0
GROWTH_WINDOW_MS = 2 * LEVEL_WINDOW_MS
GROWTH_LEAD_MS = 600.0  # less than a move takes: a rise may end before that


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job's arrival; ``work_ms`` is its work in worker-milliseconds."""

    job_id: JobId
    service: ServiceName
    accepted_ms: float
    work_ms: float


def steady_load(works_ms: Sequence[float], window_ms: float) -> float:
    """Return the average load if jobs arrive as in a window (Little's law).

    ``works_ms`` holds the work of each job of the window, in worker-milliseconds.
    The number of jobs is lowered by its standard deviation, so that a few jobs that
    arrive together by chance do not count as a peak. The result is in workers.

    >>> steady_load([1000.0] * 25, 500.0)
    40.0
    >>> steady_load([1000.0], 500.0)
    0.0
    """
    count = len(works_ms)
    if not count:
        return 0.0
    certain_share = 1.0 - 1.0 / math.sqrt(count)
    return certain_share * sum(works_ms) / window_ms


def load_growth(
    earlier_ms: Sequence[float],
    recent_ms: Sequence[float],
    newest_count: int,
    lead_ms: float,
) -> float:
    """Return by how much the load will have grown after ``lead_ms``, in workers.

    ``earlier_ms`` and ``recent_ms`` hold the work of each job that arrived in the last
    window but one and in the last one, each of ``GROWTH_WINDOW_MS``. The difference of
    the two counts is lowered by its standard deviation. ``newest_count`` jobs came in
    the second half of the last window; a rise that has ended there is not continued.

    >>> load_growth([1000.0] * 16, [1000.0] * 48, 30, 1000.0)
    24.0
    >>> load_growth([1000.0] * 16, [1000.0] * 48, 24, 1000.0)
    0.0
    """
    total = len(earlier_ms) + len(recent_ms)
    certain = len(recent_ms) - len(earlier_ms) - math.sqrt(total)
    before_newest_count = len(recent_ms) - newest_count
    # Half windows hold half of the jobs and lie half as far apart.
    continued = 4 * (newest_count - before_newest_count)
    growth = min(certain, continued)
    if growth <= 0.0:
        return 0.0
    mean_work_ms = (sum(earlier_ms) + sum(recent_ms)) / total
    return growth * mean_work_ms * lead_ms / GROWTH_WINDOW_MS**2


@dataclass(slots=True)
class ArrivalForecast:
    """The arrivals of the last ``2 * GROWTH_WINDOW_MS``, and the load they lead to.

    ``lead_ms`` is how far ahead the load is forecast; 0 means the present rate.
    """

    lead_ms: float = GROWTH_LEAD_MS
    _arrivals: dict[JobId, Arrival] = field(default_factory=dict)

    def covers(self, accepted_ms: float, now_ms: float) -> bool:
        """Return whether a job is recent enough to count."""
        return accepted_ms > now_ms - 2 * GROWTH_WINDOW_MS

    def record(self, arrivals: Iterable[Arrival], now_ms: float) -> None:
        """Record arrivals that may be known already, and forget old ones."""
        for arrival in arrivals:
            self._arrivals.setdefault(arrival.job_id, arrival)
        self._arrivals = {
            job_id: arrival
            for job_id, arrival in self._arrivals.items()
            if self.covers(arrival.accepted_ms, now_ms)
        }

    def loads(self, now_ms: float) -> dict[ServiceName, float]:
        """Return the forecast load of each pool with recent arrivals, in workers."""
        return {
            service: self._load(service, now_ms)
            for service in {a.service for a in self._arrivals.values()}
        }

    def _load(self, service: ServiceName, now_ms: float) -> float:
        level = self._works_ms(service, now_ms - LEVEL_WINDOW_MS, now_ms)
        middle_ms = now_ms - GROWTH_WINDOW_MS
        earlier = self._works_ms(service, middle_ms - GROWTH_WINDOW_MS, middle_ms)
        recent = self._works_ms(service, middle_ms, now_ms)
        growth = load_growth(earlier, recent, len(level), self.lead_ms)
        return steady_load(level, LEVEL_WINDOW_MS) + growth

    def _works_ms(
        self, service: ServiceName, after_ms: float, until_ms: float
    ) -> list[float]:
        return [
            arrival.work_ms
            for arrival in self._arrivals.values()
            if arrival.service == service and after_ms < arrival.accepted_ms <= until_ms
        ]
