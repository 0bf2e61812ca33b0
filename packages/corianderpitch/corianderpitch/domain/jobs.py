"""Jobs, the tasks that run them on workers, and their states."""

import enum
from dataclasses import dataclass, replace

from corianderpitch.ids import JobId, JobKind, RackId, TaskId, TeamName, WorkerId


class Priority(enum.Enum):
    """Priority of a job; urgent jobs go first and may preempt ordinary ones."""

    URGENT = "urgent"
    ORDINARY = "ordinary"


class JobState(enum.Enum):
    """State of a job; the last three are final."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def has_ended(self) -> bool:
        """Return whether the state is final."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


@dataclass(frozen=True, slots=True)
class Shape:
    """Processors, memory in MB and accelerators of a job or a worker."""

    processors: float
    memory_mb: int
    accelerators: int = 0

    def fits_in(self, available: "Shape") -> bool:
        """Return whether ``available`` has enough of each resource."""
        return (
            self.processors <= available.processors
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def plus(self, other: "Shape") -> "Shape":
        """Return the sum of two shapes."""
        return Shape(
            self.processors + other.processors,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def times(self, count: int) -> "Shape":
        """Return the sum of ``count`` such shapes."""
        return Shape(
            self.processors * count,
            self.memory_mb * count,
            self.accelerators * count,
        )

    def minus(self, other: "Shape") -> "Shape":
        """Return the difference of two shapes; it may be negative."""
        return Shape(
            self.processors - other.processors,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


@dataclass(frozen=True, slots=True)
class Job:
    """A job; one row of the table.

    ``kind`` groups jobs of similar size, which share one estimate of their
    usage. ``command`` is passed to the worker unchanged. ``task_id`` and
    ``worker`` are set while the job runs. ``failed_on`` holds the distinct
    workers that it failed on. ``submitted_ms`` and ``ended_ms`` are Unix times,
    the latter 0 until the job has ended.
    """

    job_id: JobId
    team: TeamName
    kind: JobKind
    priority: Priority
    shape: Shape
    command: str
    submitted_ms: int
    state: JobState = JobState.QUEUED
    attempts: int = 0
    task_id: TaskId | None = None
    worker: WorkerId | None = None
    failed_on: frozenset[WorkerId] = frozenset()
    is_cancelled: bool = False
    ended_ms: int = 0


class WorkerState(enum.Enum):
    """State of a worker in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Worker:
    """A worker and its capacity."""

    worker: WorkerId
    rack: RackId
    capacity: Shape
    state: WorkerState = WorkerState.LIVE


class TaskState(enum.Enum):
    """State of a task in its worker's reports, which lag behind the task.

    ``LAPSED`` means that the lease has lapsed by the worker's own clock, so that
    the worker must have stopped the task.
    """

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class Task:
    """A task on a worker, with the state and usage last reported."""

    task_id: TaskId
    job_id: JobId
    worker: WorkerId
    state: TaskState
    usage: Shape


def start(job: Job, worker: WorkerId) -> Job:
    """Return the job in the running state on a worker, with a new task id."""
    attempts = job.attempts + 1
    task_id = TaskId(f"{job.job_id}.{attempts}")
    return replace(
        job,
        state=JobState.RUNNING,
        attempts=attempts,
        task_id=task_id,
        worker=worker,
    )


def requeue(job: Job) -> Job:
    """Return the job in the queued state, after its task ended without a result."""
    return replace(job, state=JobState.QUEUED, task_id=None, worker=None)


def end(job: Job, state: JobState, wall_ms: int) -> Job:
    """Return the job in the final state ``state``."""
    return replace(job, state=state, task_id=None, worker=None, ended_ms=wall_ms)


def fail_on_worker(job: Job, max_workers: int, wall_ms: int) -> Job:
    """Record a failure on the job's worker, and queue the job again or fail it.

    The job fails for good once it has failed on ``max_workers`` distinct workers.
    """
    failed_on = job.failed_on | {job.worker}
    failed = replace(job, failed_on=failed_on)
    if len(failed_on) >= max_workers:
        return end(failed, JobState.FAILED, wall_ms)
    return requeue(failed)
