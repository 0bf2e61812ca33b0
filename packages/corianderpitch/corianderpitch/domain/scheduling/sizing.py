"""How many VMs each pool needs now, and which VMs move to another pool.

The load it answers: each queue in turn asks for about five times its mean for
some seconds, more than its pool holds, and for next to nothing in between. VMs
follow the load: a pool that fills up is given idle VMs of the standby pool or of
pools at rest, and a pool whose turn is over gives its idle VMs back. VMs of the
standby pool are off, so a VM that is not needed is best kept there. A VM takes
longer to come than a short job may wait, so a pool is sized for the load that its
arrivals of the last moments lead to, not only for what waits already.

Pure: ``plan_moves`` names moves of VMs on which nothing runs.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping, Sequence, Set
from dataclasses import dataclass

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.maintenance import PoolVm, VmCondition, is_empty
from corianderpitch.domain.scheduling.ordering import is_lost
from corianderpitch.domain.scheduling.progress import ActiveJob
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.workers import WorkerView
from corianderpitch.ids import ServiceName, VmId, WorkerId

MIN_WORKERS = 3  # the loss of one VM leaves two, on which what lasts is spread
HEADROOM = 1.1  # tasks of unlike sizes do not fill a VM
ARRIVAL_WINDOW_MS = 500.0
HOLD_MS = 600.0  # a VM that comes back within it is moved twice for little


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """What a pool's runs hold and what waits for room, in workers' worth.

    ``lost`` waits too, but of jobs that can no longer meet their objective.
    ``arriving`` is what would run at a time if jobs went on coming as lately.
    """

    running: float = 0.0
    lasting: float = 0.0
    waiting: float = 0.0
    lost: float = 0.0
    arriving: float = 0.0

    @property
    def wanted_workers(self) -> int:
        """Return how many workers the load asks for that can be kept."""
        return self._workers_for(max(self.running + self.waiting, self.arriving))

    @property
    def useful_workers(self) -> int:
        """Return how many workers would have something to do."""
        present = self.running + self.waiting + self.lost
        return self._workers_for(max(present, self.arriving))

    def plus(self, other: "PoolLoad") -> "PoolLoad":
        """Return the sum of two loads."""
        return PoolLoad(
            self.running + other.running,
            self.lasting + other.lasting,
            self.waiting + other.waiting,
            self.lost + other.lost,
            self.arriving + other.arriving,
        )

    def _workers_for(self, passing: float) -> int:
        return max(MIN_WORKERS, math.ceil(HEADROOM * passing + self.lasting))


@dataclass(frozen=True, slots=True)
class MoveVm:
    """Move a VM on which nothing runs to another pool."""

    vm: VmId
    pool: ServiceName


def share_of(room: Shape, capacity: Shape) -> float:
    """Return which share of a worker a task takes, by what is scarcest.

    >>> share_of(Shape(1.0, 500), Shape(4.0, 1000))
    0.5
    """
    return max(
        room.processors / capacity.processors if capacity.processors else 0.0,
        room.memory_mb / capacity.memory_mb if capacity.memory_mb else 0.0,
        room.accelerators / capacity.accelerators if capacity.accelerators else 0.0,
    )


def pool_loads(
    scheduler: Scheduler,
    now_ms: float,
    wall_ms: float,
    window_ms: float = ARRIVAL_WINDOW_MS,
) -> dict[ServiceName, PoolLoad]:
    """Return the load of each pool that a queue sends to.

    ``window_ms`` is how far back arrivals are counted, 0 for not at all.
    """
    capacities = _capacities(scheduler.workers.values())
    loads = {queue.service: PoolLoad() for queue in scheduler.queues.values()}
    fresh: dict[ServiceName, list[float]] = {}
    for job in scheduler.jobs.values():
        queue = scheduler.queues.get(job.workload.queue)
        capacity = capacities.get(queue.service) if queue is not None else None
        if capacity is not None:
            load = loads[queue.service]
            loads[queue.service] = load.plus(
                _job_load(job, capacity, is_lost(job, queue, now_ms), wall_ms)
            )
            if now_ms - job.accepted_ms < window_ms and not job.workload.is_lasting:
                works = fresh.setdefault(queue.service, [])
                works.append(_work_ms(job, capacity))
    for service, works in fresh.items():
        arriving = steady_load(works, window_ms)
        loads[service] = loads[service].plus(PoolLoad(arriving=arriving))
    return loads


def steady_load(works_ms: Sequence[float], window_ms: float) -> float:
    """Return what runs at a time while jobs come as in a window (Little's law).

    ``works_ms`` holds the work of each job of the window, in worker-milliseconds.
    The count is lowered by its standard deviation, so that a few jobs that come
    together by chance are not taken for a turn.

    >>> steady_load([1000.0] * 25, 500.0)
    40.0
    >>> steady_load([1000.0], 500.0)
    0.0
    """
    count = len(works_ms)
    if not count:
        return 0.0
    certain_share = 1.0 - 1.0 / math.sqrt(count)
    return certain_share * sum(works_ms) / window_ms


def _work_ms(job: ActiveJob, capacity: Shape) -> float:
    """Return a job's whole work, as the time that it would fill a worker for."""
    return sum(
        share_of(step.room, capacity) * step.count * step.estimate_ms
        for step in job.workload.steps
    )


def _job_load(
    job: ActiveJob, capacity: Shape, is_late: bool, wall_ms: float
) -> PoolLoad:
    running = lasting = waiting = 0.0
    for step in job.steps():
        held = share_of(step.step.room, capacity) * len(step.runs)
        if step.step.is_lasting:
            lasting += held
        else:
            running += held
    for step in job.ready_steps(wall_ms):
        asked = share_of(step.step.room, capacity) * len(step.pending)
        if step.step.is_lasting:
            lasting += asked
        else:
            waiting += asked
    if is_late:
        return PoolLoad(running, lasting, 0.0, waiting)
    return PoolLoad(running, lasting, waiting)


def _capacities(workers: Iterable[WorkerView]) -> dict[ServiceName, Shape]:
    """Return the size of a worker of each pool."""
    return {worker.info.service: worker.info.capacity for worker in workers}


class DemandWindow:
    """Remembers for a while how many workers each pool has asked for."""

    def __init__(self, hold_ms: float = HOLD_MS):
        self._hold_ms = hold_ms
        self._asked: dict[ServiceName, deque[tuple[float, int]]] = {}

    def note(self, service: ServiceName, wanted: int, now_ms: float) -> int:
        """Note what a pool asks for; returns the most of the last while."""
        asked = self._asked.setdefault(service, deque())
        while asked and asked[0][0] < now_ms - self._hold_ms:
            asked.popleft()
        while asked and asked[-1][1] <= wanted:
            asked.pop()
        asked.append((now_ms, wanted))
        return asked[0][1]


@dataclass(frozen=True, slots=True)
class PoolNeed:
    """How many workers a pool asks for, could use, and at most did lately."""

    wanted: int
    useful: int
    held: int


def pool_needs(
    loads: Mapping[ServiceName, PoolLoad], window: DemandWindow, now_ms: float
) -> dict[ServiceName, PoolNeed]:
    """Return what each pool asks for, and note it in the window."""
    return {
        service: PoolNeed(
            load.wanted_workers,
            load.useful_workers,
            window.note(service, load.useful_workers, now_ms),
        )
        for service, load in loads.items()
    }


def plan_moves(
    vms: Mapping[VmId, PoolVm],
    workers: Mapping[WorkerId, WorkerView],
    needs: Mapping[ServiceName, PoolNeed],
    standby: Set[ServiceName],
    bound: Mapping[VmId, ServiceName | None],
) -> list[MoveVm]:
    """Return the moves to order now.

    VMs go first where jobs can still be kept, then where late ones wait.
    ``bound`` names VMs that something else has been planned for, each with the
    pool that it goes to, or ``None`` where it only leaves its own for a while.
    """
    sizes = _sizes(vms, workers, bound)
    spares = {
        service: sizes.get(service, 0) - need.held for service, need in needs.items()
    }
    free = [vm for vm in vms.values() if vm.vm not in bound]
    donors = [
        *(vm for vm in free if vm.pool in standby and _is_up(vm)),
        *_idle_vms(free, workers, spares),
    ]
    wanted = {service: need.wanted for service, need in needs.items()}
    useful = {service: need.useful for service, need in needs.items()}
    moves: list[MoveVm] = []
    for goals in (wanted, useful):
        moves += _fill(goals, sizes, donors)
    if standby:
        rest = min(standby)
        moves += [MoveVm(vm.vm, rest) for vm in donors if vm.pool not in standby]
    return moves


def _fill(
    goals: Mapping[ServiceName, int],
    sizes: dict[ServiceName, int],
    donors: list[PoolVm],
) -> list[MoveVm]:
    """Give donors to the pools that lack most; both collections are updated."""
    moves: list[MoveVm] = []
    lacks = {service: goal - sizes.get(service, 0) for service, goal in goals.items()}
    for service in sorted(lacks, key=lambda s: (-lacks[s], s)):
        for _ in range(min(lacks[service], len(donors))):
            moves.append(MoveVm(donors.pop(0).vm, service))
            sizes[service] = sizes.get(service, 0) + 1
    return moves


def _is_up(vm: PoolVm) -> bool:
    return vm.condition is VmCondition.UP


def _sizes(
    vms: Mapping[VmId, PoolVm],
    workers: Mapping[WorkerId, WorkerView],
    bound: Mapping[VmId, ServiceName | None],
) -> dict[ServiceName, int]:
    """Count the VMs of each pool that serve or are about to."""
    sizes: dict[ServiceName, int] = {}
    for vm in vms.values():
        pool = bound.get(vm.vm, vm.pool)
        worker = workers.get(vm.worker) if vm.worker else None
        is_lost = vm.condition is VmCondition.DOWN or (
            worker is not None
            and (worker.is_silent or worker.draining_since_ms is not None)
        )
        if pool is not None and not is_lost:
            sizes[pool] = sizes.get(pool, 0) + 1
    return sizes


def _idle_vms(
    free: Iterable[PoolVm],
    workers: Mapping[WorkerId, WorkerView],
    spares: Mapping[ServiceName, int],
) -> list[PoolVm]:
    """Return VMs on which nothing runs, as many as each pool can spare."""
    left = dict(spares)
    idle: list[PoolVm] = []
    for vm in sorted(free, key=lambda v: v.vm):
        worker = workers.get(vm.worker) if vm.worker else None
        if worker is None or left.get(vm.pool, 0) <= 0 or not _is_up(vm):
            continue
        if is_empty(worker) and worker.info.service == vm.pool:
            left[vm.pool] -= 1
            idle.append(vm)
    return idle
