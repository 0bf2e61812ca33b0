"""One round of planning: which waiting tasks start where."""

import math
from collections import defaultdict, deque

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.advice import permitted
from corianderpitch.domain.scheduling.ordering import order_key
from corianderpitch.domain.scheduling.placing import (
    choose_worker,
    is_usable,
    may_take,
    rank_workers,
)
from corianderpitch.domain.scheduling.progress import ActiveJob, ActiveStep
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.workers import WorkerView
from corianderpitch.domain.scheduling.workloads import Queue
from corianderpitch.ids import ServiceName, WorkerId

NOTHING_TO_AVOID: frozenset[WorkerId] = frozenset()


def plan(
    scheduler: Scheduler, now_ms: float, wall_ms: float, may_restart: bool = True
) -> None:
    """Start what can be started now, in the order of ``order_key``.

    ``wall_ms`` is Unix time; it serves schedules only. Without ``may_restart``
    only tasks are started that never ran: a holder whose lease has lapsed may
    take a run for lost whose end its successor knows.
    """
    usable = _usable_by_service(scheduler, now_ms)
    waiting: dict[ServiceName, list[tuple[Queue, ActiveJob]]] = defaultdict(list)
    for job in scheduler.jobs.values():
        queue = scheduler.queues.get(job.workload.queue)
        if queue is None or not usable.get(queue.service):
            continue
        job.begin_due(wall_ms)
        if job.has_waiting_tasks and scheduler.is_certain(job, now_ms):
            waiting[queue.service].append((queue, job))
    for service, jobs in waiting.items():
        jobs.sort(key=lambda pair: order_key(pair[1], pair[0], now_ms))
        for queue, job in jobs:
            for step in list(job.ready_steps(wall_ms)):
                if not may_restart and step.begun & step.pending:
                    continue
                workers = permitted(step, queue.advice, usable[service], now_ms)
                if step.step.is_gang:
                    _start_gang(scheduler, job, step, workers, now_ms)
                else:
                    _start_each(scheduler, job, step, workers, now_ms)


def pressed_services(scheduler: Scheduler) -> frozenset[ServiceName]:
    """Return the services whose pools have tasks of begun steps waiting for room."""
    pressed: set[ServiceName] = set()
    for job in scheduler.jobs.values():
        queue = scheduler.queues.get(job.workload.queue)
        if queue is None or queue.service in pressed:
            continue
        if any(step.pending for step in job.ready_steps(math.inf)):
            pressed.add(queue.service)
    return frozenset(pressed)


def _usable_by_service(
    scheduler: Scheduler, now_ms: float
) -> dict[ServiceName, list[WorkerView]]:
    usable: dict[ServiceName, list[WorkerView]] = defaultdict(list)
    for worker in scheduler.workers.values():
        if is_usable(worker, now_ms):
            usable[worker.info.service].append(worker)
    return usable


def _start_each(
    scheduler: Scheduler,
    job: ActiveJob,
    step: ActiveStep,
    workers: list[WorkerView],
    now_ms: float,
) -> None:
    """Start the waiting tasks of a step while there is room.

    Tasks that have not failed anywhere share one ranking of the workers, whose
    first ones are dropped as they fill up.
    """
    ranked = deque(rank_workers(step, workers))
    for index in sorted(step.pending):
        if avoided := _avoided(job, step, index):
            worker = choose_worker(step, index, workers, avoided)
        else:
            worker = _first_able(step, index, ranked)
        if worker is None:
            return
        scheduler.start(job, step, index, worker, now_ms)


def _first_able(
    step: ActiveStep, index: int, ranked: deque[WorkerView]
) -> WorkerView | None:
    """Return the first worker that can take a task; drops those before it."""
    while ranked and not may_take(step, index, ranked[0]):
        ranked.popleft()
    return ranked[0] if ranked else None


def _avoided(job: ActiveJob, step: ActiveStep, index: int) -> frozenset[WorkerId]:
    return job.failed_on.get((step.number, index), NOTHING_TO_AVOID)


def _start_gang(
    scheduler: Scheduler,
    job: ActiveJob,
    step: ActiveStep,
    workers: list[WorkerView],
    now_ms: float,
) -> None:
    """Start all tasks of a gang, or none.

    Where one rack is asked for, each rack is tried by itself before all
    workers together.
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
            number = scheduler.next_number()
            for index in sorted(step.pending):
                worker = choose_worker(step, index, group, NOTHING_TO_AVOID)
                scheduler.start(job, step, index, worker, now_ms, number)
            return


def _gang_fits(step: ActiveStep, workers: list[WorkerView]) -> bool:
    """Tell whether a whole gang has room."""
    limit = step.step.max_per_worker or step.step.count
    places = sum(
        min(limit, _times(step.step.room, worker.free))
        for worker in workers
        if not step.step.label or step.step.label in worker.info.labels
    )
    return places >= step.step.count


def _times(room: Shape, free: Shape) -> int:
    """Return how often a room fits into what is free."""
    parts = [
        int(have // need)
        for need, have in (
            (room.processors, free.processors),
            (room.memory_mb, free.memory_mb),
            (room.accelerators, free.accelerators),
        )
        if need > 0
    ]
    return max(0, min(parts, default=0))
