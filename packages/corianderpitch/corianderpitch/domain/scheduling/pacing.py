"""Slowing fillers down that harm the tasks that serve users beside them.

The load it answers: fillers use the processors that others leave idle, and so
lengthen the tail latency of serving tasks on the same worker, by amounts that
change within seconds. A tail over its target slows the fillers down to a third,
then stops them; a tail well below it lets them speed up step by step (additive
increase, multiplicative decrease).
"""

from collections.abc import Iterable

from corianderpitch.domain.scheduling.orders import PaceRun
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.workers import Run, RunState, WorkerView

FULL_PERCENT = 100
SLOWED_PERCENT = 30
STEP_PERCENT = 10
EASY_SHARE = 0.8  # of the target, below which fillers may speed up
FIGURE_MS = 600.0  # a tail is over the last half second, and listed a little later


def pace_fillers(scheduler: Scheduler, now_ms: float) -> list[PaceRun]:
    """Return the orders that are due, and note them at the runs."""
    orders: list[PaceRun] = []
    if not scheduler.filler_jobs:
        return orders
    for worker in scheduler.workers.values():
        fillers = [run for run in worker.runs.values() if _is_filler(scheduler, run)]
        if not fillers or worker.is_silent:
            continue
        strain = _strain(scheduler, worker)
        for run in fillers:
            percent = _next_percent(run.pace_percent, strain)
            is_fresh = worker.clock_at_ms >= run.paced_ms + FIGURE_MS
            if percent == run.pace_percent or not is_fresh:
                continue
            run.paced_ms = now_ms
            fence = scheduler.fence_of(worker.info.worker)
            orders.append(
                PaceRun(worker.info.worker, run.task, run.number, percent, fence)
            )
    return orders


def needs_watching(scheduler: Scheduler, worker: WorkerView) -> bool:
    """Tell whether a worker has fillers beside tasks that serve users."""
    runs = worker.runs.values() if scheduler.filler_jobs else ()
    return any(_is_filler(scheduler, run) for run in runs) and any(
        _target_ms(scheduler, run) for run in runs
    )


def _next_percent(percent: int, strain: float) -> int:
    if strain > 1.0:
        return SLOWED_PERCENT if percent > SLOWED_PERCENT else 0
    if strain < EASY_SHARE:
        return min(FULL_PERCENT, percent + STEP_PERCENT)
    return percent


def _strain(scheduler: Scheduler, worker: WorkerView) -> float:
    """Return the worst tail on a worker, as a share of its target."""
    return max(_strains(scheduler, worker.runs.values()), default=0.0)


def _strains(scheduler: Scheduler, runs: Iterable[Run]) -> Iterable[float]:
    for run in runs:
        target_ms = _target_ms(scheduler, run)
        if target_ms:
            yield run.load / target_ms


def _target_ms(scheduler: Scheduler, run: Run) -> float:
    job = scheduler.jobs.get(run.task.job_id)
    step = job.find(run.task) if job is not None else None
    return step.step.target_ms if step is not None else 0.0


def _is_filler(scheduler: Scheduler, run: Run) -> bool:
    job = scheduler.jobs.get(run.task.job_id)
    step = job.find(run.task) if job is not None else None
    return step is not None and step.step.is_filler and run.state is RunState.RUNNING
