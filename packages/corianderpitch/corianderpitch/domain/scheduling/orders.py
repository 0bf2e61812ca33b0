"""What the scheduler wants done on workers, and what came of it."""

import enum
from dataclasses import dataclass

from corianderpitch.domain.scheduling.workloads import TaskRef
from corianderpitch.ids import WorkerId


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a task; ``checkpoint`` is empty where it begins anew.

    ``ticket`` is empty where the queue has no advice policy.
    """

    worker: WorkerId
    task: TaskRef
    number: int
    text: str
    checkpoint: str
    fence: int
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run; its checkpoint comes with its end."""

    worker: WorkerId
    task: TaskRef
    number: int
    fence: int


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Let a run work at a share of its speed, 0 to 100 percent."""

    worker: WorkerId
    task: TaskRef
    number: int
    percent: int
    fence: int


@dataclass(frozen=True, slots=True)
class SettleWorker:
    """Ask a worker at once for its list, under a fence number just raised."""

    worker: WorkerId


Order = StartRun | StopRun | PaceRun | SettleWorker


class OrderResult(enum.Enum):
    """What a worker made of an order."""

    DONE = "done"
    SUPERSEDED = "superseded"
    OLD_RUN = "old_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    NOT_ALLOWED = "not_allowed"
    MALFORMED = "malformed"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other_life"
    NOT_SENT = "not_sent"
    NO_ANSWER = "no_answer"


@dataclass(frozen=True, slots=True)
class RunNotice:
    """A run that did not end as done, for the log.

    ``how`` is the kind of its end, or says why it counts as lost.
    """

    worker: WorkerId
    task: TaskRef
    number: int
    how: str
