"""Choice of a worker for a task."""

from collections.abc import Iterable

from corianderpitch.domain.scheduling.progress import ActiveStep
from corianderpitch.domain.scheduling.workers import WorkerView
from corianderpitch.ids import WorkerId

FAILURES_TO_REST = 2


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

    Workers near the task's data come first, then those with the most
    processors left, so that no worker is a hot spot. A filler goes where the
    fewest tasks are that serve users. ``avoided`` lists workers that the task
    has failed on; they are taken only where no other would do.
    """
    best: WorkerView | None = None
    best_rank: tuple[float, ...] = ()
    room = step.step.room
    for worker in workers:
        if not room.fits_in(worker.free):
            continue
        if not _is_allowed(step, index, worker):
            continue
        rank = (
            worker.info.worker not in avoided,
            not step.step.data_rack or step.step.data_rack in worker.info.labels,
            -_neighbours(step, worker),
            worker.free.processors,
        )
        if best is None or rank > best_rank:
            best, best_rank = worker, rank
    return best


def _is_allowed(step: ActiveStep, index: int, worker: WorkerView) -> bool:
    if step.step.label and step.step.label not in worker.info.labels:
        return False
    if any(run.worker == worker.info.worker for run in step.runs.get(index, ())):
        return False
    limit = step.step.max_per_worker
    return not limit or runs_on(step, worker.info.worker) < limit


def _neighbours(step: ActiveStep, worker: WorkerView) -> int:
    """Return how many tasks a filler would disturb, or fillers would be beside."""
    if step.step.is_filler:
        return sum(1 for run in worker.runs.values() if run.room.processors > 0)
    return 0
