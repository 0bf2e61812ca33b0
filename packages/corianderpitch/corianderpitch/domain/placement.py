"""Placement of jobs on the workers of one data centre.

Urgent jobs go first, then the jobs of the team that uses the smallest share of
its quota. Each job goes to the worker with the least free capacity that is
enough (best fit). The size of a job is estimated from the reported usage of its
kind of job; until there are enough reports, it is the declared size.
"""

import math
from collections import defaultdict, deque
from collections.abc import Collection, Iterable, Mapping
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
QUARANTINE_FAILED_JOBS = 3
USAGE_SAMPLES = 64
MIN_USAGE_SAMPLES = 8
USAGE_MARGIN = 1.2
MIN_DECLARED_SHARE = 0.25
MAX_PREEMPTIONS_PER_ROUND = 4  # a job that needs several stops may exceed it
ZERO_SHAPE = Shape(0.0, 0, 0)


class UsageEstimator:
    """Estimates of job sizes from the usage that tasks report, by kind of job."""

    def __init__(self):
        self._samples: dict[JobKind, deque[Shape]] = {}

    def observe(self, kind: JobKind, usage: Shape) -> None:
        """Record one reported usage."""
        samples = self._samples.setdefault(kind, deque(maxlen=USAGE_SAMPLES))
        samples.append(usage)

    def estimate(self, job: Job) -> Shape:
        """Return the size to reserve for a job.

        Processors and memory are the highest usage among the latest samples plus
        a margin, and at least a quarter of the declared size. Accelerators are
        as declared.
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


class WorkerFailureTracker:
    """Tracks the distinct jobs that failed on each worker since its last success.

    A job that fails on several workers is itself at fault and does not count
    against them.
    """

    def __init__(self):
        self._failed_jobs: dict[WorkerId, set[JobId]] = defaultdict(set)
        self._failed_workers: dict[JobId, set[WorkerId]] = defaultdict(set)

    def record_success(self, worker: WorkerId) -> None:
        """Record that a task has succeeded on a worker."""
        self._failed_jobs.pop(worker, None)

    def record_failure(self, worker: WorkerId, job_id: JobId) -> None:
        """Record that a task of a job has failed on a worker."""
        self._failed_jobs[worker].add(job_id)
        self._failed_workers[job_id].add(worker)

    def discard_job(self, job_id: JobId) -> None:
        """Discard a succeeded job; its failures then count against the workers."""
        self._failed_workers.pop(job_id, None)

    def quarantined(self) -> frozenset[WorkerId]:
        """Return the workers on which too many distinct jobs have failed."""
        return frozenset(
            worker
            for worker, jobs in self._failed_jobs.items()
            if sum(1 for job in jobs if len(self._failed_workers[job]) <= 1)
            >= QUARANTINE_FAILED_JOBS
        )


@dataclass(frozen=True, slots=True)
class JobsSnapshot:
    """The jobs, workers and tasks of one data centre at one point in time.

    ``quotas`` holds the quota of each named team; ``default_quota`` applies to
    every other team.
    """

    jobs: Mapping[JobId, Job]
    workers: Mapping[WorkerId, Worker]
    tasks: Mapping[TaskId, Task]
    quotas: Mapping[TeamName, Quota]
    default_quota: Quota
    drained: frozenset[WorkerId] = frozenset()

    def quota(self, team: TeamName) -> Quota:
        """Return a team's quota."""
        return self.quotas.get(team, self.default_quota)


@dataclass(frozen=True, slots=True)
class JobChange:
    """The new record of a job, to be committed."""

    job: Job


@dataclass(frozen=True, slots=True)
class StopTask:
    """A task to stop; it writes a checkpoint first if its job is to resume later."""

    task_id: TaskId
    has_checkpoint: bool


JobStep = JobChange | StopTask


@dataclass(slots=True)
class _CapacityLedger:
    """Free capacity of each worker, and the resources that each team uses."""

    free: dict[WorkerId, Shape]
    used_by_team: dict[TeamName, Shape] = field(
        default_factory=lambda: defaultdict(lambda: ZERO_SHAPE)
    )

    def charge_team(self, job: Job) -> None:
        """Charge a job's declared size to its team."""
        self.used_by_team[job.team] = self.used_by_team[job.team].plus(job.shape)


