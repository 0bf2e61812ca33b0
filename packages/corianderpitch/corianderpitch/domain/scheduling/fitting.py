"""Which steps of a job a planning round tries, so that a round stays short.

Callers choose how many steps wait at once, and what each of them requires. A round
tries a bounded number of steps of a job, and looks at the workers once for all steps
that require the same.
"""

from collections.abc import Collection, Iterable

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.placing import has_label
from corianderpitch.domain.scheduling.progress import ActiveJob, ActiveStep
from corianderpitch.domain.scheduling.shares import has_headroom
from corianderpitch.domain.scheduling.workers import WorkerView

MAX_STEPS_PER_ROUND = 100  # of a job


class RoundFits:
    """What no worker of a service has room for in this round.

    During a round the workers only get fuller, so that what did not fit once does not
    fit later.
    """

    def __init__(self):
        self._unfit: set[tuple[Shape, str]] = set()
        self._is_crowded = False

    def has_headroom(self, workers: Collection[WorkerView]) -> bool:
        """Return whether there is room for jobs beyond their team's share."""
        self._is_crowded = self._is_crowded or not has_headroom(workers)
        return not self._is_crowded

    def may_fit(self, step: ActiveStep, workers: Iterable[WorkerView]) -> bool:
        """Return whether some worker has room, and the label, for a task of a step."""
        reservation = step.step.reservation
        key = (reservation, step.step.label)
        if key in self._unfit:
            return False
        for worker in workers:
            if has_label(step, worker) and reservation.fits_in(worker.free):
                return True
        self._unfit.add(key)
        return False


def steps_to_try(job: ActiveJob, wall_ms: float) -> list[ActiveStep]:
    """Return the ready steps for a round, others in each round if there are many."""
    ready = list(job.ready_steps(wall_ms))
    if len(ready) <= MAX_STEPS_PER_ROUND:
        return ready
    first = job.next_ready_step % len(ready)
    job.next_ready_step = first + MAX_STEPS_PER_ROUND
    return (ready[first:] + ready[:first])[:MAX_STEPS_PER_ROUND]
