"""The list of the platform's VMs, and the role holder's orders about them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from returns.result import Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.holderrow import FencedRow
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
MAX_INTENT_AGE_MS = 500.0  # later orders of a round are recorded again before they go
HOLDER_CHANGE_SLACK_MS = 100.0
ROLE_MARGIN_MS = 500.0
# A VM that is draining or moving stays so for seconds, and an order without an answer
# may still be carried out.
BUSY_BACKOFF_MS = 1000.0

log = logger("vms")


@dataclass(frozen=True, slots=True)
class OrderIntent:
    """An intent to send an order about a VM, as recorded in the store.

    ``began_ms`` is when the write of the record began, by the holder's clock.
    ``arrives_by_ms`` is the store's time by which the order has arrived at the VM
    service or is lost.
    """

    began_ms: float
    arrives_by_ms: float


@dataclass(frozen=True, slots=True)
class OrderTiming:
    """When an order was sent, and how old the record and the role's lease were then.

    ``sent_ms`` is the time by the holder's clock. ``renewal_age_ms`` counts from the
    last renewal of the role.
    """

    sent_ms: float
    record_age_ms: float
    renewal_age_ms: float


class VmOrders:
    """Keeps the list of VMs and sends maintenance and move orders safely.

    The store names a VM before an order about it is sent, with the time by which that
    order has arrived. An order that cannot arrive by then is not sent. For
    ``holder_change_ms`` plus a slack after that time, a new holder sends no order
    about the VM. Each order carries a higher fence number than those before it, so
    that an order that is executed late cannot undo a newer one.

    Attributes
    ----------
    begun : dict of int to set of VmId
        The VMs that have had their maintenance, by the number of the wave.
    vms : dict of VmId to PoolVm
        The VMs as listed last, corrected by the orders completed since.
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
        self._row = FencedRow(store, role, VM_ORDERS_KEY)
        self._scheduler = scheduler
        self._role = role
        self._clock = clock
        self._role_lease_ms = role_lease_ms
        self._listed_ms = -LIST_INTERVAL_MS
        self._order_count = 0
        self._hand_over_window_ms = holder_change_ms + HOLDER_CHANGE_SLACK_MS
        self._predecessor_arrives_by_ms: dict[VmId, float] = {}
        self._recorded: VmOrdersRecord | None = None
        self._intents: dict[VmId, OrderIntent] = {}
        self._busy_ms: dict[VmId, float] = {}
        self._wave_due_ms: dict[int, float] = {}
        self.begun: dict[int, set[VmId]] = {}
        self.vms: dict[VmId, PoolVm] = {}

    def load(self) -> bool:
        """Read the orders of predecessors once; returns whether they are loaded."""
        if self._recorded is not None:
            return True
        match self._row.read():
            case Success(value):
                self._recorded = unpack_vm_orders(value) if value else VmOrdersRecord()
                self._predecessor_arrives_by_ms = dict(self._recorded.arrives_by_ms)
                self.begun = {w: set(vms) for w, vms in self._recorded.begun.items()}
                self._wave_due_ms = dict(self._recorded.due_ms)
                return True
            case failure:
                log.warning(
                    "Could not read the VM orders.", cause=repr(failure.failure())
                )
        return False

    def held_by_predecessor(self) -> set[VmId]:
        """Return the VMs with a recent order of a predecessor."""
        oldest_ms = self._store.time_ms() - self._hand_over_window_ms
        self._predecessor_arrives_by_ms = {
            vm: at_ms
            for vm, at_ms in self._predecessor_arrives_by_ms.items()
            if at_ms > oldest_ms
        }
        return set(self._predecessor_arrives_by_ms)

    def busy(self) -> set[VmId]:
        """Return the VMs that get no order now.

        They were busy at one, or gave no answer, in the last ``BUSY_BACKOFF_MS``.
        """
        oldest_ms = self._clock.now_ms() - BUSY_BACKOFF_MS
        self._busy_ms = {vm: at for vm, at in self._busy_ms.items() if at > oldest_ms}
        return set(self._busy_ms)

    def record_intent(self, vms: Iterable[VmId]) -> bool:
        """Record VMs in the store before orders about them are sent.

        Returns whether the orders may be sent.
        """
        began_ms = self._clock.now_ms()
        store_ms = self._store.latest_time_ms()
        oldest_ms = self._store.time_ms() - self._hand_over_window_ms
        arrives_by_ms = store_ms + MAX_INTENT_AGE_MS + self._pools.order_timeout_ms
        intents = {
            vm: intent
            for vm, intent in self._intents.items()
            if intent.arrives_by_ms > oldest_ms
        }
        intents |= {vm: OrderIntent(began_ms, arrives_by_ms) for vm in vms}
        record = VmOrdersRecord(
            self._predecessor_arrives_by_ms
            | {vm: intent.arrives_by_ms for vm, intent in intents.items()},
            {wave: set(done) for wave, done in self.begun.items()},
            dict(self._wave_due_ms),
        )
        match self._row.write(pack_vm_orders(record)):
            case Success(version):
                log.info(
                    "VM orders recorded.",
                    term=self._scheduler.term.number,
                    vms=len(intents),
                    at_ms=round(store_ms),
                    version=version,
                    took_ms=round(self._clock.now_ms() - began_ms),
                )
                self._recorded = record
                self._intents = intents
                return True
            case failure:
                log.warning(
                    "Could not record the VM orders.", cause=repr(failure.failure())
                )
        return False

    def wave_due_ms(self, wave: int, deadline_ms: float) -> float:
        """Return when a wave is due, in ms of the clock.

        The deadline counts from the moment at which a holder first saw the wave, and
        not anew for each of its successors.
        """
        store_ms = self._store.time_ms()
        due_ms = self._wave_due_ms.setdefault(wave, store_ms + deadline_ms)
        return self._clock.now_ms() + due_ms - store_ms

    def mark_begun(self, wave: int, vm: VmId) -> None:
        """Note that a VM has had its maintenance in a wave."""
        self.begun.setdefault(wave, set()).add(vm)

    @property
    def is_recorded(self) -> bool:
        """Tell whether the store holds the progress and due times of all waves."""
        return (
            self._recorded is not None
            and self._recorded.begun == self.begun
            and self._recorded.due_ms == self._wave_due_ms
        )

    @property
    def listed_ms(self) -> float:
        """Return when the list was last requested, in the clock's milliseconds."""
        return self._listed_ms

    def refresh(self) -> bool:
        """List the VMs every ``LIST_INTERVAL_MS``; returns whether the list is new."""
        now_ms = self._clock.now_ms()
        if now_ms - self._listed_ms < LIST_INTERVAL_MS:
            return False
        self._listed_ms = now_ms
        match self._pools.list_vms():
            case Success(vms):
                self.vms = {vm.vm: vm for vm in vms}
                return True
            case failure:
                log.warning("Could not list the VMs.", cause=repr(failure.failure()))
        return False

    def maintain(self, vm: VmId, wave: int) -> VmOrderResult:
        """Order the maintenance of a VM on which nothing runs."""
        result = self._send_order(
            "Maintenance ordered.",
            vm,
            {"wave": wave},
            lambda fence, may_send: self._pools.maintain(
                vm, wave, self._entry, fence, may_send
            ),
        )
        if result is VmOrderResult.DONE:
            self._update_listed_vm(
                vm, condition=VmCondition.IN_MAINTENANCE, worker=None
            )
        return result

    def move(self, vm: VmId, pool: ServiceName) -> VmOrderResult:
        """Order the move of a VM on which nothing runs."""
        result = self._send_order(
            "Move ordered.",
            vm,
            {"pool": pool},
            lambda fence, may_send: self._pools.move(
                vm, pool, self._entry, fence, may_send
            ),
        )
        if result is VmOrderResult.DONE:
            self._update_listed_vm(
                vm, condition=VmCondition.MOVING, pool=pool, worker=None
            )
        return result

    def _update_listed_vm(self, vm: VmId, **changes) -> None:
        """Apply a completed order to the list, until the VMs are listed again."""
        self.vms[vm] = replace(self.vms[vm], **changes)

    def _send_order(
        self,
        message: str,
        vm: VmId,
        details: dict[str, object],
        send: Callable[[int, Callable[[], bool]], VmOrderResult],
    ) -> VmOrderResult:
        """Send an order unless it could do harm by the time at which it is sent.

        The check is made first to save the connection, and again next to the send:
        to connect takes time, and the process may be suspended in between.
        """
        if not self._is_safe_to_order(vm):
            return VmOrderResult.NOT_SENT
        self._order_count += 1
        fence = self._scheduler.term.fence + self._order_count
        timing = self._timing(vm)

        def may_send() -> bool:
            nonlocal timing
            timing = self._timing(vm)
            return self._is_safe_to_order(vm)

        result = VmOrderResult.NO_ANSWER  # of a term that ends in the meantime
        try:
            result = send(fence, may_send)
        finally:
            log.info(
                message,
                vm=vm,
                **details,
                fence=fence,
                result=result.value,
                term=self._scheduler.term.number,
                record_age_ms=round(timing.record_age_ms),
                renewal_age_ms=round(timing.renewal_age_ms),
                took_ms=round(self._clock.now_ms() - timing.sent_ms),
            )
        if result in (VmOrderResult.BUSY, VmOrderResult.NO_ANSWER):
            self._busy_ms[vm] = self._clock.now_ms()
        elif result is VmOrderResult.SUPERSEDED:
            self._scheduler.is_superseded = True
        return result

    def _timing(self, vm: VmId) -> OrderTiming:
        now_ms = self._clock.now_ms()
        record_age_ms = now_ms - self._intents[vm].began_ms
        return OrderTiming(now_ms, record_age_ms, self._role.renewal_age_ms)

    def _is_safe_to_order(self, vm: VmId) -> bool:
        """Check that an order that is sent now cannot do harm.

        The VM must have been recorded in the store recently, the role must have been
        renewed recently, and nothing may run on the VM's worker.
        """
        if vm not in self.vms or vm not in self._intents or not self._is_holder():
            return False
        timing = self._timing(vm)
        if timing.record_age_ms > MAX_INTENT_AGE_MS:
            return False
        if timing.renewal_age_ms > self._role_lease_ms - ROLE_MARGIN_MS:
            return False
        worker_id = self.vms[vm].worker
        worker = self._scheduler.workers.get(worker_id) if worker_id else None
        return worker is None or not worker.is_running

    def _is_holder(self) -> bool:
        """Return whether no sign of a successor has been seen."""
        return self._role.is_held and not self._scheduler.is_superseded
