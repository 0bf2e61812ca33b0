"""The record of the jobs that are served from their fallback partitions."""

from eventlet.semaphore import Semaphore
from returns.result import Failure, Result, Success

from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.holderrow import HolderRow
from corianderpitch.daemon.scheduling.rows import (
    DIVERTED_KEY,
    pack_job_ids,
    unpack_job_ids,
)
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.errors import CommitError, PlatformError
from corianderpitch.ids import JobId
from corianderpitch.ports import Check, RowStore, Write

MAX_DIVERTED = 3500  # of 17 bytes each, in a row of 64 KiB

log = logger("scheduler")


class DivertedJobs:
    """Keeps a row with all diverted jobs, one write at a time.

    A job counts as diverted, in ``scheduler.diverted``, once the row names it.
    ``undecided`` are those that a write names which is under way, or whose answer
    was lost: a successor may take them for diverted, and nobody may serve them yet.
    """

    def __init__(self, store: RowStore, role: RoleLease, scheduler: Scheduler):
        self._row = HolderRow(store, role, DIVERTED_KEY)
        self._scheduler = scheduler
        self._named: set[JobId] = set()  # by the row, or by writes that were lost
        self._is_certain = False
        self.undecided: set[JobId] = set()
        self._lock = Semaphore()

    def load(self) -> Result[None, PlatformError]:
        """Take over what predecessors have recorded."""
        match self._row.read():
            case Success(value):
                self._named = unpack_job_ids(value) if value is not None else set()
                self._is_certain = True
                self._scheduler.diverted |= self._named
                return Success(None)
            case failure:
                return failure

    def may_be_named(self, job_id: JobId) -> bool:
        """Tell whether a successor may take a job for diverted."""
        return job_id in self._scheduler.diverted or job_id in self._named

    @property
    def is_recorded(self) -> bool:
        """Tell whether the row names just the diverted jobs."""
        return self._is_certain and self._named == self._scheduler.diverted

    @property
    def room(self) -> int:
        """Return how many more jobs may be diverted."""
        return max(0, MAX_DIVERTED - len(self._scheduler.diverted))

    def record(
        self,
        fresh: set[JobId],
        checks: tuple[Check, ...] = (),
        writes: tuple[Write, ...] = (),
    ) -> Result[int, CommitError | PlatformError]:
        """Name jobs as diverted, together with other writes if there are any.

        After a lost answer it is not known what the row names; it is then written
        again in time.
        """
        with self._lock:
            wanted = self._scheduler.diverted | fresh
            self.undecided |= fresh
            self._named |= wanted
            self._is_certain = False
            result = self._row.write(pack_job_ids(wanted), checks, writes)
            match result:
                case Success(version):
                    self._named = wanted
                    self._is_certain = True
                    self._scheduler.diverted |= fresh
                    self.undecided.clear()
                    log.info(
                        "Diverted.", fresh=len(fresh), jobs=len(wanted), at=version
                    )
                case Failure(error):
                    log.warning("Diversions not recorded.", cause=repr(error))
        return result
