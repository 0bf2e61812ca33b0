"""Runs on a worker whose process has started again under the same id.

The holder learns of the new process from the platform's list or from a report, and
later than the process answers its first orders. A start belongs to the process that
answered it, which the clock in the answer tells. One without an answer may belong to
either. What the new process runs, only a complete report of it tells that was requested
after the answers: until then such runs count as being at work.
"""

from corianderpitch.domain.scheduling.workers import (
    Run,
    StartState,
    WorkerReport,
    WorkerView,
)

RESTART_REPORT_WAIT_MS = 500.0  # an order and its answer take less


def runs_of_ended_process(
    worker: WorkerView, report: WorkerReport | None, requested_ms: float
) -> list[Run]:
    """Return the runs that have certainly ended with a worker's previous process.

    ``report`` is the first one of the new process, ``None`` if there is none yet, and
    was requested at ``requested_ms``. Starts that were not sent yet are among the
    result: they were planned for the previous process.
    """
    listed = report.run_keys if report is not None else frozenset()
    return [
        run
        for run in worker.runs.values()
        if run.key not in listed
        and (not _is_unattributed(run) or _is_refuted(run, report, requested_ms))
    ]


def attribute(worker: WorkerView, run: Run, clock_ms: float | None) -> bool:
    """Attribute a confirmed run to the process whose clock its answer shows.

    Returns whether that is another process than the one that has reported last. An
    answer that shows no clock leaves the run unattributed.
    """
    if run.is_attributed or clock_ms is None:
        return False
    is_other = run.incarnation != worker.incarnation or worker.shows_other_process(
        clock_ms, run.ordered_ms
    )
    run.is_attributed = not is_other
    return is_other


def unsent_starts(worker: WorkerView) -> list[Run]:
    """Return the runs whose start orders were not sent yet."""
    return [run for run in worker.runs.values() if run.is_unsent]


def runs_from_before(worker: WorkerView, since_ms: float | None) -> list[Run]:
    """Return the runs that no process can have begun since a time, or at all.

    The others are a sent start that is unanswered yet, and one that was answered since
    by a process that is not known. Without ``since_ms`` all runs count as older.
    """
    if since_ms is None:
        return list(worker.runs.values())
    return [run for run in worker.runs.values() if not _is_newer(run, since_ms)]


def _is_newer(run: Run, since_ms: float) -> bool:
    if not _is_unattributed(run) or run.start is StartState.UNANSWERED:
        return False
    return run.start is StartState.SENT or run.state_since_ms >= since_ms


def is_restart_overdue(worker: WorkerView, now_ms: float) -> bool:
    """Return whether a new process has sent no report for long; it is cut off."""
    since_ms = worker.restarted_ms
    return since_ms is not None and now_ms - since_ms >= RESTART_REPORT_WAIT_MS


def _is_unattributed(run: Run) -> bool:
    return not run.is_attributed and not run.is_unsent


def _is_refuted(run: Run, report: WorkerReport | None, requested_ms: float) -> bool:
    """Return whether the report of a new process that lacks a run shows its end.

    A start without an answer may still be carried out late.
    """
    if report is None or not report.is_complete:
        return False
    if run.start is not StartState.CONFIRMED:
        return False
    return requested_ms >= run.state_since_ms
