"""Jobs of several steps as callers hand them in, and the queues they go to."""

from dataclasses import dataclass
from typing import NamedTuple

from corianderpitch.domain.jobs import Shape
from corianderpitch.ids import JobId, QueueName, ServiceName

MAX_TASKS_OF_STEP = 10_000
MAX_STEPS = 1_000


class TaskRef(NamedTuple):
    """Names one task of one step of one occurrence of a job."""

    job_id: JobId
    occurrence: int
    step: int
    index: int

    @property
    def place(self) -> str:
        """Return where in its job the task stands, for the log."""
        return f"{self.occurrence}.{self.step}.{self.index}"


@dataclass(frozen=True, slots=True)
class Step:
    """A step of a job: ``count`` alike tasks, and what they need.

    ``after`` lists the steps whose tasks must all be done first.
    ``max_per_worker`` and ``max_unavailable`` are 0 where nothing is asked.
    A lasting task runs until its job is cancelled. ``target_ms`` bounds the
    tail latency of a lasting task's own users. A filler only uses processor
    time that other tasks leave idle, so it takes no room.
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
    def room(self) -> Shape:
        """Return what a task takes of its worker's capacity."""
        if not self.is_filler:
            return self.shape
        return Shape(0.0, self.shape.memory_mb, self.shape.accelerators)

    @property
    def work_core_ms(self) -> float:
        """Return the estimated work of one task, in core-milliseconds."""
        return self.estimate_ms * self.shape.processors


@dataclass(frozen=True, slots=True)
class Schedule:
    """When the steps of a job run: ``repeats`` times, the first at ``start_ms``.

    ``start_ms`` is Unix time; 0 repeats stand for a job that runs once, at once.
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
class Workload:
    """A job as it was handed in; ``text`` goes to the workers as it is."""

    job_id: JobId
    queue: QueueName
    text: str
    steps: tuple[Step, ...]
    schedule: Schedule = Schedule()

    @property
    def is_lasting(self) -> bool:
        """Tell whether the job runs until it is cancelled."""
        return any(step.is_lasting for step in self.steps)

    @property
    def has_fillers(self) -> bool:
        """Tell whether some of the job's tasks use what others leave idle."""
        return any(step.is_filler for step in self.steps)


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """How long the advice service takes a call, and its tickets are good."""

    decision_ms: float = 0.0
    per_worker_ms: float = 0.0
    validity_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Queue:
    """Where callers hand jobs in, and the service whose workers run them.

    The latency objective of a job is ``stretch`` times its longest chain of
    work plus ``target_ms``. Priority 0 comes first. With an ``advice`` policy a
    task is started only on workers that the advice service allows.
    """

    name: QueueName
    service: ServiceName
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: float = 0.0
    advice: AdvicePolicy | None = None


def chain_ms(steps: tuple[Step, ...]) -> tuple[float, ...]:
    """Return, for each step, its estimate plus that of the longest chain behind it.

    >>> steps = (Step(2, Shape(1, 1), 100), Step(1, Shape(1, 1), 50, after=(0,)))
    >>> chain_ms(steps)
    (150.0, 50.0)
    """
    tails = [0.0] * len(steps)
    for number in range(len(steps) - 1, -1, -1):
        step = steps[number]
        tails[number] += float(step.estimate_ms)
        for earlier in step.after:
            tails[earlier] = max(tails[earlier], tails[number])
    return tuple(tails)
