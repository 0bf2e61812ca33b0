"""Operators' requests about jobs and workers, with typed results."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.documents import DocumentTask
from corianderpitch.domain.jobs import Job, Priority, Shape, Worker
from corianderpitch.domain.placement import fits_any_worker
from corianderpitch.errors import (
    JobRefusal,
    JobRefused,
    OperationError,
    RowConflict,
)
from corianderpitch.ids import DataCenterId, JobId, JobKind, TeamName, WorkerId
from corianderpitch.ports import Check, Row, TableService, Workers, Write, version_of
from corianderpitch.records import (
    DrainedWorkers,
    JobInbox,
    decode_row,
    drained_workers_key,
    encode_row,
    job_inbox_key,
    job_key,
    job_prefix,
)

COMMIT_ATTEMPTS = 8
MAX_INBOX_JOBS = 200
CANCEL_BATCH_JOBS = 100

JobUpdate = Callable[[Job, Job | None], Job]


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A job to submit; the caller chooses its id, so that a retry is harmless."""

    job_id: JobId
    team: TeamName
    kind: JobKind
    shape: Shape
    command: str
    priority: Priority = Priority.ORDINARY


class JobOperations:
    """Submits, cancels and returns jobs, and drains workers."""

    def __init__(
        self,
        table: TableService,
        workers: Workers,
        documents: DocumentTask,
        clock: Clock,
    ):
        self._table = table
        self._workers = workers
        self._documents = documents
        self._clock = clock

    def submit(
        self, site: DataCenterId, requests: list[JobRequest]
    ) -> Result[list[Job], OperationError]:
        """Accept all of the jobs, or none if one of them can never run.

        A job whose id the table already holds is returned as it is there.
        """
        match self._workers.list_workers(site):
            case Success(workers):
                refusal = self._refusal(site, requests, workers)
            case Failure(error):
                return Failure(error)
        if refusal is not None:
            return Failure(refusal)
        wall_ms = self._clock.wall_ms()
        jobs = [
            Job(r.job_id, r.team, r.kind, r.priority, r.shape, r.command, wall_ms)
            for r in requests
        ]
        return self._update_jobs(
            site, jobs, lambda job, stored: job if stored is None else stored
        )

    def _refusal(
        self, site: DataCenterId, requests: list[JobRequest], workers: list[Worker]
    ) -> JobRefused | None:
        config = self._documents.config
        if config is None or site not in config.base.sites:
            return JobRefused(requests[0].job_id, JobRefusal.NO_SUCH_SITE)
        for request in requests:
            quota = config.for_site(site).quota(request.team)
            if not quota.admits(request.shape):
                return JobRefused(request.job_id, JobRefusal.OVER_QUOTA)
            if not fits_any_worker(request.shape, workers):
                return JobRefused(request.job_id, JobRefusal.TOO_LARGE)
        return None

    def cancel(
        self, site: DataCenterId, job_ids: list[JobId]
    ) -> Result[list[Job], OperationError]:
        """Cancel jobs in batches of ``CANCEL_BATCH_JOBS``; ended jobs do not change."""
        cancelled: list[Job] = []
        for first in range(0, len(job_ids), CANCEL_BATCH_JOBS):
            batch = job_ids[first : first + CANCEL_BATCH_JOBS]
            jobs = self._read_jobs(site, batch)
            if not isinstance(jobs, Success):
                return jobs
            changed = self._update_jobs(site, jobs.unwrap(), _cancel_job)
            if not isinstance(changed, Success):
                return changed
            cancelled += changed.unwrap()
        return Success(cancelled)

    def _read_jobs(
        self, site: DataCenterId, job_ids: list[JobId]
    ) -> Result[list[Job], OperationError]:
        keys = {job_key(site, job_id): job_id for job_id in job_ids}
        match self._table.read(dict.fromkeys(keys, 0)):
            case Success(rows):
                missing = [job_id for key, job_id in keys.items() if key not in rows]
                if missing:
                    refused = JobRefused(missing[0], JobRefusal.NO_SUCH_JOB)
                    return Failure(refused)
                return Success([decode_row(Job, row.value) for row in rows.values()])
            case Failure(error):
                return Failure(error)

    def jobs(self, site: DataCenterId) -> Result[list[Job], OperationError]:
        """Return the jobs of a data centre, including the ended ones that are kept."""
        result = self._table.scan(job_prefix(site))
        return result.map(lambda rows: [decode_row(Job, row.value) for row in rows])

    def set_worker_drained(
        self, site: DataCenterId, worker: WorkerId, is_drained: bool
    ) -> Result[DrainedWorkers, OperationError]:
        """Take a worker out of service, or return it to service.

        The jobs of a worker out of service continue on other workers.
        """
        key = drained_workers_key(site)
        result: Result[DrainedWorkers, OperationError] = Failure(RowConflict((key,)))
        for _ in range(COMMIT_ATTEMPTS):
            match self._table.read({key: 0}):
                case Success(rows):
                    result = self._commit_drained_workers(
                        rows.get(key), key, worker, is_drained
                    )
                case Failure(error):
                    return Failure(error)
            if result != Failure(RowConflict((key,))):
                return result
        return result

    def _commit_drained_workers(
        self, row: Row | None, key: str, worker: WorkerId, is_drained: bool
    ) -> Result[DrainedWorkers, OperationError]:
        stored = decode_row(DrainedWorkers, row.value) if row else DrainedWorkers()
        drained = stored.drained | {worker} if is_drained else stored.drained - {worker}
        changed = DrainedWorkers(drained)
        check = Check(key, version_of(row))
        committed = self._table.commit((check,), (Write(key, encode_row(changed)),))
        return committed.map(lambda _: changed)

    def _update_jobs(
        self, site: DataCenterId, jobs: list[Job], update: JobUpdate
    ) -> Result[list[Job], OperationError]:
        """Update jobs and add them to the inbox, with retries after conflicts.

        ``update(job, stored)`` returns the new record of a job. ``stored`` is the
        record that the table holds, or ``None``.
        """
        result: Result[list[Job], OperationError] = Failure(RowConflict(()))
        for _ in range(COMMIT_ATTEMPTS):
            result = self._try_update_jobs(site, jobs, update)
            match result:
                case Failure(RowConflict()):
                    continue
            return result
        return result

    def _try_update_jobs(
        self, site: DataCenterId, jobs: list[Job], update: JobUpdate
    ) -> Result[list[Job], OperationError]:
        inbox_key = job_inbox_key(site)
        keys = {job_key(site, job.job_id): job for job in jobs}
        match self._table.read(dict.fromkeys([*keys, inbox_key], 0)):
            case Success(rows):
                pass
            case Failure(error):
                return Failure(error)
        checks = [Check(inbox_key, version_of(rows.get(inbox_key)))]
        writes = []
        updated_jobs = []
        for key, job in keys.items():
            stored = decode_row(Job, rows[key].value) if key in rows else None
            updated = update(job, stored)
            updated_jobs.append(updated)
            if updated != stored:
                checks.append(Check(key, version_of(rows.get(key))))
                writes.append(Write(key, encode_row(updated)))
        if not writes:
            return Success(updated_jobs)
        inbox = _updated_inbox(
            rows.get(inbox_key), [job.job_id for job in updated_jobs]
        )
        writes.append(Write(inbox_key, encode_row(inbox)))
        committed = self._table.commit(tuple(checks), tuple(writes))
        return committed.map(lambda _: updated_jobs)


def _cancel_job(job: Job, stored: Job | None) -> Job:
    current = stored or job
    return current if current.state.has_ended else replace(current, is_cancelled=True)


def _updated_inbox(row: Row | None, job_ids: list[JobId]) -> JobInbox:
    inbox = decode_row(JobInbox, row.value) if row else JobInbox()
    listed = tuple(dict.fromkeys((*inbox.job_ids, *job_ids)))
    if inbox.must_rescan or len(listed) > MAX_INBOX_JOBS:
        return JobInbox((), must_rescan=True)
    return JobInbox(listed)
