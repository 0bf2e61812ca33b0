"""Operators' requests about jobs and workers, as functions with typed results."""

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
    JobInbox,
    WorkerMarks,
    decode_row,
    encode_row,
    job_inbox_key,
    job_key,
    job_prefix,
    worker_marks_key,
)

COMMIT_ATTEMPTS = 8
INBOX_JOBS = 200
BATCH_JOBS = 100

JobChanger = Callable[[Job, Job | None], Job]


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A job to submit; the caller chooses the id, so that a repeat is harmless."""

    job_id: JobId
    team: TeamName
    kind: JobKind
    shape: Shape
    command: str
    priority: Priority = Priority.ORDINARY


class JobOperations:
    """Submits, cancels and shows jobs; takes workers out of service."""

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
        """Accept jobs, all or none; one that can never run is refused at once."""
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
        return self._change(site, jobs, lambda job, old: job if old is None else old)

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
        """Cancel jobs in batches; those that have ended stay as they are."""
        cancelled: list[Job] = []
        for first in range(0, len(job_ids), BATCH_JOBS):
            batch = job_ids[first : first + BATCH_JOBS]
            found = self._find(site, batch)
            if not isinstance(found, Success):
                return found
            changed = self._change(site, found.unwrap(), _cancelled)
            if not isinstance(changed, Success):
                return changed
            cancelled += changed.unwrap()
        return Success(cancelled)

    def _find(
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
        """Return the jobs of a data centre, the ended ones that are kept included."""
        rows = self._table.scan(job_prefix(site))
        return rows.map(lambda found: [decode_row(Job, row.value) for row in found])

    def set_drained(
        self, site: DataCenterId, worker: WorkerId, is_drained: bool
    ) -> Result[WorkerMarks, OperationError]:
        """Take a worker out of service, or back; its tasks go on elsewhere."""
        key = worker_marks_key(site)
        result: Result[WorkerMarks, OperationError] = Failure(RowConflict((key,)))
        for _ in range(COMMIT_ATTEMPTS):
            match self._table.read({key: 0}):
                case Success(rows):
                    result = self._commit_marks(rows.get(key), key, worker, is_drained)
                case Failure(error):
                    return Failure(error)
            if result != Failure(RowConflict((key,))):
                return result
        return result

    def _commit_marks(
        self, row: Row | None, key: str, worker: WorkerId, is_drained: bool
    ) -> Result[WorkerMarks, OperationError]:
        marks = decode_row(WorkerMarks, row.value) if row else WorkerMarks()
        drained = marks.drained | {worker} if is_drained else marks.drained - {worker}
        changed = WorkerMarks(drained)
        check = Check(key, version_of(row))
        committed = self._table.commit((check,), (Write(key, encode_row(changed)),))
        return committed.map(lambda _: changed)

    def _change(
        self, site: DataCenterId, jobs: list[Job], change: JobChanger
    ) -> Result[list[Job], OperationError]:
        """Write jobs and announce them, again if another change came first.

        ``change(job, old)`` returns the new record from the given job and the
        row that the table holds, if any.
        """
        result: Result[list[Job], OperationError] = Failure(RowConflict(()))
        for _ in range(COMMIT_ATTEMPTS):
            result = self._try_change(site, jobs, change)
            match result:
                case Failure(RowConflict()):
                    continue
            return result
        return result

    def _try_change(
        self, site: DataCenterId, jobs: list[Job], change: JobChanger
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
        changed_jobs = []
        for key, job in keys.items():
            old = decode_row(Job, rows[key].value) if key in rows else None
            changed = change(job, old)
            changed_jobs.append(changed)
            if changed != old:
                checks.append(Check(key, version_of(rows.get(key))))
                writes.append(Write(key, encode_row(changed)))
        if not writes:
            return Success(changed_jobs)
        inbox = _announce(rows.get(inbox_key), [job.job_id for job in changed_jobs])
        writes.append(Write(inbox_key, encode_row(inbox)))
        committed = self._table.commit(tuple(checks), tuple(writes))
        return committed.map(lambda _: changed_jobs)


def _cancelled(job: Job, old: Job | None) -> Job:
    current = old or job
    return current if current.state.has_ended else replace(current, is_cancelled=True)


def _announce(row: Row | None, job_ids: list[JobId]) -> JobInbox:
    inbox = decode_row(JobInbox, row.value) if row else JobInbox()
    announced = tuple(dict.fromkeys((*inbox.job_ids, *job_ids)))
    if inbox.must_rescan or len(announced) > INBOX_JOBS:
        return JobInbox((), must_rescan=True)
    return JobInbox(announced)
