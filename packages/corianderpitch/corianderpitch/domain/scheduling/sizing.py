"""Sizing of pools: how many VMs each needs now, and which VMs to move.

The queues peak in turn: for some seconds a queue needs about five times its mean
load, which is more than its pool can run, and next to nothing in between. VMs
therefore follow the load. A pool that fills up gets idle VMs of the standby pool or
of idle pools, and a pool whose peak is over returns its idle VMs. VMs of the standby
pool are off, so VMs that are not needed are kept there. Moving a VM takes longer than
a short job may wait, so a pool is sized for the load that its recent arrivals will
cause, and not only for the tasks that already wait.

``plan_moves`` is a pure function, and moves only VMs on which nothing runs.
"""

import math
from collections import defaultdict, deque
from collections.abc import Collection, Iterable, Mapping, Set
from dataclasses import dataclass
from types import MappingProxyType

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.arrivals import Arrival, ArrivalForecast
from corianderpitch.domain.scheduling.maintenance import PoolVm, VmCondition, is_empty
from corianderpitch.domain.scheduling.ordering import will_miss_objective
from corianderpitch.domain.scheduling.progress import ActiveJob, ActiveStep
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.stranded import Places
from corianderpitch.domain.scheduling.workers import NOTHING, WorkerView
from corianderpitch.ids import JobId, ServiceName, TeamName, VmId, WorkerId

MIN_WORKERS = 3  # after the loss of a VM, lasting tasks still have two workers
PACKING_HEADROOM = 1.1  # tasks of different sizes do not fill a VM completely
DEMAND_WINDOW_MS = 600.0  # a VM that returns sooner is moved twice for little use


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Load of a pool, in workers.

    ``running`` and ``lasting`` tasks occupy capacity, and ``lasting`` includes
    lasting tasks that wait. ``waiting`` tasks need capacity. ``late`` tasks wait
    too, but their jobs can no longer meet their objective, or are beyond their team's
    share. ``arriving`` is the average load that the recent arrivals and their growth
    lead to.
    """

    running: float = 0.0
    lasting: float = 0.0
    waiting: float = 0.0
    late: float = 0.0
    arriving: float = 0.0

    @property
    def required_workers(self) -> int:
        """Return the number of workers for the jobs that can meet their objective."""
        return self._workers_for(max(self.running + self.waiting, self.arriving))

    @property
    def useful_workers(self) -> int:
        """Return the number of workers for all jobs, including late ones."""
        present = self.running + self.waiting + self.late
        return self._workers_for(max(present, self.arriving))

    def plus(self, other: "PoolLoad") -> "PoolLoad":
        """Return the sum of two loads."""
        return PoolLoad(
            self.running + other.running,
            self.lasting + other.lasting,
            self.waiting + other.waiting,
            self.late + other.late,
            self.arriving + other.arriving,
        )

    def _workers_for(self, batch_load: float) -> int:
        return max(MIN_WORKERS, math.ceil(PACKING_HEADROOM * batch_load + self.lasting))


@dataclass(frozen=True, slots=True)
class MoveVm:
    """Order to move a VM on which nothing runs to another pool."""

    vm: VmId
    pool: ServiceName


def worker_share(reservation: Shape, capacity: Shape) -> float:
    """Return the share of a worker that a task occupies, by its scarcest resource.

    >>> worker_share(Shape(1.0, 500), Shape(4.0, 1000))
    0.5
    """
    return max(
        reservation.processors / capacity.processors if capacity.processors else 0.0,
        reservation.memory_mb / capacity.memory_mb if capacity.memory_mb else 0.0,
        reservation.accelerators / capacity.accelerators
        if capacity.accelerators
        else 0.0,
    )


def pool_loads(
    scheduler: Scheduler,
    forecast: ArrivalForecast,
    now_ms: float,
    wall_ms: float,
) -> dict[ServiceName, PoolLoad]:
    """Return the load of each pool that serves a queue.

    The forecast records the jobs that arrived since the last call.
    """
    capacities = pool_capacities(scheduler.workers.values())
    ready = {job.job_id: [*job.ready_steps(wall_ms)] for job in scheduler.jobs.values()}
    admitted = _admitted_shares(scheduler, ready)
    loads = {queue.service: PoolLoad() for queue in scheduler.queues.values()}
    arrivals: list[Arrival] = []
    for job in scheduler.jobs.values():
        queue = scheduler.queues.get(job.workload.queue)
        capacity = capacities.get(queue.service) if queue is not None else None
        if capacity is None:
            continue
        is_late = job.is_beyond_share or will_miss_objective(job, queue, now_ms)
        share = admitted.get(job.workload.team, 1.0)
        load = _job_load(job, ready[job.job_id], capacity, is_late, share)
        loads[queue.service] = loads[queue.service].plus(load)
        is_recent = forecast.covers(job.accepted_ms, now_ms)
        if is_recent and not (job.workload.is_lasting or job.is_beyond_share):
            work_ms = _work_ms(job, capacity)
            arrivals.append(
                Arrival(job.job_id, queue.service, job.accepted_ms, work_ms)
            )
    forecast.record(arrivals, now_ms)
    for service, arriving in forecast.loads(now_ms).items():
        if service in loads:
            loads[service] = loads[service].plus(PoolLoad(arriving=arriving))
    return loads


def _admitted_shares(
    scheduler: Scheduler, ready: Mapping[JobId, Iterable[ActiveStep]]
) -> dict[TeamName | None, float]:
    """Return the share of each team's waiting tasks that its quota admits."""
    waiting: dict[TeamName, Shape] = defaultdict(lambda: NOTHING)
    for job in scheduler.jobs.values():
        team = job.workload.team
        for step in ready[job.job_id] if team is not None else ():
            needed = step.step.shape.times(len(step.pending))
            waiting[team] = waiting[team].plus(needed)
    return {
        team: scheduler.usage.admitted_share(team, shape)
        for team, shape in waiting.items()
    }


