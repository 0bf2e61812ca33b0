"""States of a VM and the changes that a planned operation takes it through.

A VM stands in the record of its data centre, which maps its id to exactly one
pool. Its state is at the same time its claim on the availability budget: every
state but ``ACTIVE`` counts as unavailable, so that a claim cannot outlive the
operation that made it.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, replace

from corianderpitch.domain.platform import VmAction, VmActionKind
from corianderpitch.ids import OperationId, PoolName, RackId, VmId, WaveName


class VmState(enum.Enum):
    """Where a VM stands."""

    ACTIVE = "active"
    DRAINING = "draining"
    DRAINED = "drained"
    STOPPING = "stopping"
    RETIRED = "retired"
    LEAVING = "leaving"
    FAILED = "failed"


class OperationKind(enum.Enum):
    """What an operator or a wave wants done with a VM."""

    DRAIN = "drain"
    REBOOT = "reboot"
    MOVE = "move"
    RETIRE = "retire"


@dataclass(frozen=True, slots=True)
class VmOperation:
    """A planned operation; ``target_pool`` is set for moves only.

    A move with ``is_loan`` set lends a VM of the spare pool, or returns it.
    """

    operation_id: OperationId
    kind: OperationKind
    target_pool: PoolName | None = None
    wave: WaveName | None = None
    is_loan: bool = False


@dataclass(frozen=True, slots=True)
class VmRecord:
    """A VM as the table knows it.

    ``address`` is its instance's ip:port; ``lent_from`` is the pool that it
    will be returned to. Times are Unix times, 0 for never or not known.
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
    def is_open(self) -> bool:
        """Tell whether the VM may get new work."""
        return self.state is VmState.ACTIVE

    @property
    def is_under_way(self) -> bool:
        """Tell whether the VM's operation may want another step.

        A VM that an operator has drained stays as it is; one that a wave has
        drained is returned when its pool becomes short. A failed VM waits until
        it is back.
        """
        operation = self.operation
        if operation is None or self.state in (VmState.FAILED, VmState.RETIRED):
            return False
        is_at_rest = (
            self.state is VmState.DRAINED and operation.kind is OperationKind.DRAIN
        )
        return operation.wave is not None or not is_at_rest

    def action(self, vm_id: VmId) -> VmAction:
        """Return what the platform must do for the VM's operation."""
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
    def is_returnable(self) -> bool:
        """Tell whether a planned operation can still be taken back."""
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
        """Return the VMs that stand at a state."""
        return [(v, r) for v, r in self.vms.items() if r.state is state]

    def with_vm(self, vm_id: VmId, record: VmRecord) -> "SiteFleet":
        """Return the fleet with one VM replaced or added."""
        return SiteFleet({**self.vms, vm_id: record})


class Refusal(enum.Enum):
    """Why an operator's request about a VM is refused."""

    NO_SUCH_VM = "no_such_vm"
    NO_SUCH_POOL = "no_such_pool"
    SAME_POOL = "same_pool"
    OPERATION_PENDING = "operation_pending"
    NOT_ACTIVE = "not_active"
    NOTHING_TO_RETURN = "nothing_to_return"
    PAST_RETURN = "past_return"


def request_operation(record: VmRecord, operation: VmOperation) -> VmRecord | Refusal:
    """Attach an operation to a VM; a repeat of the same one changes nothing."""
    if record.operation is not None:
        is_repeat = record.operation.operation_id == operation.operation_id
        return record if is_repeat else Refusal.OPERATION_PENDING
    if record.state is not VmState.ACTIVE:
        return Refusal.NOT_ACTIVE
    if operation.target_pool == record.pool:
        return Refusal.SAME_POOL
    return replace(record, operation=operation)


def request_return(record: VmRecord) -> VmRecord | Refusal:
    """Take a planned operation back and open the VM again."""
    if record.operation is None:
        return Refusal.NOTHING_TO_RETURN
    if not record.is_returnable:
        return Refusal.PAST_RETURN
    return replace(record, state=VmState.ACTIVE, operation=None)


def start_drain(record: VmRecord) -> VmRecord:
    """Close the VM to new work."""
    return replace(record, state=VmState.DRAINING)


def finish_drain(record: VmRecord) -> VmRecord:
    """Note that nothing runs on the VM and nothing can start on it."""
    return replace(record, state=VmState.DRAINED)


def start_stop(record: VmRecord) -> VmRecord:
    """Take the step that cannot be undone; a move changes the pool here."""
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
    """Note that the platform has carried out the VM action."""
    is_retired = (
        record.operation is not None and record.operation.kind is OperationKind.RETIRE
    )
    state = VmState.RETIRED if is_retired else VmState.ACTIVE
    return replace(record, state=state, operation=None, last_maintained_ms=wall_ms)
