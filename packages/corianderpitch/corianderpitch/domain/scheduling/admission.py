"""Which queues take no more jobs, because the open ones need much of a holder's memory.

A holder of the scheduler's role remembers all open jobs. What it remembers of one job
has a bound (see ``progress``), but callers choose how many jobs they submit. Jobs that
no holder could remember would end one holder after the other, so that they are refused
before they are accepted. The queues with the most open jobs are refused first.

Jobs beyond their team's share are accepted while they are served in time. Once one has
missed its objective before it began, the team's further surplus is as hopeless.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Set

from corianderpitch.domain.jobs import JobState
from corianderpitch.domain.scheduling.ordering import will_miss_objective
from corianderpitch.domain.scheduling.progress import ActiveJob
from corianderpitch.domain.scheduling.workloads import Queue, Workload
from corianderpitch.ids import QueueName, TeamName

JOB_BYTES = 6000
STEP_BYTES = 500
ACTIVE_STEP_BYTES = 1700
DEPENDENCY_BYTES = 40
OPEN_TASK_BYTES = 1000

MAX_SURPLUS_AGE_MS = 30_000.0  # some times the objective of a usual job

MAX_SHARE = 0.2  # of a holder's memory, which also holds rows that are being read
REOPEN_SHARE = 0.8  # of what makes a queue full
CLOSE_ALL_SHARE = 1.5  # queues with few open jobs are refused above that


def remembered_bytes(job: ActiveJob) -> int:
    """Return about how much memory a holder needs for an open job."""
    active = sum(len(steps) for steps in job.occurrences.values())
    open_tasks = sum(len(step.open) for step in job.steps())
    return (
        submitted_bytes(job.workload)
        + active * ACTIVE_STEP_BYTES
        + open_tasks * OPEN_TASK_BYTES
    )


def submitted_bytes(workload: Workload) -> int:
    """Return about how much memory the submitted part of a job takes."""
    dependencies = sum(len(step.after) for step in workload.steps)
    return (
        JOB_BYTES
        + len(workload.text)
        + len(workload.steps) * STEP_BYTES
        + dependencies * DEPENDENCY_BYTES
    )


def full_queues(
    jobs: Iterable[ActiveJob], memory_bytes: float, full: Set[QueueName]
) -> set[QueueName]:
    """Return the queues that take no more jobs, of a holder with this memory.

    ``full`` are those that take none at present: they take jobs again a little later.
    """
    by_queue: Counter[QueueName] = Counter()
    for job in jobs:
        by_queue[job.workload.queue] += remembered_bytes(job)
    used_bytes = by_queue.total()
    limit_bytes = MAX_SHARE * memory_bytes * (REOPEN_SHARE if full else 1.0)
    if used_bytes < limit_bytes:
        return set()
    if used_bytes >= limit_bytes * CLOSE_ALL_SHARE:
        return set(by_queue)
    return largest_queues(by_queue)


def hopeless_surpluses(
    jobs: Iterable[ActiveJob], queues: Mapping[QueueName, Queue], now_ms: float
) -> set[tuple[QueueName, TeamName]]:
    """Return the queues and teams of jobs beyond their share that waited in vain.

    Old jobs tell nothing of the present load; there are some that can never be done.
    """
    return {
        (queue.name, job.workload.team)
        for job in jobs
        if job.is_beyond_share
        and job.state is JobState.QUEUED
        and now_ms - job.accepted_ms < MAX_SURPLUS_AGE_MS
        and (queue := queues.get(job.workload.queue)) is not None
        and will_miss_objective(job, queue, now_ms)
    }


def largest_queues(by_queue: Mapping[QueueName, int]) -> set[QueueName]:
    """Return the queues that take the mean of all or more of something."""
    mean = sum(by_queue.values()) / max(1, len(by_queue))
    return {queue for queue, size in by_queue.items() if size >= mean}
