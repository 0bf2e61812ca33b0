"""Starts of the waiting tasks of one step."""

from collections import deque
from collections.abc import Iterable, Set
from heapq import merge
from itertools import islice

from corianderpitch.domain.scheduling.placing import (
    can_run,
    choose_worker,
    rank_workers,
)
from corianderpitch.domain.scheduling.progress import (
    ActiveJob,
    ActiveStep,
)
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.spreading import is_within_share
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
    may_crowd: bool = False,
) -> None:
    """Start waiting tasks of a step while there is free capacity and quota.

    ``indexes`` are in ascending order. Tasks that have not failed anywhere share one
    ranking of the workers. Workers are dropped from its front as they fill up. Where a
    job has many open tasks, only these are started again. Unless they ``may_crowd``, no
    worker gets more than its share of a lasting step.
    """
    ranked = deque(rank_workers(step, workers))
    for index in _startable(job, step, indexes) if ranked else ():
        if not scheduler.usage.admits(job.workload.team, step.step.shape):
            return
        if failed_workers := _failed_workers(job, step, index):
            worker = choose_worker(step, index, workers, failed_workers)
        else:
            worker = _first_able_worker(step, index, ranked, may_crowd)
        if worker is None:
            return
        scheduler.start(job, step, index, worker, now_ms)


def _startable(job: ActiveJob, step: ActiveStep, indexes: Set[int]) -> Iterable[int]:
    """Return those of some waiting tasks that may be started, in ascending order."""
    reopened = sorted(index for index in step.open if index in indexes)
    fresh = (index for index in indexes if index not in step.open)
    return merge(reopened, islice(fresh, job.startable_tasks))


def _first_able_worker(
    step: ActiveStep, index: int, ranked: deque[WorkerView], may_crowd: bool
) -> WorkerView | None:
    """Return the first worker that can run a task, and drop the ones before it."""
    while ranked:
        if can_run(step, index, ranked[0]) and (
            may_crowd or is_within_share(step, ranked[0].info.worker)
        ):
            return ranked[0]
        ranked.popleft()
    return None


def _failed_workers(
    job: ActiveJob, step: ActiveStep, index: int
) -> frozenset[WorkerId]:
    return job.failed_on.get((step.number, index), NO_WORKERS)
