"""Tells all entries which queues take no more jobs, through rows in the store.

Each submission requires that no such row exists in its partition, so that entries need
not read anything to learn of it.
"""

import eventlet
from returns.result import Failure, Success

from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.rows import (
    INTAKE_TABLE,
    full_key,
    queue_of,
    queue_partitions,
)
from corianderpitch.domain.scheduling.admission import full_queues
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.ids import QueueName
from corianderpitch.ports import RowStore, Write

CHECK_INTERVAL_S = 0.5

log = logger("admission")


class AdmissionTask:
    """Closes and opens queues during a term, by the memory that open jobs take."""

    def __init__(
        self,
        store: RowStore,
        scheduler: Scheduler,
        role: RoleLease,
        memory_bytes: float,
    ):
        self._store = store
        self._scheduler = scheduler
        self._role = role
        self._memory_bytes = memory_bytes
        self._full: set[QueueName] | None = None  # until the rows are read

    def run(self) -> None:
        """Check the open jobs until the thread is killed."""
        while True:
            eventlet.sleep(CHECK_INTERVAL_S)
            if self._role.has_valid_lease:
                self.check()

    def check(self) -> None:
        """Close the queues that have become full, and open the others."""
        if self._full is None and not self._read():
            return
        jobs = self._scheduler.jobs.values()
        wanted = full_queues(jobs, self._memory_bytes, self._full)
        for queue in sorted(wanted ^ self._full):
            if not self._write(queue, is_full=queue in wanted):
                return

    def _read(self) -> bool:
        """Read which queues a predecessor has closed; return whether that worked."""
        match self._store.list_partitions(INTAKE_TABLE):
            case Success(parts):
                self._full = {queue_of(part) for part in parts}
                return True
        return False

    def _write(self, queue: QueueName, is_full: bool) -> bool:
        value = b"" if is_full else None
        writes = tuple(Write(full_key(p), value) for p in queue_partitions(queue))
        match self._store.commit((self._role.partitioned_fence(),), writes):
            case Success(_):
                self._full = self._full ^ {queue}
                log.warning(
                    "Queue closed." if is_full else "Queue opened.", queue=queue
                )
                return True
            case Failure(error):
                self._full = None  # the write may have been made, or still be
                log.warning("Could not close or open a queue.", cause=repr(error))
        return False
