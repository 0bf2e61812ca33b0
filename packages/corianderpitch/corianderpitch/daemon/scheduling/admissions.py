"""Tells all entries which queues take no more jobs, through rows in the store."""

import eventlet

from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.closing import ClosedQueues
from corianderpitch.daemon.scheduling.rows import INTAKE_TABLE
from corianderpitch.domain.scheduling.admission import full_queues
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.ports import RowStore

CHECK_INTERVAL_S = 0.5


class AdmissionTask:
    """Closes and opens queues during a term, by the memory that open jobs take."""

    def __init__(
        self,
        store: RowStore,
        scheduler: Scheduler,
        role: RoleLease,
        memory_bytes: float,
    ):
        self._scheduler = scheduler
        self._role = role
        self._memory_bytes = memory_bytes
        self._closed = ClosedQueues(store, role, INTAKE_TABLE)

    def run(self) -> None:
        """Check the open jobs until the thread is killed."""
        while True:
            eventlet.sleep(CHECK_INTERVAL_S)
            if self._role.has_valid_lease:
                self.check()

    def check(self) -> None:
        """Close the queues that have become full, and open the others."""
        if self._closed.read():
            jobs = self._scheduler.jobs.values()
            self._closed.update(
                full_queues(jobs, self._memory_bytes, self._closed.names)
            )
