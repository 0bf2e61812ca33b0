"""Calls of callers: any entry accepts, shows and cancels jobs through the store."""

import random
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.scheduling.cancelling import cancel_job
from corianderpitch.daemon.scheduling.guardedstore import GuardedStore
from corianderpitch.daemon.scheduling.intakeresults import (
    QUEUE_FULL_RETRY_MS,
    IntakeKind,
    IntakeResult,
    refuse_call,
)
from corianderpitch.daemon.scheduling.jobrows import (
    holds_job,
    is_hidden_from,
    read_job_rows,
    read_partition_rows,
    state_of,
)
from corianderpitch.daemon.scheduling.rows import (
    CANCEL_SUFFIX,
    INTAKE_TABLE,
    JOBS_TABLE,
    PROGRESS_SUFFIX,
    cancel_key,
    closed_key,
    home_partition,
    job_key,
    job_partitions,
    pack_workload,
    progress_key,
    queue_partitions,
    unpack_state,
)
from corianderpitch.daemon.scheduling.sharelimits import (
    EntryLimits,
    OverShare,
    Reservation,
)
from corianderpitch.domain.jobs import JobState
from corianderpitch.domain.scheduling.workloads import Workload
from corianderpitch.errors import (
    CommitError,
    JobIdTaken,
    MalformedData,
    OutcomeLost,
    QueueFull,
    RateLimited,
    RowConflict,
)
from corianderpitch.ids import JobId, QueueName, TeamName
from corianderpitch.ports import Check, Row, RowStore, Write

MAX_SUBMIT_ATTEMPTS = 3
MAX_RETRY_JITTER_MS = 2000.0

log = logger("intake")


@dataclass(frozen=True, slots=True)
class LimitChanged:
    """The limit of a team's jobs is not the one that a submission required."""


SubmitError = CommitError | QueueFull | JobIdTaken | OverShare


