"""Calls of callers: any entry accepts, shows and cancels jobs through the store."""

import enum
from collections.abc import Iterable
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
    full_key,
    home_partition,
    job_key,
    job_partitions,
    pack_workload,
    progress_key,
    queue_partitions,
    unpack_progress,
    unpack_state,
)
from corianderpitch.domain.jobs import JobState
from corianderpitch.domain.scheduling.workloads import Workload
from corianderpitch.errors import (
    CommitError,
    MalformedData,
    OutcomeLost,
    PlatformError,
    QueueFull,
    RateLimited,
    RowConflict,
)
from corianderpitch.ids import JobId, QueueName
from corianderpitch.ports import Check, Row, RowStore, Write

STORE_UNAVAILABLE_RETRY_MS = 1000
QUEUE_FULL_RETRY_MS = 5000  # many jobs must end first; other entries know as well
MAX_CANCEL_ATTEMPTS = 3

log = logger("intake")


class IntakeKind(enum.Enum):
    """Kind of a call's outcome.

    After ``NOT_DONE`` the call certainly had no effect; after ``UNKNOWN`` it may
    have had its effect. A job that is ``TOO_LARGE`` is never accepted.
    """

    DONE = "done"
    NO_SUCH_JOB = "no_such_job"
    TOO_LARGE = "too_large"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class IntakeResult:
    """Outcome of a call, with the requested state or count.

    ``retry_after_ms`` is the delay after which the caller may try again.
    """

    kind: IntakeKind
    state: JobState | None = None
    waiting: int = 0
    retry_after_ms: int = 0


