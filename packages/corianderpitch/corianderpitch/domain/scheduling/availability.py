"""How many tasks of a lasting step may be away at the same time by the holder's orders.

A lasting task is away unless it serves its users. A task may be stopped for a move only
while fewer others of its step are away, for any cause, than the step's budget allows. A
step without a budget allows a small share of its tasks.

A predecessor may have ordered a task to stop shortly before its role passed on. The
task is listed as serving until it has ended. A run that a predecessor has started
therefore counts as away until a report shows it at work after the time that a stop
takes.
"""

import math

from corianderpitch.domain.scheduling.progress import ActiveStep
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.workers import Run, RunState
from corianderpitch.domain.scheduling.workloads import Step

SERVING_PERCENT = 100.0
MIN_SERVING_SHARE = 7 / 8  # of the tasks of a lasting step without a budget
REPORT_LATENCY_MS = 100.0  # from the moment that a report shows until its arrival


def may_stop_lasting(scheduler: Scheduler, step: ActiveStep, run: Run) -> bool:
    """Return whether the budget of a lasting step allows to stop one of its runs."""
    away = _count_others_away(scheduler, step, run)
    return away < _unavailability_budget(step.step)


def is_serving(scheduler: Scheduler, run: Run) -> bool:
    """Return whether a run of a lasting task serves its users."""
    worker = scheduler.workers.get(run.worker)
    return (
        run.state is RunState.RUNNING
        and run.percent >= SERVING_PERCENT
        and worker is not None
        and not worker.is_silent
        and not _may_be_stopped(scheduler, run)
    )


def _may_be_stopped(scheduler: Scheduler, run: Run) -> bool:
    """Return whether a predecessor may have ordered a run to stop."""
    if not run.is_adopted:
        return False
    seen_ms = run.progress_ms if run.progress_ms is not None else -math.inf
    return seen_ms - run.state_since_ms < scheduler.term.stop_ms + REPORT_LATENCY_MS


def _unavailability_budget(step: Step) -> int:
    """Return how many tasks of a lasting step may be away at the same time."""
    if step.max_unavailable:
        return step.max_unavailable
    return max(1, math.floor((1.0 - MIN_SERVING_SHARE) * step.count))


def _count_others_away(scheduler: Scheduler, step: ActiveStep, moved: Run) -> int:
    """Return how many other tasks of a step do not serve, for any cause."""
    return sum(
        1
        for index in range(step.step.count)
        if index != moved.task.index
        and not any(is_serving(scheduler, run) for run in step.runs.get(index, ()))
    )
