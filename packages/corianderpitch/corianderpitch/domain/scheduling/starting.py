"""Starts of the waiting tasks of one step."""

from collections import deque
from collections.abc import Iterable, Sequence, Set
from heapq import merge
from itertools import islice

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.placing import (
    MAX_RUNS_OF_WORKER,
    can_run,
    choose_worker,
    per_worker_limit,
    rank_workers,
)
from corianderpitch.domain.scheduling.progress import (
    MAX_OPEN_TASKS,
    ActiveJob,
    ActiveStep,
)
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.workers import WorkerView
from corianderpitch.ids import WorkerId

NO_WORKERS: frozenset[WorkerId] = frozenset()


def start_tasks(
    scheduler: Scheduler,
    job: ActiveJob,
    step: ActiveStep,
    indexes: Set[int],
    workers: list[WorkerView],
    now_ms: float,
) -> None:
    """Start waiting tasks of a step while there is free capacity.

    ``indexes`` are in ascending order. Tasks that have not failed anywhere share one
    ranking of the workers. Workers are dropped from its front as they fill up. Where a
    job has many open tasks, only these are started again.
    """
    ranked = deque(rank_workers(step, workers))
    for index in _startable(job, step, indexes) if ranked else ():
        if failed_workers := _failed_workers(job, step, index):
            worker = choose_worker(step, index, workers, failed_workers)
        else:
            worker = _first_able_worker(step, index, ranked)
        if worker is None:
            return
        scheduler.start(job, step, index, worker, now_ms)


def _startable(job: ActiveJob, step: ActiveStep, indexes: Set[int]) -> Iterable[int]:
    """Return those of some waiting tasks that may be started, in ascending order."""
    reopened = sorted(index for index in step.open if index in indexes)
    fresh = (index for index in indexes if index not in step.open)
    return merge(reopened, islice(fresh, job.startable_tasks))


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


def start_gang(
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
    if step.runs or step.step.count > MAX_OPEN_TASKS:
        return
    for group in gang_groups(step, workers):
        if gang_fits(step, group):
            number = scheduler.next_run_number()
            for index in sorted(step.pending):
                worker = choose_worker(step, index, group, NO_WORKERS)
                scheduler.start(job, step, index, worker, now_ms, number)
            return


def gang_groups(
    step: ActiveStep, workers: Sequence[WorkerView]
) -> list[list[WorkerView]]:
    """Return the groups of workers to try for a gang, in order."""
    groups = [list(workers)]
    if step.step.needs_same_rack or step.step.data_rack:
        racks = sorted({worker.info.labels[1:] for worker in workers})
        by_rack = [[w for w in workers if w.info.labels[1:] == r] for r in racks]
        groups = by_rack + groups
    return groups


def gang_fits(step: ActiveStep, workers: Iterable[WorkerView]) -> bool:
    """Return whether all tasks of a gang fit on the workers together."""
    limit = per_worker_limit(step.step) or step.step.count
    missing = step.step.count
    for worker in workers:
        if step.step.label and step.step.label not in worker.info.labels:
            continue
        most = min(limit, missing, MAX_RUNS_OF_WORKER - len(worker.runs))
        missing -= _tasks_that_fit(step.step.reservation, worker.free, most)
        if missing <= 0:
            return True
    return False


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
