"""Runs as a holder plans them, and as it adopts those of its predecessors."""

from corianderpitch.domain.scheduling.orders import StartRun
from corianderpitch.domain.scheduling.progress import ActiveJob, ActiveStep
from corianderpitch.domain.scheduling.workers import (
    FULL_PERCENT,
    ReportedRun,
    Run,
    RunState,
    StartState,
    WorkerView,
)
from corianderpitch.domain.scheduling.workloads import TaskRef

# The predecessor may have stopped the filler altogether, and reports do not show it.
ADOPTED_FILLER_PERCENT = 30


def planned_run(
    job: ActiveJob,
    step: ActiveStep,
    index: int,
    number: int,
    worker: WorkerView,
    fence: int,
    now_ms: float,
) -> Run:
    """Return a new run of a task, whose start was not ordered yet."""
    return Run(
        TaskRef(job.job_id, step.occurrence, step.number, index),
        number,
        worker.info.worker,
        step.step.reservation,
        fence,
        RunState.STARTING,
        now_ms,
        incarnation=worker.incarnation or "",
        ordered_ms=now_ms,
        team=job.workload.team,
        usage=step.step.shape,
        was_resumed=bool(step.checkpoint_of(index)),
    )


def start_order(job: ActiveJob, step: ActiveStep, run: Run) -> StartRun:
    """Return the order to start a run, which its step does not count as open yet."""
    index = run.task.index
    return StartRun(
        run.worker,
        run.task,
        run.number,
        job.workload.text,
        step.checkpoint_of(index),
        run.fence,
        step.ticket_for(run.worker),
        is_repeat=index in step.open,
    )


def adopted_run(
    job: ActiveJob,
    step: ActiveStep,
    reported: ReportedRun,
    worker: WorkerView,
    fence: int,
    now_ms: float,
) -> Run:
    """Return a run that a predecessor has started, and that is kept."""
    return Run(
        reported.task,
        reported.number,
        worker.info.worker,
        step.step.reservation,
        fence,
        RunState.RUNNING,
        now_ms,
        reported.percent,
        reported.load,
        ADOPTED_FILLER_PERCENT if step.step.is_filler else FULL_PERCENT,
        incarnation=worker.incarnation or "",
        start=StartState.CONFIRMED,
        is_attributed=True,
        team=job.workload.team,
        usage=step.step.shape,
    )


def may_adopt(step: ActiveStep, reported: ReportedRun) -> bool:
    """Return whether a run that a predecessor has started is to be kept.

    The members of a gang have one number: others would wait for each other.
    """
    index = reported.task.index
    if step.step.is_gang and step.runs:
        numbers = {run.number for runs in step.runs.values() for run in runs}
        if numbers != {reported.number}:
            return False
    is_free = index not in step.done and not step.runs.get(index)
    return is_free or (step.step.is_speculative and index not in step.done)
