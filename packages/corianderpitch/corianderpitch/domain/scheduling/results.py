"""What the results of orders change.

A start that was answered has begun, one that was refused waits again, and one without
an answer may have begun. A stop may have had an effect. A refused fence may show that
another holder has taken over.
"""

from typing import TYPE_CHECKING

from corianderpitch.domain.scheduling.orders import (
    LossCause,
    Order,
    OrderResult,
    PaceRun,
    StartRun,
    StopRun,
)
from corianderpitch.domain.scheduling.restarts import attribute
from corianderpitch.domain.scheduling.unanswered import confirm_start, give_up_answer
from corianderpitch.domain.scheduling.workers import (
    Run,
    RunState,
    StartState,
    WorkerView,
)
from corianderpitch.ids import WorkerId

if TYPE_CHECKING:
    from corianderpitch.domain.scheduling.scheduler import Scheduler

BACKOFF_AFTER_REFUSAL_MS = 100.0
BACKOFF_AFTER_ERROR_MS = 1000.0


def apply_result(
    scheduler: "Scheduler",
    order: Order,
    result: OrderResult,
    now_ms: float,
    clock_ms: float | None,
) -> None:
    """Apply the result of an order; ``clock_ms`` is the worker's, if it is known."""
    worker = scheduler.workers.get(order.worker)
    if worker is not None and result.is_answer:
        worker.heard_ms = now_ms
    if isinstance(order, StopRun):
        _apply_stop_result(scheduler, order, result)
    match order:
        case StartRun():
            _apply_start_result(scheduler, order, result, now_ms, clock_ms)
        case PaceRun() if result is OrderResult.DONE:
            _apply_pace(scheduler, order)
        case StopRun() | PaceRun() if result is OrderResult.SUPERSEDED:
            _check_superseded(scheduler, order.worker, order.fence)


def _apply_stop_result(
    scheduler: "Scheduler", order: StopRun, result: OrderResult
) -> None:
    """Apply the result of a stop: a lasting run serves on if it had no effect.

    Before the run is stopped again, the budget of unavailable tasks is checked.
    """
    _, run = scheduler.find_run(order)
    _, step = scheduler.find_step(order.task)
    if run is None or step is None:
        return
    if result not in (OrderResult.UNHEALTHY, OrderResult.NOT_SENT):
        run.may_have_stopped = True
    if step.step.is_lasting:
        run.state = RunState.STOPPING if run.may_have_stopped else run.state_before_stop


def _apply_start_result(
    scheduler: "Scheduler",
    order: StartRun,
    result: OrderResult,
    now_ms: float,
    clock_ms: float | None,
) -> None:
    worker, run = scheduler.find_run(order)
    if worker is None or run is None:
        return
    match result:
        case OrderResult.DONE:
            if run.state is RunState.STARTING:
                scheduler.mark_begun(order.task.job_id)
            confirm_start(run, now_ms)
            run.state_since_ms = now_ms
            _attribute(scheduler, worker, run, clock_ms, now_ms)
            return
        case OrderResult.NO_ANSWER:
            if give_up_answer(run, now_ms):
                scheduler.raise_fence(worker)
                scheduler.request_report(order.worker)
            return
        case OrderResult.SUPERSEDED:
            _check_superseded(scheduler, order.worker, order.fence)
        case OrderResult.NOT_ALLOWED:
            _drop_ticket(scheduler, order)
        case OrderResult.WITHDRAWN:
            pass  # the worker was not asked
        case OrderResult.NO_ROOM:
            worker.backoff_until_ms = now_ms + BACKOFF_AFTER_REFUSAL_MS
        case _:
            worker.backoff_until_ms = now_ms + BACKOFF_AFTER_ERROR_MS
    if run.start is not StartState.CONFIRMED:
        scheduler.mark_run_lost(worker, run, LossCause.NOT_STARTED)


def _attribute(
    scheduler: "Scheduler",
    worker: WorkerView,
    run: Run,
    clock_ms: float | None,
    now_ms: float,
) -> None:
    """Attribute a confirmed run to the process whose clock its answer shows."""
    is_other = attribute(worker, run, clock_ms)
    if not run.is_attributed:
        worker.stray_leases_end_ms = now_ms + scheduler.term.max_lease_ms
    if is_other:
        scheduler.note_restart(worker, now_ms)


def _apply_pace(scheduler: "Scheduler", order: PaceRun) -> None:
    _, run = scheduler.find_run(order)
    if run is not None:
        run.pace_percent = order.percent


def _drop_ticket(scheduler: "Scheduler", order: StartRun) -> None:
    """Drop a ticket that a worker has refused, so that a new one is requested."""
    _, step = scheduler.find_step(order.task)
    if step is not None:
        step.tickets.pop(order.worker, None)


def _check_superseded(scheduler: "Scheduler", worker_id: WorkerId, fence: int) -> None:
    """Detect from a refused fence number that another holder has taken over.

    A refusal of an outdated fence number is no sign of a takeover.
    """
    if worker_id in scheduler.workers and fence == scheduler.fence_of(worker_id):
        scheduler.is_superseded = True
