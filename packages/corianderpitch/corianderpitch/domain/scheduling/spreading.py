"""Spreading of lasting steps over workers, so that the loss of one does not end them.

A caller that needs a limit names one (``max_per_worker``). Beyond that, a lasting step
is spread over two workers where that can be had: at first no worker gets more than its
share of the tasks. What is left over is started beside the others if no second worker
could take it, or once it has waited for one for a while. When there is room elsewhere
later, the tasks beyond a worker's share are moved there one by one, as far as the
step's budget of unavailable tasks allows. The tasks of a gang are lost together in any
case, and are not spread.
"""

import math
from collections import Counter
from collections.abc import Iterable

from corianderpitch.domain.scheduling.availability import is_serving, may_stop_lasting
from corianderpitch.domain.scheduling.placing import (
    can_run,
    count_runs_on,
    has_label,
    is_schedulable,
)
from corianderpitch.domain.scheduling.progress import ActiveStep
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.workers import Run, WorkerView
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import ServiceName, WorkerId

MIN_WORKERS = 2  # over which a lasting step is spread
SPREAD_WAIT_MS = 1000.0  # for room on a second worker, until tasks start without
RESPREAD_INTERVAL_MS = 1000.0
SETTLED_MS = 5000.0  # a worker that has just come may soon be gone again


def spread_share(step: Step) -> int:
    """Return how many tasks of a step one worker gets at first, 0 for any number."""
    if not step.is_lasting or step.is_gang:
        return 0
    return math.ceil(step.count / MIN_WORKERS)


def is_within_share(step: ActiveStep, worker: WorkerId) -> bool:
    """Return whether one more task of a step on a worker keeps the step spread."""
    share = spread_share(step.step)
    return not share or count_runs_on(step, worker) < share


def may_crowd(
    scheduler: Scheduler, step: ActiveStep, service: ServiceName, now_ms: float
) -> bool:
    """Return whether waiting tasks of a step may exceed a worker's share.

    It is called after a planning round has found no worker within its share.
    """
    if not spread_share(step.step):
        return False
    if step.awaits_spread_since_ms is None:
        step.awaits_spread_since_ms = now_ms
    if now_ms - step.awaits_spread_since_ms >= SPREAD_WAIT_MS:
        return True
    pool = (w for w in scheduler.workers.values() if w.info.service == service)
    return sum(1 for worker in pool if _could_serve(step, worker)) < MIN_WORKERS


def respread(scheduler: Scheduler, now_ms: float) -> None:
    """Move tasks beyond their worker's share to others, at most one of each step."""
    for job in scheduler.jobs.values():
        queue = scheduler.queues.get(job.workload.queue)
        if queue is None or not job.workload.is_lasting:
            continue
        for step in job.steps():
            crowded = _runs_beyond_share(step)
            if not crowded or step.pending:
                continue
            others = _settled_workers(scheduler, queue.service, now_ms)
            run = _movable_run(scheduler, step, crowded, others)
            if run is not None:
                scheduler.stop(run, now_ms)


def _could_serve(step: ActiveStep, worker: WorkerView) -> bool:
    """Return whether a worker could run a task of a step if it had free capacity."""
    return (
        worker.is_in_service
        and has_label(step, worker)
        and step.step.reservation.fits_in(worker.info.capacity)
    )


def _runs_beyond_share(step: ActiveStep) -> list[Run]:
    """Return the runs on workers that have more than their share of a step."""
    share = spread_share(step.step)
    if not share:
        return []
    runs = [run for of_task in step.runs.values() for run in of_task]
    counts = Counter(run.worker for run in runs)
    return [run for run in runs if counts[run.worker] > share]


def _settled_workers(
    scheduler: Scheduler, service: ServiceName, now_ms: float
) -> list[WorkerView]:
    return [
        worker
        for worker in scheduler.workers.values()
        if worker.info.service == service
        and is_schedulable(worker, now_ms)
        and not worker.is_slow(now_ms)
        and now_ms - worker.known_since_ms >= SETTLED_MS
    ]


def _movable_run(
    scheduler: Scheduler,
    step: ActiveStep,
    runs: Iterable[Run],
    others: Iterable[WorkerView],
) -> Run | None:
    """Return a run that may be stopped now, and started again within a share."""
    others = [
        worker
        for worker in others
        if has_label(step, worker) and is_within_share(step, worker.info.worker)
    ]
    for run in runs:
        if not is_serving(scheduler, run):
            continue
        if not any(can_run(step, run.task.index, worker) for worker in others):
            continue
        if may_stop_lasting(scheduler, step, run):
            return run
    return None
