"""Multi-step jobs as callers submit them, and the queues that hold them."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from corianderpitch.domain.jobs import Shape
from corianderpitch.ids import JobId, QueueName, ServiceName, TeamName

MAX_TASKS_OF_STEP = 10_000
MAX_STEPS = 1_000


class TaskRef(NamedTuple):
    """Reference to one task of one step of one occurrence of a job."""

    job_id: JobId
    occurrence: int
    step: int
    index: int

    @property
    def position(self) -> str:
        """Return the task's position within its job, for the log."""
        return f"{self.occurrence}.{self.step}.{self.index}"


@dataclass(frozen=True, slots=True)
class Step:
    """A step of a job: ``count`` identical tasks, and their requirements.

    ``after`` lists the steps whose tasks must all be done first.
    ``max_per_worker`` and ``max_unavailable`` are 0 if there is no limit.
    A lasting task runs until its job is cancelled. ``target_ms`` bounds the
    tail latency of a lasting task's own users. A filler only uses processor
    time that other tasks leave idle, so it reserves no processors.
    """

    count: int
    shape: Shape
    estimate_ms: float
    after: tuple[int, ...] = ()
    saves_progress: bool = False
    is_gang: bool = False
    needs_same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    is_speculative: bool = False
    is_lasting: bool = False
    image: str = ""
    target_ms: float = 0.0
    is_filler: bool = False
    max_unavailable: int = 0

    @property
    def reservation(self) -> Shape:
        """Return the share of a worker's capacity that a task reserves."""
        if not self.is_filler:
            return self.shape
        return Shape(0.0, self.shape.memory_mb, self.shape.accelerators)

    @property
    def has_own_run_time(self) -> bool:
        """Return whether the run time of a task depends on its own work alone.

        Lasting tasks do not end, members of a gang wait for each other, and fillers
        get what others leave.
        """
        return not (self.is_lasting or self.is_gang or self.is_filler)

    @property
    def log_estimate(self) -> float:
        """Return the logarithm to the base 2 of the declared run time."""
        return math.log2(self.estimate_ms)


@dataclass(frozen=True, slots=True)
class Schedule:
    """Schedule of a job: its steps run ``repeats`` times, first at ``start_ms``.

    ``start_ms`` is Unix time. A job with 0 repeats runs once, immediately.
    """

    repeats: int = 0
    start_ms: float = 0.0
    period_ms: float = 0.0

    @property
    def occurrences(self) -> int:
        """Return how often the steps run."""
        return max(1, self.repeats)

    def due_ms(self, occurrence: int) -> float:
        """Return the Unix time at which an occurrence may start."""
        if self.repeats == 0:
            return 0.0
        return self.start_ms + occurrence * self.period_ms


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Duration of calls to the advice service, and the validity of its tickets.

    A call takes ``decision_ms``, and ``per_worker_ms`` for each worker in it.
    """

    decision_ms: float = 0.0
    per_worker_ms: float = 0.0
    validity_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue to which callers submit jobs, and the service that runs them.

    The latency objective of a job is ``stretch`` times its critical path plus
    ``target_ms``. Priority 0 comes first. With an ``advice`` policy a task is
    started only on workers that the advice service allows. Workers that guard their
    capacity refuse tasks that do not fit.
    """

    name: QueueName
    service: ServiceName
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: float = 0.0
    advice: AdvicePolicy | None = None
    workers_guard_capacity: bool = False


@dataclass(frozen=True, slots=True)
class Workload:
    """A job as it was submitted; ``text`` is passed to the workers unchanged.

    ``accepted_under`` is its queue as it was configured then, if that is known.
    ``team`` submitted it, ``None`` on a queue that takes jobs without a key.
    """

    job_id: JobId
    queue: QueueName
    text: str
    steps: tuple[Step, ...]
    schedule: Schedule = Schedule()
    accepted_under: Queue | None = None
    team: TeamName | None = None

    @property
    def is_lasting(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.is_lasting for step in self.steps)

    @property
    def has_fillers(self) -> bool:
        """Return whether some of the job's tasks are fillers."""
        return any(step.is_filler for step in self.steps)


def critical_path_ms(
    steps: Sequence[Step], durations_ms: Sequence[float]
) -> tuple[float, ...]:
    """Return, for each step, the duration of the critical path that begins with it.

    It is the step's own duration plus the longest chain of later steps, in ms.

    >>> steps = (Step(2, Shape(1, 1), 100), Step(1, Shape(1, 1), 50, after=(0,)))
    >>> critical_path_ms(steps, [100.0, 50.0])
    (150.0, 50.0)
    """
    paths_ms = [0.0] * len(steps)
    for number in range(len(steps) - 1, -1, -1):
        paths_ms[number] += durations_ms[number]
        for earlier in steps[number].after:
            paths_ms[earlier] = max(paths_ms[earlier], paths_ms[number])
    return tuple(paths_ms)
