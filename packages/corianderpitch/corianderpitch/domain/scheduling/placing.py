"""Placement: the choice of a worker for a task."""

from collections.abc import Iterable

from corianderpitch.domain.scheduling.progress import ActiveStep
from corianderpitch.domain.scheduling.workers import WorkerView
from corianderpitch.ids import WorkerId

MAX_RUNS_OF_WORKER = 500  # tasks may reserve next to nothing
RACK_CHECK_MS = 500.0  # until all workers of a rack have answered or are silent


def is_schedulable(
    worker: WorkerView, now_ms: float, guards_capacity: bool = False
) -> bool:
    """Return whether new tasks may be started on a worker.

    Its label, capacity and service must be those of the process that has sent the last
    report: after a restart its kind may be another one. A worker that does not guard
    its capacity, and would start whatever it is told to, gets none while the
    reservations of some of its runs are unknown.
    """
    return (
        worker.is_in_service
        and worker.is_recorded
        and worker.incarnation == worker.info.incarnation
        and worker.restarted_ms is None
        and (guards_capacity or not worker.has_unknown_reservations)
        and now_ms >= worker.backoff_until_ms
    )


def workers_in_doubt(workers: Iterable[WorkerView], now_ms: float) -> set[WorkerId]:
    """Return the workers that may be down with another one in their rack.

    They have not answered since that one fell silent. One whose end is planned says
    nothing about the others.
    """
    silent_since_ms: dict[tuple[str, ...], float] = {}
    others: list[WorkerView] = []
    for worker in workers:
        if not worker.is_silent:
            others.append(worker)
        elif worker.silent_since_ms is not None and not worker.is_leaving:
            rack = worker.info.rack
            latest_ms = max(worker.silent_since_ms, silent_since_ms.get(rack, 0.0))
            silent_since_ms[rack] = latest_ms
    return {
        worker.info.worker
        for worker in others
        if (since_ms := silent_since_ms.get(worker.info.rack)) is not None
        and worker.heard_ms < since_ms
        and now_ms < since_ms + RACK_CHECK_MS
    }


def count_runs_on(step: ActiveStep, worker: WorkerId) -> int:
    """Return how many tasks of a step run on a worker."""
    return sum(1 for runs in step.runs.values() for run in runs if run.worker == worker)


def choose_worker(
    step: ActiveStep,
    index: int,
    workers: Iterable[WorkerView],
    avoided: frozenset[WorkerId],
) -> WorkerView | None:
    """Return the best worker for a task, ``None`` if none fits now.

    Workers in the rack of the task's data come first, then the fullest ones with
    enough free capacity (best fit): other workers become idle, and large tasks still
    fit there. A filler is placed next to the fewest tasks that reserve processors.
    ``avoided`` lists workers on which the task has failed. They are chosen only
    if no other worker fits.
    """
    ranked = rank_workers(step, workers)
    fitting = [w for w in ranked if can_run(step, index, w)]
    preferred = (w for w in fitting if w.info.worker not in avoided)
    return next(preferred, fitting[0] if fitting else None)


def rank_workers(step: ActiveStep, workers: Iterable[WorkerView]) -> list[WorkerView]:
    """Return the workers with enough free capacity for a task, best first.

    A worker on which a task of the step is placed moves towards the front, so the
    order stays valid for the step's next task.
    """
    fits_in = step.step.reservation.fits_in
    fitting = [
        worker
        for worker in workers
        if fits_in(worker.free)
        and has_label(step, worker)
        and len(worker.runs) < MAX_RUNS_OF_WORKER
    ]
    fitting.sort(key=lambda worker: _rank(step, worker))
    return fitting


def _rank(step: ActiveStep, worker: WorkerView) -> tuple[bool, int, float]:
    data_rack = step.step.data_rack
    is_remote = bool(data_rack) and data_rack not in worker.info.labels
    return (is_remote, _interference(step, worker), worker.free.processors)


def can_run(step: ActiveStep, index: int, worker: WorkerView) -> bool:
    """Return whether a task of a step fits on a worker that has the step's label."""
    if not step.step.reservation.fits_in(worker.free):
        return False
    if len(worker.runs) >= MAX_RUNS_OF_WORKER:
        return False
    runs = step.runs.get(index)
    if runs and any(run.worker == worker.info.worker for run in runs):
        return False
    limit = step.step.max_per_worker
    return not limit or count_runs_on(step, worker.info.worker) < limit


def has_label(step: ActiveStep, worker: WorkerView) -> bool:
    """Return whether a worker has the label that a step requires, if any."""
    return not step.step.label or step.step.label in worker.info.labels


def _interference(step: ActiveStep, worker: WorkerView) -> int:
    """Return how many tasks with reserved processors a filler would slow down.

    The result is 0 for a step that is no filler.
    """
    if step.step.is_filler:
        return sum(1 for run in worker.runs.values() if run.reservation.processors > 0)
    return 0
