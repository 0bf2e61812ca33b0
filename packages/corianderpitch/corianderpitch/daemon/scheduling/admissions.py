"""Tells all entries which queues and teams may send no more, by rows in the store."""

import eventlet

from corianderpitch.clock import Clock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.closing import ClosedQueues
from corianderpitch.daemon.scheduling.rows import INTAKE_TABLE
from corianderpitch.daemon.scheduling.sharelimits import LimitedTeams
from corianderpitch.domain.scheduling.admission import (
    full_queues,
    hopeless_surpluses,
)
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.ports import RowStore

CHECK_INTERVAL_S = 0.5


class AdmissionTask:
    """Closes and opens queues during a term, by the memory that open jobs take.

    Teams whose surplus cannot be served in time are limited to their share.
    """

    def __init__(
        self,
        store: RowStore,
        scheduler: Scheduler,
        role: RoleLease,
        memory_bytes: float,
        clock: Clock,
    ):
        self._scheduler = scheduler
        self._role = role
        self._memory_bytes = memory_bytes
        self._closed = ClosedQueues(store, role, INTAKE_TABLE)
        self._limited = LimitedTeams(store, role, scheduler.usage)
        self._clock = clock

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
        self._limit_teams()

    def _limit_teams(self) -> None:
        if not self._scheduler.usage.teams and not self._limited.names:
            return
        if self._limited.read():
            jobs = self._scheduler.jobs.values()
            queues = self._scheduler.queues
            self._limited.update(hopeless_surpluses(jobs, queues, self._clock.now_ms()))
