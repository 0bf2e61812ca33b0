"""Throttling of fillers that harm user-serving tasks on the same worker.

Fillers use the processors that other tasks leave idle. This raises the tail latency
of serving tasks on the same worker, by amounts that change within seconds. A tail
latency over its target first slows the fillers down to ``SLOWED_PERCENT``, and then
stops them. A tail latency well below its target lets them speed up in steps
(additive increase, multiplicative decrease).
"""

from collections.abc import Iterable

from corianderpitch.domain.scheduling.orders import PaceRun
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.workers import (
    FULL_PERCENT,
    Run,
    RunState,
    WorkerView,
)

SLOWED_PERCENT = 30
STEP_PERCENT = 10
SPEED_UP_SHARE = 0.8  # of the target; fillers speed up below it
TAIL_LATENCY_DELAY_MS = 600.0  # tails cover 500 ms, and are reported a little later


def pace_fillers(scheduler: Scheduler, now_ms: float) -> list[PaceRun]:
    """Return the orders that are due, and record the time of each in its run."""
    orders: list[PaceRun] = []
    if not scheduler.filler_jobs:
        return orders
    for worker in scheduler.workers.values():
        fillers = [run for run in worker.runs.values() if _is_filler(scheduler, run)]
        if not fillers or worker.is_silent:
            continue
        latency_ratio = _worst_latency_ratio(scheduler, worker)
        for run in fillers:
            percent = _next_percent(run.pace_percent, latency_ratio)
            is_fresh = worker.clock_received_ms >= run.paced_ms + TAIL_LATENCY_DELAY_MS
            if percent == run.pace_percent or not is_fresh:
                continue
            run.paced_ms = now_ms
            fence = scheduler.fence_of(worker.info.worker)
            orders.append(
                PaceRun(worker.info.worker, run.task, run.number, percent, fence)
            )
    return orders


def needs_frequent_reports(scheduler: Scheduler, worker: WorkerView) -> bool:
    """Return whether a worker has both fillers and tasks that serve users."""
    runs = worker.runs.values() if scheduler.filler_jobs else ()
    return any(_is_filler(scheduler, run) for run in runs) and any(
        _target_ms(scheduler, run) for run in runs
    )


def _next_percent(percent: int, latency_ratio: float) -> int:
    if latency_ratio > 1.0:
        return SLOWED_PERCENT if percent > SLOWED_PERCENT else 0
    if latency_ratio < SPEED_UP_SHARE:
        return min(FULL_PERCENT, percent + STEP_PERCENT)
    return percent


def _worst_latency_ratio(scheduler: Scheduler, worker: WorkerView) -> float:
    """Return the worst tail latency on a worker, as a share of its target."""
    return max(_latency_ratios(scheduler, worker.runs.values()), default=0.0)


def _latency_ratios(scheduler: Scheduler, runs: Iterable[Run]) -> Iterable[float]:
    for run in runs:
        target_ms = _target_ms(scheduler, run)
        if target_ms:
            yield run.load / target_ms


def _target_ms(scheduler: Scheduler, run: Run) -> float:
    _, step = scheduler.find_step(run.task)
    return step.step.target_ms if step is not None else 0.0


def _is_filler(scheduler: Scheduler, run: Run) -> bool:
    _, step = scheduler.find_step(run.task)
    return step is not None and step.step.is_filler and run.state is RunState.RUNNING
