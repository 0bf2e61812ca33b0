"""Cancellations by callers, also of jobs that are not stored (yet).

The answer that there is no such job tells the caller that it does not run. A submission
may still be on its way then: an entry stood still after it had read it, a call of the
store is carried out late, or a copy of it arrives. The answer is therefore recorded
before it is given: an early cancellation is a cancel row in each of the job's
partitions. A job that is stored later is stored beside it, and so is cancelled as soon
as the holder of the scheduler's role reads it; a write that does not know of the cancel
row fails. It names the callers' teams, and binds only a job of one of these.
"""

from collections.abc import Sequence

from returns.result import Failure, Result, Success

from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.scheduling.guardedstore import GuardedStore
from corianderpitch.daemon.scheduling.intakeresults import (
    QUEUE_FULL_RETRY_MS,
    IntakeKind,
    IntakeResult,
    refuse_call,
)
from corianderpitch.daemon.scheduling.jobrows import (
    holds_job,
    is_cancelled_or_ended,
    is_hidden_from,
    read_job_rows,
    read_partition_rows,
    state_of,
)
from corianderpitch.daemon.scheduling.rows import (
    CANCEL_SUFFIX,
    EARLY_CANCELS_TABLE,
    Cancellation,
    cancel_key,
    closed_key,
    home_partition,
    job_key,
    job_partitions,
    pack_cancellation,
    progress_key,
    read_cancellation,
)
from corianderpitch.domain.jobs import JobState
from corianderpitch.errors import CommitError, OutcomeLost, QueueFull, RowConflict
from corianderpitch.ids import JobId, QueueName, TeamName
from corianderpitch.ports import Check, Row, Write

MAX_CANCEL_ATTEMPTS = 3

log = logger("intake")


def cancel_job(
    store: GuardedStore, queue: QueueName, job_id: JobId, team: TeamName | None = None
) -> IntakeResult:
    """Cancel a job; a job that has ended keeps its state.

    To the caller's team, the job of another team does not exist.

    The write requires that the rows are as they were read: a job may end, its
    duplicate row may be deleted, and an unknown job may be stored at the same moment.
    They are then read again, up to ``MAX_CANCEL_ATTEMPTS`` times.
    """
    home = home_partition(queue, job_id)
    for _ in range(MAX_CANCEL_ATTEMPTS):
        match read_job_rows(store, queue, job_id):
            case Success(rows) if is_hidden_from(rows, team):
                return IntakeResult(IntakeKind.NO_SUCH_JOB)
            case Success(rows) if not holds_job(rows):
                result = _cancel_early(store, queue, job_id, team)
                done = IntakeResult(IntakeKind.NO_SUCH_JOB)
            case Success(rows) if is_cancelled_or_ended(rows):
                return IntakeResult(IntakeKind.DONE, state_of(rows))
            case Success(rows):
                result = _cancel_stored(store, rows[""], team)
                done = IntakeResult(IntakeKind.DONE, JobState.CANCELLED)
            case Failure(error):
                return refuse_call("cancel", job_id, home, error)
        match result:
            case Success(version):
                log.info(
                    "Job cancelled.",
                    job=job_id,
                    queue=queue,
                    at=version,
                    early=done.kind is IntakeKind.NO_SUCH_JOB,
                )
                return done
            case Failure(RowConflict()):
                continue
            case Failure(OutcomeLost()):
                return IntakeResult(IntakeKind.UNKNOWN)
            case Failure(QueueFull() as error):
                return refuse_call("cancel", job_id, home, error, QUEUE_FULL_RETRY_MS)
            case Failure(error):
                return refuse_call("cancel", job_id, home, error)
    return refuse_call("cancel", job_id, home, result.failure())


def _cancel_stored(
    store: GuardedStore, row: Row, team: TeamName | None
) -> Result[int, CommitError]:
    """Write a cancel row in the partition of a job's row, if that still exists."""
    checks = (Check(row.key, row.version),)
    key = cancel_key(row.key.part, JobId(row.key.name))
    value = pack_cancellation(_cancellation(store, team))
    return store.commit(checks, (Write(key, value),))


def _cancellation(store: GuardedStore, team: TeamName | None) -> Cancellation:
    teams = frozenset((team,)) if team is not None else None
    return Cancellation(store.time_ms(), teams)


def _cancel_early(
    store: GuardedStore, queue: QueueName, job_id: JobId, team: TeamName | None
) -> Result[int, CommitError | QueueFull]:
    """Write cancel rows in both partitions of a job, if neither holds the job.

    What other teams have cancelled before is kept. All partitions of a queue take no
    more at the same time.
    """
    parts = job_partitions(queue, job_id)
    cancellation = _cancellation(store, team)
    versions: tuple[Check, ...] = ()
    if team is not None:
        match _read_early(store, queue, job_id):
            case Success((earlier, versions)):
                cancellation = _joined([cancellation, *earlier])
            case failure:
                return failure
    checks = tuple(
        Check(key, 0)
        for part in parts
        for key in (
            job_key(part, job_id),
            progress_key(part, job_id),
            closed_key(EARLY_CANCELS_TABLE, part),
        )
    )
    value = pack_cancellation(cancellation)
    writes = tuple(Write(cancel_key(part, job_id), value) for part in parts)
    result = store.commit((*checks, *versions), writes)
    if isinstance(result, Failure) and isinstance(result.failure(), RowConflict):
        closed = store.read(EARLY_CANCELS_TABLE, parts[0])
        if isinstance(closed, Success) and closed.unwrap().rows:
            return Failure(QueueFull(queue))
    return result


def _read_early(
    store: GuardedStore, queue: QueueName, job_id: JobId
) -> Result[tuple[list[Cancellation], tuple[Check, ...]], CommitError]:
    """Read the earlier cancellations of a job, and checks that there are no others."""
    earlier: list[Cancellation] = []
    checks: list[Check] = []
    for part in job_partitions(queue, job_id):
        match read_partition_rows(store, part, job_id):
            case Success(rows):
                row = rows.get(CANCEL_SUFFIX)
                checks.append(
                    Check(cancel_key(part, job_id), row.version if row else 0)
                )
                earlier += [read_cancellation(row.value)] if row else []
            case failure:
                return failure
    return Success((earlier, tuple(checks)))


def _joined(cancellations: Sequence[Cancellation]) -> Cancellation:
    """Return a cancellation that binds all that one of several binds."""
    teams: frozenset[TeamName] | None = frozenset()
    for cancellation in cancellations:
        if teams is None or cancellation.teams is None:
            teams = None
        else:
            teams |= cancellation.teams
    return Cancellation(max(c.time_ms for c in cancellations), teams)