def _work_ms(job: ActiveJob, capacity: Shape) -> float:
    """Return a job's total work, in worker-milliseconds."""
    return sum(
        worker_share(step.reservation, capacity) * step.count * expected.task_ms
        for step, expected in zip(job.workload.steps, job.expected, strict=True)
    )


def _job_load(
    job: ActiveJob,
    ready: Iterable[ActiveStep],
    capacity: Shape,
    is_late: bool,
    admitted: float,
) -> PoolLoad:
    """Return the load of a job; its team's quota admits a share of what waits."""
    running = lasting = waiting = 0.0
    for step in job.steps():
        occupied = worker_share(step.step.reservation, capacity) * len(step.runs)
        if step.step.is_lasting:
            lasting += occupied
        else:
            running += occupied
    for step in ready:
        needed = worker_share(step.step.reservation, capacity) * len(step.pending)
        if step.step.is_lasting:
            lasting += needed
        else:
            waiting += needed * admitted
    if is_late:
        return PoolLoad(running, lasting, 0.0, waiting)
    return PoolLoad(running, lasting, waiting)


def pool_capacities(workers: Iterable[WorkerView]) -> dict[ServiceName, Shape]:
    """Return the capacity of the median worker of each pool, by its processors.

    Some of a pool's workers may have shrunk for a while.
    """
    by_service: dict[ServiceName, list[Shape]] = defaultdict(list)
    for worker in workers:
        by_service[worker.info.service].append(worker.info.capacity)
    return {
        service: sorted(shapes, key=lambda shape: shape.processors)[len(shapes) // 2]
        for service, shapes in by_service.items()
    }


class DemandWindow:
    """Maximum demand of each pool, in workers, over a sliding window of time."""

    def __init__(self, window_ms: float = DEMAND_WINDOW_MS):
        self._window_ms = window_ms
        self._demand: dict[ServiceName, deque[tuple[float, int]]] = {}

    def record_demand(self, service: ServiceName, workers: int, now_ms: float) -> int:
        """Record a pool's demand, and return its maximum over the window."""
        maxima = self._demand.setdefault(service, deque())
        while maxima and maxima[0][0] < now_ms - self._window_ms:
            maxima.popleft()
        while maxima and maxima[-1][1] <= workers:
            maxima.pop()
        maxima.append((now_ms, workers))
        return maxima[0][1]


@dataclass(frozen=True, slots=True)
class PoolNeed:
    """Workers that a pool requires, could use, and could use at its recent peak."""

    required: int
    useful: int
    recent_peak: int


def pool_needs(
    loads: Mapping[ServiceName, PoolLoad], window: DemandWindow, now_ms: float
) -> dict[ServiceName, PoolNeed]:
    """Return the needs of each pool, and record them in the window."""
    return {
        service: PoolNeed(
            load.required_workers,
            load.useful_workers,
            window.record_demand(service, load.useful_workers, now_ms),
        )
        for service, load in loads.items()
    }


def plan_moves(
    vms: Mapping[VmId, PoolVm],
    workers: Mapping[WorkerId, WorkerView],
    needs: Mapping[ServiceName, PoolNeed],
    standby: Set[ServiceName],
    planned: Mapping[VmId, ServiceName | None],
    places: Mapping[ServiceName, Places] = MappingProxyType({}),
) -> list[MoveVm]:
    """Return the moves to order now.

    VMs go first to pools with tasks that no worker of theirs can take, then to pools
    with jobs that can meet their objective, and then to those with late ones.
    ``planned`` names VMs with other plans, each with the pool that it will serve, or
    ``None`` if it only leaves its own pool for a while. ``places`` are what pools need
    for stranded tasks.
    """
    sizes = _pool_sizes(vms, workers, planned)
    surpluses = {
        service: sizes.get(service, 0) - need.recent_peak
        for service, need in needs.items()
    }
    kept = {worker for of_pool in places.values() for worker in of_pool.kept}
    free = [vm for vm in vms.values() if vm.vm not in planned and vm.worker not in kept]
    donors = [
        *(vm for vm in free if vm.pool in standby and _is_up(vm)),
        *_idle_vms(free, workers, surpluses),
    ]
    required = {service: need.required for service, need in needs.items()}
    useful = {service: need.useful for service, need in needs.items()}
    coming = _coming_vms(vms, workers, planned)
    moves = _assign_places(places, sizes, donors, coming)
    for goals in (required, useful):
        moves += _assign_donors(goals, sizes, donors)
    if standby:
        standby_pool = min(standby)
        moves += [
            MoveVm(vm.vm, standby_pool) for vm in donors if vm.pool not in standby
        ]
    return moves


def _assign_places(
    places: Mapping[ServiceName, Places],
    sizes: dict[ServiceName, int],
    donors: list[PoolVm],
    coming: Mapping[ServiceName, Collection[PoolVm]],
) -> list[MoveVm]:
    """Assign donor VMs to pools for their stranded tasks, as far as they are of use.

    VMs that are ``coming`` to a pool count as some of those that it misses. ``sizes``
    and ``donors`` are updated.
    """
    moves: list[MoveVm] = []
    for service, of_pool in sorted(places.items()):
        for label, count in of_pool.missing.items():
            count -= len(_vms_with(label, coming[service]))
            for vm in _vms_with(label, donors)[: max(0, count)]:
                donors.remove(vm)
                moves.append(MoveVm(vm.vm, service))
                sizes[service] = sizes.get(service, 0) + 1
    return moves


def _vms_with(label: str, vms: Iterable[PoolVm]) -> list[PoolVm]:
    return [vm for vm in vms if not label or label in vm.labels]


def _coming_vms(
    vms: Mapping[VmId, PoolVm],
    workers: Mapping[WorkerId, WorkerView],
    planned: Mapping[VmId, ServiceName | None],
) -> dict[ServiceName, list[PoolVm]]:
    """Return the VMs of each pool whose worker is not known yet."""
    coming: dict[ServiceName, list[PoolVm]] = defaultdict(list)
    for vm in vms.values():
        pool = planned.get(vm.vm, vm.pool)
        has_worker = pool == vm.pool and vm.worker in workers
        if pool is not None and not has_worker and vm.condition is not VmCondition.DOWN:
            coming[pool].append(vm)
    return coming


def _assign_donors(
    goals: Mapping[ServiceName, int],
    sizes: dict[ServiceName, int],
    donors: list[PoolVm],
) -> list[MoveVm]:
    """Assign donor VMs to pools below their goals, the largest shortfall first.

    ``sizes`` and ``donors`` are updated.
    """
    moves: list[MoveVm] = []
    shortfalls = {
        service: goal - sizes.get(service, 0) for service, goal in goals.items()
    }
    for service in sorted(shortfalls, key=lambda s: (-shortfalls[s], s)):
        for _ in range(min(shortfalls[service], len(donors))):
            moves.append(MoveVm(donors.pop(0).vm, service))
            sizes[service] = sizes.get(service, 0) + 1
    return moves


def _is_up(vm: PoolVm) -> bool:
    return vm.condition is VmCondition.UP


def _pool_sizes(
    vms: Mapping[VmId, PoolVm],
    workers: Mapping[WorkerId, WorkerView],
    planned: Mapping[VmId, ServiceName | None],
) -> dict[ServiceName, int]:
    """Return how many VMs of each pool serve, or are about to."""
    sizes: dict[ServiceName, int] = {}
    for vm in vms.values():
        pool = planned.get(vm.vm, vm.pool)
        worker = workers.get(vm.worker) if vm.worker else None
        is_unavailable = vm.condition is VmCondition.DOWN or (
            worker is not None
            and (worker.is_silent or worker.draining_since_ms is not None)
        )
        if pool is not None and not is_unavailable:
            sizes[pool] = sizes.get(pool, 0) + 1
    return sizes


def _idle_vms(
    free: Iterable[PoolVm],
    workers: Mapping[WorkerId, WorkerView],
    surpluses: Mapping[ServiceName, int],
) -> list[PoolVm]:
    """Return VMs on which nothing runs, up to the surplus of each pool."""
    remaining = dict(surpluses)
    idle: list[PoolVm] = []
    for vm in sorted(free, key=lambda v: v.vm):
        worker = workers.get(vm.worker) if vm.worker else None
        if worker is None or remaining.get(vm.pool, 0) <= 0 or not _is_up(vm):
            continue
        if is_empty(worker) and worker.info.service == vm.pool:
            remaining[vm.pool] -= 1
            idle.append(vm)
    return idle
