"""Isolated starts of tasks that may crash the workers that start them.

A suspect job gets a group: a worker, or several for a gang, on which nothing else is
started until the job's suspects have ended or passed their probation. They are
started there once all other runs on the worker have passed theirs. If the worker
crashes then, the job is the cause, and little else is lost. The other tasks of a
suspect job wait, and are started in a group only if its suspects have no worker that
could run them, or run on one that is cut off. No new group is chosen while half of a
service's workers are taken. A job that waits long for a group is started beside others
after its first crash: if it is the cause, the second one leaves few suspects.
"""

from collections.abc import Iterable, Sequence, Set

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.advice import permitted_workers
from corianderpitch.domain.scheduling.crashes import (
    IsolationGroup,
    has_passed_probation,
)
from corianderpitch.domain.scheduling.gangs import (
    gang_fits,
    gang_groups,
    start_gang,
    stop_incomplete_gang,
)
from corianderpitch.domain.scheduling.ordering import order_key
from corianderpitch.domain.scheduling.placing import count_runs_on, has_label
from corianderpitch.domain.scheduling.progress import ActiveJob, ActiveStep
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.starting import start_tasks
from corianderpitch.domain.scheduling.workers import Run, WorkerView
from corianderpitch.domain.scheduling.workloads import Queue
from corianderpitch.ids import JobId, ServiceName, WorkerId

MAX_ISOLATED_SHARE = 0.5  # of the workers of a service
MAX_QUEUE_MS = 1500.0  # until a job without a group is started beside others
MAX_GROUP_WAIT_MS = 3000.0  # until a group in which nothing could start is dropped
REPORT_INTERVAL_MS = 100.0
OUTCOME_WAIT_MS = 1000.0  # the list of VMs shows an ended process within this time

Schedulable = dict[ServiceName, list[WorkerView]]


def plan_isolated(
    scheduler: Scheduler, schedulable: Schedulable, now_ms: float, wall_ms: float
) -> None:
    """Start the suspects that can be started, and take groups off ``schedulable``."""
    _drop_groups(scheduler, schedulable, now_ms)
    for queue, job in _suspect_jobs(scheduler, now_ms):
        workers = schedulable.get(queue.service, [])
        ready = [
            (step, permitted_workers(step, queue.advice, workers, now_ms))
            for step in job.ready_steps(wall_ms)
        ]
        for step, permitted in ready:
            tasks = step.waiting_suspects
            _start_in_group(scheduler, job, step, tasks, workers, permitted, now_ms)
        if not _must_wait_for_suspects(scheduler, job, ready, now_ms):
            for step, permitted in ready:
                tasks = step.waiting_others
                _start_in_group(scheduler, job, step, tasks, workers, permitted, now_ms)
        _note_waiting(scheduler, job, now_ms)
    isolated = _isolated_workers(scheduler)
    for service, workers in schedulable.items():
        schedulable[service] = [w for w in workers if w.info.worker not in isolated]
    for group in scheduler.crashes.groups.values():
        _request_reports(scheduler, group, now_ms)


def must_be_isolated(scheduler: Scheduler, job: ActiveJob, now_ms: float) -> bool:
    """Return whether no task of a job may be started beside those of other jobs."""
    if job.job_id not in scheduler.crashes.suspect_jobs:
        return False
    since_ms = job.awaits_group_since_ms
    if since_ms is None or now_ms - since_ms < MAX_QUEUE_MS:
        return True
    return any(
        step.crash_count(index) > 1 for step in job.steps() for index in step.suspects
    )


def _note_waiting(scheduler: Scheduler, job: ActiveJob, now_ms: float) -> None:
    """Note since when suspects of a job have waited without a group."""
    is_waiting = any(step.waiting_suspects for step in job.steps())
    if job.job_id in scheduler.crashes.groups or not is_waiting:
        job.awaits_group_since_ms = None
    elif job.awaits_group_since_ms is None:
        job.awaits_group_since_ms = now_ms


def _must_wait_for_suspects(
    scheduler: Scheduler,
    job: ActiveJob,
    ready: Iterable[tuple[ActiveStep, Sequence[WorkerView]]],
    now_ms: float,
) -> bool:
    """Return whether the other tasks of a suspect job must wait for its suspects.

    They need not if no worker could run these, or if nothing will soon be known of
    their runs. ``ready`` holds each ready step with the workers permitted for it.
    """
    group = scheduler.crashes.groups.get(job.job_id)
    if group is not None and _awaits_outcome(scheduler, group, job.job_id, now_ms):
        return True
    return any(
        _can_be_emptied_for(scheduler, step, worker)
        for step, permitted in ready
        if step.waiting_suspects
        for worker in permitted
    )


