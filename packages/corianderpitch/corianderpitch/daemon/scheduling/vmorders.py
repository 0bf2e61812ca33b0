"""The platform's VMs as one holder sees them, and its orders about them."""

from collections.abc import Callable
from dataclasses import replace

from returns.result import Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.domain.scheduling.maintenance import PoolVm, VmCondition
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.ids import EntryId, ServiceName, VmId
from corianderpitch.ports import VmOrderResult, VmPools

LIST_INTERVAL_MS = 400.0
HOLDER_CHANGE_SLACK_MS = 500.0
ROLE_MARGIN_MS = 500.0

log = logger("vms")


class VmOrders:
    """Keeps the list of VMs, and gives orders that are safe to give.

    A new holder first waits until orders of its predecessor are out of the way.
    Each order carries a fence number above those before it, so that an order
    that is carried out late cannot undo a newer one.
    """

    def __init__(
        self,
        entry: EntryId,
        pools: VmPools,
        scheduler: Scheduler,
        role: RoleLease,
        clock: Clock,
        holder_change_ms: float,
        role_lease_ms: float,
    ):
        self._entry = entry
        self._pools = pools
        self._scheduler = scheduler
        self._role = role
        self._clock = clock
        self._role_lease_ms = role_lease_ms
        self._listed_ms = -LIST_INTERVAL_MS
        self._orders = 0
        self._first_order_ms = clock.now_ms()
        if scheduler.term.number > 1:
            self._first_order_ms += holder_change_ms + HOLDER_CHANGE_SLACK_MS
        self.vms: dict[VmId, PoolVm] = {}

    @property
    def is_open(self) -> bool:
        """Tell whether orders of a predecessor are out of the way."""
        return self._clock.now_ms() >= self._first_order_ms

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
        if result is VmOrderResult.SUPERSEDED:
            self._scheduler.is_superseded = True
        return result

    def _may_order(self, vm: VmId) -> bool:
        """Check once more, right before an order, that nothing would be harmed."""
        if not self.is_open or vm not in self.vms:
            return False
        if self._role.renewed_age_ms > self._role_lease_ms - ROLE_MARGIN_MS:
            return False
        worker_id = self.vms[vm].worker
        worker = self._scheduler.workers.get(worker_id) if worker_id else None
        return worker is None or not worker.runs
