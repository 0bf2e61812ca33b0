"""Gangs: tasks that work only together, and so must agree.

All members have the number of one start, and start from one checkpoint. They work from
the moment when all are there. A gang that lacks a member because its start was refused,
its worker has crashed, or a predecessor did not get to it, would wait in vain: it is
stopped and started again as a whole.
"""

from collections.abc import Iterable, Sequence

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.placing import (
    MAX_RUNS_OF_WORKER,
    choose_worker,
    has_label,
)
from corianderpitch.domain.scheduling.progress import (
    MAX_OPEN_TASKS,
    ActiveJob,
    ActiveStep,
)
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.workers import WorkerView


def stop_incomplete_gang(scheduler: Scheduler, step: ActiveStep, now_ms: float) -> None:
    """Stop the members of a gang of which others must be started again."""
    if not step.pending:
        return
    for runs in step.runs.values():
        for run in runs:
            scheduler.stop(run, now_ms)


def start_gang(
    scheduler: Scheduler,
    job: ActiveJob,
    step: ActiveStep,
    workers: list[WorkerView],
    now_ms: float,
) -> None:
    """Start all tasks of a gang under one number and from one checkpoint, or none.

    If the step asks for a single rack, each rack is tried alone before all workers
    are tried together.
    """
    if step.runs or step.step.count > MAX_OPEN_TASKS:
        return
    team, shape = job.workload.team, step.step.shape
    if not scheduler.usage.admits(team, shape, step.step.count):
        return
    for group in gang_groups(step, workers):
        if gang_fits(step, group):
            number = scheduler.next_run_number()
            for index in step.pending:
                worker = choose_worker(step, index, group, frozenset())
                scheduler.start(job, step, index, worker, now_ms, number)
            return


def gang_groups(
    step: ActiveStep, workers: Sequence[WorkerView]
) -> list[list[WorkerView]]:
    """Return the groups of workers to try for a gang, in order."""
    groups = [list(workers)]
    if step.step.needs_same_rack or step.step.data_rack:
        racks = sorted({worker.info.labels[1:] for worker in workers})
        by_rack = [[w for w in workers if w.info.labels[1:] == r] for r in racks]
        groups = by_rack + groups
    return groups


def gang_fits(step: ActiveStep, workers: Iterable[WorkerView]) -> bool:
    """Return whether all tasks of a gang fit on the workers together."""
    limit = step.step.max_per_worker or step.step.count
    missing = step.step.count
    for worker in workers:
        if not has_label(step, worker):
            continue
        most = min(limit, missing, MAX_RUNS_OF_WORKER - len(worker.runs))
        missing -= _tasks_that_fit(step.step.reservation, worker.free, most)
        if missing <= 0:
            return True
    return False


def _tasks_that_fit(reservation: Shape, free: Shape, limit: int) -> int:
    """Return how many reservations of a size fit into the free capacity.

    They are subtracted one by one, as their starts do: a division may round to one
    more than that.
    """
    count = 0
    while count < limit and reservation.fits_in(free):
        free = free.minus(reservation)
        count += 1
    return count
