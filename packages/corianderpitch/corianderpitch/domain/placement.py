"""Placement of jobs on the workers of one data centre.

Urgent jobs go first, then the team that uses the smallest part of its quota.
Each job goes to the worker that it fills best. The size of a job is what its
kind was seen to use, once enough usage is known, and else what was declared.
"""

import math
from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from corianderpitch.domain.jobs import (
    Job,
    JobState,
    Priority,
    Shape,
    Task,
    TaskState,
    Worker,
    WorkerState,
    end,
    fail_on_worker,
    requeue,
    start,
)
from corianderpitch.domain.quotas import Quota
from corianderpitch.ids import JobId, JobKind, TaskId, TeamName, WorkerId

MAX_FAILED_WORKERS = 3
QUARANTINE_JOBS = 3
USAGE_SAMPLES = 64
MIN_USAGE_SAMPLES = 8
USAGE_MARGIN = 1.2
MIN_DECLARED_SHARE = 0.25
MAX_PREEMPTIONS = 4
NOTHING = Shape(0.0, 0, 0)


class UsageEstimator:
    """Sizes learnt from the usage that tasks report, by kind of job."""

    def __init__(self):
        self._samples: dict[JobKind, deque[Shape]] = {}

    def observe(self, kind: JobKind, usage: Shape) -> None:
        """Record one report."""
        samples = self._samples.setdefault(kind, deque(maxlen=USAGE_SAMPLES))
        samples.append(usage)

    def size(self, job: Job) -> Shape:
        """Return what to keep for a job.

        Processors and memory follow the highest usage seen, with a margin, and
        never fall below a quarter of what was declared. Accelerators are as
        declared.
        """
        samples = self._samples.get(job.kind, ())
        if len(samples) < MIN_USAGE_SAMPLES:
            return job.shape
        processors = USAGE_MARGIN * max(s.processors for s in samples)
        memory_mb = USAGE_MARGIN * max(s.memory_mb for s in samples)
        return Shape(
            max(processors, MIN_DECLARED_SHARE * job.shape.processors),
            math.ceil(max(memory_mb, MIN_DECLARED_SHARE * job.shape.memory_mb)),
            job.shape.accelerators,
        )


class WorkerRecord:
    """Which distinct jobs failed on each worker since its last success.

    A job that fails on several workers is at fault itself and is not counted
    against them.
    """

    def __init__(self):
        self._failed: dict[WorkerId, set[JobId]] = defaultdict(set)
        self._workers_of: dict[JobId, set[WorkerId]] = defaultdict(set)

    def succeeded(self, worker: WorkerId) -> None:
        """Record a task that ended well."""
        self._failed.pop(worker, None)

    def failed(self, worker: WorkerId, job_id: JobId) -> None:
        """Record a task that failed."""
        self._failed[worker].add(job_id)
        self._workers_of[job_id].add(worker)

    def forget_job(self, job_id: JobId) -> None:
        """Drop a job that has ended well; its failures were the workers' fault."""
        self._workers_of.pop(job_id, None)

    def quarantined(self) -> frozenset[WorkerId]:
        """Return the workers that fail whatever they start."""
        return frozenset(
            worker
            for worker, jobs in self._failed.items()
            if sum(1 for job in jobs if len(self._workers_of[job]) <= 1)
            >= QUARANTINE_JOBS
        )


@dataclass(frozen=True, slots=True)
class JobsView:
    """The jobs, workers and tasks of one data centre at one moment.

    ``quotas`` gives what each team may use; a team without one may use
    ``default_quota``.
    """

    jobs: Mapping[JobId, Job]
    workers: Mapping[WorkerId, Worker]
    tasks: Mapping[TaskId, Task]
    quotas: Mapping[TeamName, Quota]
    default_quota: Quota
    drained: frozenset[WorkerId] = frozenset()

    def quota(self, team: TeamName) -> Quota:
        """Return what a team may use."""
        return self.quotas.get(team, self.default_quota)


@dataclass(frozen=True, slots=True)
class JobChange:
    """A job's next record."""

    job: Job


@dataclass(frozen=True, slots=True)
class StopTask:
    """Ask the platform to stop a task, with a checkpoint if it can go on later."""

    task_id: TaskId
    has_checkpoint: bool


JobStep = JobChange | StopTask


@dataclass(slots=True)
class _Room:
    """What is left on each worker and what each team uses."""

    left: dict[WorkerId, Shape]
    used_by_team: dict[TeamName, Shape] = field(
        default_factory=lambda: defaultdict(lambda: NOTHING)
    )

    def take(self, job: Job) -> None:
        """Count a job's declared size against its team."""
        self.used_by_team[job.team] = self.used_by_team[job.team].plus(job.shape)


def settle_tasks(view: JobsView, record: WorkerRecord, wall_ms: int) -> list[JobStep]:
    """Return what follows from the tasks' reports: ends, failures, lapses."""
    steps: list[JobStep] = []
    for job in view.jobs.values():
        task = view.tasks.get(job.task_id) if job.task_id else None
        if job.state is JobState.RUNNING and task is not None:
            steps += _settle(view, job, task, record, wall_ms)
        elif job.state is JobState.QUEUED and job.is_cancelled:
            steps.append(JobChange(end(job, JobState.CANCELLED, wall_ms)))
    return steps


