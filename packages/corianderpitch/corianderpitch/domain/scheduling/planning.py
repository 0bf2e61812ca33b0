"""One planning round: chooses the waiting tasks to start, and their workers."""

import math
from collections import defaultdict, deque

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.advice import permitted_workers
from corianderpitch.domain.scheduling.ordering import order_key
from corianderpitch.domain.scheduling.placing import (
    can_run,
    choose_worker,
    is_schedulable,
    per_worker_limit,
    rank_workers,
)
from corianderpitch.domain.scheduling.progress import ActiveJob, ActiveStep
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.workers import WorkerView
from corianderpitch.domain.scheduling.workloads import Queue
from corianderpitch.ids import ServiceName, WorkerId

NO_WORKERS: frozenset[WorkerId] = frozenset()


def plan(
    scheduler: Scheduler, now_ms: float, wall_ms: float, may_restart: bool = True
) -> None:
    """Start all tasks that can be started now, in the order of ``order_key``.

    ``wall_ms`` is Unix time, and used for schedules only. Without ``may_restart``
    only tasks that never ran are started: a holder whose lease has expired may
    consider a run lost although its successor has already recorded its end.
    """
    schedulable = _schedulable_by_service(scheduler, now_ms)
    waiting: dict[ServiceName, list[tuple[Queue, ActiveJob]]] = defaultdict(list)
    for job in scheduler.jobs.values():
        queue = scheduler.queues.get(job.workload.queue)
        if queue is None or not schedulable.get(queue.service):
            continue
        job.begin_due_occurrences(wall_ms)
        if job.has_waiting_tasks and scheduler.is_safe_to_start(job, now_ms):
            waiting[queue.service].append((queue, job))
    for service, jobs in waiting.items():
        jobs.sort(key=lambda pair: order_key(pair[1], pair[0], now_ms))
        for queue, job in jobs:
            for step in list(job.ready_steps(wall_ms)):
                if not may_restart and step.ever_started & step.pending:
                    continue
                workers = permitted_workers(
                    step, queue.advice, schedulable[service], now_ms
                )
                if step.step.is_gang:
                    _start_gang(scheduler, job, step, workers, now_ms)
                else:
                    _start_tasks(scheduler, job, step, workers, now_ms)


def backlogged_services(scheduler: Scheduler) -> frozenset[ServiceName]:
    """Return the services with tasks that are ready, but wait for free capacity."""
    backlogged: set[ServiceName] = set()
    for job in scheduler.jobs.values():
        queue = scheduler.queues.get(job.workload.queue)
        if queue is None or queue.service in backlogged:
            continue
        if any(step.pending for step in job.ready_steps(math.inf)):
            backlogged.add(queue.service)
    return frozenset(backlogged)


def _schedulable_by_service(
    scheduler: Scheduler, now_ms: float
) -> dict[ServiceName, list[WorkerView]]:
    schedulable: dict[ServiceName, list[WorkerView]] = defaultdict(list)
    guarded = {q.service for q in scheduler.queues.values() if q.workers_guard_capacity}
    for worker in scheduler.workers.values():
        service = worker.info.service
        if is_schedulable(worker, now_ms, service in guarded):
            schedulable[service].append(worker)
    return schedulable


def _start_tasks(
    scheduler: Scheduler,
    job: ActiveJob,
    step: ActiveStep,
    workers: list[WorkerView],
    now_ms: float,
) -> None:
    """Start the waiting tasks of a step while there is free capacity.

    Tasks that have not failed anywhere share one ranking of the workers. Workers
    are dropped from its front as they fill up.
    """
    ranked = deque(rank_workers(step, workers))
    for index in sorted(step.pending):
        if failed_workers := _failed_workers(job, step, index):
            worker = choose_worker(step, index, workers, failed_workers)
        else:
            worker = _first_able_worker(step, index, ranked)
        if worker is None:
            return
        scheduler.start(job, step, index, worker, now_ms)


def _first_able_worker(
    step: ActiveStep, index: int, ranked: deque[WorkerView]
) -> WorkerView | None:
    """Return the first worker that can run a task, and drop the ones before it."""
    while ranked and not can_run(step, index, ranked[0]):
        ranked.popleft()
    return ranked[0] if ranked else None


def _failed_workers(
    job: ActiveJob, step: ActiveStep, index: int
) -> frozenset[WorkerId]:
    return job.failed_on.get((step.number, index), NO_WORKERS)


def _start_gang(
    scheduler: Scheduler,
    job: ActiveJob,
    step: ActiveStep,
    workers: list[WorkerView],
    now_ms: float,
) -> None:
    """Start all tasks of a gang, or none.

    If the step asks for a single rack, each rack is tried alone before all workers
    are tried together.
    """
    if step.runs:
        return
    groups = [workers]
    if step.step.needs_same_rack or step.step.data_rack:
        racks = sorted({worker.info.labels[1:] for worker in workers})
        groups = [[w for w in workers if w.info.labels[1:] == r] for r in racks]
        groups.append(workers)
    for group in groups:
        if _gang_fits(step, group):
            number = scheduler.next_run_number()
            for index in sorted(step.pending):
                worker = choose_worker(step, index, group, NO_WORKERS)
                scheduler.start(job, step, index, worker, now_ms, number)
            return


def _gang_fits(step: ActiveStep, workers: list[WorkerView]) -> bool:
    """Return whether all tasks of a gang fit on the workers together."""
    limit = per_worker_limit(step.step) or step.step.count
    fitting_tasks = sum(
        _tasks_that_fit(step.step.reservation, worker.free, limit)
        for worker in workers
        if not step.step.label or step.step.label in worker.info.labels
    )
    return fitting_tasks >= step.step.count


def _tasks_that_fit(reservation: Shape, free: Shape, limit: int) -> int:
    """Return how many reservations of a size fit into the free capacity.

    They are subtracted one by one, as their starts do: a division may round to one
    more than that.
    """
    count = 0
    while count < limit and reservation.fits_in(free):
        free = free.minus(reservation)
        count += 1
    return count
