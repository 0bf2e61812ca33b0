"""The queues that a holder serves: the configured ones, and those of open jobs.

An accepted job is owed also after the configuration has dropped its queue. It goes on
under the queue's last known settings. A holder that has never known them takes those
under which the job was accepted, which are stored with it.
"""

from collections.abc import Iterable, Mapping

from corianderpitch.domain.scheduling.progress import ActiveJob
from corianderpitch.domain.scheduling.workloads import Queue
from corianderpitch.ids import QueueName


def served_queues(
    configured: Mapping[QueueName, Queue],
    known: Mapping[QueueName, Queue],
    jobs: Iterable[ActiveJob],
) -> dict[QueueName, Queue]:
    """Return the configured queues, and the known or stored ones of open jobs.

    Of jobs that were accepted under different settings, the latest one counts.
    """
    served = dict(configured)
    latest = 0
    for job in jobs:
        name = job.workload.queue
        if name in configured:
            continue
        if name in known:
            served[name] = known[name]
        elif job.workload.accepted_under is not None and (
            name not in served or job.version > latest
        ):
            served[name] = job.workload.accepted_under
            latest = job.version
    return served