def _settle(
    view: JobsView, job: Job, task: Task, record: WorkerRecord, wall_ms: int
) -> list[JobStep]:
    match task.state:
        case TaskState.DONE:
            record.succeeded(task.worker)
            record.forget_job(job.job_id)
            return [JobChange(end(job, JobState.DONE, wall_ms))]
        case TaskState.FAILED:
            record.failed(task.worker, job.job_id)
            able = sum(job.shape.fits_in(w.capacity) for w in view.workers.values())
            limit = max(1, min(MAX_FAILED_WORKERS, able))
            return [JobChange(fail_on_worker(job, limit, wall_ms))]
        case TaskState.STOPPED | TaskState.LAPSED if job.is_cancelled:
            return [JobChange(end(job, JobState.CANCELLED, wall_ms))]
        case TaskState.STOPPED | TaskState.LAPSED:
            return [JobChange(requeue(job))]
        case TaskState.RUNNING if job.is_cancelled:
            return [StopTask(task.task_id, has_checkpoint=False)]
    return []


def place_jobs(
    view: JobsView, sizes: UsageEstimator, quarantined: frozenset[WorkerId]
) -> list[JobStep]:
    """Return the jobs to start now, and the tasks to stop for urgent ones."""
    usable = [
        worker
        for worker in view.workers.values()
        if worker.state is WorkerState.LIVE
        and worker.worker not in view.drained
        and worker.worker not in quarantined
    ]
    room = _room(view, sizes, usable)
    steps: list[JobStep] = _stops_for_drains(view)
    preemptions = 0
    for job in _queue_order(view, room):
        size = sizes.size(job)
        if _is_over_quota(view, room, job):
            continue
        worker = _best_fit(job, size, room)
        if worker is not None:
            steps.append(JobChange(start(job, worker)))
            room.left[worker] = room.left[worker].minus(size)
            room.take(job)
        elif job.priority is Priority.URGENT and preemptions < MAX_PREEMPTIONS:
            stops = _preempt(view, sizes, room, size)
            preemptions += len(stops)
            steps += stops
    return steps


def can_ever_run(shape: Shape, workers: Iterable[Worker]) -> bool:
    """Tell whether some worker is large enough at all."""
    return any(shape.fits_in(worker.capacity) for worker in workers)


def _room(view: JobsView, sizes: UsageEstimator, usable: list[Worker]) -> _Room:
    room = _Room({worker.worker: worker.capacity for worker in usable})
    for job in view.jobs.values():
        if job.state is not JobState.RUNNING:
            continue
        room.take(job)
        if job.worker in room.left:
            task = view.tasks.get(job.task_id)
            size = _larger(sizes.size(job), task.usage if task else NOTHING)
            room.left[job.worker] = room.left[job.worker].minus(size)
    return room


def _larger(first: Shape, second: Shape) -> Shape:
    return Shape(
        max(first.processors, second.processors),
        max(first.memory_mb, second.memory_mb),
        max(first.accelerators, second.accelerators),
    )


def _queue_order(view: JobsView, room: _Room) -> list[Job]:
    """Return the queued jobs: urgent first, then by share of quota, then by age."""
    teams = {job.team for job in view.jobs.values()}
    shares = {
        team: view.quota(team).dominant_share(room.used_by_team[team]) for team in teams
    }

    def key(job: Job) -> tuple[bool, float, int, JobId]:
        share = shares[job.team]
        is_ordinary = job.priority is Priority.ORDINARY
        return (is_ordinary, share, job.submitted_ms, job.job_id)

    queued = [
        job
        for job in view.jobs.values()
        if job.state is JobState.QUEUED and not job.is_cancelled
    ]
    return sorted(queued, key=key)


def _is_over_quota(view: JobsView, room: _Room, job: Job) -> bool:
    used = room.used_by_team[job.team].plus(job.shape)
    return not view.quota(job.team).admits(used)


def _best_fit(job: Job, size: Shape, room: _Room) -> WorkerId | None:
    """Return the worker with the least room that is enough.

    Workers that the job has failed on are left out, so that its next failure
    tells whether it or the worker is at fault.
    """
    fitting = [
        (left.accelerators, left.processors, worker)
        for worker, left in room.left.items()
        if size.fits_in(left) and worker not in job.failed_on
    ]
    return min(fitting)[-1] if fitting else None


def _preempt(
    view: JobsView, sizes: UsageEstimator, room: _Room, size: Shape
) -> list[StopTask]:
    """Return the fewest ordinary tasks of one worker whose stop makes room."""
    best: list[Job] | None = None
    for worker, left in room.left.items():
        stopped: list[Job] = []
        for job in _ordinary_on(view, worker):
            if size.fits_in(left):
                break
            stopped.append(job)
            left = left.plus(sizes.size(job))
        if size.fits_in(left) and (best is None or len(stopped) < len(best)):
            best = stopped
    return [StopTask(job.task_id, has_checkpoint=True) for job in best or ()]


def _ordinary_on(view: JobsView, worker: WorkerId) -> list[Job]:
    """Return a worker's ordinary running jobs, the largest first."""
    jobs = [
        job
        for job in view.jobs.values()
        if job.worker == worker and job.priority is Priority.ORDINARY
    ]
    return sorted(jobs, key=lambda job: -job.shape.processors)


def _stops_for_drains(view: JobsView) -> list[JobStep]:
    """Stop, with a checkpoint, what runs on workers that are being drained."""
    return [
        StopTask(job.task_id, has_checkpoint=True)
        for job in view.jobs.values()
        if job.state is JobState.RUNNING
        and job.worker is not None
        and _is_leaving(view, job.worker)
    ]


def _is_leaving(view: JobsView, worker: WorkerId) -> bool:
    listed = view.workers.get(worker)
    is_listed_leaving = listed is not None and listed.state is WorkerState.LEAVING
    return worker in view.drained or is_listed_leaving
