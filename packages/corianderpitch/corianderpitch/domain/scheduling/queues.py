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
    versions: dict[QueueName, int] = {}
    for job in jobs:
        name, stored = job.workload.queue, job.workload.accepted_under
        if name in configured:
            continue
        if name in known:
            served[name] = known[name]
        elif stored is not None and job.version > versions.get(name, -1):
            served[name] = stored
            versions[name] = job.version
    return served
