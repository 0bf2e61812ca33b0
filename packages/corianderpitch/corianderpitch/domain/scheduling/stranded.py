"""Tasks that need a place which their pool's load alone does not show.

A pool is sized for the sum of its tasks' reservations. That is not enough for a task
which no worker of the pool can take: lasting tasks of different sizes do not fill the
workers, a worker that is to be emptied takes none, and a step may require a label that
no worker of its pool has. Such tasks would wait without end.

``find_places`` puts them on the pool's workers one by one, as a planning round would.
It tells which idle workers must stay for them, and how many more are missing.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Set
from dataclasses import dataclass, field

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.placing import has_label
from corianderpitch.domain.scheduling.progress import ActiveJob, ActiveStep
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.workers import WorkerView
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import ServiceName, WorkerId

MAX_PLACED_TASKS = 500  # of a pool in a round; more wait than can soon be helped

StepKey = tuple[str, int, int]  # a job, an occurrence and the number of a step


@dataclass(frozen=True, slots=True)
class Places:
    """Workers that a pool needs for its stranded tasks.

    ``kept`` are workers of the pool that are idle and must stay. ``missing`` counts the
    workers that must be added by the label that each must have, empty for any.
    """

    kept: frozenset[WorkerId] = frozenset()
    missing: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class _Room:
    """What is free on a worker, or would be on one that is added.

    ``worker`` is ``None`` for one that is added. Such a worker has the ``label`` of the
    step for which it was added. ``is_taken`` tells that a task was placed here.
    """

    free: Shape
    worker: WorkerView | None = None
    label: str = ""
    tasks: Counter[StepKey] = field(default_factory=Counter)
    is_taken: bool = False

    def can_take(self, step: ActiveStep, key: StepKey) -> bool:
        """Return whether one more task of a step can be placed here."""
        limit = step.step.max_per_worker
        if limit and self.tasks[key] >= limit:
            return False
        if not step.step.reservation.fits_in(self.free):
            return False
        if self.worker is not None:
            return has_label(step, self.worker)
        return step.step.label in ("", self.label)

    def take(self, step: Step, key: StepKey) -> None:
        """Place one task of a step here."""
        self.tasks[key] += 1
        self.free = self.free.minus(step.reservation)
        self.is_taken = True


def find_places(
    scheduler: Scheduler, capacities: dict[ServiceName, Shape], wall_ms: float
) -> dict[ServiceName, Places]:
    """Return the places for stranded tasks of each pool that has some.

    ``capacities`` are those of a worker that is added to a pool.
    """
    labels = _labels_of_pools(scheduler)
    rooms: dict[ServiceName, list[_Room]] = {}
    left: dict[ServiceName, int] = defaultdict(lambda: MAX_PLACED_TASKS)
    for job in scheduler.jobs.values():
        queue = scheduler.queues.get(job.workload.queue)
        service = queue.service if queue is not None else None
        if service not in capacities or not left[service]:
            continue
        capacity = capacities[service]
        for step, stranded in _stranded_steps(scheduler, job, labels[service], wall_ms):
            if not step.step.reservation.fits_in(capacity):
                continue
            if service not in rooms:
                rooms[service] = _rooms_of(scheduler, service)
            count = min(stranded, left[service])
            left[service] -= count
            _place(step, count, rooms[service], capacity, _key(job, step))
    return {service: _places(of_pool) for service, of_pool in rooms.items()}


def _labels_of_pools(scheduler: Scheduler) -> dict[ServiceName, set[str]]:
    """Return the labels that some worker in service of each pool has."""
    labels: dict[ServiceName, set[str]] = defaultdict(set)
    for worker in scheduler.workers.values():
        if worker.is_in_service:
            labels[worker.info.service].update(worker.info.labels)
    return labels


def _stranded_steps(
    scheduler: Scheduler, job: ActiveJob, labels: Set[str], wall_ms: float
) -> Iterator[tuple[ActiveStep, int]]:
    """Return the steps of a job with stranded tasks, and how many each has.

    ``labels`` are those that workers of its pool have.
    """
    if not job.workload.is_lasting and not job.has_waiting_tasks:
        return
    ready = {id(step) for step in job.ready_steps(wall_ms)}
    for step in job.steps():
        admitted = scheduler.usage.admits(job.workload.team, step.step.shape)
        waiting = len(step.pending) if id(step) in ready and admitted else 0
        if step.step.is_lasting:
            count = waiting + _count_on_leaving(scheduler, step)
        else:
            count = waiting if step.step.label not in labels | {""} else 0
        if count:
            yield step, count


def _count_on_leaving(scheduler: Scheduler, step: ActiveStep) -> int:
    """Return how many tasks of a step run on workers that are to be emptied."""
    runs = (run for of_task in step.runs.values() for run in of_task)
    workers = (scheduler.workers.get(run.worker) for run in runs)
    return sum(1 for worker in workers if worker is not None and worker.is_leaving)


def _rooms_of(scheduler: Scheduler, service: ServiceName) -> list[_Room]:
    """Return the rooms of a pool's workers, those at work first."""
    rooms: list[_Room] = []
    for worker in scheduler.workers.values():
        if worker.info.service != service or not worker.is_in_service:
            continue
        tasks = Counter(
            (run.task.job_id, run.task.occurrence, run.task.step)
            for run in worker.runs.values()
        )
        rooms.append(_Room(worker.free, worker, tasks=tasks))
    rooms.sort(key=lambda room: (not room.tasks, room.free.processors))
    return rooms


def _key(job: ActiveJob, step: ActiveStep) -> StepKey:
    return (job.job_id, step.occurrence, step.number)


def _place(
    step: ActiveStep, count: int, rooms: list[_Room], capacity: Shape, key: StepKey
) -> None:
    """Put tasks of a step into rooms; a room is added where none can take one."""
    first = 0  # what a room cannot take now, it cannot take later
    for _ in range(count):
        while first < len(rooms) and not rooms[first].can_take(step, key):
            first += 1
        if first == len(rooms):
            rooms.append(_Room(capacity, label=step.step.label))
        rooms[first].take(step.step, key)


def _places(rooms: Iterable[_Room]) -> Places:
    kept = {
        room.worker.info.worker
        for room in rooms
        if room.worker is not None and room.is_taken and not room.worker.runs
    }
    missing = Counter(room.label for room in rooms if room.worker is None)
    return Places(frozenset(kept), missing)
