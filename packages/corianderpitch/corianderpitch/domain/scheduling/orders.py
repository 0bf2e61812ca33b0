"""Orders from the scheduler to workers, and their results."""

import enum
from dataclasses import dataclass

from corianderpitch.domain.scheduling.workloads import TaskRef
from corianderpitch.ids import WorkerId


@dataclass(frozen=True, slots=True)
class StartRun:
    """Order to start a task; ``checkpoint`` is empty for a start from scratch.

    ``text`` is the job's description, passed on unchanged. ``ticket`` is empty if
    the queue has no advice policy. ``is_repeat`` is set if the task was started before.
    """

    worker: WorkerId
    task: TaskRef
    number: int
    text: str
    checkpoint: str
    fence: int
    ticket: str = ""
    is_repeat: bool = False


@dataclass(frozen=True, slots=True)
class StopRun:
    """Order to stop a run; the reported end holds its checkpoint."""

    worker: WorkerId
    task: TaskRef
    number: int
    fence: int


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Order to limit a run to a share of its full speed, 0 to 100 percent."""

    worker: WorkerId
    task: TaskRef
    number: int
    percent: int
    fence: int


@dataclass(frozen=True, slots=True)
class RequestReport:
    """Order to request a worker's report at once, under a newly raised fence."""

    worker: WorkerId


RunOrder = StartRun | StopRun | PaceRun
Order = RunOrder | RequestReport


class OrderResult(enum.Enum):
    """Result of an order.

    A call with ``NO_ANSWER`` may have been carried out, or may still be. An order
    that was ``WITHDRAWN`` was not wanted any more when its turn to be sent came.
    """

    DONE = "done"
    SUPERSEDED = "superseded"
    OLD_RUN = "old_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    NOT_ALLOWED = "not_allowed"
    MALFORMED = "malformed"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_life"
    NOT_SENT = "not_sent"
    WITHDRAWN = "withdrawn"
    NO_ANSWER = "no_answer"

    @property
    def is_answer(self) -> bool:
        """Return whether the worker has answered."""
        return self not in (
            OrderResult.NOT_SENT,
            OrderResult.WITHDRAWN,
            OrderResult.NO_ANSWER,
        )


@dataclass(frozen=True, slots=True)
class StartReply:
    """Result of an order to start a run, with the worker's clock in its answer.

    ``clock_ms`` is ``None`` if there is no answer, or none that shows the clock.
    """

    result: OrderResult
    clock_ms: float | None = None


class LossCause(enum.Enum):
    """What showed that a run has ended without a reported end."""

    NEW_INCARNATION = "new_incarnation"
    PROCESS_ENDED = "process_ended"
    LEASE_EXPIRED = "lease_expired"
    NOT_REPORTED = "not_reported"
    NOT_STARTED = "not_started"


@dataclass(frozen=True, slots=True)
class RunNotice:
    """A run that ended without success, for the log.

    ``how`` is the kind of its end, or ``lost_`` and its state for a lost run.
    ``cause`` is set for a lost run only. ``incarnation`` is the one of the worker
    on which the run was started.
    """

    worker: WorkerId
    task: TaskRef
    number: int
    how: str
    cause: LossCause | None
    incarnation: str | None
