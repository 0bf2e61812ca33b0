"""Evacuation of workers that are draining or due for maintenance.

A task that cannot save its progress runs to its end. A task that saves its progress
is stopped with a checkpoint as soon as it fits on another worker. A lasting task is
moved only as far as its step's budget of unavailable tasks allows.
"""

from collections.abc import Iterable

from corianderpitch.domain.scheduling.availability import may_stop_lasting
from corianderpitch.domain.scheduling.placing import choose_worker, is_schedulable
from corianderpitch.domain.scheduling.progress import ActiveJob, ActiveStep
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.workers import Run, RunState, WorkerView


def evacuate(scheduler: Scheduler, now_ms: float) -> None:
    """Order the stops that are due on workers to be evacuated."""
    for worker in scheduler.workers.values():
        if not worker.runs or not _must_be_emptied(worker):
            continue
        others = [
            other
            for other in scheduler.workers.values()
            if other.info.service == worker.info.service
            and is_schedulable(other, now_ms)
        ]
        for run in list(worker.runs.values()):
            job, step = scheduler.find_step(run.task)
            if step is not None and _may_move(scheduler, job, step, run, others):
                scheduler.stop(run, now_ms)


def _must_be_emptied(worker: WorkerView) -> bool:
    return worker.is_evacuating or worker.draining_since_ms is not None


def _may_move(
    scheduler: Scheduler,
    job: ActiveJob,
    step: ActiveStep,
    run: Run,
    others: Iterable[WorkerView],
) -> bool:
    """Return whether a run may be stopped now, and continued on another worker."""
    if run.state is RunState.STOPPING:
        return True  # the order is repeated until the end is listed
    if run.state is not RunState.RUNNING:
        return False
    if not (step.step.is_lasting or step.step.saves_progress) or step.step.is_gang:
        return False
    if step.step.is_lasting and not may_stop_lasting(scheduler, step, run):
        return False
    return choose_worker(step, run.task.index, others, frozenset()) is not None
