"""Choice of a worker for a task."""

import math
from collections.abc import Iterable

from corianderpitch.domain.scheduling.progress import ActiveStep
from corianderpitch.domain.scheduling.workers import WorkerView
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import WorkerId

LASTING_SPREAD = 2  # workers that a lasting step is spread over at least


def is_usable(worker: WorkerView, now_ms: float) -> bool:
    """Tell whether a worker may be given anything new."""
    return (
        worker.is_listed
        and worker.is_recorded
        and not worker.is_evacuated
        and worker.draining_since_ms is None
        and worker.life is not None
        and not worker.is_silent
        and now_ms >= worker.rest_until_ms
    )


def runs_on(step: ActiveStep, worker: WorkerId) -> int:
    """Return how many tasks of a step run on a worker."""
    return sum(1 for runs in step.runs.values() for run in runs if run.worker == worker)


def choose_worker(
    step: ActiveStep,
    index: int,
    workers: Iterable[WorkerView],
    avoided: frozenset[WorkerId],
) -> WorkerView | None:
    """Return the best worker for a task, ``None`` if there is none now.

    Workers near the task's data come first, then the fullest ones that have
    room (best fit): the others fall idle, and large tasks find room. A filler
    goes where the fewest tasks are that serve users. ``avoided`` lists workers
    that the task has failed on; they are taken only where no other would do.
    """
    ranked = rank_workers(step, workers)
    fitting = [w for w in ranked if may_take(step, index, w)]
    fresh = (w for w in fitting if w.info.worker not in avoided)
    return next(fresh, fitting[0] if fitting else None)


def rank_workers(step: ActiveStep, workers: Iterable[WorkerView]) -> list[WorkerView]:
    """Return the workers that have room for a task of a step, best first.

    A task given to one of them moves it further to the front, so that the order
    still holds for the step's next task.
    """
    label = step.step.label
    fits_in = step.step.room.fits_in
    fitting = [
        worker
        for worker in workers
        if fits_in(worker.free) and (not label or label in worker.info.labels)
    ]
    fitting.sort(key=lambda worker: _rank(step, worker))
    return fitting


def _rank(step: ActiveStep, worker: WorkerView) -> tuple[bool, int, float]:
    data_rack = step.step.data_rack
    is_remote = bool(data_rack) and data_rack not in worker.info.labels
    return (is_remote, _neighbours(step, worker), worker.free.processors)


def may_take(step: ActiveStep, index: int, worker: WorkerView) -> bool:
    """Tell whether a worker with the step's label can take one of its tasks now."""
    if not step.step.room.fits_in(worker.free):
        return False
    runs = step.runs.get(index)
    if runs and any(run.worker == worker.info.worker for run in runs):
        return False
    limit = per_worker_limit(step.step)
    return not limit or runs_on(step, worker.info.worker) < limit


def per_worker_limit(step: Step) -> int:
    """Return how many tasks of a step may run on one worker, 0 for any number.

    A lasting step is spread over two workers at least, so that the loss of one
    does not take all of it.
    """
    if not step.is_lasting:
        return step.max_per_worker
    spread = math.ceil(step.count / LASTING_SPREAD)
    return min(spread, step.max_per_worker) if step.max_per_worker else spread


def _neighbours(step: ActiveStep, worker: WorkerView) -> int:
    """Return how many tasks a filler would disturb, or fillers would be beside."""
    if step.step.is_filler:
        return sum(1 for run in worker.runs.values() if run.room.processors > 0)
    return 0