def _suspect_jobs(scheduler: Scheduler, now_ms: float) -> list[tuple[Queue, ActiveJob]]:
    """Return the suspect jobs that may be started now, in the order of their queue."""
    ready: list[tuple[Queue, ActiveJob]] = []
    for job_id in scheduler.crashes.suspect_jobs:
        job = scheduler.jobs[job_id]
        queue = scheduler.queues.get(job.workload.queue)
        if (
            queue is not None
            and not scheduler.crashes.awaits_decision(job_id)
            and scheduler.is_safe_to_start(job, now_ms)
        ):
            ready.append((queue, job))
    ready.sort(key=lambda pair: order_key(pair[1], pair[0], now_ms))
    return ready


def _drop_groups(scheduler: Scheduler, schedulable: Schedulable, now_ms: float) -> None:
    """Drop the groups of cleared jobs, and those that are of no use any more."""
    available = {w.info.worker for ws in schedulable.values() for w in ws}
    for job_id, group in list(scheduler.crashes.groups.items()):
        is_in_use = _awaits_outcome(scheduler, group, job_id, now_ms)
        is_useless = not available.issuperset(group.workers) or (
            now_ms - group.chosen_ms >= MAX_GROUP_WAIT_MS
        )
        is_cleared = job_id not in scheduler.crashes.suspect_jobs
        if is_cleared or (is_useless and not is_in_use):
            del scheduler.crashes.groups[job_id]


def _isolated_workers(
    scheduler: Scheduler, except_for: JobId | None = None
) -> set[WorkerId]:
    return {
        worker
        for job_id, group in scheduler.crashes.groups.items()
        for worker in group.workers
        if job_id != except_for
    }


def _runs_in(scheduler: Scheduler, group: IsolationGroup) -> Iterable[Run]:
    for worker_id in group.workers:
        worker = scheduler.workers.get(worker_id)
        if worker is not None:
            yield from worker.runs.values()


def _start_in_group(
    scheduler: Scheduler,
    job: ActiveJob,
    step: ActiveStep,
    tasks: Set[int],
    workers: Sequence[WorkerView],
    permitted: Sequence[WorkerView],
    now_ms: float,
) -> None:
    """Start tasks of a step in the job's group, which is chosen if needed."""
    if not tasks:
        return
    group = _group_for(scheduler, job, step, workers, permitted, now_ms)
    if group is None:
        return
    scheduler.crashes.groups[job.job_id] = group
    if _has_others_unproven(scheduler, group, job.job_id):
        return
    chosen = [w for w in permitted if w.info.worker in group.workers]
    if step.step.is_gang:
        stop_incomplete_gang(scheduler, step, now_ms)
        start_gang(scheduler, job, step, chosen, now_ms)
    else:
        # A lasting suspect is not spread: others are to be spared.
        start_tasks(scheduler, job, step, tasks, chosen, now_ms, may_crowd=True)


def _group_for(
    scheduler: Scheduler,
    job: ActiveJob,
    step: ActiveStep,
    workers: Sequence[WorkerView],
    permitted: Sequence[WorkerView],
    now_ms: float,
) -> IsolationGroup | None:
    """Return the group for a step: the job's present one, or a new one.

    A group that must be emptied first is replaced as soon as another one is free.
    """
    present = scheduler.crashes.groups.get(job.job_id)
    if present is not None and not _has_room(scheduler, present, step, permitted):
        if _awaits_outcome(scheduler, present, job.job_id, now_ms):
            return None
        present = None
    if present is not None and (
        _awaits_outcome(scheduler, present, job.job_id, now_ms)
        or _is_free(scheduler, present, job, step, permitted)
    ):
        return present
    new = _choose_group(scheduler, job, step, workers, permitted, now_ms)
    if new is None or present is None:
        return new
    return new if _is_free(scheduler, new, job, step, permitted) else present


def _is_free(
    scheduler: Scheduler,
    group: IsolationGroup,
    job: ActiveJob,
    step: ActiveStep,
    permitted: Iterable[WorkerView],
) -> bool:
    """Return whether tasks of a step can be started in a group now."""
    if _has_others_unproven(scheduler, group, job.job_id):
        return False
    inside = [w for w in permitted if w.info.worker in group.workers]
    if step.step.is_gang:
        return gang_fits(step, inside)
    return any(step.step.reservation.fits_in(worker.free) for worker in inside)


