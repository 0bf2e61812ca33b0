"""The record of the jobs that are served from their fallback partitions."""

from eventlet.semaphore import Semaphore
from returns.result import Failure, Result, Success

from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.holderrow import FencedRow
from corianderpitch.daemon.scheduling.rows import (
    DIVERTED_KEY,
    pack_job_ids,
    unpack_job_ids,
)
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.errors import CommitError, PlatformError
from corianderpitch.ids import JobId
from corianderpitch.ports import Check, RowStore, Write

MAX_DIVERTED = 3500  # 17 bytes each, in a row of at most 64 KiB

log = logger("scheduler")


class DivertedJobs:
    """Keeps a row that names all diverted jobs, with one write at a time.

    A job counts as diverted, and is in ``scheduler.diverted``, once the row names it.

    Attributes
    ----------
    undecided : set of JobId
        Jobs named by a write that is in progress or whose answer was lost. A
        successor may treat them as diverted, and nobody may serve them yet.
    """

    def __init__(self, store: RowStore, role: RoleLease, scheduler: Scheduler):
        self._row = FencedRow(store, role, DIVERTED_KEY)
        self._scheduler = scheduler
        self._recorded: set[JobId] = set()  # includes writes whose answers were lost
        self._is_certain = False
        self.undecided: set[JobId] = set()
        self._lock = Semaphore()

    def load(self) -> Result[None, PlatformError]:
        """Read the jobs that predecessors recorded as diverted."""
        match self._row.read():
            case Success(value):
                self._recorded = unpack_job_ids(value) if value is not None else set()
                self._is_certain = True
                self._scheduler.diverted |= self._recorded
                return Success(None)
            case failure:
                return failure

    def may_be_recorded(self, job_id: JobId) -> bool:
        """Tell whether a successor may treat a job as diverted."""
        return job_id in self._scheduler.diverted or job_id in self._recorded

    @property
    def is_recorded(self) -> bool:
        """Tell whether the row certainly names exactly the diverted jobs."""
        return self._is_certain and self._recorded == self._scheduler.diverted

    @property
    def remaining_capacity(self) -> int:
        """Return how many more jobs may be diverted."""
        return max(0, MAX_DIVERTED - len(self._scheduler.diverted))

    def record(
        self,
        new_jobs: set[JobId],
        checks: tuple[Check, ...] = (),
        writes: tuple[Write, ...] = (),
    ) -> Result[int, CommitError | PlatformError]:
        """Record jobs as diverted, in one transaction with other checks and writes.

        After a lost answer the contents of the row are uncertain: ``is_recorded`` is
        then ``False`` until a later write succeeds.
        """
        with self._lock:
            all_diverted = self._scheduler.diverted | new_jobs
            self.undecided |= new_jobs
            self._recorded |= all_diverted
            self._is_certain = False
            result = self._row.write(pack_job_ids(all_diverted), checks, writes)
            match result:
                case Success(version):
                    self._recorded = all_diverted
                    self._is_certain = True
                    self._scheduler.diverted |= new_jobs
                    self.undecided.clear()
                    log.info(
                        "Jobs diverted.",
                        fresh=len(new_jobs),
                        jobs=len(all_diverted),
                        at=version,
                    )
                case Failure(error):
                    log.warning("Could not record diverted jobs.", cause=repr(error))
        return result
