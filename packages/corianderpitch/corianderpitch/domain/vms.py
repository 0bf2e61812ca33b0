"""States of a VM, and the transitions that a planned operation causes.

The record of a data centre holds its VMs and assigns each to exactly one pool.
The state of a VM also counts against the availability budget: every state but
``ACTIVE`` counts as unavailable. There is no separate claim on the budget, so
no claim can remain after the operation that caused it has ended.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, replace

from corianderpitch.domain.platform import VmAction, VmActionKind
from corianderpitch.ids import OperationId, PoolName, RackId, VmId, WaveName


class VmState(enum.Enum):
    """State of a VM in the fleet's records."""

    ACTIVE = "active"
    DRAINING = "draining"
    DRAINED = "drained"
    STOPPING = "stopping"
    RETIRED = "retired"
    LEAVING = "leaving"
    FAILED = "failed"


class OperationKind(enum.Enum):
    """Kind of an operation that an operator, a wave or a loan plans for a VM."""

    DRAIN = "drain"
    REBOOT = "reboot"
    MOVE = "move"
    RETIRE = "retire"


@dataclass(frozen=True, slots=True)
class VmOperation:
    """A planned operation; ``target_pool`` is set for moves only.

    With ``is_loan`` set, a move lends a VM of the spare pool or returns a lent one.
    """

    operation_id: OperationId
    kind: OperationKind
    target_pool: PoolName | None = None
    wave: WaveName | None = None
    is_loan: bool = False


@dataclass(frozen=True, slots=True)
class VmRecord:
    """A VM's record in the table.

    ``address`` is the ip:port of the VM's instance. ``lent_from`` is the pool to
    which a lent VM will be returned. Times are Unix times; 0 means never or not
    known.
    """

    pool: PoolName
    rack: RackId
    address: str
    state: VmState = VmState.ACTIVE
    operation: VmOperation | None = None
    last_maintained_ms: int = 0
    lent_from: PoolName | None = None
    first_seen_ms: int = 0

    @property
    def is_schedulable(self) -> bool:
        """Return whether the VM may get new work."""
        return self.state is VmState.ACTIVE

    @property
    def has_active_operation(self) -> bool:
        """Return whether the VM's operation may need another step.

        A VM that an operator has drained needs no further step. A VM that a wave
        has drained may need one: it returns to service when its pool falls below
        its availability budget. A failed VM needs none until it has recovered.
        """
        operation = self.operation
        if operation is None or self.state in (VmState.FAILED, VmState.RETIRED):
            return False
        is_final_drain = (
            self.state is VmState.DRAINED and operation.kind is OperationKind.DRAIN
        )
        return operation.wave is not None or not is_final_drain

    def action(self, vm_id: VmId) -> VmAction:
        """Return the platform action that carries out the VM's operation."""
        operation = self.operation
        match operation.kind:
            case OperationKind.MOVE:
                kind = VmActionKind.ASSIGN
            case OperationKind.RETIRE:
                kind = VmActionKind.STOP
            case _:
                kind = VmActionKind.REBOOT
        return VmAction(operation.operation_id, vm_id, kind, operation.target_pool)

    @property
    def is_cancellable(self) -> bool:
        """Return whether the VM has an operation that can still be cancelled."""
        return self.operation is not None and self.state in (
            VmState.ACTIVE,
            VmState.DRAINING,
            VmState.DRAINED,
        )


@dataclass(frozen=True, slots=True)
class SiteFleet:
    """The VMs of one data centre; one row of the table."""

    vms: Mapping[VmId, VmRecord]

    def in_state(self, state: VmState) -> list[tuple[VmId, VmRecord]]:
        """Return the VMs that are in a state."""
        return [(v, r) for v, r in self.vms.items() if r.state is state]

    def with_vm(self, vm_id: VmId, record: VmRecord) -> "SiteFleet":
        """Return a copy of the fleet with one VM replaced or added."""
        return SiteFleet({**self.vms, vm_id: record})


class VmRefusal(enum.Enum):
    """Reason for which an operator's request about a VM is refused."""

    NO_SUCH_VM = "no_such_vm"
    NO_SUCH_POOL = "no_such_pool"
    SAME_POOL = "same_pool"
    OPERATION_PENDING = "operation_pending"
    NOT_ACTIVE = "not_active"
    NOTHING_TO_RETURN = "nothing_to_return"
    PAST_RETURN = "past_return"


def request_operation(record: VmRecord, operation: VmOperation) -> VmRecord | VmRefusal:
    """Attach an operation to a VM; a repeat with the same id changes nothing."""
    if record.operation is not None:
        is_repeat = record.operation.operation_id == operation.operation_id
        return record if is_repeat else VmRefusal.OPERATION_PENDING
    if record.state is not VmState.ACTIVE:
        return VmRefusal.NOT_ACTIVE
    if operation.target_pool == record.pool:
        return VmRefusal.SAME_POOL
    return replace(record, operation=operation)


def cancel_operation(record: VmRecord) -> VmRecord | VmRefusal:
    """Cancel a planned operation and let the VM get new work again."""
    if record.operation is None:
        return VmRefusal.NOTHING_TO_RETURN
    if not record.is_cancellable:
        return VmRefusal.PAST_RETURN
    return replace(record, state=VmState.ACTIVE, operation=None)


def start_drain(record: VmRecord) -> VmRecord:
    """Start to drain the VM, which gets no new work from now on."""
    return replace(record, state=VmState.DRAINING)


def finish_drain(record: VmRecord) -> VmRecord:
    """Record that no work runs on the VM and that none can start on it."""
    return replace(record, state=VmState.DRAINED)


def start_stop(record: VmRecord) -> VmRecord:
    """Start the stop, which cannot be undone; a move changes the pool here."""
    operation = record.operation
    if operation is None or operation.target_pool is None:
        return replace(record, state=VmState.STOPPING)
    is_lent = operation.is_loan and operation.target_pool != record.lent_from
    return replace(
        record,
        state=VmState.STOPPING,
        pool=operation.target_pool,
        lent_from=record.pool if is_lent else None,
    )


def finish_stop(record: VmRecord, wall_ms: int) -> VmRecord:
    """Record that the platform has completed the VM action."""
    is_retired = (
        record.operation is not None and record.operation.kind is OperationKind.RETIRE
    )
    state = VmState.RETIRED if is_retired else VmState.ACTIVE
    return replace(record, state=state, operation=None, last_maintained_ms=wall_ms)
