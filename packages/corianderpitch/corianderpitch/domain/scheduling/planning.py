"""One planning round: chooses the waiting tasks to start, and their workers."""

import math
from collections import defaultdict

from corianderpitch.domain.scheduling.advice import permitted_workers
from corianderpitch.domain.scheduling.fitting import RoundFits, steps_to_try
from corianderpitch.domain.scheduling.gangs import start_gang, stop_incomplete_gang
from corianderpitch.domain.scheduling.isolation import must_be_isolated, plan_isolated
from corianderpitch.domain.scheduling.ordering import order_key
from corianderpitch.domain.scheduling.placing import is_schedulable, workers_in_doubt
from corianderpitch.domain.scheduling.progress import ActiveJob, ActiveStep
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.speeds import without_slow
from corianderpitch.domain.scheduling.spreading import may_crowd
from corianderpitch.domain.scheduling.starting import start_tasks
from corianderpitch.domain.scheduling.workers import WorkerView
from corianderpitch.domain.scheduling.workloads import Queue
from corianderpitch.ids import ServiceName


def plan(
    scheduler: Scheduler, now_ms: float, wall_ms: float, may_restart: bool = True
) -> None:
    """Start all tasks that can be started now, in the order of ``order_key``.

    ``wall_ms`` is Unix time, and used for schedules only. Without ``may_restart``
    only tasks that never ran are started: a holder whose lease has expired may
    consider a run lost although its successor has already recorded its end. Nor does
    it give up jobs then, as its orders would stop runs that the successor keeps. Tasks
    that may crash their workers are started in isolation, before all others.
    """
    schedulable = _schedulable_by_service(scheduler, now_ms)
    scheduler.count_usage()
    if may_restart:
        scheduler.give_up_crashing_jobs(now_ms)
        plan_isolated(scheduler, schedulable, now_ms, wall_ms)
    waiting: list[tuple[Queue, ActiveJob]] = []
    for job in scheduler.jobs.values():
        queue = scheduler.queues.get(job.workload.queue)
        if queue is None or not schedulable.get(queue.service):
            continue
        job.begin_due_occurrences(wall_ms)
        if must_be_isolated(scheduler, job, now_ms):
            continue
        if job.has_waiting_tasks and scheduler.is_safe_to_start(job, now_ms):
            waiting.append((queue, job))
    fits: dict[ServiceName, RoundFits] = defaultdict(RoundFits)
    # One order for all services: a team's quota is shared between them.
    waiting.sort(key=lambda pair: order_key(pair[1], pair[0], now_ms))
    for queue, job in waiting:
        workers = schedulable.get(queue.service, [])
        if job.is_beyond_share and not fits[queue.service].has_headroom(workers):
            continue
        for step in steps_to_try(job, wall_ms):
            if step.step.is_gang and may_restart:
                stop_incomplete_gang(scheduler, step, now_ms)
            if not scheduler.usage.admits(job.workload.team, step.step.shape):
                continue
            if not fits[queue.service].may_fit(step, workers):
                continue
            if not may_restart and any(i in step.pending for i in step.open):
                continue
            permitted = permitted_workers(step, queue.advice, workers, now_ms)
            if step.step.is_gang:
                start_gang(scheduler, job, step, permitted, now_ms)
            else:
                _start_spread(scheduler, job, step, queue, permitted, now_ms)


def _start_spread(
    scheduler: Scheduler,
    job: ActiveJob,
    step: ActiveStep,
    queue: Queue,
    workers: list[WorkerView],
    now_ms: float,
) -> None:
    """Start waiting tasks of a step, spread over workers if that can be had."""
    start_tasks(scheduler, job, step, step.pending, workers, now_ms)
    if step.pending and may_crowd(scheduler, step, queue.service, now_ms):
        start_tasks(scheduler, job, step, step.pending, workers, now_ms, may_crowd=True)
    if not step.pending:
        step.awaits_spread_since_ms = None


def backlogged_services(scheduler: Scheduler) -> frozenset[ServiceName]:
    """Return the services with tasks that are ready, but wait for free capacity.

    Tasks that their team's quota does not admit would not use more of it.
    """
    backlogged: set[ServiceName] = set()
    for job in scheduler.jobs.values():
        queue = scheduler.queues.get(job.workload.queue)
        if queue is None or queue.service in backlogged:
            continue
        team = job.workload.team
        if any(
            scheduler.usage.admits(team, step.step.shape)
            for step in job.ready_steps(math.inf)
        ):
            backlogged.add(queue.service)
    return frozenset(backlogged)


def _schedulable_by_service(
    scheduler: Scheduler, now_ms: float
) -> dict[ServiceName, list[WorkerView]]:
    schedulable: dict[ServiceName, list[WorkerView]] = defaultdict(list)
    guarded = {q.service for q in scheduler.queues.values() if q.workers_guard_capacity}
    in_doubt = workers_in_doubt(scheduler.workers.values(), now_ms)
    for worker in scheduler.workers.values():
        service = worker.info.service
        if worker.info.worker in in_doubt:
            continue
        if is_schedulable(worker, now_ms, service in guarded):
            schedulable[service].append(worker)
    return {
        service: without_slow(workers, now_ms)
        for service, workers in schedulable.items()
    }