def apply_task_reports(
    snapshot: JobsSnapshot, failures: WorkerFailureTracker, wall_ms: int
) -> list[JobStep]:
    """Return the steps that the tasks' reports require, and record the outcomes.

    Jobs whose tasks have ended, failed, stopped or lapsed change their state.
    Tasks of cancelled jobs are stopped.
    """
    steps: list[JobStep] = []
    for job in snapshot.jobs.values():
        task = snapshot.tasks.get(job.task_id) if job.task_id else None
        if job.state is JobState.RUNNING and task is not None:
            steps += _apply_task_report(snapshot, job, task, failures, wall_ms)
        elif job.state is JobState.QUEUED and job.is_cancelled:
            steps.append(JobChange(end(job, JobState.CANCELLED, wall_ms)))
    return steps


def _apply_task_report(
    snapshot: JobsSnapshot,
    job: Job,
    task: Task,
    failures: WorkerFailureTracker,
    wall_ms: int,
) -> list[JobStep]:
    match task.state:
        case TaskState.DONE:
            failures.record_success(task.worker)
            failures.discard_job(job.job_id)
            return [JobChange(end(job, JobState.DONE, wall_ms))]
        case TaskState.FAILED:
            failures.record_failure(task.worker, job.job_id)
            limit = _max_failed_workers(job, snapshot.workers.values())
            return [JobChange(fail_on_worker(job, limit, wall_ms))]
        case TaskState.STOPPED | TaskState.LAPSED if job.is_cancelled:
            return [JobChange(end(job, JobState.CANCELLED, wall_ms))]
        case TaskState.STOPPED | TaskState.LAPSED:
            return [JobChange(requeue(job))]
        case TaskState.RUNNING if job.is_cancelled:
            return [StopTask(task.task_id, has_checkpoint=False)]
    return []


def _max_failed_workers(job: Job, workers: Collection[Worker]) -> int:
    """Return on how many distinct workers a job must have failed to fail for good.

    These are all workers that it fits on, up to ``MAX_FAILED_WORKERS``. How many it
    fits on is not known before a term's first list of workers.
    """
    if not workers:
        return MAX_FAILED_WORKERS
    capable_workers = sum(job.shape.fits_in(worker.capacity) for worker in workers)
    return max(1, min(MAX_FAILED_WORKERS, capable_workers))


def place_jobs(
    snapshot: JobsSnapshot, estimator: UsageEstimator, quarantined: frozenset[WorkerId]
) -> list[JobStep]:
    """Return the jobs to start now, and the tasks to stop for urgent ones."""
    usable = [
        worker
        for worker in snapshot.workers.values()
        if worker.state is WorkerState.LIVE
        and worker.worker not in snapshot.drained
        and worker.worker not in quarantined
    ]
    ledger = _capacity_ledger(snapshot, estimator, usable)
    steps: list[JobStep] = _stops_for_drains(snapshot)
    preemptions = 0
    for job in _queue_order(snapshot, ledger):
        size = estimator.estimate(job)
        if _is_over_quota(snapshot, ledger, job):
            continue
        worker = _best_fit(job, size, ledger)
        if worker is not None:
            steps.append(JobChange(start(job, worker)))
            ledger.free[worker] = ledger.free[worker].minus(size)
            ledger.charge_team(job)
        elif (
            job.priority is Priority.URGENT and preemptions < MAX_PREEMPTIONS_PER_ROUND
        ):
            stops = _preempt(snapshot, estimator, ledger, size)
            preemptions += len(stops)
            steps += stops
    return steps


def fits_any_worker(shape: Shape, workers: Iterable[Worker]) -> bool:
    """Return whether the whole capacity of some worker is large enough."""
    return any(shape.fits_in(worker.capacity) for worker in workers)


