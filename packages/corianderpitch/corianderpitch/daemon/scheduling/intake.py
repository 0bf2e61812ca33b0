"""Intake: jobs are accepted, shown and cancelled by any entry, through the store."""

import enum
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.scheduling.guardedstore import GuardedStore
from corianderpitch.daemon.scheduling.rows import (
    CANCEL_SUFFIX,
    JOBS_TABLE,
    PROGRESS_SUFFIX,
    RANGE_END,
    cancel_key,
    job_key,
    job_part,
    job_parts,
    job_places,
    pack_workload,
    progress_key,
    unpack_progress,
)
from corianderpitch.domain.jobs import JobState
from corianderpitch.domain.scheduling.workloads import Workload
from corianderpitch.errors import (
    CommitError,
    OutcomeLost,
    PlatformError,
    RateLimited,
    RowConflict,
)
from corianderpitch.ids import JobId, QueueName
from corianderpitch.ports import Check, Row, RowStore, Write

STORE_AWAY_RETRY_MS = 1000
CANCEL_TRIES = 3

log = logger("intake")


class IntakeKind(enum.Enum):
    """What became of a call.

    ``NOT_DONE`` is certain; after ``UNKNOWN`` the call may have had its effect.
    """

    DONE = "done"
    NO_SUCH_JOB = "no_such_job"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class IntakeResult:
    """Outcome of a call, with the state or count that was asked for."""

    kind: IntakeKind
    state: JobState | None = None
    waiting: int = 0
    retry_after_ms: int = 0


