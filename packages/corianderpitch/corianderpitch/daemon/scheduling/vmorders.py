"""The platform's VMs as one holder sees them, and its orders about them."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from returns.result import Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.holderrow import HolderRow
from corianderpitch.daemon.scheduling.rows import (
    VM_ORDERS_KEY,
    VmOrdersRecord,
    pack_vm_orders,
    unpack_vm_orders,
)
from corianderpitch.domain.scheduling.maintenance import PoolVm, VmCondition
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.ids import EntryId, ServiceName, VmId
from corianderpitch.ports import RowStore, VmOrderResult, VmPools

LIST_INTERVAL_MS = 400.0
HOLDER_CHANGE_SLACK_MS = 500.0
ROLE_MARGIN_MS = 500.0
BUSY_REST_MS = 1000.0  # a VM that is leaving or on its way stays so for seconds

log = logger("vms")


class VmOrders:
    """Keeps the list of VMs, and gives orders that are safe to give.

    The store names a VM before the first order about it is sent. A new holder
    leaves VMs alone that its predecessor ordered about a short while ago. Each
    order carries a fence number above those before it, so that an order that is
    carried out late cannot undo a newer one.
    """

    def __init__(
        self,
        entry: EntryId,
        pools: VmPools,
        store: RowStore,
        scheduler: Scheduler,
        role: RoleLease,
        clock: Clock,
        holder_change_ms: float,
        role_lease_ms: float,
    ):
        self._entry = entry
        self._pools = pools
        self._store = store
        self._row = HolderRow(store, role, VM_ORDERS_KEY)
        self._scheduler = scheduler
        self._role = role
        self._clock = clock
        self._role_lease_ms = role_lease_ms
        self._listed_ms = -LIST_INTERVAL_MS
        self._orders = 0
        self._recent_ms = holder_change_ms + HOLDER_CHANGE_SLACK_MS
        self._predecessors: dict[VmId, float] = {}
        self._written: VmOrdersRecord | None = None
        self._ordered_ms: dict[VmId, float] = {}
        self._busy_ms: dict[VmId, float] = {}
        self.begun: dict[int, set[VmId]] = {}
        self.vms: dict[VmId, PoolVm] = {}

    def load(self) -> bool:
        """Read what predecessors have ordered; returns whether that is known."""
        if self._written is not None:
            return True
        match self._row.read():
            case Success(value):
                self._written = unpack_vm_orders(value) if value else VmOrdersRecord()
                self._predecessors = dict(self._written.ordered_ms)
                self.begun = {w: set(vms) for w, vms in self._written.begun.items()}
                return True
            case failure:
                log.warning("Orders not read.", cause=repr(failure.failure()))
        return False

    def held_back(self) -> set[VmId]:
        """Return the VMs that a predecessor ordered about a short while ago."""
        oldest_ms = self._store.time_ms() - self._recent_ms
        self._predecessors = {
            vm: at_ms for vm, at_ms in self._predecessors.items() if at_ms > oldest_ms
        }
        return set(self._predecessors)

    def busy(self) -> set[VmId]:
        """Return the VMs that could not be ordered about a short while ago."""
        oldest_ms = self._clock.now_ms() - BUSY_REST_MS
        self._busy_ms = {vm: at for vm, at in self._busy_ms.items() if at > oldest_ms}
        return set(self._busy_ms)

    def announce(self, vms: Iterable[VmId]) -> bool:
        """Name VMs in the store before orders about them are sent.

        Returns whether the orders may be sent.
        """
        now_ms = self._store.time_ms()
        oldest_ms = now_ms - self._recent_ms
        ordered_ms = {vm: at for vm, at in self._ordered_ms.items() if at > oldest_ms}
        ordered_ms |= {vm: now_ms for vm in vms}
        begun = {wave: set(done) for wave, done in self.begun.items()}
        record = VmOrdersRecord(self._predecessors | ordered_ms, begun)
        match self._row.write(pack_vm_orders(record)):
            case Success(_):
                self._written = record
                self._ordered_ms = ordered_ms
                return True
            case failure:
                log.warning("Orders not announced.", cause=repr(failure.failure()))
        return False

    def note_begun(self, wave: int, vm: VmId) -> None:
        """Remember that a VM has had its maintenance in a wave."""
        self.begun.setdefault(wave, set()).add(vm)

    @property
    def is_written(self) -> bool:
        """Tell whether the store knows which VMs have had their maintenance."""
        return self._written is not None and self._written.begun == self.begun

    @property
    def listed_ms(self) -> float:
        """Return when the list was asked for."""
        return self._listed_ms

    def refresh(self) -> bool:
        """List the VMs if the list is old; returns whether there is a new one."""
        now_ms = self._clock.now_ms()
        if now_ms - self._listed_ms < LIST_INTERVAL_MS:
            return False
        self._listed_ms = now_ms
        match self._pools.list_vms():
            case Success(vms):
                self.vms = {vm.vm: vm for vm in vms}
                return True
            case failure:
                log.warning("VMs not listed.", cause=repr(failure.failure()))
        return False

    def maintain(self, vm: VmId, wave: int) -> VmOrderResult:
        """Order the maintenance of a VM on which nothing runs."""
        result = self._give(
            "Maintain.",
            vm,
            {"wave": wave},
            lambda fence: self._pools.maintain(vm, wave, self._entry, fence),
        )
        if result is VmOrderResult.DONE:
            self._note(vm, condition=VmCondition.IN_MAINTENANCE, worker=None)
        return result

    def move(self, vm: VmId, pool: ServiceName) -> VmOrderResult:
        """Order the move of a VM on which nothing runs."""
        result = self._give(
            "Move.",
            vm,
            {"pool": pool},
            lambda fence: self._pools.move(vm, pool, self._entry, fence),
        )
        if result is VmOrderResult.DONE:
            self._note(vm, condition=VmCondition.MOVING, pool=pool, worker=None)
        return result

    def _note(self, vm: VmId, **changes) -> None:
        """Correct the list by what was just ordered, until it is asked for again."""
        self.vms[vm] = replace(self.vms[vm], **changes)

    def _give(
        self,
        what: str,
        vm: VmId,
        details: dict[str, object],
        send: Callable[[int], VmOrderResult],
    ) -> VmOrderResult:
        if not self._may_order(vm):
            return VmOrderResult.NOT_SENT
        self._orders += 1
        fence = self._scheduler.term.fence + self._orders
        result = send(fence)
        log.info(what, vm=vm, **details, fence=fence, result=result.value)
        if result is VmOrderResult.BUSY:
            self._busy_ms[vm] = self._clock.now_ms()
        elif result is VmOrderResult.SUPERSEDED:
            self._scheduler.is_superseded = True
        return result

    def _may_order(self, vm: VmId) -> bool:
        """Check once more, right before an order, that nothing would be harmed."""
        if vm not in self.vms or vm not in self._ordered_ms:
            return False
        if self._role.renewed_age_ms > self._role_lease_ms - ROLE_MARGIN_MS:
            return False
        worker_id = self.vms[vm].worker
        worker = self._scheduler.workers.get(worker_id) if worker_id else None
        return worker is None or not worker.is_running