def _capacity_ledger(
    snapshot: JobsSnapshot, estimator: UsageEstimator, usable: list[Worker]
) -> _CapacityLedger:
    ledger = _CapacityLedger({worker.worker: worker.capacity for worker in usable})
    for job in snapshot.jobs.values():
        if job.state is not JobState.RUNNING:
            continue
        ledger.charge_team(job)
        if job.worker in ledger.free:
            task = snapshot.tasks.get(job.task_id)
            size = _elementwise_max(
                estimator.estimate(job), task.usage if task else ZERO_SHAPE
            )
            ledger.free[job.worker] = ledger.free[job.worker].minus(size)
    return ledger


def _elementwise_max(first: Shape, second: Shape) -> Shape:
    return Shape(
        max(first.processors, second.processors),
        max(first.memory_mb, second.memory_mb),
        max(first.accelerators, second.accelerators),
    )


def _queue_order(snapshot: JobsSnapshot, ledger: _CapacityLedger) -> list[Job]:
    """Return the queued jobs: urgent ones first, then by quota share, then by age."""
    teams = {job.team for job in snapshot.jobs.values()}
    shares = {
        team: snapshot.quota(team).dominant_share(ledger.used_by_team[team])
        for team in teams
    }

    def key(job: Job) -> tuple[bool, float, int, JobId]:
        share = shares[job.team]
        is_ordinary = job.priority is Priority.ORDINARY
        return (is_ordinary, share, job.submitted_ms, job.job_id)

    queued = [
        job
        for job in snapshot.jobs.values()
        if job.state is JobState.QUEUED and not job.is_cancelled
    ]
    return sorted(queued, key=key)


def _is_over_quota(snapshot: JobsSnapshot, ledger: _CapacityLedger, job: Job) -> bool:
    used = ledger.used_by_team[job.team].plus(job.shape)
    return not snapshot.quota(job.team).admits(used)


def _best_fit(job: Job, size: Shape, ledger: _CapacityLedger) -> WorkerId | None:
    """Return the worker with the least free capacity that is enough.

    Workers that the job has failed on are excluded, so that its next failure
    shows whether the job or the worker is at fault.
    """
    fitting = [
        (free_shape.accelerators, free_shape.processors, worker)
        for worker, free_shape in ledger.free.items()
        if size.fits_in(free_shape) and worker not in job.failed_on
    ]
    return min(fitting)[-1] if fitting else None


def _preempt(
    snapshot: JobsSnapshot,
    estimator: UsageEstimator,
    ledger: _CapacityLedger,
    size: Shape,
) -> list[StopTask]:
    """Return the tasks to stop on the worker that needs the fewest stops.

    Only ordinary tasks are stopped, those with the most processors first.
    """
    best: list[Job] | None = None
    for worker, free_shape in ledger.free.items():
        stopped: list[Job] = []
        for job in _ordinary_jobs_on(snapshot, worker):
            if size.fits_in(free_shape):
                break
            stopped.append(job)
            free_shape = free_shape.plus(estimator.estimate(job))
        if size.fits_in(free_shape) and (best is None or len(stopped) < len(best)):
            best = stopped
    return [StopTask(job.task_id, has_checkpoint=True) for job in best or ()]


def _ordinary_jobs_on(snapshot: JobsSnapshot, worker: WorkerId) -> list[Job]:
    """Return a worker's ordinary running jobs, those with most processors first."""
    jobs = [
        job
        for job in snapshot.jobs.values()
        if job.worker == worker and job.priority is Priority.ORDINARY
    ]
    return sorted(jobs, key=lambda job: -job.shape.processors)


def _stops_for_drains(snapshot: JobsSnapshot) -> list[JobStep]:
    """Return the stops, with checkpoints, of the tasks on workers being drained."""
    return [
        StopTask(job.task_id, has_checkpoint=True)
        for job in snapshot.jobs.values()
        if job.state is JobState.RUNNING
        and job.worker is not None
        and _is_leaving(snapshot, job.worker)
    ]


def _is_leaving(snapshot: JobsSnapshot, worker: WorkerId) -> bool:
    listed = snapshot.workers.get(worker)
    is_listed_leaving = listed is not None and listed.state is WorkerState.LEAVING
    return worker in snapshot.drained or is_listed_leaving
