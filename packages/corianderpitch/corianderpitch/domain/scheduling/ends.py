"""Ends of runs in the reports of a worker, each of which counts once."""

from collections.abc import Callable, Iterable, Iterator

from corianderpitch.domain.scheduling.workers import ReportedEnd, WorkerView
from corianderpitch.ids import JobId


def new_ends(
    worker: WorkerView,
    ends: Iterable[ReportedEnd],
    may_be_unread: Callable[[JobId], bool],
) -> Iterator[ReportedEnd]:
    """Return the ends that are new, and note them as processed.

    An end of a job that is not read yet is left for later. The worker lists it again,
    together with all later ends. The later ends are still returned at once: otherwise
    their runs, which are missing from the report, would count as lost.
    """
    worker.has_unread_ends = False
    for end in sorted(ends, key=lambda e: e.sequence):
        if end.sequence <= worker.processed_sequence:
            continue
        if may_be_unread(end.task.job_id):
            worker.has_unread_ends = True
            continue
        if end.sequence not in worker.processed_ahead:
            yield end
        if worker.has_unread_ends:
            worker.processed_ahead.add(end.sequence)
        else:
            worker.processed_ahead.discard(end.sequence)
            worker.processed_sequence = end.sequence
