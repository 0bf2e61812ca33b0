"""Moving tasks off workers that are leaving or are to be maintained.

A task that cannot save its progress is left to finish. One that saves it is
stopped with its checkpoint as soon as another worker has room. A lasting task
is moved only while all others of its step are at work, and one at a time, so
that a step never loses more than its budget.
"""

from collections.abc import Iterable

from corianderpitch.domain.scheduling.placing import choose_worker, is_usable
from corianderpitch.domain.scheduling.progress import ActiveJob, ActiveStep
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.workers import Run, RunState, WorkerView

AT_WORK_PERCENT = 100.0


def evacuate(scheduler: Scheduler, now_ms: float) -> None:
    """Order the stops that are due on workers that must be emptied."""
    for worker in scheduler.workers.values():
        if not worker.runs or not _must_be_emptied(worker):
            continue
        others = [
            other
            for other in scheduler.workers.values()
            if other.info.service == worker.info.service and is_usable(other, now_ms)
        ]
        for run in list(worker.runs.values()):
            job = scheduler.jobs.get(run.task.job_id)
            step = job.find(run.task) if job is not None else None
            if step is not None and _may_move(scheduler, job, step, run, others):
                scheduler.stop(run, now_ms)


def _must_be_emptied(worker: WorkerView) -> bool:
    return worker.is_evacuated or worker.draining_since_ms is not None


def _may_move(
    scheduler: Scheduler,
    job: ActiveJob,
    step: ActiveStep,
    run: Run,
    others: Iterable[WorkerView],
) -> bool:
    """Tell whether a run may be stopped now, to go on elsewhere."""
    if run.state is RunState.STOPPING:
        return True  # the order is repeated until the end is listed
    if run.state is not RunState.RUNNING:
        return False
    if not (step.step.is_lasting or step.step.saves_progress) or step.step.is_gang:
        return False
    if step.step.is_lasting and not _all_others_at_work(scheduler, step, run):
        return False
    return choose_worker(step, run.task.index, others, frozenset()) is not None


def _all_others_at_work(scheduler: Scheduler, step: ActiveStep, moved: Run) -> bool:
    for index in range(step.step.count):
        if index == moved.task.index:
            continue
        if not any(is_at_work(scheduler, run) for run in step.runs.get(index, ())):
            return False
    return True


def is_at_work(scheduler: Scheduler, run: Run) -> bool:
    """Tell whether a run of a lasting task serves its users."""
    worker = scheduler.workers.get(run.worker)
    return (
        run.state is RunState.RUNNING
        and run.percent >= AT_WORK_PERCENT
        and worker is not None
        and not worker.is_silent
    )
