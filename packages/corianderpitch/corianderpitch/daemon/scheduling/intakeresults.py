"""Outcomes of callers' calls about jobs."""

import enum
from dataclasses import dataclass

from corianderpitch.daemon.logs import logger
from corianderpitch.domain.jobs import JobState
from corianderpitch.errors import PlatformError, QueueFull
from corianderpitch.ids import JobId

STORE_UNAVAILABLE_RETRY_MS = 1000
QUEUE_FULL_RETRY_MS = 5000  # many jobs must end first; other entries know as well

log = logger("intake")


class IntakeKind(enum.Enum):
    """Kind of a call's outcome.

    After ``NOT_DONE`` the call certainly had no effect; after ``UNKNOWN`` it may
    have had its effect. A job that is ``TOO_LARGE`` is never accepted, and neither is
    one whose id another team's job has (``ID_TAKEN``). ``OVER_SHARE`` refuses a job
    like ``NOT_DONE``, because its team has sent too many.
    """

    DONE = "done"
    NO_SUCH_JOB = "no_such_job"
    TOO_LARGE = "too_large"
    ID_TAKEN = "id_taken"
    NOT_DONE = "not_done"
    OVER_SHARE = "over_share"
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


def refuse_call(
    call: str,
    job_id: JobId,
    part: str,
    error: PlatformError | QueueFull,
    retry_after_ms: int = STORE_UNAVAILABLE_RETRY_MS,
) -> IntakeResult:
    """Log and return the refusal of a call that had no effect."""
    log.warning(
        "Call refused.", call=call, job=job_id, partition=part, cause=repr(error)
    )
    return IntakeResult(IntakeKind.NOT_DONE, retry_after_ms=retry_after_ms)
