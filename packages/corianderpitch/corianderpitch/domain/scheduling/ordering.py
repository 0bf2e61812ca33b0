"""Order in which waiting jobs get free capacity.

The queues peak in turn: for some seconds a queue needs five times its mean load,
which is more than its pool can run. A late job is worth next to nothing to its
caller. Capacity therefore goes first to jobs that can still meet their objective,
and among these to the one with the least remaining work, so that a given capacity
completes the most jobs in time (shortest remaining processing time first,
Schrage, 1968).

What a team sends beyond its share comes after all jobs that are within theirs, late
ones included: it may use only what these leave.
"""

from corianderpitch.domain.scheduling.progress import ActiveJob
from corianderpitch.domain.scheduling.workloads import Queue
from corianderpitch.ids import JobId

# Declared run times are wrong by up to half. A job counts as late only if it would
# be late even with this share of its estimate, or the larger one that is learned.
MIN_SHARE_OF_ESTIMATE = 0.5


def objective_ms(job: ActiveJob, queue: Queue) -> float:
    """Return the latency objective of a job in ms, based on its estimates."""
    return queue.stretch * job.critical_path_ms + queue.target_ms


def will_miss_objective(job: ActiveJob, queue: Queue, now_ms: float) -> bool:
    """Return whether a job can no longer meet its latency objective."""
    share = max(MIN_SHARE_OF_ESTIMATE, job.least_share)
    min_remaining_ms = share * job.remaining_path_ms
    due_ms = job.accepted_ms + objective_ms(job, queue)
    return now_ms + min_remaining_ms > due_ms


def order_key(
    job: ActiveJob, queue: Queue, now_ms: float
) -> tuple[int, float, float, JobId]:
    """Return the sort key of a job: lasting jobs, then punctual, then late ones.

    Jobs beyond their team's share come last.
    """
    if job.workload.is_lasting:
        return (0, job.accepted_ms, 0.0, job.job_id)
    rank = 2 if will_miss_objective(job, queue, now_ms) else 1
    if job.is_beyond_share:
        rank = 3
    return (rank, job.remaining_core_ms, job.accepted_ms, job.job_id)