def _has_room(
    scheduler: Scheduler,
    group: IsolationGroup,
    step: ActiveStep,
    permitted: Iterable[WorkerView],
) -> bool:
    """Return whether a group's workers can run tasks of a step, now or when emptied."""
    inside = [w for w in permitted if w.info.worker in group.workers]
    if step.step.is_gang:
        return len(inside) == len(group.workers) and not step.runs
    return any(_can_be_emptied_for(scheduler, step, w) for w in inside)


def _awaits_outcome(
    scheduler: Scheduler, group: IsolationGroup, job_id: JobId, now_ms: float
) -> bool:
    """Return whether it will soon be known what became of a job's runs in a group.

    A worker that has been silent for long is cut off rather than crashed. What became
    of its runs may not be known before its lease has expired.
    """
    return any(
        run.task.job_id == job_id
        and not run.is_proven
        and not _is_cut_off(scheduler.workers[run.worker], now_ms)
        for run in _runs_in(scheduler, group)
    )


def _is_cut_off(worker: WorkerView, now_ms: float) -> bool:
    return worker.silent_since_ms is not None and (
        now_ms - worker.silent_since_ms >= OUTCOME_WAIT_MS
    )


def _has_others_unproven(
    scheduler: Scheduler, group: IsolationGroup, job_id: JobId
) -> bool:
    return any(
        run.task.job_id != job_id and not run.is_proven
        for run in _runs_in(scheduler, group)
    )


def _choose_group(
    scheduler: Scheduler,
    job: ActiveJob,
    step: ActiveStep,
    workers: Sequence[WorkerView],
    permitted: Iterable[WorkerView],
    now_ms: float,
) -> IsolationGroup | None:
    """Choose the workers that will lose the least work and are free the soonest."""
    isolated = _isolated_workers(scheduler, except_for=job.job_id)
    taken = sum(1 for worker in workers if worker.info.worker in isolated)
    allowed = max(1, int(len(workers) * MAX_ISOLATED_SHARE)) - taken
    if allowed <= 0:
        return None
    candidates = sorted(
        (
            worker
            for worker in permitted
            if worker.info.worker not in isolated
            and _can_be_emptied_for(scheduler, step, worker)
        ),
        key=lambda worker: _rank(step, worker),
    )
    if not step.step.is_gang:
        chosen = candidates[:1]
    else:
        chosen = _choose_for_gang(step, candidates)
    if not chosen:
        return None
    return IsolationGroup(tuple(worker.info.worker for worker in chosen), now_ms)


def _rank(step: ActiveStep, worker: WorkerView) -> tuple[bool, bool, float]:
    has_unproven = any(not run.is_proven for run in worker.runs.values())
    fits_now = step.step.reservation.fits_in(worker.free)
    used = worker.info.capacity.processors - worker.free.processors
    return (not fits_now, has_unproven, used)


def _choose_for_gang(
    step: ActiveStep, candidates: Sequence[WorkerView]
) -> list[WorkerView]:
    """Return the first workers that fit a whole gang together, if there are any."""
    for group in gang_groups(step, candidates):
        for count in range(1, len(group) + 1):
            if gang_fits(step, group[:count]):
                return group[:count]
    return []


def _can_be_emptied_for(
    scheduler: Scheduler, step: ActiveStep, worker: WorkerView
) -> bool:
    """Return whether a task fits on a worker once its runs have ended.

    Lasting tasks do not end.
    """
    if not has_label(step, worker):
        return False
    limit = step.step.max_per_worker
    if limit and count_runs_on(step, worker.info.worker) >= limit:
        return False
    free: Shape = worker.info.capacity
    for run in worker.runs.values():
        _, other = scheduler.find_step(run.task)
        if other is not None and other.step.is_lasting:
            free = free.minus(run.reservation)
    return step.step.reservation.fits_in(free)


def _request_reports(
    scheduler: Scheduler, group: IsolationGroup, now_ms: float
) -> None:
    """Request the reports that show whether runs in a group have passed probation."""
    if now_ms - group.asked_ms < REPORT_INTERVAL_MS:
        return
    for worker_id in group.workers:
        worker = scheduler.workers.get(worker_id)
        if worker is None or worker.is_silent:
            continue
        if not any(_is_due(scheduler, run, now_ms) for run in worker.runs.values()):
            continue
        group.asked_ms = now_ms
        scheduler.request_report(worker_id)


def _is_due(scheduler: Scheduler, run: Run, now_ms: float) -> bool:
    _, step = scheduler.find_step(run.task)
    if run.is_proven or step is None:
        return False
    return has_passed_probation(step, run, now_ms)
