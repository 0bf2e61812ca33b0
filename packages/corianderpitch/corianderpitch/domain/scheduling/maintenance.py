"""Maintenance waves: the order in which VMs are emptied and maintained.

``plan_wave`` is a pure function of the VMs, the workers and the orders given so far.
Standby VMs and idle VMs come first, because emptying them costs nothing. VMs with the
least work follow.

The pools peak in turn: for some seconds a pool needs more capacity than it has. A pool
with waiting tasks keeps all its VMs until its peak is over, or until the wave would
be late.
"""

import enum
import math
from collections import Counter
from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field

from corianderpitch.domain.scheduling.catalog import WaveOrder
from corianderpitch.domain.scheduling.workers import WorkerView
from corianderpitch.ids import ServiceName, VmId, WorkerId

ORDER_RETRY_INTERVAL_MS = 1000.0
MAINTENANCE_ROUND_MS = 5000.0  # typical time to empty a VM and maintain it


class VmCondition(enum.Enum):
    """Condition of a VM, as the platform reports it."""

    UP = "up"
    MOVING = "moving"
    IN_MAINTENANCE = "in_maintenance"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class PoolVm:
    """A VM of a pool, and the worker that runs on it.

    ``labels`` holds the VM's kind and its rack, also while no worker runs on it.
    """

    vm: VmId
    pool: ServiceName
    condition: VmCondition
    worker: WorkerId | None
    labels: tuple[str, ...] = ()


@dataclass(slots=True)
class WaveProgress:
    """Progress of a wave.

    The platform has accepted the maintenance order for each of ``started_vms``.
    ``ordered_ms`` holds the time of the last order for each VM. ``finished_vms`` are
    up again; they may be moved since, but are no longer down for the wave.
    """

    order: WaveOrder
    due_ms: float = 0.0
    started_vms: set[VmId] = field(default_factory=set)
    ordered_ms: dict[VmId, float] = field(default_factory=dict)
    finished_vms: set[VmId] = field(default_factory=set)
    is_completed: bool = False

    def is_urgent(self, vms: Mapping[VmId, "PoolVm"], now_ms: float) -> bool:
        """Return whether the wave would be late if it waited until pools are idle."""
        rounds = math.ceil(
            len(self.remaining_vms(vms)) / max(1, self.order.max_concurrent)
        )
        return now_ms + (rounds + 1) * MAINTENANCE_ROUND_MS >= self.due_ms

    def update_finished(self, vms: Mapping[VmId, PoolVm]) -> None:
        """Note which VMs are up again, from a list requested after their orders."""
        for vm_id in self.started_vms & vms.keys():
            if vms[vm_id].condition is VmCondition.UP:
                self.finished_vms.add(vm_id)

    def remaining_vms(self, vms: Mapping[VmId, PoolVm]) -> list[VmId]:
        """Return the existing VMs whose maintenance has not started."""
        return [vm for vm in self.order.vms if vm in vms and vm not in self.started_vms]


@dataclass(frozen=True, slots=True)
class MaintainVm:
    """Order to maintain an empty VM."""

    vm: VmId
    wave: int


def down_count(
    wave: WaveProgress, vms: Mapping[VmId, PoolVm], held_back: Set[VmId]
) -> int:
    """Return how many VMs of a wave may be down for it.

    A VM whose order got no answer counts, because the order may have been carried
    out. A VM for which a predecessor may have sent an order recently counts too.
    """
    down = 0
    for vm_id in wave.order.vms:
        vm = vms.get(vm_id)
        is_open = vm_id in wave.ordered_ms and vm_id not in wave.finished_vms
        is_down = vm is not None and vm.condition is VmCondition.IN_MAINTENANCE
        if is_open or is_down or vm_id in held_back:
            down += 1
    return down


def plan_wave(
    wave: WaveProgress,
    vms: Mapping[VmId, PoolVm],
    workers: Mapping[WorkerId, WorkerView],
    standby: Iterable[ServiceName],
    backlogged: Set[ServiceName],
    held_back: Set[VmId],
    now_ms: float,
) -> tuple[list[MaintainVm], set[WorkerId]]:
    """Return the orders to send now, and the workers to empty or to keep empty.

    A worker is kept empty until the order about its VM is confirmed.

    Parameters
    ----------
    wave
        The progress of the wave.
    vms, workers
        All VMs of the pools, and all workers.
    standby
        The standby pools.
    backlogged
        The pools in which tasks wait for free capacity.
    held_back
        The VMs that a predecessor sent orders for a short while ago.
    now_ms
        The time, by the clock of ``wave.due_ms``.
    """
    may_wait = not wave.is_urgent(vms, now_ms)
    limits = _emptying_limits(wave, vms, now_ms)
    orders: list[MaintainVm] = []
    emptying: set[WorkerId] = set()
    per_pool: dict[ServiceName, int] = {}
    slots = wave.order.max_concurrent - down_count(wave, vms, held_back)
    for vm_id in sorted(
        wave.remaining_vms(vms), key=lambda v: _drain_cost(vms[v], workers, standby)
    ):
        vm = vms[vm_id]
        if vm_id in wave.ordered_ms:
            if vm.worker is not None:
                emptying.add(vm.worker)  # the order may still be carried out
            if now_ms - wave.ordered_ms[vm_id] >= ORDER_RETRY_INTERVAL_MS:
                orders.append(MaintainVm(vm_id, wave.order.number))
            continue
        if vm.condition is not VmCondition.UP or slots <= 0 or vm_id in held_back:
            continue
        worker = workers.get(vm.worker) if vm.worker else None
        if vm.pool in standby or vm.worker is None:
            orders.append(MaintainVm(vm_id, wave.order.number))
            slots -= 1
            continue
        if worker is None or per_pool.get(vm.pool, 0) >= limits[vm.pool]:
            continue
        if vm.pool in backlogged and may_wait and not worker.is_evacuating:
            continue
        per_pool[vm.pool] = per_pool.get(vm.pool, 0) + 1
        slots -= 1
        emptying.add(vm.worker)
        if worker.is_evacuating and is_empty(worker):
            orders.append(MaintainVm(vm_id, wave.order.number))
    return orders, emptying


def _emptying_limits(
    wave: WaveProgress, vms: Mapping[VmId, PoolVm], now_ms: float
) -> dict[ServiceName, int]:
    """Return how many VMs each pool may empty at a time.

    The limit is as low as possible: a pool's remaining VMs are spread over the
    rounds that remain until the wave is due.
    """
    rounds = max(1, math.floor((wave.due_ms - now_ms) / MAINTENANCE_ROUND_MS))
    remaining = Counter(vms[vm].pool for vm in wave.remaining_vms(vms))
    return {pool: math.ceil(count / rounds) for pool, count in remaining.items()}


def is_empty(worker: WorkerView) -> bool:
    """Return whether nothing runs on a worker, and all its ends are committed."""
    is_responding = worker.incarnation is not None and not worker.is_silent
    is_committed = (
        worker.processed_sequence == worker.committed_sequence
        and not worker.has_unread_ends
    )
    return is_responding and not worker.is_running and is_committed


def _drain_cost(
    vm: PoolVm, workers: Mapping[WorkerId, WorkerView], standby: Iterable[ServiceName]
) -> tuple[int, int, float, VmId]:
    """Return a sort key by the cost of emptying a VM; VMs being emptied stay first."""
    worker = workers.get(vm.worker) if vm.worker else None
    if vm.pool in standby or worker is None:
        return (0, 0, 0.0, vm.vm)
    used = worker.info.capacity.processors - worker.free.processors
    return (0 if worker.is_evacuating else 1, len(worker.runs), used, vm.vm)
