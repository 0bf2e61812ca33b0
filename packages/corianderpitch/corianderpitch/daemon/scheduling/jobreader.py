"""Reads the jobs in the store and follows their changes during a term."""

from collections import defaultdict
from collections.abc import Callable, Iterable

import eventlet
from eventlet.semaphore import Semaphore
from returns.result import Failure, Result, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.refusals import RefusalLog
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.cleanup import RowCleanup
from corianderpitch.daemon.scheduling.diversions import DivertedJobs
from corianderpitch.daemon.scheduling.earlycancels import EarlyCancels
from corianderpitch.daemon.scheduling.rows import (
    CANCEL_SUFFIX,
    JOBS_TABLE,
    PROGRESS_SUFFIX,
    is_job_key,
    job_partitions,
    queue_of,
    read_cancellation,
    split_row_name,
    unpack_progress,
    unpack_workload,
)
from corianderpitch.domain.jobs import JobState
from corianderpitch.domain.scheduling.diversion import (
    JobLocation,
    PartitionView,
    locate_job,
)
from corianderpitch.domain.scheduling.progress import ActiveJob, ProgressRecord
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.errors import (
    HistoryLost,
    MalformedData,
    PlatformError,
)
from corianderpitch.ids import JobId
from corianderpitch.ports import PartitionedKey, Row, RowStore, Snapshot

FOLLOW_WAIT_MS = 1000
FOLLOW_RETRY_S = 0.1
CLEANUP_INTERVAL_S = 0.5
DIVERT_INTERVAL_S = 0.05
MAX_CONCURRENT_READS = 8

log = logger("scheduler")

RowsBySuffix = dict[str, Row]


