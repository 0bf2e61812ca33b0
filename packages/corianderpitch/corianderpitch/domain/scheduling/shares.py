"""Which jobs of a team are within its share, and which are beyond it.

A team's weight is the number of jobs a second that it is owed. When a team sends many
times its usual, what is beyond its weight must not push the jobs of other teams out of
their objective. It runs only in the room that these leave, so that nothing is idle
while a job waits.

The jobs are counted by the generic cell rate algorithm (ITU-T I.371): a job is within
the share if its team is at most ``SHARE_WINDOW_MS`` ahead of its rate. Jobs that come
together by chance are therefore within it.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass

from corianderpitch.domain.scheduling.progress import ActiveJob
from corianderpitch.domain.scheduling.teams import Team
from corianderpitch.domain.scheduling.usage import TeamUsage
from corianderpitch.domain.scheduling.workers import WorkerView
from corianderpitch.ids import TeamName

SHARE_WINDOW_MS = 5000.0
# Tasks run to their end: a pool that is filled by jobs beyond their share has no room
# for the next job that is within one.
HEADROOM_SHARE = 0.2  # of the processors of a pool


@dataclass(frozen=True, slots=True)
class RatePlace:
    """A job's place in its team's rate.

    The job comes ``early_ms`` too early, 0 if it is within the share. If it is, the
    next one is due at ``next_due_ms``.
    """

    early_ms: float
    next_due_ms: float


def place_in_rate(due_ms: float, now_ms: float, rate_per_s: float) -> RatePlace:
    """Return the place of a job that comes now and was due at ``due_ms``."""
    due_ms = max(due_ms, now_ms)
    early_ms = max(0.0, due_ms - now_ms - SHARE_WINDOW_MS)
    return RatePlace(early_ms, due_ms + 1000.0 / rate_per_s)


class ShareMeter:
    """Counts the jobs of each team against its weight, in the order of acceptance."""

    def __init__(self):
        self._due_ms: dict[TeamName, float] = {}
        self._new_jobs: list[ActiveJob] = []

    def add(self, job: ActiveJob) -> None:
        """Add a job, to be counted with the others of its planning round."""
        self._new_jobs.append(job)

    def mark_new_jobs(self, usage: TeamUsage) -> None:
        """Mark which of the new jobs are beyond their team's share.

        Lasting jobs and those without a team are within it.
        """
        jobs, self._new_jobs = self._new_jobs, []
        for job in sorted(jobs, key=lambda job: job.accepted_ms):
            team = usage.team(job.workload.team)
            if team is not None and not job.workload.is_lasting:
                job.is_beyond_share = self.is_beyond_share(team, job.accepted_ms)

    def is_beyond_share(self, team: Team, accepted_ms: float) -> bool:
        """Count a job, unless it is beyond its team's share; return whether it is."""
        if team.weight <= 0:
            return True
        due_ms = self._due_ms.get(team.name, -math.inf)
        place = place_in_rate(due_ms, accepted_ms, team.weight)
        if place.early_ms > 0:
            return True
        self._due_ms[team.name] = place.next_due_ms
        return False


def has_headroom(workers: Collection[WorkerView]) -> bool:
    """Return whether a pool has room for more than the next jobs within a share."""
    free = sum(worker.free.processors for worker in workers)
    total = sum(worker.info.capacity.processors for worker in workers)
    return free > HEADROOM_SHARE * total
