"""Jobs that run as tasks on workers, and the states they go through."""

import enum
from dataclasses import dataclass, replace

from corianderpitch.ids import JobId, JobKind, RackId, TaskId, TeamName, WorkerId


class Priority(enum.Enum):
    """How soon a job must start."""

    URGENT = "urgent"
    ORDINARY = "ordinary"


class JobState(enum.Enum):
    """Where a job stands."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def has_ended(self) -> bool:
        """Tell whether nothing will change any more."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


@dataclass(frozen=True, slots=True)
class Shape:
    """Processors, memory and accelerators, of a job or of a worker."""

    processors: float
    memory_mb: int
    accelerators: int = 0

    def fits_in(self, room: "Shape") -> bool:
        """Tell whether this much is there."""
        return (
            self.processors <= room.processors
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def plus(self, other: "Shape") -> "Shape":
        """Return the sum of two shapes."""
        return Shape(
            self.processors + other.processors,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Shape") -> "Shape":
        """Return what is left after taking a shape away; it may be negative."""
        return Shape(
            self.processors - other.processors,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


@dataclass(frozen=True, slots=True)
class Job:
    """A job; one row of the table.

    ``kind`` groups jobs of alike size, whose usage is learnt together;
    ``command`` is passed to the worker as it is.
    ``task_id`` and ``worker`` are set while it runs. ``failed_on`` lists the
    distinct workers that it failed on.
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
    """State of a worker as the platform lists it."""

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
    """State of a task as its worker reports it, with a lag."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class Task:
    """A task on a worker and the usage last reported.

    ``LAPSED`` means that the worker's own clock must have stopped the task.
    """

    task_id: TaskId
    job_id: JobId
    worker: WorkerId
    state: TaskState
    usage: Shape


def start(job: Job, worker: WorkerId) -> Job:
    """Return the job as it runs on a worker, under a new task id."""
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
    """Return the job as it waits again, after its task ended without an outcome."""
    return replace(job, state=JobState.QUEUED, task_id=None, worker=None)


def end(job: Job, state: JobState, wall_ms: int) -> Job:
    """Return the job after its end."""
    return replace(job, state=state, task_id=None, worker=None, ended_ms=wall_ms)


def fail_on_worker(job: Job, max_workers: int, wall_ms: int) -> Job:
    """Count a failure; a job that failed on enough distinct workers is given up."""
    failed_on = job.failed_on | {job.worker}
    failed = replace(job, failed_on=failed_on)
    if len(failed_on) >= max_workers:
        return end(failed, JobState.FAILED, wall_ms)
    return requeue(failed)
