"""What the rows of one job in its two partitions say together."""

from collections.abc import Iterable, Mapping

from returns.result import Failure, Result, Success

from corianderpitch.daemon.scheduling.guardedstore import GuardedStore
from corianderpitch.daemon.scheduling.rows import (
    CANCEL_SUFFIX,
    JOBS_TABLE,
    PROGRESS_SUFFIX,
    RANGE_END,
    job_partitions,
    read_cancellation,
    unpack_progress,
    unpack_team,
)
from corianderpitch.domain.jobs import JobState
from corianderpitch.errors import MalformedData, OutcomeLost, PlatformError
from corianderpitch.ids import JobId, QueueName, TeamName
from corianderpitch.ports import Row

JobRows = dict[str, Row]  # by the suffix of their names


def read_job_rows(
    store: GuardedStore, queue: QueueName, job_id: JobId
) -> Result[JobRows, PlatformError]:
    """Read the rows of a job from both partitions.

    A final state in either partition takes precedence. Otherwise the home rows
    override the fallback rows if the home partition holds progress, and the
    fallback rows override the home rows if it does not, because the job may then
    be served from its fallback partition. Rows that hold no job, or none at all, are
    returned only if both partitions have answered. A cancel row of another team than
    the job's is left out.
    """
    home, fallback = job_partitions(queue, job_id)
    at_home = read_partition_rows(store, home, job_id)
    if isinstance(at_home, Success) and has_ended(at_home.unwrap()):
        return at_home.map(_merge)
    if isinstance(at_home, Failure) and not store.can_try_other_partition(home):
        return at_home
    at_fallback = read_partition_rows(store, fallback, job_id)
    match at_home, at_fallback:
        case Success(rows), Success(fallback_rows) if has_ended(fallback_rows):
            return Success(_merge(fallback_rows))
        case Success(rows), Success(fallback_rows) if PROGRESS_SUFFIX in rows:
            return Success(_merge(rows, fallback_rows))
        case Success(rows), Success(fallback_rows):
            return Success(_merge(fallback_rows, rows))
        case (Success(rows), _) | (_, Success(rows)) if holds_job(rows):
            return Success(_merge(rows))
        case (Failure(_), _):
            return at_home
    return at_fallback


def read_partition_rows(
    store: GuardedStore, part: str, job_id: JobId
) -> Result[JobRows, PlatformError]:
    """Read the rows of a job; progress that cannot be read counts as unread."""
    result = store.read(JOBS_TABLE, part, job_id, job_id + RANGE_END)
    return result.bind(lambda snapshot: _by_suffix(job_id, snapshot.rows))


def _merge(preferred: JobRows, other: Mapping[str, Row] | None = None) -> JobRows:
    """Merge the rows of two partitions, with a cancel row only if it binds the job."""
    merged = {**(other or {}), **preferred}
    if CANCEL_SUFFIX not in merged or not holds_job(merged):
        return merged
    team = team_of(merged)
    cancels = [rows.get(CANCEL_SUFFIX) for rows in (preferred, other or {})]
    binding = [r for r in cancels if r and read_cancellation(r.value).binds(team)]
    del merged[CANCEL_SUFFIX]
    return merged | ({CANCEL_SUFFIX: binding[0]} if binding else {})


def team_of(rows: Mapping[str, Row]) -> TeamName | None:
    """Return the team of the job among some rows, ``None`` if it cannot be read."""
    suffix = "" if "" in rows else PROGRESS_SUFFIX
    try:
        return unpack_team(suffix, rows[suffix].value)
    except MalformedData:
        return None


def is_hidden_from(rows: Mapping[str, Row], team: TeamName | None) -> bool:
    """Return whether the job among some rows belongs to another team than a caller's.

    Callers without a team come on a queue that takes calls without a key.
    """
    owner = team_of(rows) if team is not None and holds_job(rows) else None
    return owner is not None and owner != team


def _by_suffix(job_id: JobId, rows: Iterable[Row]) -> Result[JobRows, PlatformError]:
    by_suffix = {row.key.name.removeprefix(job_id): row for row in rows}
    try:
        has_ended(by_suffix)
    except MalformedData as error:
        return Failure(OutcomeLost(f"malformed row: {error}"))
    return Success(by_suffix)


def holds_job(rows: Mapping[str, Row]) -> bool:
    """Return whether a job is among its rows: a cancel row alone may precede it."""
    return "" in rows or PROGRESS_SUFFIX in rows


def has_ended(rows: Mapping[str, Row]) -> bool:
    """Return whether a job's rows hold its final state."""
    progress = rows.get(PROGRESS_SUFFIX)
    return progress is not None and unpack_progress(progress.value).state.has_ended


def is_cancelled_or_ended(rows: Mapping[str, Row]) -> bool:
    """Return whether a job has no row left, is cancelled already or has ended."""
    return "" not in rows or CANCEL_SUFFIX in rows or has_ended(rows)


def state_of(rows: Mapping[str, Row]) -> JobState:
    """Derive a job's state from its rows."""
    progress = rows.get(PROGRESS_SUFFIX)
    record = unpack_progress(progress.value) if progress is not None else None
    if record is not None and record.state.has_ended:
        return record.state
    if CANCEL_SUFFIX in rows:
        return JobState.CANCELLED
    return record.state if record is not None else JobState.QUEUED
