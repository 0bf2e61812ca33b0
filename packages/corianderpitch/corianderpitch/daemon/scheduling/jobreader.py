"""Reads and follows the jobs in the store, for the time of a tenure."""

from collections import defaultdict
from collections.abc import Callable, Iterable

import eventlet
from returns.result import Failure, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.commits import CommitTask
from corianderpitch.daemon.scheduling.diversions import DivertedJobs
from corianderpitch.daemon.scheduling.rows import (
    CANCEL_SUFFIX,
    JOBS_TABLE,
    PROGRESS_SUFFIX,
    job_keys,
    job_places,
    queue_of,
    split_name,
    unpack_progress,
    unpack_workload,
)
from corianderpitch.domain.scheduling.diversion import Place, PlaceView, choose_place
from corianderpitch.domain.scheduling.progress import ActiveJob
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.errors import HistoryLost, RowConflict
from corianderpitch.ids import JobId
from corianderpitch.ports import Check, PartedKey, Row, RowStore, Snapshot, Write

FOLLOW_WAIT_MS = 1000
FOLLOW_RETRY_S = 0.1
REST_INTERVAL_S = 0.5
DIVERT_INTERVAL_S = 0.05
READERS = 8  # partitions that are read at a time
MAX_STRAYS = 20  # rows deleted in one round
MAX_LEFT_BEHIND = 30  # jobs of three rows each, within a transaction's hundred

log = logger("scheduler")

RowsBySuffix = dict[str, Row]


