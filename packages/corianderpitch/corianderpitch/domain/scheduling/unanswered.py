"""Starts of which it is not known whether they were, or will be, carried out.

A worker may carry out an order seconds after the call was given up. What has become of
the order to start a run (``StartState``) is therefore kept apart from what is wanted of
the run (``RunState``): a run that is to stop, because its gang is broken, its job has
ended or its worker is evacuated, may still begin. A report that lacks it proves nothing
until its start was answered, or until the worker refuses that start: an order without
an answer raises the worker's fence, and a report that was requested with the higher
fence makes the worker refuse all earlier orders. The next holder of the role begins
with a higher fence, and waits for a report of each worker that may have got orders.
"""

from corianderpitch.domain.scheduling.workers import (
    Run,
    RunState,
    StartState,
    WorkerView,
)


def confirm_start(run: Run, now_ms: float) -> None:
    """Note that a worker has confirmed the start of a run, by an answer or a report.

    Reports that were requested earlier may lack the run.
    """
    if run.start is StartState.CONFIRMED:
        return
    run.start = StartState.CONFIRMED
    run.state_since_ms = now_ms
    if run.state is RunState.STARTING:
        run.state = RunState.RUNNING
        run.begun_ms = now_ms


def give_up_answer(run: Run, now_ms: float) -> bool:
    """Note that the order to start a run got no answer; it may be carried out late.

    Returns ``False`` if the worker has confirmed the start in another way.
    """
    if run.start is StartState.CONFIRMED:
        return False
    run.start = StartState.UNANSWERED
    run.state_since_ms = now_ms
    return True


def is_certainly_missing(
    worker: WorkerView, run: Run, requested_ms: float, first_fence: int
) -> bool:
    """Return whether a run that a report of its worker lacks is lost for sure.

    ``requested_ms`` is the time at which the report was requested, and ``first_fence``
    the lowest fence number of the term.
    """
    match run.start:
        case StartState.PLANNED:
            return run.state is RunState.STOPPING  # its start will not be sent
        case StartState.SENT:
            return False
        case StartState.UNANSWERED:
            is_refused = worker.fence_increment > run.fence - first_fence
            return is_refused and requested_ms >= run.state_since_ms
        case StartState.CONFIRMED:
            return requested_ms >= run.state_since_ms
