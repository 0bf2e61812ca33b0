"""Deletes rows of jobs once nothing rests on them any more.

A row outside the partition that its job is served from may be the only one that holds
an acknowledged cancellation. The store alone must tell the next holder what was
acknowledged: such a row is deleted only after the end of its job is committed, and the
end only after all rows outside its partition are gone.
"""

from collections import defaultdict
from collections.abc import Sequence

from returns.result import Failure, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.diversions import DivertedJobs
from corianderpitch.daemon.scheduling.rows import (
    job_id_of,
    job_keys,
    job_partitions,
    queue_of,
)
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.errors import RowConflict
from corianderpitch.ids import JobId
from corianderpitch.ports import Check, PartitionedKey, Row, RowStore, Write

MAX_MISPLACED_PER_ROUND = 20
# Each job has three rows, and a transaction holds up to 100 entries.
MAX_STALE_JOBS_PER_COMMIT = 30
PURGE_INTERVAL_MS = 5000.0
PURGE_SLACK_MS = 60_000.0
MAX_PURGES_PER_COMMIT = 24  # up to four entries each, of 100 in a transaction

log = logger("cleanup")


class RowCleanup:
    """Deletes misplaced rows and the rows of jobs that ended long ago.

    Attributes
    ----------
    stale_homes : dict of JobId to str
        Home partitions that still hold rows of jobs whose end was committed in
        their fallback partition.
    ended_ms_by_key : dict of PartitionedKey to float
        The store's time of each job's end, by the key of its progress row.
    """

    def __init__(
        self,
        store: RowStore,
        role: RoleLease,
        scheduler: Scheduler,
        diverted: DivertedJobs,
        clock: Clock,
        keep_ended_ms: float,
    ):
        self._store = store
        self._role = role
        self._scheduler = scheduler
        self._diverted = diverted
        self._clock = clock
        self._keep_ended_ms = keep_ended_ms
        self._next_purge_ms = 0.0
        self._misplaced_rows: dict[PartitionedKey, int] = {}
        self.stale_homes: dict[JobId, str] = {}
        self.ended_ms_by_key: dict[PartitionedKey, float] = {}

    def run_once(self) -> None:
        """Delete what may be deleted now."""
        self.delete_misplaced_rows()
        if self._clock.now_ms() >= self._next_purge_ms:
            self._next_purge_ms = self._clock.now_ms() + PURGE_INTERVAL_MS
            self.purge_ended_jobs()

    # Rows outside the partition that serves their job.

    def mark_if_misplaced(self, row: Row) -> None:
        """Mark a row for deletion if it is not in the partition that serves its job."""
        if self._is_misplaced(row.key):
            self._misplaced_rows[row.key] = row.version

    def _is_misplaced(self, key: PartitionedKey) -> bool:
        job_id = job_id_of(key)
        home, fallback = job_partitions(queue_of(key.part), job_id)
        return key.part != (fallback if job_id in self._scheduler.diverted else home)

    def delete_misplaced_rows(self) -> None:
        """Delete rows outside the partitions that their jobs are served from.

        A partition that fails one call is skipped until the next round. The rows of a
        job whose diversion is undecided are kept: one may hold its final state.
        """
        self._delete_stale_home_rows()
        unavailable: set[str] = set()
        deletable = [key for key in self._misplaced_rows if self._is_deletable(key)]
        for key in deletable[:MAX_MISPLACED_PER_ROUND]:
            if key.part in unavailable:
                continue
            if not self._is_misplaced(key):
                del self._misplaced_rows[key]
                continue
            version = self._misplaced_rows[key]
            checks = (self._role.partitioned_fence(), Check(key, version))
            match self._store.commit(checks, (Write(key, None),)):
                case Success(_) | Failure(RowConflict()):
                    del self._misplaced_rows[key]
                    log.info("Misplaced row deleted.", row=key.name, partition=key.part)
                case Failure(error):
                    unavailable.add(key.part)
                    log.debug("Could not delete a misplaced row.", cause=repr(error))

    def _is_deletable(self, key: PartitionedKey) -> bool:
        """Return whether the store tells all that a misplaced row tells without it.

        While a job is open, it is a copy of what was submitted. A cancellation ends the
        job at once, and the store does not tell that before the end is committed.
        """
        job_id = job_id_of(key)
        if job_id in self._diverted.undecided:
            return False
        return job_id in self._scheduler.jobs or self._scheduler.has_committed_end(
            job_id
        )

    def _delete_stale_home_rows(self) -> None:
        """Delete the home rows of jobs whose end is in their fallback partition."""
        by_part: dict[str, list[JobId]] = defaultdict(list)
        for job_id, part in self.stale_homes.items():
            by_part[part].append(job_id)
        for part, job_ids in by_part.items():
            batch = job_ids[:MAX_STALE_JOBS_PER_COMMIT]
            keys = [key for job_id in batch for key in job_keys(part, job_id)]
            writes = tuple(Write(key, None) for key in keys)
            match self._store.commit((self._role.partitioned_fence(),), writes):
                case Success(_):
                    for job_id in batch:
                        del self.stale_homes[job_id]
                    log.info("Stale rows deleted.", jobs=len(batch), partition=part)
                case Failure(error):
                    log.debug("Could not delete stale rows.", cause=repr(error))

    # Ends of jobs that nobody may ask for any more.

    def purge_ended_jobs(self) -> None:
        """Delete the rows of jobs that ended before the retention period.

        The period is ``keep_ended_ms`` plus a slack; callers may ask for the state
        of an ended job until then. The end of a job of which another partition may
        hold a copy is kept: the copy would be run as a new job.
        """
        if not self._scheduler.has_read_all_jobs:
            return
        oldest_ms = self._store.time_ms() - self._keep_ended_ms - PURGE_SLACK_MS
        copied = {job_id_of(key) for key in self._misplaced_rows}
        old = [
            key
            for key, ended_ms in self.ended_ms_by_key.items()
            if ended_ms < oldest_ms and job_id_of(key) not in copied
        ]
        for start in range(0, len(old), MAX_PURGES_PER_COMMIT):
            if not self._purge(old[start : start + MAX_PURGES_PER_COMMIT]):
                return

    def _purge(self, keys: Sequence[PartitionedKey]) -> bool:
        """Delete rows of ended jobs, including the home rows of diverted jobs.

        Returns whether the store accepted the deletion.
        """
        writes: list[Write] = []
        for key in keys:
            writes.append(Write(key, None))
            job_id = job_id_of(key)
            if job_id in self._scheduler.diverted:
                home, _ = job_partitions(queue_of(key.part), job_id)
                writes += [Write(stale, None) for stale in job_keys(home, job_id)]
        match self._store.commit((self._role.partitioned_fence(),), tuple(writes)):
            case Success(_):
                for key in keys:
                    job_id = job_id_of(key)
                    del self.ended_ms_by_key[key]
                    self.stale_homes.pop(job_id, None)
                    self._scheduler.ended.discard(job_id)
                    self._scheduler.diverted.discard(job_id)
                return True
            case Failure(error):
                log.warning("Could not purge ended jobs.", cause=repr(error))
        return False