class JobReader:
    """Adds the jobs in the store to the scheduler.

    ``_pending_rows`` holds the rows of jobs that are not served yet, by job,
    partition and suffix. These are jobs that may also have rows in a partition that
    could not be read, and jobs whose diversion is not recorded yet.
    ``_unread_at_load`` names the partitions that could not be read when the term
    began, and have not been read since.

    ``max_lease_ms`` is the time after which every lease of a worker has expired.
    """

    def __init__(
        self,
        store: RowStore,
        role: RoleLease,
        scheduler: Scheduler,
        cleanup: RowCleanup,
        early_cancels: EarlyCancels,
        diverted: DivertedJobs,
        clock: Clock,
        max_lease_ms: float,
        wake: Callable[[], None],
    ):
        self._store = store
        self._role = role
        self._scheduler = scheduler
        self._cleanup = cleanup
        self._early_cancels = early_cancels
        self._diverted = diverted
        self._clock = clock
        self._max_lease_ms = max_lease_ms
        self._wake = wake
        self._version = 0
        self._unread: set[str] = set()
        self._read_lock = Semaphore()
        self._is_loaded = False
        self._unread_at_load: set[str] = set()
        self._pending_rows: dict[JobId, dict[str, RowsBySuffix]] = {}
        self._to_divert: set[JobId] = set()
        self._refusals = RefusalLog()

    # Reading.

    def load(self) -> bool:
        """Read the recorded diversions and all jobs; returns whether that worked."""
        return isinstance(self._diverted.load(), Success) and self.load_jobs()

    def load_jobs(self) -> bool:
        """Read all partitions; returns ``False`` if none could be read.

        The jobs of the partitions that could be read are served; the other
        partitions are read again by ``run_cleanup``.
        """
        read = self._read_listed_parts()
        if not isinstance(read, Success):
            return False
        versions = read.unwrap()
        if self._unread and not versions:
            return False
        self._version = min(versions, default=self._version)
        if not self._is_loaded:
            self._is_loaded = True
            self._unread_at_load = set(self._unread)
        log.info(
            "Jobs loaded.",
            jobs=len(self._scheduler.jobs),
            version=self._version,
            unread=sorted(self._unread),
            waiting=len(self._pending_rows),
        )
        return True

    def _read_listed_parts(self) -> Result[list[int], PlatformError]:
        """Read all partitions; returns the versions at which they were read.

        A partition that is new since the list would be missed, and so would its rows
        that are older than the reads of the others. The partitions are therefore
        listed until there is no new one: rows of later ones are newer than all reads.
        """
        versions: list[int] = []
        listed: set[str] = set()
        while True:
            match self._store.list_partitions(JOBS_TABLE):
                case Success(parts) if listed.issuperset(parts):
                    return Success(versions)
                case Success(parts):
                    versions += self._read_parts(set(parts) - listed)
                    listed |= set(parts)
                case failure:
                    return failure

    def _read_parts(self, parts: Iterable[str]) -> list[int]:
        """Read partitions and those still unread, and assign their jobs.

        Returns the versions at which partitions were read. After the reads the
        function does not yield to other threads. A report that a worker sent before
        its jobs were added must not count as a complete list of their runs; all
        workers are therefore asked again if a partition is read late. If it is read
        anew, its further jobs are so new that no predecessor has started them.

        The role is renewed meanwhile, because the reads may take longer than its lease
        lasts. If the lease has lapsed, what was read remains unread: a successor may
        already serve jobs that were accepted since.

        One such read follows the other: of two at once, one could drop a partition from
        the unread ones that it has read at an older version than is followed then.
        """
        with self._read_lock:
            return self._read_unread_parts(parts)

    def _read_unread_parts(self, parts: Iterable[str]) -> list[int]:
        self._unread |= set(parts)
        pool = eventlet.GreenPool(MAX_CONCURRENT_READS)
        read: dict[str, Snapshot] = {}
        for part, snapshot in pool.imap(self._read_part, sorted(self._unread)):
            if self._role.is_held:
                self._role.renew()
            if isinstance(snapshot, Success):
                read[part] = snapshot.unwrap()
        if not self._role.has_valid_lease:
            read.clear()
        if self._unread_at_load & read.keys():
            now_ms = self._clock.now_ms()
            self._scheduler.request_fresh_reports(now_ms + self._max_lease_ms)
        for snapshot in read.values():
            for row in snapshot.rows:
                self._collect_row(row)
        self._unread -= read.keys()
        self._unread_at_load -= read.keys()
        for job_id in list(self._pending_rows):
            self._assign_partition(job_id)
        self._scheduler.has_read_all_jobs = not self._unread
        return [snapshot.version for snapshot in read.values()]

    def _read_part(self, part: str):
        return part, self._store.read(JOBS_TABLE, part)

    def run_cleanup(self) -> None:
        """Retry unread partitions and delete rows until the thread is killed."""
        while True:
            eventlet.sleep(CLEANUP_INTERVAL_S)
            if not self._role.has_valid_lease:
                continue
            if self._unread:
                self.read_unread()
            self._cleanup.run_once()
            self._early_cancels.run_once()

    def read_unread(self) -> None:
        """Retry the partitions that could not be read."""
        self._read_parts(())
        log.info("Retried the unread partitions.", unread=sorted(self._unread))
        self._wake()

    def follow(self) -> None:
        """Apply submissions and cancellations until the thread is killed."""
        while True:
            match self._store.follow(JOBS_TABLE, self._version, FOLLOW_WAIT_MS):
                case Success(_) if not self._role.has_valid_lease:
                    eventlet.sleep(FOLLOW_RETRY_S)  # a successor may serve already
                case Success(changes):
                    self.apply_rows(changes.rows)
                    self._version = max(self._version, changes.version)
                    if changes.rows:
                        self._wake()
                case Failure(HistoryLost()):
                    log.warning("Job history truncated; reloading all jobs.")
                    if not self.load_jobs():
                        eventlet.sleep(FOLLOW_RETRY_S)
                    self._wake()
                case Failure(error):
                    log.debug("Could not follow the jobs.", cause=repr(error))
                    eventlet.sleep(FOLLOW_RETRY_S)

    def apply_rows(self, rows: Iterable[Row]) -> None:
        """Apply changed rows, except progress rows, which this term writes itself."""
        changed: set[JobId] = set()
        for row in rows:
            job_id, suffix = split_row_name(row.key.name)
            if suffix != PROGRESS_SUFFIX:
                self._collect_row(row)
                changed.add(job_id)
        for job_id in changed & self._pending_rows.keys():
            self._assign_partition(job_id)

    # Deciding where a job is served from.

    def _collect_row(self, row: Row) -> None:
        """Keep a row until the partition that serves its job is decided.

        If the job is in the scheduler already, a cancellation takes effect at once.
        A row with a key that no job has is passed over.
        """
        job_id, suffix = split_row_name(row.key.name)
        if not is_job_key(row.key):
            self._refusals.record(row.key, MalformedData("not the key of a job's row"))
        elif job_id in self._scheduler.jobs or job_id in self._scheduler.ended:
            if suffix == CANCEL_SUFFIX:
                self._cancel(job_id, [row])
            self._cleanup.mark_if_misplaced(row)
        else:
            by_part = self._pending_rows.setdefault(job_id, defaultdict(dict))
            for early in self._early_cancels.pop(job_id):
                by_part[early.key.part][CANCEL_SUFFIX] = early
            by_part[row.key.part][suffix] = row

    def _assign_partition(self, job_id: JobId) -> None:
        """Decide which partition serves a job, and serve it if that is possible."""
        if job_id in self._diverted.undecided:
            return
        by_part = self._pending_rows[job_id]
        home, fallback = job_partitions(queue_of(next(iter(by_part))), job_id)
        place = locate_job(
            self._partition_view(home, by_part),
            self._partition_view(fallback, by_part),
            self._diverted.may_be_recorded(job_id),
        )
        match place:
            case JobLocation.HOME:
                self._serve(job_id, home)
            case JobLocation.FALLBACK:
                self._serve(job_id, fallback)
            case JobLocation.TO_DIVERT:
                self._to_divert.add(job_id)
            case JobLocation.TO_RETURN:
                self._scheduler.diverted.discard(job_id)
            case JobLocation.NOWHERE:
                del self._pending_rows[job_id]
                for rows in by_part.values():
                    if CANCEL_SUFFIX in rows:
                        self._early_cancels.keep(rows[CANCEL_SUFFIX])

    def _partition_view(
        self, part: str, by_part: dict[str, RowsBySuffix]
    ) -> PartitionView:
        rows = by_part.get(part, {})
        has_rows = "" in rows or PROGRESS_SUFFIX in rows
        has_ended = PROGRESS_SUFFIX in rows and _has_ended(rows[PROGRESS_SUFFIX])
        return PartitionView(part not in self._unread, has_rows, has_ended)

    def _serve(self, job_id: JobId, part: str) -> None:
        """Add a job to the scheduler from its rows in one partition.

        A job whose rows cannot be read is passed over until one of them changes.
        """
        by_part = self._pending_rows.pop(job_id)
        self._to_divert.discard(job_id)
        try:
            self._add_job(job_id, by_part[part], by_part)
        except MalformedData as error:
            self._refusals.record(PartitionedKey(JOBS_TABLE, part, job_id), error)
            return
        for other_part, rows in by_part.items():
            for row in rows.values() if other_part != part else ():
                self._cleanup.mark_if_misplaced(row)

    def _add_job(
        self, job_id: JobId, rows: RowsBySuffix, by_part: dict[str, RowsBySuffix]
    ) -> None:
        """Add a job, or note its end; a cancel row takes effect in either partition.

        Raises
        ------
        MalformedData
            If a row of the job cannot be read.
        """
        progress = rows.get(PROGRESS_SUFFIX)
        record = unpack_progress(progress.value) if progress is not None else None
        if record is not None and record.state.has_ended:
            self._cleanup.ended_ms_by_key.setdefault(progress.key, _ended_ms(record))
            self._scheduler.ended.add(job_id)
            self._note_stopped_runs(record)
        elif "" in rows:
            job = self._make_job(rows[""], by_part, record)
            if progress is not None:
                job.progress_version = progress.version
            self._scheduler.add_job(job)
            others = by_part.values()
            self._cancel(
                job_id, [o[CANCEL_SUFFIX] for o in others if CANCEL_SUFFIX in o]
            )

    def _cancel(self, job_id: JobId, rows: Iterable[Row]) -> None:
        """Cancel a job if one of its cancel rows binds its team."""
        job = self._scheduler.jobs.get(job_id)
        for row in rows if job is not None else ():
            if read_cancellation(row.value).binds(job.workload.team):
                self._scheduler.cancel_job(job_id)
            else:
                job.has_other_cancel = True

    def _note_stopped_runs(self, record: ProgressRecord) -> None:
        """Note that a job ended while tasks ran, which may not have stopped yet."""
        if record.team is None or record.state is JobState.DONE:
            return
        if self._age_ms(record) < self._max_lease_ms:
            self._scheduler.usage.note_stopped_runs(record.team)

    def _make_job(
        self,
        row: Row,
        by_part: dict[str, RowsBySuffix],
        record: ProgressRecord | None,
    ) -> ActiveJob:
        """Create a job whose age is that of the oldest of its submitted rows."""
        submitted = [rows[""] for rows in by_part.values() if "" in rows]
        try:
            accepted_ms = min(unpack_workload(r.key, r.value)[1] for r in submitted)
            workload, _ = unpack_workload(row.key, row.value)
            age_ms = max(0.0, self._store.time_ms() - accepted_ms)
            version = min(r.version for r in submitted)
            job = ActiveJob(workload, self._clock.now_ms() - age_ms, version)
            if record is not None:
                job.restore(record)
                job.record_age_ms = self._age_ms(record)
        except (TypeError, LookupError) as error:
            raise MalformedData("not the rows of a job") from error
        return job

    def _age_ms(self, record: ProgressRecord) -> float:
        """Return the age of a record, 0 if it is not known."""
        if not record.recorded_ms:
            return 0.0
        return max(0.0, self._store.time_ms() - record.recorded_ms)

    # Recording diversions.

    def run_diversions(self) -> None:
        """Record diversions until the thread is killed."""
        while True:
            eventlet.sleep(DIVERT_INTERVAL_S)
            if self._role.has_valid_lease:
                self.record_diversions()

    def record_diversions(self) -> None:
        """Record diverted jobs in the store, then serve them."""
        new_jobs = set(sorted(self._to_divert)[: self._diverted.remaining_capacity])
        if not new_jobs and self._diverted.is_recorded:
            return
        if isinstance(self._diverted.record(new_jobs), Success):
            for job_id in list(self._pending_rows):
                self._assign_partition(job_id)
            self._wake()


def _has_ended(progress: Row) -> bool:
    try:
        return unpack_progress(progress.value).state.has_ended
    except MalformedData:
        return False


def _ended_ms(record: ProgressRecord) -> float:
    if not isinstance(record.recorded_ms, int | float):
        raise MalformedData("not the time of an end")
    return record.recorded_ms