class Intake:
    """Answers the calls of callers from the store."""

    def __init__(self, store: RowStore, clock: Clock):
        self._store = GuardedStore(store, clock)

    def submit(self, workload: Workload) -> IntakeResult:
        """Accept a job; it is stored before the call returns.

        A job that cannot be stored in its home partition is stored in its fallback
        partition. If its row exists already, the same job was submitted again. After
        a lost answer the job's rows are read: if they are missing, the outcome is
        unknown, because the store may still apply the write.
        """
        value = pack_workload(workload, self._store.time_ms())
        if len(value) > self._store.max_value_bytes:
            return IntakeResult(IntakeKind.TOO_LARGE)
        lost_answer: OutcomeLost | None = None
        for part in job_partitions(workload.queue, workload.job_id):
            result = self._store_job(workload, part, value)
            match result:
                case Success(version):
                    log.info(
                        "Job accepted."
                        if version is not None
                        else "Job was accepted before.",
                        job=workload.job_id,
                        queue=workload.queue,
                        partition=part,
                        at=version,
                    )
                    return IntakeResult(IntakeKind.DONE)
                case Failure(OutcomeLost() as error):
                    lost_answer = error
                case Failure(QueueFull() as error) if lost_answer is None:
                    return self._refuse_call(
                        "submit", workload.job_id, part, error, QUEUE_FULL_RETRY_MS
                    )
                case Failure(RateLimited()):
                    break
            if not self._store.can_try_other_partition(part):
                break
        if lost_answer is not None:
            return self._resolve_lost_submit(workload, lost_answer)
        home = home_partition(workload.queue, workload.job_id)
        return self._refuse_call("submit", workload.job_id, home, result.failure())

    def _store_job(
        self, workload: Workload, part: str, value: bytes
    ) -> Result[int | None, CommitError | QueueFull]:
        """Store a job; returns its row's version, ``None`` if it exists already."""
        key = job_key(part, workload.job_id)
        checks = (
            Check(key, 0),
            Check(progress_key(part, workload.job_id), 0),
            Check(full_key(part), 0),
        )
        match self._store.commit(checks, (Write(key, value),)):
            case Failure(RowConflict()):
                return self._explain_conflict(workload)
            case result:
                return result

    def _explain_conflict(
        self, workload: Workload
    ) -> Result[None, PlatformError | QueueFull]:
        """Find whether a job was not stored because it is, or because it may not be.

        A job that was accepted before may be in either partition.
        """
        job_id = workload.job_id
        for part in job_partitions(workload.queue, job_id):
            match self._store.read(JOBS_TABLE, part, job_id, job_id + RANGE_END):
                case Success(snapshot) if snapshot.rows:
                    return Success(None)
                case Failure(error):
                    return Failure(
                        OutcomeLost(f"a conflict without a cause: {error!r}")
                    )
        return Failure(QueueFull(workload.queue))

    def _resolve_lost_submit(
        self, workload: Workload, error: OutcomeLost
    ) -> IntakeResult:
        """Read whether a job was stored although the answer of its write was lost."""
        rows = self._read_rows(workload.queue, workload.job_id)
        is_stored = isinstance(rows, Success) and bool(rows.unwrap())
        log.warning(
            "Lost the store's answer to a submission.",
            job=workload.job_id,
            found=is_stored,
            detail=error.detail,
        )
        return IntakeResult(IntakeKind.DONE if is_stored else IntakeKind.UNKNOWN)

    def show(self, queue: QueueName, job_id: JobId) -> IntakeResult:
        """Return the state of a job."""
        match self._read_rows(queue, job_id):
            case Success(rows) if not rows:
                return IntakeResult(IntakeKind.NO_SUCH_JOB)
            case Success(rows):
                return IntakeResult(IntakeKind.DONE, _state(rows))
            case Failure(error):
                return self._refuse_call(
                    "show", job_id, home_partition(queue, job_id), error
                )

    def cancel(self, queue: QueueName, job_id: JobId) -> IntakeResult:
        """Cancel a job; a job that has ended keeps its state.

        The write requires the job's row, so that no cancel row remains for a job
        that ends at the same moment. If the row was deleted after it was read, it
        may have been a duplicate of a row in the other partition: the job's rows
        are read again, up to ``MAX_CANCEL_ATTEMPTS`` times.
        """
        home = home_partition(queue, job_id)
        for _ in range(MAX_CANCEL_ATTEMPTS):
            match self._read_rows(queue, job_id):
                case Success(rows) if not rows:
                    return IntakeResult(IntakeKind.NO_SUCH_JOB)
                case Success(rows) if _is_cancelled_or_ended(rows):
                    return IntakeResult(IntakeKind.DONE, _state(rows))
                case Success(rows):
                    result = self._cancel_row(rows[""])
                case Failure(error):
                    return self._refuse_call("cancel", job_id, home, error)
            match result:
                case Success(version):
                    log.info("Job cancelled.", job=job_id, queue=queue, at=version)
                    return IntakeResult(IntakeKind.DONE, JobState.CANCELLED)
                case Failure(RowConflict()):
                    continue
                case Failure(OutcomeLost()):
                    return IntakeResult(IntakeKind.UNKNOWN)
                case Failure(error):
                    return self._refuse_call("cancel", job_id, home, error)
        return self._refuse_call("cancel", job_id, home, result.failure())

    def _cancel_row(self, row: Row) -> Result[int, CommitError]:
        """Write a cancel row in the partition of a job's row, if that still exists."""
        checks = (Check(row.key, row.version),)
        key = cancel_key(row.key.part, JobId(row.key.name))
        return self._store.commit(checks, (Write(key, b""),))

    def count_waiting(self, queue: QueueName) -> IntakeResult:
        """Return how many accepted jobs of a queue have not started."""
        waiting = 0
        for part in queue_partitions(queue):
            match self._store.read(JOBS_TABLE, part):
                case Success(snapshot):
                    waiting += _count_waiting(snapshot.rows)
                case Failure(error):
                    return self._refuse_call("count", JobId(""), part, error)
        return IntakeResult(IntakeKind.DONE, waiting=waiting)

    def _read_rows(
        self, queue: QueueName, job_id: JobId
    ) -> Result[dict[str, Row], PlatformError]:
        """Read the rows of a job from both partitions, by the suffix of their names.

        A final state in either partition takes precedence. Otherwise the home rows
        override the fallback rows if the home partition holds progress, and the
        fallback rows override the home rows if it does not, because the job may then
        be served from its fallback partition. An empty result is returned only if
        both partitions have answered.
        """
        home, fallback = job_partitions(queue, job_id)
        at_home = self._read_partition_rows(home, job_id)
        if isinstance(at_home, Success) and _has_ended(at_home.unwrap()):
            return at_home
        if isinstance(at_home, Failure) and not self._store.can_try_other_partition(
            home
        ):
            return at_home
        at_fallback = self._read_partition_rows(fallback, job_id)
        match at_home, at_fallback:
            case Success(rows), Success(fallback_rows) if _has_ended(fallback_rows):
                return Success(fallback_rows)
            case Success(rows), Success(fallback_rows) if PROGRESS_SUFFIX in rows:
                return Success(fallback_rows | rows)
            case Success(rows), Success(fallback_rows):
                return Success(rows | fallback_rows)
            case (Success(rows), _) | (_, Success(rows)) if rows:
                return Success(rows)
            case (Failure(_), _):
                return at_home
        return at_fallback

    def _read_partition_rows(
        self, part: str, job_id: JobId
    ) -> Result[dict[str, Row], PlatformError]:
        """Read the rows of a job; progress that cannot be read counts as unread."""
        result = self._store.read(JOBS_TABLE, part, job_id, job_id + RANGE_END)
        return result.bind(lambda snapshot: _by_suffix(job_id, snapshot.rows))

    def _refuse_call(
        self,
        call: str,
        job_id: JobId,
        part: str,
        error: PlatformError | QueueFull,
        retry_after_ms: int = STORE_UNAVAILABLE_RETRY_MS,
    ) -> IntakeResult:
        log.warning(
            "Call refused.", call=call, job=job_id, partition=part, cause=repr(error)
        )
        return IntakeResult(IntakeKind.NOT_DONE, retry_after_ms=retry_after_ms)