class Intake:
    """Calls of callers, each answered from the store."""

    def __init__(self, store: RowStore, clock: Clock):
        self._store = GuardedStore(store, clock)

    def submit(self, workload: Workload) -> IntakeResult:
        """Accept a job: it is stored before the caller is told so.

        A job that its home partition does not take is stored in its fallback
        partition. One that is there already is the same job handed in again. After
        a lost answer the store is asked whether the job is there; where it is not,
        a write still under way may bring it, so that the outcome is unknown.
        """
        value = pack_workload(workload, self._store.time_ms())
        lost: OutcomeLost | None = None
        for part in job_places(workload.queue, workload.job_id):
            result = self._store_job(workload, part, value)
            match result:
                case Success(version):
                    log.info(
                        "Accepted." if version is not None else "Accepted before.",
                        job=workload.job_id,
                        queue=workload.queue,
                        partition=part,
                        at=version,
                    )
                    return IntakeResult(IntakeKind.DONE)
                case Failure(OutcomeLost() as error):
                    lost = error
                case Failure(RateLimited()):
                    break
            if not self._store.answers_elsewhere(part):
                break
        if lost is not None:
            return self._look_after_loss(workload, lost)
        home = job_part(workload.queue, workload.job_id)
        return self._not_done("submit", workload.job_id, home, result.failure())

    def _store_job(
        self, workload: Workload, part: str, value: bytes
    ) -> Result[int | None, CommitError]:
        """Store a job; returns its row's version, ``None`` if it is there already."""
        key = job_key(part, workload.job_id)
        checks = (Check(key, 0), Check(progress_key(part, workload.job_id), 0))
        match self._store.commit(checks, (Write(key, value),)):
            case Failure(RowConflict()):
                return Success(None)
            case result:
                return result

    def _look_after_loss(self, workload: Workload, error: OutcomeLost) -> IntakeResult:
        rows = self._rows(workload.queue, workload.job_id)
        is_there = isinstance(rows, Success) and bool(rows.unwrap())
        log.warning(
            "Answer of a write lost.",
            job=workload.job_id,
            found=is_there,
            detail=error.detail,
        )
        return IntakeResult(IntakeKind.DONE if is_there else IntakeKind.UNKNOWN)

    def show(self, queue: QueueName, job_id: JobId) -> IntakeResult:
        """Return a job's state."""
        match self._rows(queue, job_id):
            case Success(rows) if not rows:
                return IntakeResult(IntakeKind.NO_SUCH_JOB)
            case Success(rows):
                return IntakeResult(IntakeKind.DONE, _state(rows))
            case Failure(error):
                return self._not_done("show", job_id, job_part(queue, job_id), error)

    def cancel(self, queue: QueueName, job_id: JobId) -> IntakeResult:
        """Cancel a job; one that has ended stays as it is.

        The write is conditional on the job's row, so that no cancelling is
        left behind for a job that ends at the same moment. A row that is gone since
        it was read may only have been a double: the job is looked for again.
        """
        home = job_part(queue, job_id)
        for _ in range(CANCEL_TRIES):
            match self._rows(queue, job_id):
                case Success(rows) if not rows:
                    return IntakeResult(IntakeKind.NO_SUCH_JOB)
                case Success(rows) if _is_final(rows):
                    return IntakeResult(IntakeKind.DONE, _state(rows))
                case Success(rows):
                    result = self._cancel_row(rows[""])
                case Failure(error):
                    return self._not_done("cancel", job_id, home, error)
            match result:
                case Success(version):
                    log.info("Cancelled.", job=job_id, queue=queue, at=version)
                    return IntakeResult(IntakeKind.DONE, JobState.CANCELLED)
                case Failure(RowConflict()):
                    continue
                case Failure(OutcomeLost()):
                    return IntakeResult(IntakeKind.UNKNOWN)
                case Failure(error):
                    return self._not_done("cancel", job_id, home, error)
        return self._not_done("cancel", job_id, home, result.failure())

    def _cancel_row(self, row: Row) -> Result[int, CommitError]:
        """Write a job's cancelling beside its row, if that is still there."""
        checks = (Check(row.key, row.version),)
        key = cancel_key(row.key.part, JobId(row.key.name))
        return self._store.commit(checks, (Write(key, b""),))

    def count_waiting(self, queue: QueueName) -> IntakeResult:
        """Return how many accepted jobs of a queue have not begun."""
        waiting = 0
        for part in job_parts(queue):
            match self._store.read(JOBS_TABLE, part):
                case Success(snapshot):
                    waiting += _count_waiting(snapshot.rows)
                case Failure(error):
                    return self._not_done("count", JobId(""), part, error)
        return IntakeResult(IntakeKind.DONE, waiting=waiting)

    def _rows(
        self, queue: QueueName, job_id: JobId
    ) -> Result[dict[str, Row], PlatformError]:
        """Read all rows of a job, by their suffix.

        A final state goes before all else, then progress at home; without either the
        job may be served from its fallback partition, and that row goes first.
        That a job is nowhere is certain only where both partitions have answered.
        """
        home, fallback = job_places(queue, job_id)
        at_home = self._rows_in(home, job_id)
        if isinstance(at_home, Success) and _has_ended(at_home.unwrap()):
            return at_home
        if isinstance(at_home, Failure) and not self._store.answers_elsewhere(home):
            return at_home
        elsewhere = self._rows_in(fallback, job_id)
        match at_home, elsewhere:
            case Success(rows), Success(others) if _has_ended(others):
                return Success(others)
            case Success(rows), Success(others) if PROGRESS_SUFFIX in rows:
                return Success(others | rows)
            case Success(rows), Success(others):
                return Success(rows | others)
            case (Success(rows), _) | (_, Success(rows)) if rows:
                return Success(rows)
            case (Failure(_), _):
                return at_home
        return elsewhere

    def _rows_in(
        self, part: str, job_id: JobId
    ) -> Result[dict[str, Row], PlatformError]:
        found = self._store.read(JOBS_TABLE, part, job_id, job_id + RANGE_END)
        return found.map(
            lambda snapshot: {
                row.key.name.removeprefix(job_id): row for row in snapshot.rows
            }
        )

    def _not_done(
        self, call: str, job_id: JobId, part: str, error: PlatformError
    ) -> IntakeResult:
        log.warning(
            "Not done.", call=call, job=job_id, partition=part, cause=repr(error)
        )
        return IntakeResult(IntakeKind.NOT_DONE, retry_after_ms=STORE_AWAY_RETRY_MS)


def _count_waiting(rows: tuple[Row, ...]) -> int:
    names = {row.key.name for row in rows}
    return sum(
        1
        for name in names
        if "." not in name
        and name + PROGRESS_SUFFIX not in names
        and name + CANCEL_SUFFIX not in names
    )


def _is_final(rows: dict[str, Row]) -> bool:
    """Tell whether nothing is left of a job to cancel."""
    return "" not in rows or CANCEL_SUFFIX in rows or _has_ended(rows)


def _has_ended(rows: dict[str, Row]) -> bool:
    """Tell whether a job's rows hold its final state."""
    progress = rows.get(PROGRESS_SUFFIX)
    return progress is not None and unpack_progress(progress.value).state.has_ended


def _state(rows: dict[str, Row]) -> JobState:
    """Return the state that a job's rows stand for."""
    progress = rows.get(PROGRESS_SUFFIX)
    record = unpack_progress(progress.value) if progress is not None else None
    if record is not None and record.state.has_ended:
        return record.state
    if CANCEL_SUFFIX in rows:
        return JobState.CANCELLED
    return record.state if record is not None else JobState.QUEUED