class Intake:
    """Answers the calls of callers from the store."""

    def __init__(self, store: RowStore, clock: Clock):
        self._store = GuardedStore(store, clock)
        self._limits = EntryLimits(self._store)

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
                case Failure(JobIdTaken()):
                    return _refuse_taken_id(workload)
                case Failure(OverShare() as limit) if lost_answer is None:
                    return _refuse_over_share(workload, limit)
                case Failure(OutcomeLost() as error):
                    lost_answer = error
                case Failure(QueueFull() as error) if lost_answer is None:
                    return refuse_call(
                        "submit", workload.job_id, part, error, QUEUE_FULL_RETRY_MS
                    )
                case Failure(RateLimited()):
                    break
            if not self._store.can_try_other_partition(part):
                break
        if lost_answer is not None:
            return self._resolve_lost_submit(workload, lost_answer)
        home = home_partition(workload.queue, workload.job_id)
        return refuse_call("submit", workload.job_id, home, result.failure())

    def _store_job(
        self, workload: Workload, part: str, value: bytes
    ) -> Result[int | None, SubmitError]:
        """Store a job; returns its row's version, ``None`` if it exists already.

        A job that was cancelled before it came is stored beside its cancel row.
        """
        cancel_version = 0
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            match self._write_job(workload, part, value, cancel_version):
                case Failure(RowConflict()):
                    explained = self._explain_conflict(workload, part, cancel_version)
                case result:
                    return result
            match explained:
                case Success(Row(version=version)):
                    cancel_version = version
                case Failure(LimitChanged()):
                    continue
                case _:
                    return explained
        return Failure(OutcomeLost("too many conflicts"))

    def _write_job(
        self, workload: Workload, part: str, value: bytes, cancel_version: int
    ) -> Result[int, CommitError | OverShare]:
        key = job_key(part, workload.job_id)
        match self._limits.reserve(part, workload.team):
            case Failure(limit):
                return self._commit_refusal(workload, limit)
            case Success(reservation):
                pass
        checks = (
            Check(key, 0),
            Check(progress_key(part, workload.job_id), 0),
            Check(cancel_key(part, workload.job_id), cancel_version),
            Check(closed_key(INTAKE_TABLE, part), 0),
        )
        return self._commit(checks, (Write(key, value),), reservation)

    def _commit(
        self,
        checks: tuple[Check, ...],
        writes: tuple[Write, ...],
        reservation: Reservation,
    ) -> Result[int, CommitError]:
        """Commit writes together with a reservation."""
        result = self._store.commit(
            (*checks, *reservation.checks), (*writes, *reservation.writes)
        )
        if isinstance(result, Success):
            self._limits.note_written(reservation, result.unwrap())
        return result

    def _commit_refusal(
        self, workload: Workload, limit: OverShare
    ) -> Result[int, CommitError | OverShare]:
        """Make sure that a job which is to be refused is not stored, now or later."""
        parts = job_partitions(workload.queue, workload.job_id)
        checks = tuple(
            Check(key, 0)
            for part in parts
            for key in (
                job_key(part, workload.job_id),
                progress_key(part, workload.job_id),
            )
        )
        reservation = self._limits.refusal(parts, workload.team)
        result = self._commit(checks, (), reservation)
        return result.bind(lambda _: Failure(limit))

    def _explain_conflict(
        self, workload: Workload, conflicting: str, cancel_version: int
    ) -> Result[Row | None, SubmitError | LimitChanged]:
        """Find why a job was not stored in a partition.

        Returns ``None`` if it was accepted before, in either partition, and the cancel
        row if it was cancelled before it came, unless the write knew of that row.
        Otherwise its team's limit has changed, or its queue is closed.
        """
        home, fallback = job_partitions(workload.queue, workload.job_id)
        other = fallback if conflicting == home else home
        for part in (conflicting, other):
            match read_partition_rows(self._store, part, workload.job_id):
                case Success(rows) if is_hidden_from(rows, workload.team):
                    return Failure(JobIdTaken(workload.job_id))
                case Success(rows) if holds_job(rows):
                    return Success(None)
                case Success(rows) if part == conflicting and CANCEL_SUFFIX in rows:
                    cancel = rows[CANCEL_SUFFIX]
                    if cancel.version != cancel_version:
                        return Success(cancel)
                case Failure(error):
                    return Failure(
                        OutcomeLost(f"a conflict without a cause: {error!r}")
                    )
        changes = [self._limits.refresh(p, workload.team) for p in (home, fallback)]
        if any(change.value_or(False) for change in changes):
            return Failure(LimitChanged())
        return Failure(QueueFull(workload.queue))

    def _resolve_lost_submit(
        self, workload: Workload, error: OutcomeLost
    ) -> IntakeResult:
        """Read whether a job was stored although the answer of its write was lost."""
        read = read_job_rows(self._store, workload.queue, workload.job_id)
        rows = read.value_or({})
        if is_hidden_from(rows, workload.team):
            return _refuse_taken_id(workload)
        is_stored = holds_job(rows)
        log.warning(
            "Lost the store's answer to a submission.",
            job=workload.job_id,
            found=is_stored,
            detail=error.detail,
        )
        return IntakeResult(IntakeKind.DONE if is_stored else IntakeKind.UNKNOWN)

    def show(
        self, queue: QueueName, job_id: JobId, team: TeamName | None = None
    ) -> IntakeResult:
        """Return the state of a job; ``team`` is the caller's, if the queue asks."""
        match read_job_rows(self._store, queue, job_id):
            case Success(rows) if not holds_job(rows) or is_hidden_from(rows, team):
                return IntakeResult(IntakeKind.NO_SUCH_JOB)
            case Success(rows):
                return IntakeResult(IntakeKind.DONE, state_of(rows))
            case Failure(error):
                return refuse_call("show", job_id, home_partition(queue, job_id), error)

    def cancel(
        self, queue: QueueName, job_id: JobId, team: TeamName | None = None
    ) -> IntakeResult:
        """Cancel a job, also one that is not stored yet, for a caller's team."""
        return cancel_job(self._store, queue, job_id, team)

    def count_waiting(self, queue: QueueName) -> IntakeResult:
        """Return how many accepted jobs of a queue have not started."""
        waiting = 0
        for part in queue_partitions(queue):
            match self._store.read(JOBS_TABLE, part):
                case Success(snapshot):
                    waiting += _count_waiting(snapshot.rows)
                case Failure(error):
                    return refuse_call("count", JobId(""), part, error)
        return IntakeResult(IntakeKind.DONE, waiting=waiting)


def _refuse_over_share(workload: Workload, limit: OverShare) -> IntakeResult:
    """Refuse a job of a team that has sent too many; it may come back at its rate.

    The jitter keeps the callers of a team from coming back together.
    """
    retry_ms = limit.retry_ms + random.uniform(0.0, MAX_RETRY_JITTER_MS)
    log.info(
        "Job over its team's share.",
        job=workload.job_id,
        team=workload.team,
        retry_ms=round(retry_ms),
    )
    return IntakeResult(IntakeKind.OVER_SHARE, retry_after_ms=round(retry_ms))


def _refuse_taken_id(workload: Workload) -> IntakeResult:
    """Refuse a job whose id another team's job has; nothing is told of that one."""
    log.warning("Job id taken.", job=workload.job_id, team=workload.team)
    return IntakeResult(IntakeKind.ID_TAKEN)


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
