"""Maintenance waves: which VM is emptied and maintained next.

Pure: given the VMs, the workers and what has been ordered, ``next_steps`` says
what to do now. Standby and idle VMs come first, because they cost nothing to
empty; VMs of pools with the least work follow.

The load it answers: each pool in turn is asked for more than it holds for some
seconds. A pool in which tasks wait keeps all its VMs until its turn is over, or
until the wave would be late.
"""

import enum
import math
from collections import Counter
from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field

from corianderpitch.domain.scheduling.catalog import WaveOrder
from corianderpitch.domain.scheduling.workers import WorkerView
from corianderpitch.ids import ServiceName, VmId, WorkerId

REPEAT_MS = 1000.0
ROUND_MS = 5000.0  # emptying a VM and its maintenance, as a rule


class VmCondition(enum.Enum):
    """What the platform says of a VM."""

    UP = "up"
    MOVING = "moving"
    IN_MAINTENANCE = "in_maintenance"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class PoolVm:
    """A VM of a pool, and the worker that runs on it."""

    vm: VmId
    pool: ServiceName
    condition: VmCondition
    worker: WorkerId | None


@dataclass(slots=True)
class WaveProgress:
    """How far a wave has come; ``begun`` VMs have had their maintenance ordered."""

    order: WaveOrder
    due_ms: float = 0.0
    begun: set[VmId] = field(default_factory=set)
    asked_ms: dict[VmId, float] = field(default_factory=dict)
    is_completed: bool = False

    def is_pressing(self, vms: Mapping[VmId, "PoolVm"], now_ms: float) -> bool:
        """Tell whether the wave would be late if it waited for quiet pools."""
        rounds = math.ceil(len(self.left(vms)) / max(1, self.order.max_concurrent))
        return now_ms + (rounds + 1) * ROUND_MS >= self.due_ms

    def left(self, vms: Mapping[VmId, PoolVm]) -> list[VmId]:
        """Return the VMs that stay and have not begun."""
        return [vm for vm in self.order.vms if vm in vms and vm not in self.begun]


@dataclass(frozen=True, slots=True)
class MaintainVm:
    """Order the maintenance of an empty VM."""

    vm: VmId
    wave: int


def down_count(
    wave: WaveProgress, vms: Mapping[VmId, PoolVm], held_back: Set[VmId]
) -> int:
    """Return how many VMs of a wave may be down for it.

    An order without an answer counts, for it may have been carried out, and so
    does one that a predecessor may have given a short while ago.
    """
    down = 0
    for vm_id in wave.order.vms:
        vm = vms.get(vm_id)
        is_up = vm is not None and vm.condition is VmCondition.UP
        is_open = vm_id in wave.asked_ms and not (vm_id in wave.begun and is_up)
        is_down = vm is not None and vm.condition is VmCondition.IN_MAINTENANCE
        if is_open or is_down or vm_id in held_back:
            down += 1
    return down


def next_steps(
    wave: WaveProgress,
    vms: Mapping[VmId, PoolVm],
    workers: Mapping[WorkerId, WorkerView],
    standby: Iterable[ServiceName],
    pressed: Set[ServiceName],
    held_back: Set[VmId],
    now_ms: float,
) -> tuple[list[MaintainVm], set[WorkerId]]:
    """Return the orders to give now, and the workers to empty for later ones.

    ``pressed`` names the pools in which tasks wait for room, ``held_back`` VMs
    that a predecessor ordered about a short while ago.
    """
    may_wait = not wave.is_pressing(vms, now_ms)
    limits = _emptying_limits(wave, vms, now_ms)
    orders: list[MaintainVm] = []
    emptying: set[WorkerId] = set()
    per_pool: dict[ServiceName, int] = {}
    room = wave.order.max_concurrent - down_count(wave, vms, held_back)
    for vm_id in sorted(wave.left(vms), key=lambda v: _rank(vms[v], workers, standby)):
        vm = vms[vm_id]
        if vm_id in wave.asked_ms:
            if now_ms - wave.asked_ms[vm_id] >= REPEAT_MS:
                orders.append(MaintainVm(vm_id, wave.order.number))
            continue
        if vm.condition is not VmCondition.UP or room <= 0 or vm_id in held_back:
            continue
        worker = workers.get(vm.worker) if vm.worker else None
        if vm.pool in standby or vm.worker is None:
            orders.append(MaintainVm(vm_id, wave.order.number))
            room -= 1
            continue
        if worker is None or per_pool.get(vm.pool, 0) >= limits[vm.pool]:
            continue
        if vm.pool in pressed and may_wait and not worker.is_evacuated:
            continue
        per_pool[vm.pool] = per_pool.get(vm.pool, 0) + 1
        room -= 1
        emptying.add(vm.worker)
        if worker.is_evacuated and is_empty(worker):
            orders.append(MaintainVm(vm_id, wave.order.number))
    return orders, emptying


def _emptying_limits(
    wave: WaveProgress, vms: Mapping[VmId, PoolVm], now_ms: float
) -> dict[ServiceName, int]:
    """Return how many VMs each pool gives up at a time.

    As few as will do: what is left of a pool is spread over the rounds that are
    left until the wave is due.
    """
    rounds = max(1, math.floor((wave.due_ms - now_ms) / ROUND_MS))
    left = Counter(vms[vm].pool for vm in wave.left(vms))
    return {pool: math.ceil(count / rounds) for pool, count in left.items()}


def is_empty(worker: WorkerView) -> bool:
    """Tell whether nothing runs on a worker, and all its ends are committed."""
    is_heard = worker.life is not None and not worker.is_silent
    is_settled = worker.seen == worker.settled and not worker.has_unread_ends
    return is_heard and not worker.is_running and is_settled


def _rank(
    vm: PoolVm, workers: Mapping[WorkerId, WorkerView], standby: Iterable[ServiceName]
) -> tuple[int, int, float, VmId]:
    """Order VMs by what it costs to take them out; those under way stay first."""
    worker = workers.get(vm.worker) if vm.worker else None
    if vm.pool in standby or worker is None:
        return (0, 0, 0.0, vm.vm)
    used = worker.info.capacity.processors - worker.free.processors
    return (0 if worker.is_evacuated else 1, len(worker.runs), used, vm.vm)