def _by_suffix(
    job_id: JobId, rows: Iterable[Row]
) -> Result[dict[str, Row], PlatformError]:
    by_suffix = {row.key.name.removeprefix(job_id): row for row in rows}
    try:
        _has_ended(by_suffix)
    except MalformedData as error:
        return Failure(OutcomeLost(f"malformed row: {error}"))
    return Success(by_suffix)


def _count_waiting(rows: tuple[Row, ...]) -> int:
    """Count the open jobs of which nothing has begun.

    A progress row alone shows only that starts were planned.
    """
    values = {row.key.name: row.value for row in rows}
    return sum(
        1
        for name in values
        if "." not in name
        and name + CANCEL_SUFFIX not in values
        and not _has_begun(values.get(name + PROGRESS_SUFFIX))
    )


def _has_begun(progress: bytes | None) -> bool:
    """Tell whether a job's progress shows a begin; one that cannot be read does."""
    if progress is None:
        return False
    try:
        return unpack_state(progress) is not JobState.QUEUED
    except MalformedData:
        return True


def _is_cancelled_or_ended(rows: dict[str, Row]) -> bool:
    """Tell whether a job has no row left, is cancelled already or has ended."""
    return "" not in rows or CANCEL_SUFFIX in rows or _has_ended(rows)


def _has_ended(rows: dict[str, Row]) -> bool:
    """Tell whether a job's rows hold its final state."""
    progress = rows.get(PROGRESS_SUFFIX)
    return progress is not None and unpack_progress(progress.value).state.has_ended


def _state(rows: dict[str, Row]) -> JobState:
    """Derive a job's state from its rows."""
    progress = rows.get(PROGRESS_SUFFIX)
    record = unpack_progress(progress.value) if progress is not None else None
    if record is not None and record.state.has_ended:
        return record.state
    if CANCEL_SUFFIX in rows:
        return JobState.CANCELLED
    return record.state if record is not None else JobState.QUEUED