class JobReader:
    """Gives the scheduler the jobs that are in the store.

    ``_found`` holds the rows of jobs that are not served yet, by partition: those
    that may have rows in a partition which could not be read, and those whose
    diversion is not recorded yet.
    """

    def __init__(
        self,
        store: RowStore,
        role: RoleLease,
        scheduler: Scheduler,
        commits: CommitTask,
        diverted: DivertedJobs,
        clock: Clock,
        leases_last_ms: float,
        wake: Callable[[], None],
    ):
        self._store = store
        self._role = role
        self._scheduler = scheduler
        self._commits = commits
        self._diverted = diverted
        self._clock = clock
        self._leases_last_ms = leases_last_ms
        self._wake = wake
        self._version = 0
        self._unread: set[str] = set()
        self._found: dict[JobId, dict[str, RowsBySuffix]] = {}
        self._to_divert: set[JobId] = set()
        self._strays: dict[PartedKey, int] = {}

    # Reading.

    def load(self) -> bool:
        """Read all jobs; returns whether the store answers."""
        return isinstance(self._diverted.load(), Success) and self.load_jobs()

    def load_jobs(self) -> bool:
        """Read all partitions; those that cannot be read are left for later.

        The store may not answer for some of its partitions. The others are
        served meanwhile.
        """
        parts = self._store.list_parts(JOBS_TABLE)
        if not isinstance(parts, Success):
            return False
        versions = self._read_parts(parts.unwrap())
        if parts.unwrap() and not versions:
            return False
        self._version = min(versions, default=self._version)
        log.info(
            "Jobs read.",
            jobs=len(self._scheduler.jobs),
            version=self._version,
            unread=sorted(self._unread),
            waiting=len(self._found),
        )
        return True

    def _read_parts(self, parts: Iterable[str]) -> list[int]:
        """Take partitions in; returns the versions at which they were read.

        Nothing waits once they are read: a list that a worker gives before its jobs
        are known must not count as one that names their runs.
        """
        late = set(self._unread)
        self._unread |= set(parts)
        pool = eventlet.GreenPool(READERS)
        read: dict[str, Snapshot] = {}
        for part, snapshot in pool.imap(self._read_part, sorted(self._unread)):
            if isinstance(snapshot, Success):
                read[part] = snapshot.unwrap()
        if late & read.keys():
            now_ms = self._clock.now_ms()
            self._scheduler.hear_again(now_ms + self._leases_last_ms)
        for snapshot in read.values():
            for row in snapshot.rows:
                self._note(row)
        self._unread -= read.keys()
        for job_id in list(self._found):
            self._settle(job_id)
        self._scheduler.is_whole = not self._unread
        return [snapshot.version for snapshot in read.values()]

    def _read_part(self, part: str):
        return part, self._store.read(JOBS_TABLE, part)

    def read_rest(self) -> None:
        """Read what could not be read, and delete strays, until killed."""
        while True:
            eventlet.sleep(REST_INTERVAL_S)
            if not self._role.is_renewed:
                continue
            if self._unread:
                self.read_unread()
            self.delete_strays()

    def read_unread(self) -> None:
        """Try once more to read the partitions that could not be read."""
        self._read_parts(())
        log.info("Partitions still unread.", unread=sorted(self._unread))
        self._wake()

    def follow(self) -> None:
        """Take in what is handed in and cancelled, until killed."""
        while True:
            match self._store.follow(JOBS_TABLE, self._version, FOLLOW_WAIT_MS):
                case Success(_) if not self._role.is_renewed:
                    eventlet.sleep(FOLLOW_RETRY_S)  # a successor may serve already
                case Success(changes):
                    self.take_rows(changes.rows)
                    self._version = max(self._version, changes.version)
                    if changes.rows:
                        self._wake()
                case Failure(HistoryLost()):
                    log.warning("History of jobs lost; reading them anew.")
                    self.load_jobs()
                    self._wake()
                case Failure(error):
                    log.debug("Jobs not followed.", cause=repr(error))
                    eventlet.sleep(FOLLOW_RETRY_S)

    def take_rows(self, rows: Iterable[Row]) -> None:
        """Take in rows that have changed; progress is this tenure's own."""
        changed: set[JobId] = set()
        for row in rows:
            job_id, suffix = split_name(row.key.name)
            if suffix != PROGRESS_SUFFIX:
                self._note(row)
                changed.add(job_id)
        for job_id in changed & self._found.keys():
            self._settle(job_id)

    # Deciding where a job is served from.

    def _note(self, row: Row) -> None:
        """Remember a row until it is known where its job is served from."""
        job_id, suffix = split_name(row.key.name)
        if job_id in self._scheduler.jobs or job_id in self._scheduler.ended:
            if suffix == CANCEL_SUFFIX:
                self._scheduler.cancel_job(job_id)
            self._note_stray(job_id, row)
        else:
            self._found.setdefault(job_id, defaultdict(dict))[row.key.part][suffix] = (
                row
            )

    def _note_stray(self, job_id: JobId, row: Row) -> None:
        """Have a row deleted that is not where its job is served from."""
        home, fallback = job_places(queue_of(row.key.part), job_id)
        served = fallback if job_id in self._scheduler.diverted else home
        if row.key.part != served:
            self._strays[row.key] = row.version

    def _settle(self, job_id: JobId) -> None:
        """Serve a job if it is known where from."""
        if job_id in self._diverted.undecided:
            return
        by_part = self._found[job_id]
        home, fallback = job_places(queue_of(next(iter(by_part))), job_id)
        place = choose_place(
            self._view(home, by_part),
            self._view(fallback, by_part),
            self._diverted.may_be_named(job_id),
        )
        match place:
            case Place.HOME:
                self._serve(job_id, home)
            case Place.FALLBACK:
                self._serve(job_id, fallback)
            case Place.TO_DIVERT:
                self._to_divert.add(job_id)
            case Place.TO_RETURN:
                self._scheduler.diverted.discard(job_id)
            case Place.NOWHERE:
                del self._found[job_id]

    def _view(self, part: str, by_part: dict[str, RowsBySuffix]) -> PlaceView:
        rows = by_part.get(part, {})
        has_rows = "" in rows or PROGRESS_SUFFIX in rows
        return PlaceView(part not in self._unread, has_rows)

    def _serve(self, job_id: JobId, part: str) -> None:
        """Give a job to the scheduler, from its rows in one partition.

        A cancelling counts wherever it stands.
        """
        by_part = self._found.pop(job_id)
        self._to_divert.discard(job_id)
        rows = by_part[part]
        progress = rows.get(PROGRESS_SUFFIX)
        record = unpack_progress(progress.value) if progress is not None else None
        if record is not None and record.state.has_ended:
            self._commits.ended.setdefault(progress.key, record.ended_ms)
            self._scheduler.ended.add(job_id)
        elif "" in rows:
            job = self._make_job(rows[""], by_part)
            if record is not None:
                job.restore(record)
                job.progress_version = progress.version
            self._scheduler.add_job(job)
            if any(CANCEL_SUFFIX in rows for rows in by_part.values()):
                self._scheduler.cancel_job(job_id)
        for other, rows in by_part.items():
            for row in rows.values() if other != part else ():
                self._note_stray(job_id, row)

    def _make_job(self, row: Row, by_part: dict[str, RowsBySuffix]) -> ActiveJob:
        """Return a job, as old as the oldest of its rows."""
        handed_in = [rows[""] for rows in by_part.values() if "" in rows]
        accepted_ms = min(unpack_workload(r.key, r.value)[1] for r in handed_in)
        workload, _ = unpack_workload(row.key, row.value)
        age_ms = max(0.0, self._store.time_ms() - accepted_ms)
        version = min(r.version for r in handed_in)
        return ActiveJob(workload, self._clock.now_ms() - age_ms, version)

    # Recording diversions and deleting strays.

    def divert(self) -> None:
        """Record diversions until killed."""
        while True:
            eventlet.sleep(DIVERT_INTERVAL_S)
            if self._role.is_renewed:
                self.record_diverted()

    def record_diverted(self) -> None:
        """Name diverted jobs in the store, then serve them."""
        fresh = set(sorted(self._to_divert)[: self._diverted.room])
        if not fresh and self._diverted.is_recorded:
            return
        if isinstance(self._diverted.record(fresh), Success):
            for job_id in list(self._found):
                self._settle(job_id)
            self._wake()

    def delete_strays(self) -> None:
        """Delete rows that are not where their jobs are served from.

        A partition that does not take one call is left alone until the next round.
        """
        self._delete_left_behind()
        away: set[str] = set()
        for key, version in list(self._strays.items())[:MAX_STRAYS]:
            if key.part in away:
                continue
            checks = (self._role.parted_fence(), Check(key, version))
            match self._store.commit(checks, (Write(key, None),)):
                case Success(_) | Failure(RowConflict()):
                    del self._strays[key]
                    log.info("Stray row deleted.", row=key.name, partition=key.part)
                case Failure(error):
                    away.add(key.part)
                    log.debug("Stray row not deleted.", cause=repr(error))

    def _delete_left_behind(self) -> None:
        """Delete the home rows of jobs that were moved when they had ended."""
        left = self._commits.left_behind
        by_part: dict[str, list[JobId]] = defaultdict(list)
        for job_id, part in left.items():
            by_part[part].append(job_id)
        for part, job_ids in by_part.items():
            batch = job_ids[:MAX_LEFT_BEHIND]
            keys = [key for job_id in batch for key in job_keys(part, job_id)]
            writes = tuple(Write(key, None) for key in keys)
            match self._store.commit((self._role.parted_fence(),), writes):
                case Success(_):
                    for job_id in batch:
                        del left[job_id]
                    log.info("Left rows deleted.", jobs=len(batch), partition=part)
                case Failure(error):
                    log.debug("Left rows not deleted.", cause=repr(error))
