"""Order in which waiting jobs are offered room.

The load it answers: each queue in turn asks for five times its mean for some
seconds, more than its pool holds. A job that is late earns its caller next to
nothing, so room goes first to jobs that can still be kept, and among these to
the one with the least work left, which keeps the most jobs of a given room
(shortest remaining processing time first, Schrage, 1968).
"""

from corianderpitch.domain.scheduling.progress import ActiveJob
from corianderpitch.domain.scheduling.workloads import Queue
from corianderpitch.ids import JobId

# Declared run times are off by up to half; a job counts as lost only beyond that.
LOST_SHARE_OF_ESTIMATE = 0.5


def objective_ms(job: ActiveJob, queue: Queue) -> float:
    """Return the latency objective of a job, as far as its estimates tell."""
    return queue.stretch * job.chain_ms + queue.target_ms


def is_lost(job: ActiveJob, queue: Queue, now_ms: float) -> bool:
    """Tell whether a job can no longer meet its objective."""
    least_left_ms = LOST_SHARE_OF_ESTIMATE * job.left_chain_ms
    due_ms = job.accepted_ms + objective_ms(job, queue)
    return now_ms + least_left_ms > due_ms


def order_key(
    job: ActiveJob, queue: Queue, now_ms: float
) -> tuple[int, float, float, JobId]:
    """Return the sort key of a job: lasting, then keepable, then lost ones."""
    if job.workload.is_lasting:
        return (0, job.accepted_ms, 0.0, job.job_id)
    rank = 2 if is_lost(job, queue, now_ms) else 1
    return (rank, job.left_core_ms, job.accepted_ms, job.job_id)
